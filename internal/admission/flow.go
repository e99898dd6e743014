package admission

// flow is the queue of one workspace in one class. It is a linked list, from which a
// cancelled request is removed in constant time.
type flow struct {
	class        *class
	workspace    string
	first, last  *Item
	count        int
	backlog      float64 // total cost of the waiting items
	weight       float64
	virtualStart float64 // virtual start time of the first item
	heapIndex    int     // index in the class's heap; -1: not in it
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

// class holds the flows of one class in a heap by virtual start time (start-time fair
// queueing: an idle flow accumulates no credit, and a served flow pays its cost divided
// by its weight).
type class struct {
	heap         []*flow
	virtualTime  float64
	weight       float64 // sum over the flows that wait
	count        int
	backlog      float64
	running      int
	virtualStart float64 // virtual start time among the classes
}

func (c *class) push(it *Item, f *flow) {
	f.push(it)
	c.count++
	c.backlog += it.Cost
	if f.heapIndex < 0 {
		f.virtualStart = max(f.virtualStart, c.virtualTime)
		c.weight += f.weight
		f.heapIndex = len(c.heap)
		c.heap = append(c.heap, f)
		c.siftUp(f.heapIndex)
	}
}

// drop removes an item. A charged item advances the virtual start time of its flow.
func (c *class) drop(it *Item, charged bool) {
	f := it.flow
	f.remove(it)
	c.count--
	c.backlog -= it.Cost
	if c.count == 0 {
		c.backlog = 0
	}
	if charged {
		c.virtualTime = max(c.virtualTime, f.virtualStart)
		f.virtualStart += it.Cost / f.weight
		c.siftDown(f.heapIndex)
	}
	if f.count == 0 {
		c.removeFlow(f)
	}
}

func (c *class) removeFlow(f *flow) {
	i, end := f.heapIndex, len(c.heap)-1
	c.swap(i, end)
	c.heap = c.heap[:end]
	f.heapIndex = -1
	if i < end {
		c.siftDown(i)
		c.siftUp(i)
	}
	c.weight -= f.weight
	if end == 0 {
		c.weight = 0
	}
}

func (c *class) swap(i, j int) {
	c.heap[i], c.heap[j] = c.heap[j], c.heap[i]
	c.heap[i].heapIndex, c.heap[j].heapIndex = i, j
}

func (c *class) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if c.heap[parent].virtualStart <= c.heap[i].virtualStart {
			return
		}
		c.swap(i, parent)
		i = parent
	}
}

func (c *class) siftDown(i int) {
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(c.heap) && c.heap[child].virtualStart < c.heap[least].virtualStart {
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
