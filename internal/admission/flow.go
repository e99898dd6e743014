package admission

// flow is the queue of one workspace in one class, as a linked list so that a
// request given up on leaves at once.
type flow struct {
	class       *class
	workspace   string
	first, last *Item
	count       int
	backlog     float64 // cost
	weight      float64
	tag         float64 // virtual start time of the first item
	pos         int     // in the class's heap; -1: not there
}

func (f *flow) push(it *Item) {
	it.flow, it.prev, it.next = f, f.last, nil
	if f.last != nil {
		f.last.next = it
	} else {
		f.first = it
	}
	f.last = it
	f.count++
	f.backlog += it.Cost
}

func (f *flow) remove(it *Item) {
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		f.first = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		f.last = it.prev
	}
	it.prev, it.next, it.flow = nil, nil, nil
	f.count--
	f.backlog -= it.Cost
	if f.count == 0 {
		f.backlog = 0
	}
}

// class holds the flows of one class in a heap by virtual start time
// (start-time fair queueing: a flow that was idle does not save up credit, one
// that is served pays its cost over its weight).
type class struct {
	heap    []*flow
	vtime   float64
	weight  float64 // of the waiting flows
	count   int
	backlog float64
	running int
	tag     float64 // virtual time among classes
}

func (c *class) push(it *Item, f *flow) {
	f.push(it)
	c.count++
	c.backlog += it.Cost
	if f.pos < 0 {
		f.tag = max(f.tag, c.vtime)
		c.weight += f.weight
		f.pos = len(c.heap)
		c.heap = append(c.heap, f)
		c.up(f.pos)
	}
}

// drop takes an item out; charged items move their flow's virtual time on.
func (c *class) drop(it *Item, charged bool) {
	f := it.flow
	f.remove(it)
	c.count--
	c.backlog -= it.Cost
	if c.count == 0 {
		c.backlog = 0
	}
	if charged {
		c.vtime = max(c.vtime, f.tag)
		f.tag += it.Cost / f.weight
		c.down(f.pos)
	}
	if f.count == 0 {
		c.leave(f)
	}
}

func (c *class) leave(f *flow) {
	i, end := f.pos, len(c.heap)-1
	c.swap(i, end)
	c.heap = c.heap[:end]
	f.pos = -1
	if i < end {
		c.down(i)
		c.up(i)
	}
	c.weight -= f.weight
	if end == 0 {
		c.weight = 0
	}
}

func (c *class) swap(i, j int) {
	c.heap[i], c.heap[j] = c.heap[j], c.heap[i]
	c.heap[i].pos, c.heap[j].pos = i, j
}

func (c *class) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if c.heap[parent].tag <= c.heap[i].tag {
			return
		}
		c.swap(i, parent)
		i = parent
	}
}

func (c *class) down(i int) {
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(c.heap) && c.heap[child].tag < c.heap[least].tag {
				least = child
			}
		}
		if least == i {
			return
		}
		c.swap(i, least)
		i = least
	}
}
