package forward

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// contentReportTime is how long a change that this VM observed is reported to the control
// VMs whatever they know. It covers several heartbeats, some of which may be lost.
const contentReportTime = 1500 * time.Millisecond

// SuspectContents records the contents of requests under which backend servers died, as
// seen by all VMs, and which contents run on which servers for this VM. It is safe for
// concurrent use.
type SuspectContents struct {
	log zerolog.Logger
	// Changed is called, without a lock, when the other VMs need a change soon; nil: not.
	Changed func()

	mu         sync.Mutex
	contents   *recovery.SuspectContents
	runs       contentRuns
	doubtful   []doubtfulDeath
	observed   map[uint64]time.Time              // when this VM last observed something of a content
	told       map[uint64]recovery.ContentRecord // by a control VM
	unreported []recovery.Death                  // to control VMs that take no records
}

// maxUnreported bounds the deaths that wait to be reported. So many at once have a common
// cause.
const maxUnreported = 64

// NewSuspectContents returns a SuspectContents without any content.
func NewSuspectContents(log zerolog.Logger) *SuspectContents {
	return &SuspectContents{log: log, contents: recovery.NewSuspectContents(), runs: newContentRuns(), observed: map[uint64]time.Time{}}
}

// Count returns the number of contents under which servers died.
func (s *SuspectContents) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents.Count(time.Now())
}

// Standing returns the standing of a content; until is the end of recovery.ContentHeld.
func (s *SuspectContents) Standing(digest uint64) (standing recovery.ContentStanding, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents.Standing(digest, time.Now())
}

// isSuspect reports whether a server died under a content that has not been cleared since.
func (s *SuspectContents) isSuspect(digest uint64) bool {
	standing, _ := s.Standing(digest)
	return standing != recovery.ContentFree
}

// record returns what is known of a content.
func (s *SuspectContents) record(digest uint64) recovery.ContentRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents.Record(digest)
}

// began records that a content is sent to a server.
func (s *SuspectContents) began(server *upstream.Server, digest uint64, trial bool) *contentRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs.begin(server, digest, trial)
}

// forget ends a run that certainly did not, and will not, crash its server.
func (s *SuspectContents) forget(r *contentRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs.forget(r)
}

// heard records that a server answered.
func (s *SuspectContents) heard(server *upstream.Server) {
	s.mu.Lock()
	s.runs.heard(server)
	urgent := s.withdraw(server.ID, time.Now())
	s.mu.Unlock()
	if urgent && s.Changed != nil {
		s.Changed()
	}
}

// abandon ends a run of which this VM will not learn the result. The server may still run
// it, and die.
func (s *SuspectContents) abandon(r *contentRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs.abandon(r, time.Now())
}

// serverDied blames the contents that ran on a server that died. Without the evidence of a
// probe, the runs whose connections are open are spared: they break off if the server has died.
// It returns the runs that are blamed, and the abandoned runs of the same contents on other
// servers.
func (s *SuspectContents) serverDied(server string, e upstream.Evidence) (blamed, elsewhere []*contentRun) {
	s.mu.Lock()
	now, urgent, digests := time.Now(), false, map[uint64]bool{}
	abandonedOnly := e == upstream.Refusal || e == upstream.PeerReport
	isDoubtful := e == upstream.Silence || e == upstream.PeerReport
	if !isDoubtful {
		s.confirm(server)
	}
	blamed = s.runs.take(server, abandonedOnly, now)
	for _, r := range blamed {
		urgent = s.blame(r, now) || urgent
		digests[r.digest] = true
		if isDoubtful {
			r.blamedAt = now
			s.doubtful = append(s.doubtful, doubtfulDeath{run: r, at: now})
		}
	}
	elsewhere = s.runs.abandoned(digests, now)
	s.mu.Unlock()
	if urgent && s.Changed != nil {
		s.Changed()
	}
	return blamed, elsewhere
}

