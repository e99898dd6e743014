package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Two requests of one session with the same prompt run at the same time, as when a user asks again in a
// second window. The connection of the second one is reset, and its client takes the stream up at
// another machine.

const (
	equalPairs     = 4
	eventsToReset  = 8
	pauseOfClients = time.Second // before a client takes up its stream
)

func init() { cases["4"] = equalRequests }

func equalRequests(r *run) (verdict, error) {
	p, err := startPlatform()
	if err != nil {
		return verdict{}, err
	}
	for i, zone := range zones {
		e := &engine{ID: fmt.Sprint("i-model", i), Service: "diag", Version: "v1", Zone: zone, Slots: 64, Events: 140, Prefill: 300 * time.Millisecond, Step: 70 * time.Millisecond}
		if err := r.engines.add(r.record, e); err != nil {
			return verdict{}, err
		}
	}
	p.set(r.engines.rows())
	s, err := startSystem(r.record, p, configuration(7, []map[string]any{streamService("diag", 64)}, []map[string]any{route("r-log", "/log/", "streaming", "diag", 25000, 4500)}))
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(contactMS * time.Millisecond)
	var mu sync.Mutex
	var foreign, incomplete int
	var wg sync.WaitGroup
	for i := range equalPairs {
		time.Sleep(500 * time.Millisecond)
		wg.Go(func() {
			mixed, whole := equalPair(r, s, i)
			mu.Lock()
			defer mu.Unlock()
			foreign += mixed
			if !whole {
				incomplete++
			}
		})
	}
	wg.Wait()
	return verdict{foreign > 0, fmt.Sprintf("%d events from the memory of another request in %d taken up streams; %d pairs not complete", foreign, equalPairs, incomplete)}, nil
}

// equalPair returns how many events from the memory of the first request the client of the second one
// got, and whether both clients have whole streams.
func equalPair(r *run, s *system, i int) (foreign int, whole bool) {
	first, second := fmt.Sprintf("p%d-first", i), fmt.Sprintf("p%d-second", i)
	machines := []*machine{s.machines[i%machineSum], s.machines[(i+1)%machineSum], s.machines[(i+2)%machineSum]}
	ask := func(m *machine, attempt string) *request {
		return &request{front: m.front, method: "POST", path: fmt.Sprint("/log/unit-", i), attempt: attempt, body: fmt.Sprint("the logs of unit ", i), deadline: 25 * time.Second, prompt: fmt.Sprintf("5c1e07a2:200,e4402b%02x:1000", i)}
	}
	var wg sync.WaitGroup
	firstWhole := false
	wg.Go(func() {
		n := 0
		a := ask(machines[0], first).follow(context.Background(), nil, func(event) { n++ })
		firstWhole = a.err == nil && n == 140
		r.record.note("client", "%s: %d events, status %d, error %v", first, n, a.status, a.err)
	})
	time.Sleep(1500 * time.Millisecond)
	var events []event
	take := func(e event) {
		events = append(events, e)
		if strings.Contains(e.data, " memory of "+first+" ") {
			foreign++
		}
	}
	var raw net.Conn
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		raw = c
		return c, err
	}
	a := ask(machines[1], second).follow(context.Background(), dial, func(e event) {
		take(e)
		if r.trouble && len(events) == eventsToReset {
			_ = raw.(*net.TCPConn).SetLinger(0)
			_ = raw.Close()
		}
	})
	r.record.note("client", "%s: %d events, status %d, error %v", second, len(events), a.status, a.err)
	for try := 2; a.err != nil && try < 6; try++ {
		time.Sleep(pauseOfClients)
		q := ask(machines[2], fmt.Sprint(second, "-", try))
		q.last, q.resumes = events[len(events)-1].id, second
		had := len(events)
		a = q.follow(context.Background(), nil, take)
		r.record.note("client", "%s: took up after event %d, %d events, status %d, error %v", q.attempt, q.last, len(events)-had, a.status, a.err)
		if len(events) > had {
			r.record.note("client", "%s: its first event is %q", q.attempt, events[had].data)
		}
	}
	wg.Wait()
	return foreign, firstWhole && a.err == nil && len(events) == 140
}
