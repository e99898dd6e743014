package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Two software versions serve side by side. The engines of one are restarted one after the other and
// keep their ids. Each says that it leaves before it ends. When the last one ends, the two others have
// been back for seconds.

const (
	enginesEach = 3 // of each version
	oldStreams  = 40
	leaveTime   = (drainMS + 500) * time.Millisecond
	downTime    = time.Second
	lastDown    = 10 * time.Second // of the last engine
	listedAfter = (listLagMS + 700) * time.Millisecond
	eventsOfRun = 400
	streamTime  = 45 * time.Second // deadline of the streams
	newApart    = 50 * time.Millisecond
)

func init() { cases["7"] = restartedEngines }

// streamState is what the client of a stream has.
type streamState struct {
	version string
	events  int
	takeUps int // that count
	wentOn  int
}

func restartedEngines(r *run) (verdict, error) {
	p, err := startPlatform()
	if err != nil {
		return verdict{}, err
	}
	var old []*engine
	for i := range 2 * enginesEach {
		version := []string{"v1", "v2"}[i/enginesEach]
		e := &engine{
			ID: fmt.Sprintf("i-%s-%d", version, i%enginesEach), Service: "diag", Version: version, Zone: zones[i%enginesEach], Slots: 64,
			Events: eventsOfRun, Prefill: 200 * time.Millisecond, Step: 100 * time.Millisecond,
		}
		if err := r.engines.add(r.record, e); err != nil {
			return verdict{}, err
		}
		if version == "v1" {
			old = append(old, e)
		}
	}
	p.set(r.engines.rows())
	s, err := startSystem(r.record, p, configuration(7, []map[string]any{streamService("diag", 64)}, []map[string]any{route("r-log", "/log/", "streaming", "diag", 60000, 4500)}))
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(contactMS * time.Millisecond)
	var counts atomic.Bool // two restarted engines have been listed for contactMS, and the last one is down
	var mu sync.Mutex
	var wg sync.WaitGroup
	streams := make([]*streamState, oldStreams)
	for i := range streams {
		streams[i] = &streamState{}
		wg.Go(func() { keepStream(r, s, fmt.Sprint("s", i), streams[i], &counts) })
		time.Sleep(20 * time.Millisecond)
	}
	var tried, begun int
	wg.Go(func() { tried, begun = newStreams(r, s, &mu, &counts) })
	time.Sleep(time.Second)
	for i, e := range old {
		last := i == len(old)-1
		if last {
			time.Sleep(contactMS * time.Millisecond)
		}
		if r.trouble {
			e.leave()
			p.set(r.engines.rows())
		}
		time.Sleep(leaveTime)
		if r.trouble {
			e.end()
			p.set(r.engines.rows())
		}
		if last {
			r.record.note("case", "from now on take-ups and new streams count")
			counts.Store(true)
			time.Sleep(lastDown)
			counts.Store(false)
			r.record.note("case", "from now on they do not count")
		}
		time.Sleep(downTime)
		if r.trouble {
			if err := e.start(); err != nil {
				return verdict{}, err
			}
			p.set(r.engines.rows())
		}
		time.Sleep(listedAfter)
	}
	wg.Wait()
	takenUp, wentOn := 0, 0
	for _, st := range streams {
		if st.version == "v1" && st.takeUps > 0 {
			takenUp++
			if st.wentOn > 0 {
				wentOn++
			}
		}
	}
	broken := takenUp >= 12 && 2*wentOn*tried < begun*takenUp
	return verdict{broken, fmt.Sprintf("%d streams of v1 were taken up again while two of its engines serve, %d went on; %d of %d new streams began", takenUp, wentOn, begun, tried)}, nil
}

// newStreams begins short streams all the time. It returns how many of those that count were tried, and
// how many began.
func newStreams(r *run, s *system, mu *sync.Mutex, counted *atomic.Bool) (tried, begun int) {
	var wg sync.WaitGroup
	for i, began := 0, time.Now(); time.Since(began) < streamTime; i++ {
		time.Sleep(newApart)
		wg.Go(func() {
			counts := counted.Load()
			q := &request{front: s.machines[i%machineSum].front, method: "POST", path: fmt.Sprint("/log", shortStream, i), attempt: fmt.Sprint("n", i), body: fmt.Sprint("new ", i), deadline: 25 * time.Second, prompt: fmt.Sprintf("5c1e07a2:200,%08x:1000", i)}
			n := 0
			a := q.follow(context.Background(), nil, func(event) { n++ })
			mu.Lock()
			defer mu.Unlock()
			if counts {
				tried++
				begun += min(n, 1)
			}
			r.record.note("client", "%s: new stream, status %d, %d events, error %v", q.attempt, a.status, n, a.err)
		})
	}
	wg.Wait()
	return tried, begun
}

// keepStream follows a stream, and takes it up again whenever it is broken, as long as the deadline
// allows.
func keepStream(r *run, s *system, name string, st *streamState, counted *atomic.Bool) {
	began := time.Now()
	for try := 0; time.Since(began) < streamTime; try++ {
		q := &request{front: s.machines[(len(name)+try+int(name[len(name)-1]))%machineSum].front, method: "POST", path: "/log/" + name, attempt: fmt.Sprint(name, "-", try), body: name, deadline: streamTime - time.Since(began), prompt: fmt.Sprintf("5c1e07a2:200,%x:1000", name)}
		q.last, q.resumes = st.events, name+"-0"
		counts := counted.Load()
		had := st.events
		a := q.follow(context.Background(), nil, func(e event) {
			st.events = e.id
			if st.version == "" {
				_, _ = fmt.Sscanf(e.data[len(e.data)-2:], "%s", &st.version)
			}
		})
		r.record.note("client", "%s (%s): after event %d, %d events, status %d, error %v", q.attempt, st.version, had, st.events-had, a.status, a.err)
		if counts && had > 0 {
			st.takeUps++
			if st.events > had {
				st.wentOn++
			}
		}
		if a.err == nil || had == 0 && st.events == 0 {
			return
		}
		time.Sleep(max(500*time.Millisecond, min(a.retryAfter, 2*time.Second)))
	}
}
