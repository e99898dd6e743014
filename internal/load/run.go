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

// maxInFlight bounds the requests under way: beyond it an arrival is counted as
// not sent, so that a dead system cannot exhaust this machine's memory.
const maxInFlight = 4096

// Options of a run.
type Options struct {
	Profile  *Profile
	Seed     uint64
	Duration time.Duration
	Scale    float64       // of all rates
	Drain    time.Duration // for answers after the last arrival
	Faults   []Fault
	Addrs    []string                      // callers' addresses
	KeyOf    func(workspace string) string // workspace keys
	System   *local.System                 // for faults and counts; nil with real addresses
	Progress func(string)
}

// Run sends the schedule and reports what callers received.
func Run(ctx context.Context, o Options) (*Report, error) {
	arrivals := Schedule(o.Profile, o.Seed, o.Duration, o.Scale)
	if len(arrivals) == 0 {
		return nil, Error.New("the schedule is empty; longer duration or higher rate")
	}
	r := &runner{o: o, rec: newRecorder(o), slots: make(chan struct{}, maxInFlight), clients: map[string]*client.Client{}}
	for _, w := range o.Profile.Workspaces {
		r.clients[w.Name] = client.NewLocated(client.NewLocator(o.Addrs, o.KeyOf(w.Name), "", "load-"+w.Name))
	}
	before := r.work()
	r.start = time.Now()
	finishEdits := func(*Report) {}
	if o.System != nil {
		go inject(ctx, o.System, o.Faults, r.start, o.Progress)
		finishEdits = startEdits(ctx, o)
	}
	r.sendAll(ctx, arrivals)
	report := r.rec.finish(o, len(arrivals))
	finishEdits(report)
	report.EngineTokens = r.work() - before
	return report, nil
}

// startEdits edits the lists during the run; the returned function ends that and
// adds what came of it to the report.
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
		r.WrongAnswers = append(r.WrongAnswers, e.wrong...)
	}
}

type runner struct {
	o       Options
	rec     *recorder
	slots   chan struct{}
	clients map[string]*client.Client
	start   time.Time
	wg      sync.WaitGroup
}

func (r *runner) work() int {
	if r.o.System == nil {
		return 0
	}
	return r.o.System.ComputedTokens()
}

func (r *runner) sendAll(ctx context.Context, arrivals []Arrival) {
	ctx, cancel := context.WithTimeout(ctx, r.o.Duration+r.o.Drain)
	defer cancel()
	lastSaid := time.Duration(0)
	for _, a := range arrivals {
		if !sleepUntil(ctx, r.start.Add(a.At)) {
			break
		}
		if a.At-lastSaid >= time.Second {
			lastSaid = a.At
			r.o.Progress(fmt.Sprintf("%s: %s", a.At.Truncate(time.Second), r.rec.line()))
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

// prompt is text of n tokens (a byte each) that differs by request.
func prompt(a Arrival) string {
	head := a.Workspace + " " + a.Key + " "
	if len(head) >= a.Prompt {
		return head[:a.Prompt]
	}
	return head + strings.Repeat(".", a.Prompt-len(head))
}

func (r *runner) generate(ctx context.Context, a Arrival, intended time.Time) {
	c := client.Completion{
		Model: r.o.Profile.System.Model, Prompt: prompt(a), MaxTokens: a.MaxTokens,
		Priority: a.Class.Priority, DeadlineMS: a.Class.DeadlineMS,
	}
	sample := Sample{Key: a.Key, Class: a.Class.Name, Workspace: a.Workspace, At: a.At}
	began := time.Since(intended)
	answer, err := r.clients[a.Workspace].Complete(ctx, a.Key, c, func(p client.Progress) {
		if p.Index > 0 && sample.First == 0 {
			sample.First = time.Since(intended)
			return
		}
		r.rec.gap(a.Class.Name, p.Gap)
	})
	sample.Total = time.Since(intended)
	sample.Late = began
	sample.Tokens, sample.Reconnects, sample.LongestGap = len(answer.TokenIDs), answer.Reconnects, answer.LongestGap
	sample.Cost = a.Prompt + len(answer.TokenIDs)
	sample.Code = code(err)
	if err == nil {
		check := engine.Completion{Model: c.Model, Prompt: c.Prompt, MaxTokens: c.MaxTokens}
		if err := standin.Verify(check, "1", answer.TokenIDs, true); err != nil {
			sample.Wrong = err.Error()
		}
	}
	r.rec.add(sample)
}

func (r *runner) call(ctx context.Context, a Arrival, intended time.Time) {
	sample := Sample{Key: a.Key, Class: a.Class.Name, Workspace: a.Workspace, At: a.At}
	sys := r.o.Profile.System
	out, err := r.clients[a.Workspace].Call(ctx, a.Class.Method, sys.Service, a.Class.Path, a.Key)
	sample.Total = time.Since(intended)
	sample.First = sample.Total
	sample.Code = code(err)
	if err == nil && out.Status != 200 {
		sample.Wrong = fmt.Sprintf("status %d", out.Status)
	}
	if r.o.System != nil && a.Class.Method == http.MethodPost {
		r.audit(&sample, err)
	}
	r.rec.add(sample)
}

// audit compares what the caller was told of a non-idempotent call to how often
// it ran.
func (r *runner) audit(s *Sample, err error) {
	runs := r.o.System.ServiceRuns(s.Key)
	ran := result.RanYes
	if err != nil {
		ran = result.From(err).Ran
	}
	switch {
	case runs > 1:
		s.Wrong = fmt.Sprintf("%s ran %d times", s.Key, runs)
	case ran == result.RanNo && runs > 0:
		s.Wrong = s.Key + " was refused as not run, and ran"
	case ran == result.RanYes && runs == 0:
		s.Wrong = s.Key + " was answered, and did not run"
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

// codeNoAnswer stands in reports for requests without any answer in time.
const codeNoAnswer result.Code = -1
