package forward

import (
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
)

// The failure pattern is engines that pause longer than usual while they work, and take longer still
// to resume a stream from a copy. If streams left them after a fixed silence, each pause would
// become the longer one of a resume, and the copy and the work of both engines would be spent.
//
// A stream therefore leaves a live engine only after a silence as long as a resume is expected to
// take. Its pause is then at most twice that of the better choice.

// resumeTimes records how long the engines of each service take to make the next event of a stream
// that goes on from a copy. It is safe for concurrent use.
type resumeTimes struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

// newestResumeWeight is the weight of the newest observation in the mean.
const newestResumeWeight = 0.3

func (t *resumeTimes) note(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.means == nil {
		t.means = map[string]time.Duration{}
	}
	t.means[service] = scheduler.Smooth(t.means[service], took, newestResumeWeight)
}

// expected returns the mean for a service; 0: nothing was observed.
func (t *resumeTimes) expected(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.means[service]
}
