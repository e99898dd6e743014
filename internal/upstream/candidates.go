package upstream

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
)

// maxCandidates is the number of candidates from which a request is placed. Each costs time
// in proportion to the number of VMs, and the best of so many is as good as the best of all.
const maxCandidates = 256

// Candidates returns the servers of a service that may take a request, and their view for
// placement in the same order: all of them, or a random sample of maxCandidates. skip
// excludes servers by id. Draining servers, servers whose address another incarnation holds
// and servers that accept no requests now are never among them.
func (f *Fleet) Candidates(service string, v rollout.Versions, kvTokens int, skip map[string]bool) ([]*Server, []placement.Candidate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	usual := f.meanLatencyMS(service)
	servers := f.usable(service, v, skip)
	out := make([]placement.Candidate, 0, len(servers))
	for _, s := range servers {
		out = append(out, placement.Candidate{
			ID: s.ID, Zone: s.Zone, Slots: s.Slots, KVTokens: kvTokens, Usage: f.useOf(s, now),
			RendezvousRank: f.rank(s), Avoid: s.avoided(now), Slowdown: slowness(s.latencyMS, usual),
		})
	}
	return servers, out
}

// CallCandidates is Candidates for a call.
func (f *Fleet) CallCandidates(service string, v rollout.Versions, skip map[string]bool) ([]*Server, []placement.CallCandidate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	usual := f.meanLatencyMS(service)
	servers := f.usable(service, v, skip)
	out := make([]placement.CallCandidate, 0, len(servers))
	for _, s := range servers {
		out = append(out, placement.CallCandidate{
			Zone: s.Zone, Slots: s.Slots, Own: s.use.Requests, Others: f.peerUse[s.ID].Requests,
			Reported: s.reportedRequests, ReportAge: now.Sub(s.reportedAt), CallTime: time.Duration(s.latencyMS * float64(time.Millisecond)),
			Avoid: s.avoided(now), Slowdown: slowness(s.latencyMS, usual), StatedSlowdown: s.reportedSlowdown,
		})
	}
	return servers, out
}

// usable returns the servers of a service that are on a version that v selects and not
// in skip, at most maxCandidates. In a trial these are only the first servers by id. It needs
// f.mu.
func (f *Fleet) usable(service string, v rollout.Versions, skip map[string]bool) []*Server {
	versions, now := v.Of(f.list.versions[service]), f.now()
	var rows []*Backend
	others := 0
	for _, i := range f.list.byService[service] {
		row := &f.list.rows[i]
		switch {
		case !f.inService(row):
		case !slices.Contains(versions, row.Version):
			others++
		case !skip[row.ID]:
			rows = append(rows, row)
		}
	}
	if v.ServerShare > 0 {
		rows = f.firstServers(rows, rollout.TrialServers(v.ServerShare, others), now)
	}
	rows = slices.DeleteFunc(rows, func(row *Backend) bool { return f.withheld(row, now) })
	out := make([]*Server, 0, min(len(rows), maxCandidates))
	for _, row := range sample(rows, maxCandidates) {
		out = append(out, f.server(row))
	}
	return out
}

// sample returns all rows, or n random ones if there are more. It reorders rows.
func sample(rows []*Backend, n int) []*Backend {
	if len(rows) <= n {
		return rows
	}
	for i := range n {
		k := i + rand.IntN(len(rows)-i)
		rows[i], rows[k] = rows[k], rows[i]
	}
	return rows[:n]
}

// firstServers returns the first n servers that are not avoided, or the first n of all if all
// are avoided. rows are in the order of their ids. It needs f.mu.
func (f *Fleet) firstServers(rows []*Backend, n int, now time.Time) []*Backend {
	good := slices.DeleteFunc(slices.Clone(rows), func(row *Backend) bool {
		s := f.servers[row.ID]
		return s != nil && s.avoided(now)
	})
	if len(good) > 0 {
		rows = good
	}
	return rows[:min(n, len(rows))]
}

// inService reports whether a listed server takes new requests now or later. A server that
// has stated that it leaves, or is cordoned, does not, whatever the list says. It needs f.mu.
func (f *Fleet) inService(row *Backend) bool {
	if row.Draining || f.cordons.ids[row.ID] {
		return false
	}
	s, known := f.servers[row.ID], f.incarnations[row.incarnation()]
	return (s == nil || !s.stale) && (known == nil || !known.Leaving())
}

// withheld reports whether a listed server must not be sent any request now. It needs f.mu.
func (f *Fleet) withheld(row *Backend, now time.Time) bool {
	if f.isDead(row.ID, now) {
		return true
	}
	known := f.incarnations[row.incarnation()]
	return known != nil && known.withheld(now)
}

// useOf returns the use of a server by this VM and the others, with at least as many
// requests as the server reported within reportedLoadTTL. It needs f.mu.
func (f *Fleet) useOf(s *Server, now time.Time) placement.Usage {
	use := s.use.Add(f.peerUse[s.ID])
	if now.Sub(s.reportedAt) < reportedLoadTTL {
		use.Requests = max(use.Requests, s.use.Requests+s.reportedRequests)
	}
	return use
}

// meanLatencyMS returns the mean latency over the servers of a service; 0: fewer than two
// are known. It needs f.mu.
func (f *Fleet) meanLatencyMS(service string) float64 {
	sum, n := 0.0, 0
	for _, s := range f.servers {
		if s.Service == service && s.latencyMS > 0 {
			sum += s.latencyMS
			n++
		}
	}
	if n < 2 {
		return 0
	}
	return sum / float64(n)
}

// slowness returns the factor by which a latency exceeds the usual one; 1: it does not by
// slowRatio or more, or the usual latency is not known.
func slowness(latency, usual float64) float64 {
	if usual == 0 || latency < slowRatio*usual {
		return 1
	}
	return latency / usual
}
