package forward

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// BlameBook remembers which requests were running where backend servers died,
// over all VMs. Safe for concurrent use.
type BlameBook struct {
	mu    sync.Mutex
	blame *recovery.Blame
	fresh []recovery.Death // not yet told to the other VMs
}

// maxFresh bounds what waits to be told: deaths beyond it have a common cause,
// which blames nobody.
const maxFresh = 64

// NewBlameBook returns an empty book.
func NewBlameBook() *BlameBook { return &BlameBook{blame: recovery.NewBlame()} }

// Poison reports whether a request must not run any more, and until when.
func (b *BlameBook) Poison(digest uint64) (until time.Time, poison bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.blame.Standing(digest, time.Now()) != recovery.Poison {
		return time.Time{}, false
	}
	return b.blame.Expires(digest), true
}

// Died notes that a server died under a request that had passed events there.
func (b *BlameBook) Died(digest uint64, server string, passed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := recovery.Death{Digest: digest, Engine: server, At: time.Now()}
	b.blame.EngineDied(d, passed)
	if len(b.fresh) < maxFresh && passed == 0 {
		b.fresh = append(b.fresh, d)
	}
}

// Passed clears a request that gets on at another server.
func (b *BlameBook) Passed(digest uint64, events int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.blame.Passed(digest, events)
}

// Fresh returns the deaths seen here since the last call.
func (b *BlameBook) Fresh() []recovery.Death {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.fresh
	b.fresh = nil
	return out
}

// Learn takes deaths that other VMs saw.
func (b *BlameBook) Learn(deaths []recovery.Death) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range deaths {
		d.At = time.Now()
		b.blame.EngineDied(d, 0)
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