// blame records that a server died under a run, and reports whether other VMs must know at
// once. It needs s.mu.
func (s *SuspectContents) blame(r *contentRun, now time.Time) bool {
	deaths, added := s.contents.ServerDied(r.digest, r.server.ID, r.trial, r.began, now)
	if !added {
		return false
	}
	s.observed[r.digest] = now
	if len(s.unreported) < maxUnreported {
		s.unreported = append(s.unreported, recovery.Death{Digest: r.digest, Engine: r.server.ID, At: now})
	}
	s.log.Info().Uint64("digest", r.digest).Str("server", r.server.ID).Int("deaths", deaths).Bool("trial", r.trial).Bool("abandoned", !r.endedAt.IsZero()).Msg("content blamed for the death of a server")
	standing, _ := s.contents.Standing(r.digest, now)
	return standing >= recovery.ContentOnTrial
}

// cleared records that a server answered a run, which was sent at a time. If the run is blamed
// for a death of the server, the server was silent.
func (s *SuspectContents) cleared(r *contentRun, sent time.Time, request string) {
	s.mu.Lock()
	digest, server := r.digest, r.server.ID
	if r.blamedAt.After(sent) {
		sent = r.blamedAt
	}
	before, _ := s.contents.Standing(digest, time.Now())
	deaths := s.contents.Succeeded(digest, sent)
	if deaths > 0 {
		s.observed[digest] = time.Now()
		s.log.Info().Uint64("digest", digest).Int("deaths", deaths).Str("request", request).Str("server", server).Msg("content cleared by an answer")
	}
	s.mu.Unlock()
	if deaths > 0 && before >= recovery.ContentOnTrial && s.Changed != nil {
		s.Changed()
	}
}

// TakeUnreported returns the deaths that this VM has seen since the last call, for control
// VMs that take no records.
func (s *SuspectContents) TakeUnreported() []recovery.Death {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.unreported
	s.unreported = nil
	return out
}

// AddPeerDeaths adds deaths that other VMs have seen, as control VMs without records tell
// them.
func (s *SuspectContents) AddPeerDeaths(deaths []recovery.Death) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range deaths {
		s.contents.ServerDied(d.Digest, d.Engine, false, time.Time{}, time.Now())
	}
}

// Reports returns the records that the control VMs may not know: what this VM observed
// lately, and the contents that are not free and of which they have told less.
func (s *SuspectContents) Reports() map[uint64]recovery.ContentRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, out := time.Now(), map[uint64]recovery.ContentRecord{}
	for digest, at := range s.observed {
		if now.Sub(at) > contentReportTime {
			delete(s.observed, digest)
			continue
		}
		out[digest] = s.contents.Record(digest)
	}
	s.contents.Each(now, func(digest uint64, r *recovery.ContentRecord) {
		if standing := r.Standing(now); standing >= recovery.ContentOnTrial && !r.SameAs(s.told[digest]) {
			out[digest] = s.contents.Record(digest)
		}
	})
	return out
}

// Learn takes the records that a control VM tells.
func (s *SuspectContents) Learn(records map[uint64]recovery.ContentRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = records
	for digest, r := range records {
		s.learn(digest, r)
	}
}

// learnOne merges the record of a control VM and returns the standing of the content.
func (s *SuspectContents) learnOne(digest uint64, r recovery.ContentRecord) (standing recovery.ContentStanding, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learn(digest, r)
	return s.contents.Standing(digest, time.Now())
}

// learn merges the record of a control VM. It needs s.mu.
func (s *SuspectContents) learn(digest uint64, r recovery.ContentRecord) {
	now := time.Now()
	before, _ := s.contents.Standing(digest, now)
	s.contents.Merge(digest, r, now)
	standing, _ := s.contents.Standing(digest, now)
	if standing == before {
		return
	}
	s.log.Info().Uint64("digest", digest).Int("deaths", len(r.Deaths)).Stringer("standing", standing).Msg("content known to other VMs")
}

// digest identifies the content of a request, which may come again under another id and
// at another VM.
func digest(path, workspace string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(path)
	_, _ = d.WriteString("\x00" + workspace + "\x00")
	_, _ = d.Write(body)
	return d.Sum64()
}
