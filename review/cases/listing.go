package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Load of the finding: callers who book at once, more than the slots of the dispatch service.
const (
	bookingRounds  = 8
	bookingsAtOnce = 36
)

// runListing is a finding beside the three cases. It puts an entry of another writer into the
// platform's list: it lacks fields, and names a server of the lookup service under the dispatch
// service.
func runListing(s *system, trouble bool) (*verdict, error) {
	byService := map[string][]*engine{}
	var entries []any
	for _, service := range []string{serviceDispatch, serviceLookup} {
		for i := range 2 {
			e := &engine{rec: s.rec, id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: zones[i], slots: 6}
			if err := e.start(); err != nil {
				return nil, err
			}
			byService[service] = append(byService[service], e)
			entries = append(entries, e.entry())
		}
	}
	s.platform.set(entries)
	if err := s.startAll(3); err != nil {
		return nil, err
	}
	if !s.putAnywhere(1, s.machines, 15*time.Second) {
		return nil, errors.New("the system does not start")
	}
	if err := s.waitReady(s.machines, 15*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		named := byService[serviceLookup][0]
		entry := map[string]any{"id": named.id, "service": serviceDispatch, "addr": named.address, "version": "v1", "state": "ready"}
		s.rec.note("the platform lists an entry of another writer, without zone, slots, cold_left_ms and born: %v", entry)
		s.platform.set(append([]any{entry}, entries...))
		time.Sleep(3 * time.Second)
	}
	v := &verdict{}
	for range bookingRounds {
		s.bookAtOnce(v, byService[serviceLookup])
	}
	return v, nil
}

// bookAtOnce sends bookings at once and checks that none is run by a server of another service.
func (s *system) bookAtOnce(v *verdict, others []*engine) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i := range bookingsAtOnce {
		m, attempt := s.machines[i%len(s.machines)], newAttempt()
		wait.Go(func() {
			a := s.send(m, http.MethodPost, pathBook+attempt, attempt, 3*time.Second)
			mu.Lock()
			defer mu.Unlock()
			for _, e := range others {
				if len(e.ran(attempt)) > 0 {
					v.breaks("ROUTE: booking %s, sent to %s, was run by %s, a server of %s; the client got %d", attempt, m, e.id, e.service, a.status)
				}
			}
		})
	}
	wait.Wait()
}
