package forward

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// SuspectContents records the contents of requests under which backend servers died, as
// seen by all VMs. It is safe for concurrent use.
type SuspectContents struct {
	log zerolog.Logger

	mu        sync.Mutex
	contents  *recovery.SuspectContents
	newDeaths []recovery.Death // not reported to the other VMs yet
}

// maxNewDeaths bounds the deaths that wait to be reported. So many at once have a common
// cause.
const maxNewDeaths = 64

// NewSuspectContents returns a SuspectContents without any content.
func NewSuspectContents(log zerolog.Logger) *SuspectContents {
	return &SuspectContents{log: log, contents: recovery.NewSuspectContents()}
}

// Count returns the number of contents under which servers died.
func (s *SuspectContents) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents.Count()
}

// Quarantined reports whether a content must not start now, and until when.
func (s *SuspectContents) Quarantined(digest uint64) (until time.Time, quarantined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents.Quarantined(digest, time.Now())
}

// IsSuspect reports whether a server died under a content that has not succeeded
// since.
func (s *SuspectContents) IsSuspect(digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents.Suspect(digest)
}

// ForbidsRetry reports whether a request in flight must not be sent to another server.
func (s *SuspectContents) ForbidsRetry(digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents.MustAbort(digest)
}

// AddDeath records that a server died while it ran a content.
func (s *SuspectContents) AddDeath(digest uint64, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.recordDeath(digest, server, now, "this VM")
	if len(s.newDeaths) < maxNewDeaths {
		s.newDeaths = append(s.newDeaths, recovery.Death{Digest: digest, Engine: server, At: now})
	}
}

// recordDeath records and logs a death. It needs s.mu.
func (s *SuspectContents) recordDeath(digest uint64, server string, now time.Time, seenBy string) {
	if deaths, added := s.contents.ServerDied(digest, server, now); added {
		s.log.Info().Uint64("digest", digest).Str("server", server).Int("deaths", deaths).Str("seen_by", seenBy).Msg("content blamed for the death of a server")
	}
}

// Clear removes a content after it ran successfully for a request at a server.
func (s *SuspectContents) Clear(digest uint64, request, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if deaths := s.contents.Succeeded(digest); deaths > 0 {
		s.log.Info().Uint64("digest", digest).Int("deaths", deaths).Str("request", request).Str("server", server).Msg("content cleared by an answer")
	}
}

// TakeNewDeaths returns the deaths that this VM has seen since the last call.
func (s *SuspectContents) TakeNewDeaths() []recovery.Death {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.newDeaths
	s.newDeaths = nil
	return out
}

// AddPeerDeaths adds deaths that other VMs have seen.
func (s *SuspectContents) AddPeerDeaths(deaths []recovery.Death) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range deaths {
		s.recordDeath(d.Digest, d.Engine, time.Now(), "another VM")
	}
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
