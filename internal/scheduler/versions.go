package scheduler

import "slices"

// Engines of several versions.
//
// The overload. A stream in progress can go on only at the version that began it. If one version
// has few engines and new streams fill them like all others, the streams of an engine that dies
// find no room at the others of its version, although most engines are free.
//
// New streams therefore use engines of versions that could still take the runs of a lost engine,
// and others only if there are none. A stream in progress that finds no room has an engine of its
// version kept for it.

// matchesVersion reports whether an engine is of a version that may run the stream.
func (w *waiter) matchesVersion(e *server) bool {
	if len(w.Versions) > 0 {
		return slices.Contains(w.Versions, e.Version)
	}
	return w.Version == "" || w.Version == e.Version
}

// tiedTo returns the version that began a stream in progress, if the service has others.
func (r *round) tiedTo(w *waiter) (version string, tied bool) {
	switch {
	case !w.Interrupted || len(r.service.versions) < 2:
		return "", false
	case len(w.Versions) == 1:
		return w.Versions[0], true
	}
	return w.Version, len(w.Versions) == 0 && w.Version != ""
}

// versionSums returns the sums of a version's engines.
func (a *engineAccount) versionSums(version string) *engineSums {
	if v := a.versions[version]; v != nil {
		return v
	}
	return &engineSums{}
}

// sums returns the sums of the engines whose versions may run a stream, without byID.
func (a *engineAccount) sums(w *waiter) engineSums {
	if len(w.Versions) == 0 && w.Version == "" {
		return a.total
	}
	if len(w.Versions) == 0 {
		return *a.versionSums(w.Version)
	}
	var out engineSums
	for _, version := range w.Versions {
		v := a.versionSums(version)
		out.listed, out.usable = out.listed+v.listed, out.usable+v.usable
		out.tokens, out.copies = out.tokens+v.tokens, out.copies+v.copies
	}
	return out
}

// survivesLoss reports whether the engines of a version have the memory for all that runs there
// if one of them is lost. Copies yield to runs.
func (s *engineSums) survivesLoss(kvTokens int) bool {
	return s.usable > 1 && s.tokens-s.copies <= (s.usable-1)*kvTokens
}

// scarceVersions returns the versions whose engines new streams should leave to the streams in
// progress there; nil: none, or all that there are.
func (v *service) scarceVersions() map[string]bool {
	if len(v.versions) < 2 || v.kvTokens == 0 {
		return nil
	}
	var out map[string]bool
	for version, sums := range v.versions {
		if sums.survivesLoss(v.kvTokens) {
			continue
		}
		if out == nil {
			out = map[string]bool{}
		}
		out[version] = true
	}
	return out
}

// leavesRoom reports whether an engine may run a stream without taking the room of streams that
// can go on nowhere else.
func (r *round) leavesRoom(e *server, w *waiter) bool { return w.Interrupted || !r.scarce[e.Version] }

// accepting returns the condition for the engines that can start the stream at once. Engines of
// scarce versions are among them only if no other engine of its versions accepts the stream, now
// or later.
func (r *round) accepting(w *waiter) func(*server) bool {
	usesScarce := len(r.scarce) == 0 || w.Interrupted || !r.anyEngineLeavesRoom(w)
	return func(e *server) bool {
		return (usesScarce || r.leavesRoom(e, w)) && r.accepts(e, w) && r.fits(e, w)
	}
}

// anyEngineLeavesRoom reports whether an engine of a version that is not scarce may run the
// stream, now or later.
func (r *round) anyEngineLeavesRoom(w *waiter) bool {
	for _, e := range r.servers {
		if !e.lost && r.leavesRoom(e, w) && r.accepts(e, w) {
			return true
		}
	}
	return false
}
