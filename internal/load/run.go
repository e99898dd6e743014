package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/client"
	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/local"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

// maxInFlight bounds the requests in flight. An arrival above the bound is counted as not
// sent. Without the bound, a system that does not answer could exhaust the memory of the
// load generator's machine.
const maxInFlight = 4096

// Options configure a run.
type Options struct {
	Profile     *Profile
	Seed        uint64
	Duration    time.Duration
	Scale       float64       // factor on all rates
	Drain       time.Duration // maximum wait for answers after the last arrival
	Faults      []Fault
	CallerAddrs []string                      // callers' addresses of the VMs
	KeyOf       func(workspace string) string // returns a workspace's key
	System      *local.System                 // local system for faults, edits and counts; nil for a remote system
	Progress    func(string)
}

// Run sends the requests of the schedule, waits for their answers, and reports the results.
func Run(ctx context.Context, o Options) (*Report, error) {
	arrivals := Schedule(o.Profile, o.Seed, o.Duration, o.Scale)
	if len(arrivals) == 0 {
		return nil, Error.New("the schedule is empty; use a longer duration or a higher rate")
	}
	r := &runner{opts: o, rec: newRecorder(o), slots: make(chan struct{}, maxInFlight), clients: map[string]*client.Client{}}
	for _, w := range o.Profile.Workspaces {
		r.clients[w.Name] = client.NewLocated(client.NewLocator(o.CallerAddrs, o.KeyOf(w.Name), "", "load-"+w.Name))
	}
	before := r.engineTokens()
	r.start = time.Now()
	finishEdits := func(*Report) {}
	if o.System != nil {
		go injectFaults(ctx, o.System, o.Faults, r.start, o.Progress)
		finishEdits = startEdits(ctx, o)
	}
	r.sendAll(ctx, arrivals)
	report := r.rec.report(o, len(arrivals))
	finishEdits(report)
	report.EngineTokens = r.engineTokens() - before
	return report, nil
}

// startEdits starts an editor of the lists for the run. The returned function stops it and
// adds its results to the report.
func startEdits(ctx context.Context, o Options) func(*Report) {
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	e := newEditor(o.System, o.Seed)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.run(ctx)
	}()
	return func(r *Report) {
		cancel()
		<-done
		r.Edits, r.InForceP50, r.InForceMax = e.accepted, quantile(e.inForce, 50), float64(e.inForce.Max())/1000
		r.WrongAnswers = append(r.WrongAnswers, e.violations...)
	}
}

type runner struct {
	opts    Options
	rec     *recorder
	slots   chan struct{}
	clients map[string]*client.Client
	start   time.Time
	wg      sync.WaitGroup
}

func (r *runner) engineTokens() int {
	if r.opts.System == nil {
		return 0
	}
	return r.opts.System.ComputedTokens()
}

func (r *runner) sendAll(ctx context.Context, arrivals []Arrival) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Duration+r.opts.Drain)
	defer cancel()
	lastProgress := time.Duration(0)
	for _, a := range arrivals {
		if !sleepUntil(ctx, r.start.Add(a.At)) {
			break
		}
		if a.At-lastProgress >= time.Second {
			lastProgress = a.At
			r.opts.Progress(fmt.Sprintf("%s: %s", a.At.Truncate(time.Second), r.rec.progressLine()))
		}
		select {
		case r.slots <- struct{}{}:
			r.wg.Add(1)
			go r.send(ctx, a)
		default:
			r.rec.notSent(a)
		}
	}
	r.wg.Wait()
}

func (r *runner) send(ctx context.Context, a Arrival) {
	defer r.wg.Done()
	defer func() { <-r.slots }()
	intended := r.start.Add(a.At)
	if a.Class.Kind == KindCall {
		r.call(ctx, a, intended)
		return
	}
	r.generate(ctx, a, intended)
}

// prompt returns a prompt of a.Prompt tokens, one byte each, that is unique to the request.
func prompt(a Arrival) string {
	head := a.Workspace + " " + a.Key + " "
	if len(head) >= a.PromptTokens {
		return head[:a.PromptTokens]
	}
	return head + strings.Repeat(".", a.PromptTokens-len(head))
}

func (r *runner) generate(ctx context.Context, a Arrival, intended time.Time) {
	c := client.Completion{
		Model: r.opts.Profile.System.Model, Prompt: prompt(a), MaxTokens: a.MaxTokens,
		Priority: a.Class.Priority, DeadlineMS: a.Class.DeadlineMS,
	}
	sample := Sample{Key: a.Key, Class: a.Class.Name, Workspace: a.Workspace, At: a.At}
	sendDelay := time.Since(intended)
	answer, err := r.clients[a.Workspace].Complete(ctx, a.Key, c, func(p client.Progress) {
		if p.Index > 0 && sample.First == 0 {
			sample.First = time.Since(intended)
			return
		}
		r.rec.gap(a.Class.Name, p.Gap)
	})
	sample.Total = time.Since(intended)
	sample.SendDelay = sendDelay
	sample.Tokens, sample.Reconnects, sample.LongestGap = len(answer.TokenIDs), answer.Reconnects, answer.LongestGap
	sample.UnbrokenTokens = a.PromptTokens + len(answer.TokenIDs)
	sample.Code = code(err)
	if err == nil {
		check := engine.Completion{Model: c.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens}
		if err := standin.Verify(check, "1", answer.TokenIDs, true); err != nil {
			sample.WrongReason = err.Error()
		}
	}
	r.rec.add(sample)
}

func (r *runner) call(ctx context.Context, a Arrival, intended time.Time) {
	sample := Sample{Key: a.Key, Class: a.Class.Name, Workspace: a.Workspace, At: a.At}
	sys := r.opts.Profile.System
	out, err := r.clients[a.Workspace].Call(ctx, a.Class.Method, sys.Service, a.Class.Path, a.Key)
	sample.Total = time.Since(intended)
	sample.First = sample.Total
	sample.Code = code(err)
	if err == nil && out.Status != 200 {
		sample.WrongReason = fmt.Sprintf("status %d", out.Status)
	}
	if r.opts.System != nil && a.Class.Method == http.MethodPost {
		r.checkServiceRuns(&sample, err)
	}
	r.rec.add(sample)
}

// checkServiceRuns compares the answer to a non-idempotent call with the number of times
// that the service ran it.
func (r *runner) checkServiceRuns(s *Sample, err error) {
	runs := r.opts.System.ServiceRuns(s.Key)
	ran := result.RanYes
	if err != nil {
		ran = result.From(err).Ran
	}
	switch {
	case runs > 1:
		s.WrongReason = fmt.Sprintf("%s ran %d times", s.Key, runs)
	case ran == result.RanNo && runs > 0:
		s.WrongReason = s.Key + " was refused as not run, but it ran"
	case ran == result.RanYes && runs == 0:
		s.WrongReason = s.Key + " was answered, but it did not run"
	}
}

func code(err error) result.Code {
	if err == nil {
		return 0
	}
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return codeNoAnswer
}

// codeNoAnswer is the code in reports for requests that received no answer in time.
const codeNoAnswer result.Code = -1
