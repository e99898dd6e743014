package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/amaranthshelf/amaranthshelf/internal/standin"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

type standinEngine struct {
	Listen    string `long:"listen" default:"127.0.0.1:8000" description:"ip:port"`
	Model     string `long:"model" default:"diagnosis" description:"model that the engine serves"`
	Fences    bool   `long:"fences" description:"refuse orders with an outdated fencing number"`
	ByAttempt bool   `long:"by-attempt" description:"sample different tokens in each attempt"`
}

type standinService struct {
	Listen string `long:"listen" default:"127.0.0.1:9000" description:"ip:port"`
}

type standinRouted struct {
	Port       int           `long:"port" default:"8101" description:"port of the first of six engines on 127.0.0.1"`
	ResumeTime time.Duration `long:"resume-time" default:"0s" description:"from the resume of a stream from a copy to its next event; the head of the answer comes with that event"`
	StallEvery time.Duration `long:"stall-every" default:"0s" description:"mean time between two stalls of an engine, in which it makes no events and answers everything else; 0s: none"`
	StallTime  time.Duration `long:"stall-time" default:"1500ms" description:"longest stall"`
}

func addStandin(p *flags.Parser) error {
	s, err := p.AddCommand("standin", "run a stand-in backend server",
		"For tests of the system: an engine with generated tokens, or a service that counts its runs.", &struct{}{})
	if err != nil {
		return err
	}
	if _, err = s.AddCommand("engine", "a stand-in model engine", "Implements docs/ENGINE-PROTOCOL.md.", &standinEngine{}); err != nil {
		return err
	}
	if _, err = s.AddCommand("routed", "stand-in engines for routed requests", "Runs six engines, two in each of three zones. They stream numbered events and keep backup copies of each other's runs.", &standinRouted{}); err != nil {
		return err
	}
	_, err = s.AddCommand("service", "a stand-in plain service", "Answers each call with the number of times that its key ran.", &standinService{})
	return err
}

// Execute implements flags.Commander.
func (c *standinEngine) Execute([]string) error {
	cfg := standin.DefaultEngine("standin", c.Model)
	cfg.EnforceFencing, cfg.SampleByAttempt = c.Fences, c.ByAttempt
	e, err := standin.ServeEngine(cfg, c.Listen)
	if err != nil {
		return err
	}
	defer e.Close()
	fmt.Fprintf(os.Stderr, "engine for %s on %s\n", c.Model, e.Addr)
	waitForSignal()
	return nil
}

// Execute implements flags.Commander.
func (c *standinService) Execute([]string) error {
	s, err := standin.ServeService(c.Listen)
	if err != nil {
		return err
	}
	defer s.Close()
	fmt.Fprintf(os.Stderr, "service on %s\n", s.Addr)
	waitForSignal()
	return nil
}

// Execute implements flags.Commander.
func (c *standinRouted) Execute([]string) error {
	network := routedengine.NewNet()
	defer network.Close()
	for i := range 6 {
		e := &routedengine.Server{
			Backend: upstream.Backend{
				ID: fmt.Sprint("engine", i+1), Service: "models", Zone: string(rune('a' + i%3)),
				Address: fmt.Sprintf("127.0.0.1:%d", c.Port+i), Slots: 8,
			},
			Events: 100, PrefillTime: time.Second, ResumeTime: c.ResumeTime, EventInterval: 30 * time.Millisecond,
		}
		if err := network.ListenTCP(e); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%s in zone %s on %s\n", e.ID, e.Zone, e.Address)
		if c.StallEvery > 0 && c.StallTime > 0 {
			go c.stall(e)
		}
	}
	waitForSignal()
	return nil
}

// stall makes an engine stall now and then.
func (c *standinRouted) stall(e *routedengine.Server) {
	for {
		time.Sleep(rand.N(2 * c.StallEvery))
		end := e.Stall()
		time.Sleep(rand.N(c.StallTime))
		end()
	}
}

func waitForSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}
