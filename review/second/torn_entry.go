package main

import (
	"fmt"
	"net/http"
	"time"
)

// Another writer leaves an entry in the platform's list that is cut short. Then all processes are killed
// and start again.

const (
	recoverTime = 12 * time.Second
	cutEntry    = `{"service":"desk","addr":"127.0.0.1:80`
)

func init() { cases["6"] = tornEntry }

func tornEntry(r *run) (verdict, error) {
	p, err := startPlatform()
	if err != nil {
		return verdict{}, err
	}
	for i, zone := range zones {
		e := &engine{ID: fmt.Sprint("i-desk", i), Service: "desk", Version: "v1", Zone: zone, Slots: 6, Call: 60 * time.Millisecond}
		if err := r.engines.add(r.record, e); err != nil {
			return verdict{}, err
		}
	}
	p.set(r.engines.rows())
	config := func(version int) any {
		return configuration(version, []map[string]any{callService("desk")}, []map[string]any{route("r-parts", "/parts/", "idempotent", "desk", 3000, 300)})
	}
	s, err := startSystem(r.record, p, config(7))
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(contactMS * time.Millisecond)
	if r.trouble {
		p.tear(cutEntry)
		r.record.note("platform", "the list has an entry of another writer: %s", cutEntry)
	}
	before := serveParts(r, s, "before", 30)
	if err := s.putConfig(config(9)); err != nil {
		return verdict{}, err
	}
	if err := s.killAll(time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(recoverTime)
	after := serveParts(r, s, "after", 60)
	return verdict{4*after < 60 && 4*before >= 30, fmt.Sprintf("%d of 30 look-ups were served before all processes were killed, and %d of 60 that were sent later than %v after they were back", before, after, recoverTime)}, nil
}

// serveParts sends n look-ups, ten a second, and returns how many were served.
func serveParts(r *run, s *system, when string, n int) int {
	served := 0
	for i := range n {
		q := &request{front: s.machines[i%machineSum].front, method: http.MethodGet, path: fmt.Sprint("/parts/", i), attempt: fmt.Sprint(when, i), deadline: 3 * time.Second}
		a := q.do()
		if a.err == nil && a.status == http.StatusOK {
			served++
		}
		r.record.note("client", "%s: status %d, error %v %s", q.attempt, a.status, a.err, a.body)
		time.Sleep(100 * time.Millisecond)
	}
	return served
}
