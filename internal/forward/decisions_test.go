package forward

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

func TestSendHistory(t *testing.T) {
	tests := []struct {
		name       string
		repeatable bool
		attempts   int
		sends      []sendOutcome
		maySend    bool
		isRetry    bool
		refusal    result.Code // of a refusal for lack of servers
	}{
		{"fresh", false, 1, nil, true, false, result.BackendsFull},
		{"no connection", false, 1, []sendOutcome{sendNotSent}, true, false, result.BackendsFull},
		{"refused by its server", false, 1, []sendOutcome{sendRefused, sendRefused}, true, true, result.BackendsFull},
		{"may have run", false, 1, []sendOutcome{sendUnknown}, false, true, result.OutcomeUnknown},
		{"may have run, attempts left", false, 5, []sendOutcome{sendUnknown}, false, true, result.OutcomeUnknown},
		{"refused, then may have run", false, 1, []sendOutcome{sendRefused, sendUnknown}, false, true, result.OutcomeUnknown},
		{"repeatable", true, 2, []sendOutcome{sendUnknown}, true, true, result.OutcomeUnknown},
		{"repeatable, used up", true, 2, []sendOutcome{sendUnknown, sendAnswered}, false, true, result.OutcomeUnknown},
		{"refusals use up nothing", true, 2, []sendOutcome{sendRefused, sendRefused, sendRefused, sendUnknown}, true, true, result.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := NewSendHistory(tt.repeatable, tt.attempts)
			for _, s := range tt.sends {
				h.Add(s)
			}
			if h.MaySend() != tt.maySend || h.IsRetry() != tt.isRetry || h.FinalCode(result.BackendsFull) != tt.refusal {
				t.Errorf("got may send %t, retry %t, final code %d; want the values of the table", h.MaySend(), h.IsRetry(), h.FinalCode(result.BackendsFull))
			}
		})
	}
}

// Guards against a timeout without a promise for a vote that no server received: its caller
// could not send it again, although it has not run.
func TestRouteTimeoutBeforeAnySendPromisesNotRun(t *testing.T) {
	h := NewSendHistory(false, 1)
	h.Add(sendNotSent)
	if got := h.FinalCode(result.RouteTimeout); got != result.NotSentInTime || result.Lookup(got).Ran != result.RanNo {
		t.Errorf("got code %d for a vote that was not sent, want %d with the promise that it has not run", got, result.NotSentInTime)
	}
	h.Add(sendUnknown)
	if got := h.FinalCode(result.RouteTimeout); got != result.RouteTimeout {
		t.Errorf("got code %d for a vote that may have run, want %d", got, result.RouteTimeout)
	}
}

// simulateLostZone simulates the loss of a zone. Each VM receives 100 requests within a
// window and then wants the given number of retries. If exchange is set, the VMs exchange
// their usage every 400 ms. It returns the retries that each VM was granted.
func simulateLostZone(want []int, exchange bool) []int {
	a := RetryAllowance{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}
	budgets := make([]*Budget, len(want))
	for i := range budgets {
		budgets[i] = NewBudget(a, time.Now)
		budgets[i].SetVMs(len(want))
	}
	exchangeUsage := func() {
		for i, b := range budgets {
			var others RetryUsage
			for k, o := range budgets {
				if s := o.OwnUsage(); k != i {
					others.Requests += s.Requests
					others.Retries += s.Retries
				}
			}
			if exchange {
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
		exchangeUsage()
		for i, b := range budgets {
			for got[i] < want[i] && b.Spend(InTime) == Granted {
				got[i]++
			}
		}
		time.Sleep(400 * time.Millisecond)
	}
	return got
}

// Guards against VMs that exceed the allowance together, with and without reports from
// each other, and against an even split: a VM that lost many streams while the others
// lost none must get more than its even part.
func TestBudgetWhenAZoneIsLost(t *testing.T) {
	even := []int{500, 500, 500, 500, 500, 500, 500, 500, 500}
	one := []int{500, 0, 0, 0, 0, 0, 0, 0, 0}
	tests := []struct {
		name     string
		want     []int
		exchange bool
		least    int // of the first VM
	}{
		{"all, with reports", even, true, 40},
		{"all, without reports", even, false, 40},
		{"one, with reports", one, true, 110},
		{"one, without reports", one, false, 40},
	}
	const allowed = 0.8*900 + 150
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, total := simulateLostZone(tt.want, tt.exchange), 0
				for _, n := range got {
					total += n
				}
				if total > allowed || got[0] < tt.least {
					t.Errorf("granted retries by VM %v, %d in all; want the least of the table for the first VM, and at most 870 in all", got, total)
				}
			})
		})
	}
}

