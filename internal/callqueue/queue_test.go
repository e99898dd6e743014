package callqueue_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/callqueue"
)

var began = time.Unix(1000, 0)

func at(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }

// busyQueue returns a queue with one server of two slots, which answers a call in 60 ms, and
// which is full by the grants of a first router.
func busyQueue(t *testing.T) *callqueue.Queue {
	q := callqueue.New(0, func() float64 { return 0 })
	q.SetServers([]callqueue.Server{{ID: "s", Service: "votes", Slots: 2}})
	report(q, "first", 1, 0, 0)
	for i := range 3 { // the surplus of an objective of 300 ms is one call
		request(q, callqueue.Call{ID: fmt.Sprint(i), Router: "first"}, 0)
	}
	if got := granted(q.Decide("votes", at(0))); got != "0 1 2" {
		t.Fatalf("got grants of %q for two slots, want three", got)
	}
	return q
}

// report reports the calls in flight of a router and the time of one ended call.
func report(q *callqueue.Queue, vm string, seq, lastGrant uint64, inFlight int) {
	q.Report("votes", vm, &callqueue.Report{
		Incarnation: 1, Seq: seq, LastGrant: lastGrant, InFlight: map[string]int{"s": inFlight},
		Ended: map[string]callqueue.Ended{"s": {Calls: 1, Time: 60 * time.Millisecond}},
	}, at(0))
}

func request(q *callqueue.Queue, c callqueue.Call, ms int) callqueue.Answer {
	c.Service, c.Objective = "votes", 300*time.Millisecond
	c.Due, c.Deadline = at(ms+300), at(ms+800)
	if c.Router == "" {
		c.Router = "other"
	}
	return q.Request(c, at(ms))
}

func granted(all []callqueue.Decision) string {
	var out []string
	for _, d := range all {
		if d.Outcome == callqueue.Granted {
			out = append(out, d.Call.ID)
		}
	}
	return strings.Join(out, " ")
}

