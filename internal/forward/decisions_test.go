package forward

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

func TestRecord(t *testing.T) {
	tests := []struct {
		name       string
		repeatable bool
		attempts   int
		sends      []sent
		maySend    bool
		repeat     bool
		refusal    result.Code // of a refusal for lack of servers
	}{
		{"fresh", false, 1, nil, true, false, result.BackendsFull},
		{"no connection", false, 1, []sent{notSent}, true, false, result.BackendsFull},
		{"refused by its server", false, 1, []sent{refused, refused}, true, true, result.BackendsFull},
		{"may have run", false, 1, []sent{unknown}, false, true, result.OutcomeUnknown},
		{"may have run, attempts left", false, 5, []sent{unknown}, false, true, result.OutcomeUnknown},
		{"refused, then may have run", false, 1, []sent{refused, unknown}, false, true, result.OutcomeUnknown},
		{"repeatable", true, 2, []sent{unknown}, true, true, result.OutcomeUnknown},
		{"repeatable, used up", true, 2, []sent{unknown, answered}, false, true, result.OutcomeUnknown},
		{"refusals use up nothing", true, 2, []sent{refused, refused, refused, unknown}, true, true, result.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := NewSendHistory(tt.repeatable, tt.attempts)
			for _, s := range tt.sends {
				r.Add(s)
			}
			if r.MaySend() != tt.maySend || r.IsRetry() != tt.repeat || r.FinalCode(result.BackendsFull) != tt.refusal {
				t.Errorf("may send %t, repeat %t, refusal %d", r.MaySend(), r.IsRetry(), r.FinalCode(result.BackendsFull))
			}
		})
	}
}

// lostZone plays the load of a lost zone: nine VMs see 100 requests each within a
// window, then each wants the given second sends. They tell one another what they
// spent each 400 ms, unless they cannot. It returns what each got.
func lostZone(want []int, telling bool) []int {
	a := RetryAllowance{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}
	budgets := make([]*Budget, len(want))
	for i := range budgets {
		budgets[i] = NewBudget(a, time.Now)
		budgets[i].SetVMs(len(want))
	}
	tell := func() {
		for i, b := range budgets {
			var others RetryUsage
			for k, o := range budgets {
				if s := o.OwnUsage(); k != i {
					others.Requests += s.Requests
					others.Retries += s.Retries
				}
			}
			if telling {
				b.SetPeerUsage(others)
			}
		}
	}
	for range 100 {
		for _, b := range budgets {
			b.CountRequest()
		}
		time.Sleep(a.Window / 200)
	}
	got := make([]int, len(want))
	for range 10 {
		tell()
		for i, b := range budgets {
			for got[i] < want[i] && b.Spend(InTime) == Granted {
				got[i]++
			}
		}
		time.Sleep(400 * time.Millisecond)
	}
	return got
}

// All VMs together stay within the allowance, whatever each wants and whether or
// not they hear one another; and a VM that has much to mend while others have
// little gets more than an even part.
func TestBudgetWhenAZoneIsLost(t *testing.T) {
	even := []int{500, 500, 500, 500, 500, 500, 500, 500, 500}
	one := []int{500, 0, 0, 0, 0, 0, 0, 0, 0}
	tests := []struct {
		name    string
		want    []int
		telling bool
		least   int // of the first VM
	}{
		{"all, telling", even, true, 40},
		{"all, cut off from one another", even, false, 40},
		{"one, telling", one, true, 110},
		{"one, cut off", one, false, 40},
	}
	const allowed = 0.8*900 + 150
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, total := lostZone(tt.want, tt.telling), 0
				for _, n := range got {
					total += n
				}
				if total > allowed || got[0] < tt.least {
					t.Errorf("sent again: %v, %d in all", got, total)
				}
			})
		})
	}
}

// What was spent is free again once the window has passed, and no sooner.
func TestBudgetRefills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(RetryAllowance{Slack: 20, Window: 10 * time.Second}, time.Now)
		for b.Spend(InTime) == Granted {
		}
		time.Sleep(9 * time.Second)
		if b.Spend(InTime) == Granted {
			t.Error("spent again within the window")
		}
		time.Sleep(3 * time.Second)
		if b.Spend(InTime) != Granted {
			t.Error("nothing left after the window")
		}
	})
}

