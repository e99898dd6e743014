package routes

// RanksStreams reports whether two routes of streams lead to the same service with different
// priorities. Only then does a more urgent stream have others that may have to wait for it.
func (l *List) RanksStreams() bool { return len(l.rankedServices()) > 0 }

// rankedServices returns the services to which routes of streams lead with different
// priorities.
func (l *List) rankedServices() map[string]bool {
	priorities, ranked := map[string]int{}, map[string]bool{}
	for i := range l.Routes {
		r := &l.Routes[i]
		if r.Kind != Stream {
			continue
		}
		for _, target := range r.Targets {
			if p, known := priorities[target.Service]; known && p != r.Priority {
				ranked[target.Service] = true
			}
			priorities[target.Service] = r.Priority
		}
	}
	return ranked
}

// RanksStreams reports whether routes of streams lead to a service with different priorities.
func (t *Table) RanksStreams(service string) bool { return t.ranked[service] }

// RanksAnyStreams is RanksStreams of the list.
func (t *Table) RanksAnyStreams() bool { return len(t.ranked) > 0 }