// Guards against an unjust order of waiting calls: a workspace that floods the queue, or a
// call of low priority, before the others.
func TestOrder(t *testing.T) {
	for _, tt := range []struct {
		name  string
		calls []callqueue.Call
		want  string
	}{
		{"priority first", []callqueue.Call{{ID: "low", Priority: 2}, {ID: "high", Priority: 0}}, "high low"},
		{"workspaces take turns", []callqueue.Call{
			{ID: "a1", Workspace: "a"}, {ID: "a2", Workspace: "a"}, {ID: "a3", Workspace: "a"}, {ID: "b1", Workspace: "b"},
		}, "a1 b1 a2"},
		{"excluded server", []callqueue.Call{{ID: "a", Exclude: []string{"s"}}, {ID: "b"}}, "b"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := busyQueue(t)
			for _, c := range tt.calls {
				request(q, c, 1)
			}
			if got := granted(q.Decide("votes", at(2))); got != "" {
				t.Fatalf("got grants of %q while the server is full, want none", got)
			}
			report(q, "first", 2, 3, 0)
			if got := granted(q.Decide("votes", at(3))); got != tt.want {
				t.Errorf("got grants of %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against an account that keeps calls which are over, or forgets those in flight: the
// server would stay idle, or get more calls than it can answer.
func TestAccounts(t *testing.T) {
	for _, tt := range []struct {
		name   string
		happen func(q *callqueue.Queue)
		ms     int
		want   string
	}{
		{"all in flight", func(q *callqueue.Queue) { report(q, "first", 2, 3, 3) }, 10, ""},
		{"one call ended", func(q *callqueue.Queue) { report(q, "first", 2, 3, 2) }, 10, "x"},
		{"report before the grants arrived", func(q *callqueue.Queue) { report(q, "first", 2, 0, 0) }, 10, ""},
		{"outdated report", func(q *callqueue.Queue) { report(q, "first", 2, 3, 3); report(q, "first", 1, 3, 0) }, 10, ""},
		{"restarted router", func(q *callqueue.Queue) {
			q.Report("votes", "first", &callqueue.Report{Incarnation: 2, Seq: 1}, at(1))
		}, 10, "x"},
		{"grants that are not confirmed", func(*callqueue.Queue) {}, 720, "x"},
		{"silent router", func(q *callqueue.Queue) { report(q, "first", 2, 3, 3) }, 1120, "x"},
		{"calls that others sent without a grant", func(q *callqueue.Queue) {
			q.Report("votes", "first", &callqueue.Report{Incarnation: 1, Seq: 2, LastGrant: 3, Stated: map[string]callqueue.Stated{"s": {Requests: 3}}}, at(9))
		}, 10, ""},
		{"servers replaced", func(q *callqueue.Queue) {
			q.SetServers([]callqueue.Server{{ID: "new", Service: "votes", Slots: 2}})
		}, 10, "x"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			q := busyQueue(t)
			tt.happen(q)
			request(q, callqueue.Call{ID: "x"}, tt.ms)
			if got := granted(q.Decide("votes", at(tt.ms))); got != tt.want {
				t.Errorf("got grants of %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against calls that wait although they can't be answered in time, and against a call
// that waits for ever. Each must be refused at once or by the time that was stated.
func TestRefusals(t *testing.T) {
	q := busyQueue(t)
	var last callqueue.Answer
	waiting := 0
	for i := range 100 {
		last = request(q, callqueue.Call{ID: fmt.Sprint("x", i), Workspace: "flood"}, 1)
		if last.Outcome == callqueue.Waiting {
			waiting++
		}
	}
	if last.Outcome != callqueue.Refused || last.After < 50*time.Millisecond || waiting < 6 || waiting > 24 {
		t.Errorf("got %+v, and %d calls that wait, want a refusal with a time, and 6 to 24 calls, which two slots answer in 300 and in 800 ms", last, waiting)
	}
	if a := request(q, callqueue.Call{ID: "y", Workspace: "other"}, 1); a.Outcome != callqueue.Waiting {
		t.Errorf("a call of a workspace that does not flood: got %+v, want it to wait", a)
	}
	q.Leave("votes", "other", []string{"y"})
	report(q, "first", 2, 3, 3)
	decided := map[string]bool{}
	for ms := 5; ms <= 810; ms += 5 {
		for _, d := range q.Decide("votes", at(ms)) {
			decided[d.Call.ID] = d.Outcome == callqueue.Refused || d.Outcome == callqueue.Granted
		}
	}
	if q.WaitingCalls() != 0 || len(decided) != waiting || decided["y"] {
		t.Errorf("got %d calls that wait after their time limit, %d decided of %d; want none, all, and none whose caller left", q.WaitingCalls(), len(decided), waiting)
	}
	if a := request(q, callqueue.Call{ID: "z", Versions: []string{"2"}}, 900); a.Outcome != callqueue.NoServer {
		t.Errorf("a call that no server may run: got %+v, want NoServer", a)
	}
}

// Guards against a server that is withheld from all VMs since one VM cannot reach it, and
// against grants of one that several cannot reach.
func TestAvoidedServer(t *testing.T) {
	q := callqueue.New(0, func() float64 { return 0 })
	q.SetServers([]callqueue.Server{{ID: "s", Service: "votes", Slots: 2}})
	for i, want := range []callqueue.Outcome{callqueue.Waiting, callqueue.NoServer} {
		vm := fmt.Sprint("r", i)
		q.Report("votes", vm, &callqueue.Report{Incarnation: 1, Seq: 1, Avoid: []string{"s"}}, at(0))
		if a := request(q, callqueue.Call{ID: vm}, 1); a.Outcome != want {
			t.Errorf("avoided by %d VMs: got %+v, want outcome %d", i+1, a, want)
		}
	}
}

// Guards against a call that waits past its deadline, or is sent although its deadline comes
// first: callers state deadlines of their own, so the order of the due times is not that of
// the deadlines.
func TestDeadlines(t *testing.T) {
	q := busyQueue(t)
	for _, c := range []callqueue.Call{{ID: "patient", Deadline: at(5000)}, {ID: "hasty", Deadline: at(500)}} {
		c.Service, c.Router, c.Objective, c.Due = "votes", "other", 300*time.Millisecond, at(50)
		if a := q.Request(c, at(1)); a.Outcome != callqueue.Waiting {
			t.Fatalf("%s: got %+v, want it to wait", c.ID, a)
		}
	}
	decided := ""
	for ms := 5; ms <= 500; ms += 5 {
		report(q, "first", uint64(1+ms), 3, 3)
		for _, d := range q.Decide("votes", at(ms)) {
			decided += fmt.Sprint(d.Call.ID, d.Outcome)
		}
	}
	if decided != fmt.Sprint("hasty", callqueue.Refused) {
		t.Errorf("got decisions %q by the shorter deadline, want its call refused", decided)
	}
	c := callqueue.Call{ID: "too late", Service: "votes", Router: "other", Objective: 300 * time.Millisecond, Due: at(900), Deadline: at(550)}
	if a := q.Request(c, at(501)); a.Outcome != callqueue.Refused {
		t.Errorf("a call whose deadline comes before its answer: got %+v, want it refused", a)
	}
}

// Guards against grants to calls of a router that restarted or is lost: each keeps a slot
// idle until the grant expires.
func TestCallsOfLostRouter(t *testing.T) {
	for name, lose := range map[string]func(q *callqueue.Queue){
		"restarted": func(q *callqueue.Queue) {
			q.Report("votes", "other", &callqueue.Report{Incarnation: 2, Seq: 1}, at(2))
		},
		"lost": func(q *callqueue.Queue) {
			if got := q.Forget("other"); len(got) != 1 || got[0].Call.ID != "x" || got[0].Outcome != callqueue.NoServer {
				t.Errorf("got decisions %+v, want that x gets no server", got)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			q := busyQueue(t)
			q.Report("votes", "other", &callqueue.Report{Incarnation: 1, Seq: 1}, at(1))
			request(q, callqueue.Call{ID: "x"}, 1)
			request(q, callqueue.Call{ID: "y", Router: "third"}, 1)
			lose(q)
			report(q, "first", 2, 3, 0)
			if got := granted(q.Decide("votes", at(10))); got != "y" {
				t.Errorf("got grants of %q, want that of the router which is still there", got)
			}
		})
	}
}

// Guards against a call that waits until its deadline for servers which have left the list,
// as those of a former version do at the end of a roll-out.
func TestServersLeaveWaitingCall(t *testing.T) {
	q := busyQueue(t)
	request(q, callqueue.Call{ID: "x"}, 1)
	q.SetServers([]callqueue.Server{{ID: "new", Service: "votes", Version: "2", Slots: 2}})
	got := q.Decide("votes", at(10))
	if len(got) != 1 || got[0].Call.ID != "x" || got[0].Outcome != callqueue.NoServer || q.WaitingCalls() != 0 {
		t.Errorf("got decisions %+v, want that x gets no server", got)
	}
}
