package callqueue

import (
	"slices"
	"sort"
)

// The order of waiting calls: by priority, then by workspace, then by due time. Without an
// order by workspace, the calls of one that sends ten times its usual number fill the queue,
// and the calls of all others are refused. Workspaces of one priority take turns by start-time
// fair queueing with equal weights.

// ranks holds waiting calls by priority.
type ranks struct {
	byPriority []*rank // sorted
	count      int
}

// rank holds the waiting calls of one priority.
type rank struct {
	priority int
	flows    map[string]*flow // with waiting calls, by workspace
	finished map[string]float64
	virtual  float64 // start tag of the last call that was taken
}

// flow holds the waiting calls of one workspace by due time.
type flow struct {
	workspace string
	start     float64 // start tag of the first call
	calls     []*Call
}

func (r *ranks) rank(priority int) *rank {
	i := sort.Search(len(r.byPriority), func(i int) bool { return r.byPriority[i].priority >= priority })
	if i == len(r.byPriority) || r.byPriority[i].priority != priority {
		k := &rank{priority: priority, flows: map[string]*flow{}, finished: map[string]float64{}}
		r.byPriority = slices.Insert(r.byPriority, i, k)
	}
	return r.byPriority[i]
}

func (r *ranks) add(c *Call) {
	r.count++
	k := r.rank(c.Priority)
	f := k.flows[c.Workspace]
	if f == nil {
		f = &flow{workspace: c.Workspace, start: max(k.virtual, k.finished[c.Workspace])}
		k.flows[c.Workspace] = f
	}
	i := sort.Search(len(f.calls), func(i int) bool { return f.calls[i].Due.After(c.Due) })
	f.calls = slices.Insert(f.calls, i, c)
}

// ahead returns how many waiting calls are taken before c, if it entered now.
func (r *ranks) ahead(c *Call) int {
	n := 0
	for _, k := range r.byPriority {
		if k.priority > c.Priority {
			break
		}
		own := 0
		if f := k.flows[c.Workspace]; f != nil {
			own = len(f.calls)
		}
		for _, f := range k.flows {
			switch {
			case k.priority < c.Priority, f.workspace == c.Workspace:
				n += len(f.calls)
			default:
				n += min(len(f.calls), own+1)
			}
		}
	}
	return n
}

// take removes and returns the first call that may be taken; nil: there is none.
func (r *ranks) take(may func(*Call) bool) *Call {
	for _, k := range r.byPriority {
		var best *flow
		at := 0
		for _, f := range k.flows {
			i := slices.IndexFunc(f.calls, may)
			if i >= 0 && (best == nil || f.before(best, i, at)) {
				best, at = f, i
			}
		}
		if best != nil {
			c := best.calls[at]
			k.virtual = best.start
			best.start++
			r.removeAt(k, best, at)
			return c
		}
	}
	return nil
}

// before reports whether the flow's call i goes before the call k of o.
func (f *flow) before(o *flow, i, k int) bool {
	switch {
	case f.start != o.start:
		return f.start < o.start
	case !f.calls[i].Due.Equal(o.calls[k].Due):
		return f.calls[i].Due.Before(o.calls[k].Due)
	}
	return f.workspace < o.workspace
}

func (r *ranks) removeAt(k *rank, f *flow, i int) {
	r.count--
	f.calls = slices.Delete(f.calls, i, i+1)
	if len(f.calls) > 0 {
		return
	}
	delete(k.flows, f.workspace)
	// A workspace that has used its turn must not gain another by leaving the queue.
	k.finished[f.workspace] = f.start
	for workspace, finished := range k.finished {
		if finished <= k.virtual {
			delete(k.finished, workspace)
		}
	}
}

// takeWhile removes and returns the first calls by due time of each workspace that match.
func (r *ranks) takeWhile(match func(*Call) bool) []*Call {
	var out []*Call
	for _, k := range r.byPriority {
		for _, f := range k.flows {
			for len(f.calls) > 0 && match(f.calls[0]) {
				out = append(out, f.calls[0])
				r.removeAt(k, f, 0)
			}
		}
	}
	return out
}

// takeWhere removes and returns all calls that match.
func (r *ranks) takeWhere(match func(*Call) bool) []*Call {
	var out []*Call
	for _, k := range r.byPriority {
		for _, f := range k.flows {
			for i := len(f.calls) - 1; i >= 0; i-- {
				if match(f.calls[i]) {
					out = append(out, f.calls[i])
					r.removeAt(k, f, i)
				}
			}
		}
	}
	return out
}

func (r *ranks) remove(vm, id string) {
	for _, k := range r.byPriority {
		for _, f := range k.flows {
			if i := slices.IndexFunc(f.calls, func(c *Call) bool { return c.ID == id && c.Router == vm }); i >= 0 {
				r.removeAt(k, f, i)
				return
			}
		}
	}
}