func TestReadEvent(t *testing.T) {
	tests := []struct {
		name, text string
		ids        []uint64
		end        error
	}{
		{"whole", "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n", []uint64{1, 2}, io.EOF},
		{"cut in a line", "id: 1\ndata: a\n\nid: 2\nda", []uint64{1}, io.ErrUnexpectedEOF},
		{"cut before the blank line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"version line first", "weights: 3\nid: 7\ndata: a\n\n", []uint64{7}, io.EOF},
		{"too large", strings.Repeat("x", maxEventBytes+10), nil, errEventTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			br := bufio.NewReader(strings.NewReader(tt.text))
			var raw strings.Builder
			for i := 0; ; i++ {
				e, err := readEvent(br)
				if err != nil {
					if !errors.Is(err, tt.end) || i != len(tt.ids) {
						t.Fatalf("event %d: %v", i, err)
					}
					break
				}
				if i >= len(tt.ids) || e.id != tt.ids[i] {
					t.Fatalf("event %d has id %d", i, e.id)
				}
				raw.Write(e.raw)
			}
			if !strings.HasPrefix(tt.text, raw.String()) {
				t.Errorf("bytes changed: %q", raw.String())
			}
		})
	}
}

func FuzzReadEvent(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Add("\n\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		br := bufio.NewReader(strings.NewReader(text))
		var raw strings.Builder
		for {
			e, err := readEvent(br)
			if err != nil {
				break
			}
			raw.Write(e.raw)
		}
		if !strings.HasPrefix(text, raw.String()) {
			t.Errorf("%q is not how %q begins", raw.String(), text)
		}
	})
}

func TestSequence(t *testing.T) {
	at := func(id uint64) event { return event{id: id, hasID: true} }
	tests := []struct {
		name     string
		last     uint64
		started  bool
		e        event
		pass, ok bool
	}{
		{"first of a stream", 0, false, at(1), true, true},
		{"next", 4, true, at(5), true, true},
		{"seen", 4, true, at(4), false, true},
		{"missing before it", 4, true, at(6), false, false},
		{"comment", 4, true, event{}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := sequence{last: tt.last, started: tt.started}
			if pass, ok := s.follows(tt.e); pass != tt.pass || ok != tt.ok {
				t.Errorf("pass %t, ok %t", pass, ok)
			}
		})
	}
}

func TestSilence(t *testing.T) {
	const pause = 700 * time.Millisecond
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := []struct {
		name  string
		begun bool
		s     silence
		want  action
	}{
		{"an event's time", true, silence{lasted: ms(100), heardAgo: ms(100), begun: true}, keepWaiting},
		{"longer than beside a prompt", true, silence{lasted: ms(260), heardAgo: ms(260), begun: true}, askEngine},
		{"its engine sends to others", true, silence{lasted: ms(260), heardAgo: ms(50), begun: true}, keepWaiting},
		{"alive, a copy waits", true, silence{lasted: ms(480), heardAgo: ms(100), begun: true, copyWaits: true}, moveStream},
		{"alive, no copy", true, silence{lasted: ms(480), heardAgo: ms(100), begun: true}, keepWaiting},
		{"alive, moved before", true, silence{lasted: ms(480), heardAgo: ms(100), begun: true, copyWaits: true, moved: true}, keepWaiting},
		{"its events are made and do not come", true, silence{lasted: ms(300), heardAgo: ms(10), begun: true, asked: true, ahead: 9}, moveStream},
		{"the prompt is being read", false, silence{lasted: ms(1000), heardAgo: ms(1000), copyWaits: true}, keepWaiting},
		{"a long wait for the first event", false, silence{lasted: ms(1600), heardAgo: ms(1600), copyWaits: true}, askEngine},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := SilenceLimitsFor(pause, tt.begun).decide(tt.s); got != tt.want {
				t.Errorf("action %d, want %d", got, tt.want)
			}
		})
	}
}
