package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// A machine gets SIGTERM. Clients that hold its address still send it calls, as they may, and it takes
// them although it ends before they are answered.

const (
	workTime   = 2700 * time.Millisecond
	sendsApart = 200 * time.Millisecond
	lastSend   = 5400 * time.Millisecond // after SIGTERM
	// excusedFor is the time after SIGTERM in which calls are sent that may be cut off.
	excusedFor = 3 * time.Second
)

func init() { cases["8"] = shutdown }

func shutdown(r *run) (verdict, error) {
	p, err := startPlatform()
	if err != nil {
		return verdict{}, err
	}
	for i, zone := range zones {
		e := &engine{ID: fmt.Sprint("i-desk", i), Service: "desk", Version: "v1", Zone: zone, Slots: 6, Call: workTime}
		if err := r.engines.add(r.record, e); err != nil {
			return verdict{}, err
		}
	}
	p.set(r.engines.rows())
	s, err := startSystem(r.record, p, configuration(7, []map[string]any{callService("desk")}, []map[string]any{route("r-book", "/book/", "non_idempotent", "desk", 3000, 1500)}))
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(contactMS * time.Millisecond)
	m := s.machines[1]
	r.record.note("client", "holds the addresses %v", s.resolve(s.machines[0]))
	began := time.Now()
	if r.trouble {
		m.routerProc.signal(syscall.SIGTERM)
		r.record.note("platform", "SIGTERM to the router of %s (%s)", m.name, m.front)
		time.AfterFunc(graceS*time.Second, func() { m.routerProc.signal(syscall.SIGKILL) })
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	lost, excused, answered, refused := 0, 0, 0, 0
	for at := time.Duration(0); at <= lastSend; at += sendsApart {
		time.Sleep(time.Until(began.Add(at)))
		wg.Go(func() {
			q := &request{front: m.front, method: http.MethodPost, path: "/book/visit", attempt: fmt.Sprintf("b-%d", at.Milliseconds()), body: "visit", deadline: 3 * time.Second}
			a := q.do()
			r.record.note("client", "%s: sent %v after SIGTERM, status %d, error %v, after %v", q.attempt, at, a.status, a.err, a.took.Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.err != nil && at <= excusedFor:
				excused++
			case a.err != nil && a.took < q.deadline && r.engines.hasRun(q.attempt):
				lost++ // its server is sound and at work, and neither its deadline nor its route's timeout was reached
			case a.status == http.StatusOK:
				answered++
			default:
				refused++
			}
		})
	}
	wg.Wait()
	return verdict{lost > 0, fmt.Sprintf("%d calls that were sent later than %v after SIGTERM were passed on and their connections closed without an answer; %d sent before; %d answered, %d refused", lost, excusedFor, excused, answered, refused)}, nil
}
