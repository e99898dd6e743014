package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Two software versions serve side by side, one of them in one zone. The engines of that zone crash and
// start again under their ids, with the other version. For a while the platform's list still shows what they
// were.

const (
	upgradedCount  = 4 // engines of each version
	upgradeStreams = 60
	upgradeDown    = 600 * time.Millisecond
)

func init() { cases["5"] = upgradedEngine }

func upgradedEngine(r *run) (verdict, error) {
	p, err := startPlatform()
	if err != nil {
		return verdict{}, err
	}
	var old []*engine
	for i := range 2 * upgradedCount {
		e := &engine{
			ID: fmt.Sprint("i-model", i), Service: "diag", Version: "v2", Zone: zones[1+i%2], Slots: 64,
			Events: 140, Prefill: 60 * time.Millisecond, Step: 100 * time.Millisecond,
		}
		if i < upgradedCount {
			e.Version, e.Zone = "v1", zones[0]
			old = append(old, e)
		}
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
	var wg sync.WaitGroup
	mixed, whole := 0, 0
	for i := range upgradeStreams {
		wg.Go(func() {
			versions, complete := followVersions(r, s, i)
			mu.Lock()
			defer mu.Unlock()
			if len(versions) > 1 {
				mixed++
			}
			if complete {
				whole++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		for _, e := range old {
			e.end()
		}
		time.Sleep(upgradeDown)
		for _, e := range old {
			e.upgrade("v2")
			if err := e.start(); err != nil {
				return verdict{}, err
			}
		}
		p.set(r.engines.rows())
	}
	wg.Wait()
	return verdict{mixed > 2, fmt.Sprintf("%d of %d streams hold events of two versions; %d are whole", mixed, upgradeStreams, whole)}, nil
}

// followVersions follows a stream, takes it up again while it is broken, and returns the versions of its
// events.
func followVersions(r *run, s *system, i int) (versions map[string]bool, whole bool) {
	began, versions, last, first := time.Now(), map[string]bool{}, 0, ""
	for try := 0; time.Since(began) < 20*time.Second; try++ {
		q := &request{
			front: s.machines[(i+try)%machineSum].front, method: "POST", path: fmt.Sprint("/log/", i), attempt: fmt.Sprintf("s%d-%d", i, try), body: fmt.Sprint("logs ", i),
			deadline: 25*time.Second - time.Since(began), last: last, resumes: first, prompt: fmt.Sprintf("5c1e07a2:200,%08x:1000", i),
		}
		had := last
		var of []string
		a := q.follow(context.Background(), nil, func(e event) {
			last = e.id
			if first == "" {
				first = q.attempt
			}
			_, version, _ := strings.Cut(e.data, " at ")
			versions[version] = true
			if len(of) == 0 || of[len(of)-1] != version {
				of = append(of, version)
			}
		})
		r.record.note("client", "%s: after event %d, %d events of %v, status %d, error %v", q.attempt, had, last-had, of, a.status, a.err)
		if a.err == nil {
			return versions, last == 140
		}
		time.Sleep(max(100*time.Millisecond, a.retryAfter))
	}
	return versions, false
}
