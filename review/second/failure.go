package main

import (
	"fmt"
	"net/http"
	"time"
)

// A server runs a booking and fails with a 503 of its own, which does not say that it has not run.

const bookings = 30

func init() { cases["failure"] = ownFailure }

func ownFailure(r *run) (verdict, error) {
	p, err := startPlatform()
	if err != nil {
		return verdict{}, err
	}
	for i, zone := range zones {
		e := &engine{ID: fmt.Sprint("i-desk", i), Service: "desk", Version: "v1", Zone: zone, Slots: 6, Call: 60 * time.Millisecond}
		if i == 0 && r.trouble {
			e.Answer = func(e *engine, w http.ResponseWriter, q *http.Request) {
				time.Sleep(e.Call)
				e.sign(w)
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = fmt.Fprint(w, "the booking was made, its confirmation failed")
				e.record.note(e.ID, "failed %s after it had run", q.Header.Get(headerAttempt))
			}
		}
		if err := r.engines.add(r.record, e); err != nil {
			return verdict{}, err
		}
	}
	p.set(r.engines.rows())
	s, err := startSystem(r.record, p, configuration(7, []map[string]any{callService("desk")}, []map[string]any{route("r-book", "/book/", "non_idempotent", "desk", 3000, 300)}))
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(contactMS * time.Millisecond)
	said, twice := 0, 0
	for i := range bookings {
		q := &request{front: s.machines[i%machineSum].front, method: http.MethodPost, path: "/book/visit", attempt: fmt.Sprintf("b-%d-1", i), body: fmt.Sprint("visit ", i), deadline: 3 * time.Second}
		a := q.do()
		r.record.note("client", "%s: status %d, signed %t, error %v", q.attempt, a.status, a.signed, a.err)
		if a.status != http.StatusServiceUnavailable || !r.engines.hasRun(q.attempt) {
			continue
		}
		said++
		// The status promises that the booking has not run: the client sends it once more.
		time.Sleep(a.retryAfter)
		q.front, q.attempt = s.machines[(i+1)%machineSum].front, fmt.Sprintf("b-%d-2", i)
		a = q.do()
		r.record.note("client", "%s: status %d, signed %t, error %v", q.attempt, a.status, a.signed, a.err)
		if a.status == http.StatusOK {
			twice++
		}
	}
	return verdict{said > 0, fmt.Sprintf("%d of %d bookings that had run were answered 503; %d of them were made twice, since their clients sent them again", said, bookings, twice)}, nil
}
