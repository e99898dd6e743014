package forward

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// SuspectContents records the contents of requests under which backend servers died, as
// seen by all VMs. It is safe for concurrent use.
type SuspectContents struct {
	mu        sync.Mutex
	contents  *recovery.Contents
	newDeaths []recovery.Death // not reported to the other VMs yet
}

// maxNewDeaths bounds the deaths that wait to be reported. So many at once have a common
// cause.
const maxNewDeaths = 64

// NewSuspectContents returns a SuspectContents without any content.
func NewSuspectContents() *SuspectContents { return &SuspectContents{contents: recovery.NewContents()} }

// Quarantined reports whether a content must not start now, and until when.
func (b *SuspectContents) Quarantined(digest uint64) (until time.Time, held bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.contents.Held(digest, time.Now())
}

// IsSuspect reports whether a server died under a content that has not succeeded
// since.
func (b *SuspectContents) IsSuspect(digest uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.contents.Suspect(digest)
}

// ForbidsRetry reports whether a request in flight must not be sent to another server.
func (b *SuspectContents) ForbidsRetry(digest uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.contents.Kills(digest)
}

// AddDeath records that a server died while it ran a content.
func (b *SuspectContents) AddDeath(digest uint64, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.contents.Died(digest, server, now)
	if len(b.newDeaths) < maxNewDeaths {
		b.newDeaths = append(b.newDeaths, recovery.Death{Digest: digest, Engine: server, At: now})
	}
}

// Clear removes a content after it ran successfully at some server.
func (b *SuspectContents) Clear(digest uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.contents.Succeeded(digest)
}

// TakeNewDeaths returns the deaths that this VM has seen since the last call.
func (b *SuspectContents) TakeNewDeaths() []recovery.Death {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.newDeaths
	b.newDeaths = nil
	return out
}

// AddPeerDeaths adds deaths that other VMs have seen.
func (b *SuspectContents) AddPeerDeaths(deaths []recovery.Death) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range deaths {
		b.contents.Died(d.Digest, d.Engine, time.Now())
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
