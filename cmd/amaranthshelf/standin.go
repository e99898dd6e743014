package main

import (
	"context"
	"fmt"
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
	Model     string `long:"model" default:"diagnosis" description:"the model it serves"`
	Fences    bool   `long:"fences" description:"refuse orders with an old fencing number"`
	ByAttempt bool   `long:"by-attempt" description:"sampling differs by attempt"`
}

type standinService struct {
	Listen string `long:"listen" default:"127.0.0.1:9000" description:"ip:port"`
}

type standinRouted struct {
	Port int `long:"port" default:"8101" description:"port of the first of six engines on 127.0.0.1"`
}

func addStandin(p *flags.Parser) error {
	s, err := p.AddCommand("standin", "run a stand-in backend server",
		"For trying the system out: an engine with made-up tokens, or a service that counts its runs.", &struct{}{})
	if err != nil {
		return err
	}
	if _, err = s.AddCommand("engine", "a stand-in model engine", "Speaks docs/ENGINE-PROTOCOL.md.", &standinEngine{}); err != nil {
		return err
	}
	if _, err = s.AddCommand("routed", "stand-in engines behind routed requests", "Engines that stream numbered events and keep copies of each other's runs, two in each of three zones.", &standinRouted{}); err != nil {
		return err
	}
	_, err = s.AddCommand("service", "a stand-in plain service", "Answers each call with how often its key ran.", &standinService{})
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
	untilSignal()
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
	untilSignal()
	return nil
}

// Execute implements flags.Commander.
func (c *standinRouted) Execute([]string) error {
	net := routedengine.NewNet()
	defer net.Close()
	for i := range 6 {
		e := &routedengine.Server{
			Backend: upstream.Backend{
				ID: fmt.Sprint("engine", i+1), Service: "models", Zone: string(rune('a' + i%3)),
				Address: fmt.Sprintf("127.0.0.1:%d", c.Port+i), Slots: 8,
			},
			Events: 100, PrefillTime: time.Second, EventInterval: 30 * time.Millisecond,
		}
		if err := net.ListenTCP(e); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%s in zone %s on %s\n", e.ID, e.Zone, e.Address)
	}
	untilSignal()
	return nil
}

func untilSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}
