package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Doses of the case, none above those of garble on the sheets.
const (
	garbledShare  = 0.5  // of the engines
	garbledPart   = 0.05 // of their answers
	garbledFor    = 5 * time.Second
	garbledPause  = 4 * time.Second
	garbledTimes  = 8
	sendEvery     = 100 * time.Millisecond // to each router
	restartAfter  = 500 * time.Millisecond
	faultyKills   = 3 // of a machine in the day
	faultMachines = 2 // a tenth of the machines, two at least
	memoryLimit   = 134 << 20
)

// Garbage comes no faster than a link of 1,000 Mbit/s carries, and ends at some time.
const (
	garbageChunk = 64 << 10
	garbageRate  = 100 << 20 // bytes a second
	garbageMost  = 256 << 20
)

// runGarbage lets half of the engines spoil a part of their answers with bytes that are not a
// response. The case plays the platform, which kills a process that uses more than its memory and
// starts it again.
func runGarbage(s *system, trouble bool) (*verdict, error) {
	var engines []*engine
	var entries []any
	for i := range 6 {
		e := &engine{
			rec: s.rec, id: fmt.Sprintf("i-model-%d", i+1), service: serviceModel, zone: zones[i%len(zones)], slots: 64,
			pieces: 20, first: 50 * time.Millisecond, interval: 50 * time.Millisecond,
		}
		if err := e.start(); err != nil {
			return nil, err
		}
		engines, entries = append(engines, e), append(entries, e.entry())
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
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	kills := make([]int, len(s.machines))
	for i, m := range s.machines {
		watchers.Go(func() { kills[i] = m.limitMemory(stop) })
	}
	t := &traffic{s: s}
	for round := range garbledTimes {
		if trouble {
			s.rec.note("round %d: %d of %d engines spoil %v of their answers", round+1, int(garbledShare*float64(len(engines))), len(engines), garbledPart)
			setGarbage(engines[:int(garbledShare*float64(len(engines)))], true)
		}
		t.run(garbledFor)
		setGarbage(engines, false)
		t.run(garbledPause)
	}
	close(stop)
	watchers.Wait()
	s.rec.note("of %d client attempts, %d got a complete 200", t.sent, t.whole())
	v, faulty := &verdict{}, 0
	for i, m := range s.machines {
		s.rec.note("the router of %s used more than its memory, and was killed, %d times", m, kills[i])
		if kills[i] >= faultyKills {
			faulty++
		}
	}
	if faulty >= faultMachines {
		v.breaks("Fault: on %d of %d machines the router ended three times or more for its memory, with no disruption there: %v", faulty, len(s.machines), kills)
	}
	return v, nil
}

func setGarbage(engines []*engine, on bool) {
	for _, e := range engines {
		e.garbage.Store(on)
	}
}

// traffic sends streams to all routers.
type traffic struct {
	s    *system
	sent int

	mu       sync.Mutex
	complete int
}

func (t *traffic) run(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(sendEvery) {
		for _, m := range t.s.machines {
			attempt := newAttempt()
			t.sent++
			go func() {
				a := t.s.send(m, http.MethodPost, pathSummary+attempt, attempt, 25*time.Second)
				if a.complete && a.status == http.StatusOK {
					t.mu.Lock()
					defer t.mu.Unlock()
					t.complete++
				}
			}()
		}
	}
}

func (t *traffic) whole() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.complete
}

// limitMemory kills the machine's router whenever it uses more than its memory, and starts it again.
func (m *machine) limitMemory(stop chan struct{}) (kills int) {
	for {
		select {
		case <-stop:
			return kills
		case <-time.After(20 * time.Millisecond):
		}
		used := residentBytes(m.pid(roleRouter))
		if used <= memoryLimit {
			continue
		}
		kills++
		m.s.rec.note("the router of %s uses %d MB of %d, and is killed", m, used>>20, memoryLimit>>20)
		_ = syscall.Kill(m.pid(roleRouter), syscall.SIGKILL)
		time.Sleep(restartAfter)
		if err := m.startRole(roleRouter, false); err != nil {
			m.s.rec.note("%v", err)
			return kills
		}
	}
}

func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// sendGarbage writes zero bytes, which are no response, until the connection ends.
func sendGarbage(w http.ResponseWriter) (sent int) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return 0
	}
	defer c.Close()
	chunk, began := make([]byte, garbageChunk), time.Now()
	for sent < garbageMost {
		n, err := c.Write(chunk)
		sent += n
		if err != nil {
			break
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / garbageRate * float64(time.Second)))))
	}
	return sent
}
