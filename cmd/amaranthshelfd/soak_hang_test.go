package main

import (
	"fmt"
	"runtime/pprof"
	"slices"
	"strings"
	"sync"
	"time"
)

// callersTimeout bounds the time from the last fault until all callers have their answers: the
// routers serve again within recoveryTimeout, and a stream waits, runs and is checked then.
const callersTimeout = 2*recoveryTimeout + 2*maxTryDuration

// callerStates holds what each caller does now. It is safe for concurrent use.
type callerStates struct {
	mu     sync.Mutex
	states map[string]callerState
}

type callerState struct {
	doing string
	since time.Time
}

func (c *callerStates) set(caller, doing string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states == nil {
		c.states = map[string]callerState{}
	}
	c.states[caller] = callerState{doing, time.Now()}
}

func (c *callerStates) end(caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.states, caller)
}

func (c *callerStates) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lines []string
	for caller, s := range c.states {
		lines = append(lines, fmt.Sprintf("%s: %s, for %.1f s", caller, s.doing, time.Since(s.since).Seconds()))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// awaitCallers waits until all callers have ended. If they do not, it fails the test and tells what
// each of them, and each goroutine, waits for.
func (w *soakClients) awaitCallers() {
	done := make(chan struct{})
	go func() {
		w.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return
	case <-time.After(callersTimeout):
	}
	var stacks strings.Builder
	if err := pprof.Lookup("goroutine").WriteTo(&stacks, 1); err != nil {
		w.t.Error(err)
	}
	w.t.Fatalf("callers have not ended %v after the last fault:\n%s\n\n%s", callersTimeout, w.states.String(), stacks.String())
}
