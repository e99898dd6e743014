package decider

import "slices"

// Follower is a router's view of the terms. It is not safe for concurrent use.
type Follower struct {
	newest Term
	// states holds the control VMs that state terms.
	states map[string]bool
}

// NewFollower returns a Follower that has heard of no term.
func NewFollower() *Follower { return &Follower{states: map[string]bool{}} }

// Term returns the newest term that was heard of.
func (f *Follower) Term() Term { return f.newest }

// Hear records the term that a control VM stated; nil: it states none. It reports whether
// the term is newer than all before.
func (f *Follower) Hear(vm string, t *Term) bool {
	if t == nil {
		delete(f.states, vm)
		return false
	}
	f.states[vm] = true
	return f.learn(*t)
}

func (f *Follower) learn(t Term) bool {
	newer := t.Newer(f.newest)
	if newer {
		f.newest = t
	}
	return newer
}

// Accepts reports whether a grant may be used. t is the term under which vm issued it. A
// control VM that states no terms issues grants without one.
func (f *Follower) Accepts(vm string, t Term) bool {
	if t.Number == 0 {
		return f.newest.Number == 0 || !f.states[vm]
	}
	return !f.newest.Newer(t)
}

// Order returns the control VMs in the order in which they are asked: the holder of the
// term first, then the others by id. answering are those that answered lately, sorted.
func (f *Follower) Order(answering []string) []string {
	i := slices.Index(answering, f.newest.Holder)
	if i <= 0 {
		return answering
	}
	return slices.Concat(answering[i:i+1], answering[:i], answering[i+1:])
}

// Silent returns the holder of the term if vm, which is asked, is another one. It is empty
// if no holder is known.
func (f *Follower) Silent(vm string) string {
	if vm == f.newest.Holder {
		return ""
	}
	return f.newest.Holder
}
