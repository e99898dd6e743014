package cluster

import (
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/virtualtime"
)

func TestReadScheduleDue(t *testing.T) {
	second := time.Second
	tests := []struct {
		name string
		r    Reading
		want bool
	}{
		{"leader", Reading{Leads: true, Listed: true, Since: second}, true},
		{"leader that has just read", Reading{Leads: true, Listed: true, Since: second / 4}, false},
		{"leader after a long read", Reading{Leads: true, Listed: true, Since: second, Took: second}, false},
		{"standby", Reading{Rank: 1, Listed: true, Age: second, Since: 9 * second}, false},
		{"standby with an old list", Reading{Rank: 1, Listed: true, Age: 2 * second, Since: 9 * second}, true},
		{"standby with an old and long list", Reading{Rank: 1, Listed: true, Rows: 3000, Age: 2 * second, Since: 9 * second}, false},
		{"first standby without a list", Reading{Since: 9 * second}, true},
		{"later standby without a list", Reading{Rank: 9, Up: second, Since: 9 * second}, false},
		{"later standby without a list, after its delay", Reading{Rank: 9, Up: 3 * second, Since: 9 * second}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.r.Due(); got != tt.want {
				t.Errorf("Due returned %v", got)
			}
		})
	}
}

// listPlatform simulates a platform that answers at most rate calls per second.
type listPlatform struct {
	queue     *virtualtime.Queue
	rate      float64
	available float64
	at        time.Time
}

func (p *listPlatform) call() bool {
	now := p.queue.Now()
	p.available = min(p.rate, p.available+p.rate*now.Sub(p.at).Seconds())
	p.at = now
	if p.available < 1 {
		return false
	}
	p.available--
	return true
}

// Guards against control VMs that all read the list at once when all VMs restart, in which
// case none gets it. 21 control VMs read lists of 4, 13 and 60 pages at 50 calls per
// second.
func TestListIsReadAfterFullRestart(t *testing.T) {
	const (
		controls = 21
		perSec   = 50
		link     = 2 * time.Millisecond
		refused  = 60 * time.Millisecond
		spread   = 150 * time.Millisecond // delay until the other VMs hold a list that was read
	)
	for _, pages := range []int{4, 13, 60} {
		q := virtualtime.New(time.Unix(0, 0))
		start := q.Now()
		p := &listPlatform{queue: q, rate: perSec, available: perSec, at: start}
		var got time.Time // when the first read was complete
		reading := make([]bool, controls)
		began := make([]time.Time, controls)
		took := make([]time.Duration, controls)
		var page func(vm, n int)
		page = func(vm, n int) {
			switch {
			case n == pages:
				reading[vm], took[vm] = false, q.Now().Sub(began[vm])
				if got.IsZero() {
					got = q.Now()
				}
			case p.call():
				q.After(link, func() { page(vm, n+1) })
			default:
				q.After(refused, func() { page(vm, n) })
			}
		}
		for tick := range 400 {
			q.After(time.Duration(tick)*50*time.Millisecond, func() {
				for vm := range controls {
					up := q.Now().Sub(start)
					r := Reading{Rank: vm, Up: up, Since: q.Now().Sub(began[vm]), Took: took[vm]}
					if !got.IsZero() && q.Now().Sub(got) > spread {
						r.Listed, r.Rows = true, 50*pages
					}
					if !reading[vm] && r.Due() {
						reading[vm], began[vm] = true, q.Now()
						page(vm, 0)
					}
				}
			})
		}
		q.Run(start.Add(20 * time.Second))
		most := time.Duration(float64(pages)/perSec*float64(time.Second)) + 2*time.Second
		if got.IsZero() || got.Sub(start) > most {
			t.Errorf("%d pages: list read after %v, want at most %v", pages, got.Sub(start), most)
		}
	}
}