// Guards against a budget that refills before the window has passed, or not at all.
func TestBudgetRefills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(RetryAllowance{Slack: 20, Window: 10 * time.Second}, time.Now)
		for b.Spend(InTime) == Granted {
		}
		time.Sleep(9 * time.Second)
		if b.Spend(InTime) == Granted {
			t.Error("got a retry granted within the window, want none")
		}
		time.Sleep(3 * time.Second)
		if b.Spend(InTime) != Granted {
			t.Error("got no retry granted after the window, want one")
		}
	})
}

func TestReadEvent(t *testing.T) {
	tests := []struct {
		name, text string
		ids        []uint64
		end        error
	}{
		{"complete events", "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n", []uint64{1, 2}, io.EOF},
		{"cut in a line", "id: 1\ndata: a\n\nid: 2\nda", []uint64{1}, io.ErrUnexpectedEOF},
		{"cut before the blank line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"version line first", "weights: 3\nid: 7\ndata: a\n\n", []uint64{7}, io.EOF},
		{"too large", strings.Repeat("x", maxEventBytes+10), nil, errEventTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := newEventReader(strings.NewReader(tt.text), unlimited)
			var raw strings.Builder
			for i := 0; ; i++ {
				e, err := in.next()
				if err != nil {
					if !errors.Is(err, tt.end) || i != len(tt.ids) {
						t.Fatalf("event %d: got error %v, want that of the table after the last event", i, err)
					}
					break
				}
				if i >= len(tt.ids) || e.id != tt.ids[i] {
					t.Fatalf("event %d has id %d, want that of the table", i, e.id)
				}
				raw.Write(e.raw)
			}
			if !strings.HasPrefix(tt.text, raw.String()) {
				t.Errorf("got bytes %q, want the bytes of the input", raw.String())
			}
		})
	}
}

func FuzzReadEvent(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Add("\n\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		in := newEventReader(strings.NewReader(text), unlimited)
		var raw strings.Builder
		for {
			e, err := in.next()
			if err != nil {
				break
			}
			raw.Write(e.raw)
		}
		if !strings.HasPrefix(text, raw.String()) {
			t.Errorf("got %q, want a prefix of the input %q", raw.String(), text)
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
		{"already sent", 4, true, at(4), false, true},
		{"missing before it", 4, true, at(6), false, false},
		{"comment", 4, true, event{}, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := sequence{last: tt.last, started: tt.started}
			if pass, ok := s.accept(tt.e); pass != tt.pass || ok != tt.ok {
				t.Errorf("got pass %t, ok %t, want the values of the table", pass, ok)
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
		{"the interval of events", true, silence{duration: ms(100), engineHeardAgo: ms(100), begun: true}, keepWaiting},
		{"longer than beside a prefill", true, silence{duration: ms(260), engineHeardAgo: ms(260), begun: true}, probeEngine},
		{"its engine sends events of other streams", true, silence{duration: ms(260), engineHeardAgo: ms(50), begun: true}, keepWaiting},
		{"alive, with a copy", true, silence{duration: ms(480), engineHeardAgo: ms(100), begun: true, hasCopy: true}, moveStream},
		{"alive, no copy", true, silence{duration: ms(480), engineHeardAgo: ms(100), begun: true}, keepWaiting},
		{"alive, moved before", true, silence{duration: ms(480), engineHeardAgo: ms(100), begun: true, hasCopy: true, moved: true}, keepWaiting},
		{"its events are made but do not arrive", true, silence{duration: ms(300), engineHeardAgo: ms(10), begun: true, reportIsCurrent: true, eventsAhead: 9}, moveStream},
		{"the prompt is being prefilled", false, silence{duration: ms(1000), engineHeardAgo: ms(1000), hasCopy: true}, keepWaiting},
		{"a long wait for the first event", false, silence{duration: ms(1600), engineHeardAgo: ms(1600), hasCopy: true}, probeEngine},
	}
	// A working engine must not lose its streams because it is slow, and a dead one must be probed.
	slow := SilenceLimitsFor(pause, true).scaled(pause, ms(900))
	for silent, want := range map[time.Duration]action{ms(300): keepWaiting, ms(550): probeEngine} {
		if got := slow.decide(silence{duration: silent, engineHeardAgo: silent, begun: true, hasCopy: true}); got != want {
			t.Errorf("slow engine, silent for %v: got action %d, want %d", silent, got, want)
		}
	}
	if got := SilenceLimitsFor(pause, false).scaled(pause, ms(900)); got != SilenceLimitsFor(pause, false) {
		t.Errorf("got %+v before the first event, want the limits of every engine", got)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := SilenceLimitsFor(pause, tt.begun).decide(tt.s); got != tt.want {
				t.Errorf("got action %d, want %d", got, tt.want)
			}
		})
	}
}
