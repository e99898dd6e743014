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
		r    ReadSchedule
		want bool
	}{
		{"leader", ReadSchedule{Leader: true, HasList: true, SinceLastRead: second}, true},
		{"leader that has just read", ReadSchedule{Leader: true, HasList: true, SinceLastRead: second / 4}, false},
		{"leader after a long read", ReadSchedule{Leader: true, HasList: true, SinceLastRead: second, LastReadDuration: second}, false},
		{"standby", ReadSchedule{Rank: 1, HasList: true, Age: second, SinceLastRead: 9 * second}, false},
		{"standby with an old list", ReadSchedule{Rank: 1, HasList: true, Age: 2 * second, SinceLastRead: 9 * second}, true},
		{"standby with an old and long list", ReadSchedule{Rank: 1, HasList: true, Rows: 3000, Age: 2 * second, SinceLastRead: 9 * second}, false},
		{"first standby without a list", ReadSchedule{SinceLastRead: 9 * second}, true},
		{"later standby without a list", ReadSchedule{Rank: 9, Uptime: second, SinceLastRead: 9 * second}, false},
		{"later standby without a list, after its delay", ReadSchedule{Rank: 9, Uptime: 3 * second, SinceLastRead: 9 * second}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.r.Due(); got != tt.want {
				t.Errorf("Due returned %v, want the opposite", got)
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
					r := ReadSchedule{Rank: vm, Uptime: up, SinceLastRead: q.Now().Sub(began[vm]), LastReadDuration: took[vm]}
					if !got.IsZero() && q.Now().Sub(got) > spread {
						r.HasList, r.Rows = true, 50*pages
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

// Guards against a long list that counts as overdue before the next one can have arrived: every
// control VM then sends each change to each VM, and the standbys read the list too.
func TestListIsNotOverdueBeforeTheNext(t *testing.T) {
	const readPerRow = 45 * time.Microsecond // at 320 pages of 200 rows per second, and their decoding
	for _, rows := range []int{3000, 10_000, 20_000} {
		arrives := readIntervalFor(rows) + time.Duration(rows)*readPerRow + 2*HeartbeatInterval
		if got := staleAge(rows); got < arrives {
			t.Errorf("%d rows: overdue after %v, want no earlier than the next list, which may be %v old", rows, got, arrives)
		}
		standby := ReadSchedule{Rank: 1, HasList: true, Rows: rows, Age: arrives, SinceLastRead: time.Minute}
		if standby.Due() {
			t.Errorf("%d rows: a standby reads a list that is %v old, want it to wait for the next", rows, arrives)
		}
	}
}
