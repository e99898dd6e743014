package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times of the case. A stream lasts longer than the grace period of a router that is stopped, and
// less than its deadline.
const (
	streamPieces   = 140
	streamInterval = 110 * time.Millisecond
	streamFirst    = 300 * time.Millisecond
	streamDeadline = 25 * time.Second
	cutFor         = 5 * time.Second
	sendInterval   = 150 * time.Millisecond
)

// runHandoff cuts one router off from all engines for some seconds, and then stops another one as
// planned, which serves streams for the first.
func runHandoff(s *system, trouble bool) (*verdict, error) {
	var engines []*engine
	var entries []any
	for i := range 6 {
		e := &engine{
			rec: s.rec, id: fmt.Sprintf("i-model-%d", i+1), service: serviceModel, zone: zones[i%len(zones)], slots: 64,
			pieces: streamPieces, first: streamFirst, interval: streamInterval,
		}
		if err := e.start(); err != nil {
			return nil, err
		}
		engines, entries = append(engines, e), append(entries, e.entry())
	}
	s.platform.set(entries)
	candidates = func() []int {
		var out []int
		for _, m := range s.machines {
			out = append(out, m.pid(roleRouter))
		}
		return out
	}
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
	cutOff := s.machines[0]
	c := &handoffCase{s: s, engines: engines}
	// Each router serves a few streams of its own.
	for _, m := range s.machines {
		c.sendTo(m)
		c.sendTo(m)
	}
	time.Sleep(time.Second)
	if trouble {
		s.rec.note("%s is partitioned from all engines", cutOff)
		c.setCut(cutOff, true)
	}
	c.sendWhileNamed(cutOff, cutFor-time.Second)
	stopped, served := c.busiestHelper(cutOff)
	if trouble && served == 0 {
		return nil, errors.New("no router has served a stream for the one that is cut off")
	}
	s.rec.note("%s serves most streams of callers of %s and is stopped as planned", stopped, cutOff)
	done := make(chan error, 1)
	go func() {
		stopped.stop()
		done <- stopped.start(false)
	}()
	time.Sleep(time.Second)
	if trouble {
		s.rec.note("%s reaches the engines again", cutOff)
		c.setCut(cutOff, false)
	}
	if err := <-done; err != nil {
		return nil, err
	}
	c.wait.Wait()
	return c.check(), nil
}

type handoffCase struct {
	s       *system
	engines []*engine

	wait sync.WaitGroup
	mu   sync.Mutex
	got  []answer
	sent map[string]*machine // by attempt
}

func (c *handoffCase) setCut(m *machine, cut bool) {
	for _, e := range c.engines {
		e.proxy.setCut(m.pid(roleRouter), cut)
	}
}

func (c *handoffCase) sendTo(m *machine) {
	attempt := newAttempt()
	c.mu.Lock()
	if c.sent == nil {
		c.sent = map[string]*machine{}
	}
	c.sent[attempt] = m
	c.mu.Unlock()
	c.wait.Go(func() {
		a := c.s.send(m, http.MethodPost, pathSummary+attempt, attempt, streamDeadline)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.got = append(c.got, a)
	})
}

// sendWhileNamed sends streams to a router as callers do that keep an answer with its address for
// three times as long as it states.
func (c *handoffCase) sendWhileNamed(m *machine, d time.Duration) {
	var named time.Time
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(sendInterval) {
		addrs, ttl := c.s.machines[1].resolve(m.zone)
		if slices.Contains(addrs, m.front()) {
			named = time.Now().Add(3 * ttl)
		}
		if time.Now().Before(named) {
			c.sendTo(m)
		}
	}
}

// busiestHelper returns the machine, other than m, whose router sent most streams of callers of m to
// engines, and how many.
func (c *handoffCase) busiestHelper(m *machine) (best *machine, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	best, most = c.s.machines[1], -1
	for _, other := range c.s.machines {
		n := 0
		for attempt, via := range c.sent {
			for _, e := range c.engines {
				for _, r := range e.ran(attempt) {
					if via == m && r.pid == other.pid(roleRouter) {
						n++
					}
				}
			}
		}
		if other != m && n > most {
			best, most = other, n
		}
	}
	c.s.rec.note("%s has sent %d streams of callers of %s to engines", best, most, m)
	return best, most
}

func (c *handoffCase) check() *verdict {
	v := &verdict{}
	c.mu.Lock()
	defer c.mu.Unlock()
	last := fmt.Sprintf("data: piece %d of %d ", streamPieces, streamPieces)
	for i := range c.got {
		a := &c.got[i]
		if a.status < 200 || a.status > 299 || !a.complete {
			continue
		}
		pieces := strings.Count(a.body, "\n\n")
		switch {
		case a.signature == "":
			v.breaks("MIXED: request %s via %s got %d without an engine's signature, %d pieces, framed as complete", a.attempt, a.via, a.status, pieces)
		case !strings.Contains(a.body, last) || pieces != streamPieces:
			v.breaks("ORDER: request %s via %s ended as complete after %d of %d pieces", a.attempt, a.via, pieces, streamPieces)
		}
	}
	return v
}
