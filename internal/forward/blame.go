package forward

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// BlameBook remembers under which contents backend servers died, over all VMs.
// Safe for concurrent use.
type SuspectContents struct {
	mu       sync.Mutex
	contents *recovery.SuspectContents
	fresh    []recovery.Death // not yet told to the other VMs
}

// maxFresh bounds what waits to be told: so many deaths at once have a common
// cause.
const maxFresh = 64

// NewBlameBook returns an empty book.
func NewSuspectContents() *SuspectContents {
	return &SuspectContents{contents: recovery.NewSuspectContents()}
}

// Held reports whether a content must not begin now, and until when.
func (b *SuspectContents) Quarantined(digest uint64) (until time.Time, held bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.contents.Quarantined(digest, time.Now())
}

// Suspect reports whether a server died under a content, and none has run it well
// since.
func (b *SuspectContents) IsSuspect(digest uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.contents.Suspect(digest)
}

// Kills reports whether a run under way must not go on at another server.
func (b *SuspectContents) ForbidsRetry(digest uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.contents.MustAbort(digest)
}

// Died notes that a server died under a content.
func (b *SuspectContents) AddDeath(digest uint64, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.contents.ServerDied(digest, server, now)
	if len(b.fresh) < maxFresh {
		b.fresh = append(b.fresh, recovery.Death{Digest: digest, Engine: server, At: now})
	}
}

// Succeeded clears a content: it ran well somewhere.
func (b *SuspectContents) Clear(digest uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.contents.Succeeded(digest)
}

// Fresh returns the deaths seen here since the last call.
func (b *SuspectContents) TakeNewDeaths() []recovery.Death {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.fresh
	b.fresh = nil
	return out
}

// Learn takes deaths that other VMs saw.
func (b *SuspectContents) AddPeerDeaths(deaths []recovery.Death) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range deaths {
		b.contents.ServerDied(d.Digest, d.Engine, time.Now())
	}
}

// digest names a request's content: it comes again under another id, and at
// another VM.
func digest(path, workspace string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(path)
	_, _ = d.WriteString("\x00" + workspace + "\x00")
	_, _ = d.Write(body)
	return d.Sum64()
}
