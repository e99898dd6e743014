package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Figures of the recovery experiment.
const (
	recoveryEngines = 24
	recoveryRouters = 11
	recoveryLoad    = 0.7
	recoverySeeds   = 10
	recoveryPrompt  = 1000
	recoveryTokens  = 500
	faultAt         = 60 * time.Second
	recoveryLength  = 240 * time.Second
)

// Fault is something that happens to engines.
type Fault struct {
	Name  string
	start func(w *world)
}

func faults() []Fault {
	return []Fault{
		{"one dies (reset)", func(w *world) { w.strike(0, func(e *engineModel) { e.die(false) }) }},
		{"one dies (silent)", func(w *world) { w.strike(0, func(e *engineModel) { e.die(true) }) }},
		{"pause of 2 s", func(w *world) { w.strike(0, func(e *engineModel) { e.paused = w.Now().Add(2 * time.Second) }) }},
		{"pause of 20 s", func(w *world) { w.strike(0, func(e *engineModel) { e.paused = w.Now().Add(20 * time.Second) }) }},
		{"three in a row (reset)", func(w *world) {
			for i := range 3 {
				w.After(time.Duration(i)*5*time.Second, func() { w.strike(i, func(e *engineModel) { e.die(false) }) })
			}
		}},
	}
}

// strike notes the streams that an engine is giving tokens to, and hits it.
func (w *world) strike(i int, hit func(*engineModel)) {
	e := w.engines[i]
	for _, a := range e.streams() {
		if !a.r.ended && a.r.lost.IsZero() {
			a.r.lost = w.Now()
		}
	}
	hit(e)
}

// Row is the account of one fault under one policy, over all seeds.
type Row struct {
	Fault    string        `json:"fault"`
	Policy   string        `json:"policy"`
	Streams  int           `json:"streams"` // that were hit
	Median   time.Duration `json:"resume_latency_median_ns"`
	P99      time.Duration `json:"resume_latency_p99_ns"`
	Max      time.Duration `json:"resume_latency_max_ns"`
	Extra    float64       `json:"extra_work_share"` // of all work in the run
	Served   float64       `json:"served_share"`
	Poisoned int           `json:"refused_as_poison"`
}

// workers is how many runs go on at once: a run is one thread and some 50 MB.
const workers = 4

// Recovery runs every fault under every policy.
func Recovery(progress func(string)) []Row {
	var rows []Row
	var jobs []func() Row
	for _, f := range faults() {
		for _, p := range policies(recoveryRouters) {
			jobs = append(jobs, func() Row { return recoveryRow(f, p) })
		}
	}
	results := make([]chan Row, len(jobs))
	slots := make(chan struct{}, workers)
	for i, job := range jobs {
		results[i] = make(chan Row, 1)
		go func() {
			slots <- struct{}{}
			results[i] <- job()
			<-slots
		}()
	}
	for _, c := range results {
		row := <-c
		progress(row.Fault + ", " + row.Policy)
		rows = append(rows, row)
	}
	return rows
}

func recoveryRow(f Fault, p Policy) Row {
	row := Row{Fault: f.Name, Policy: p.Name}
	var resumes []time.Duration
	var useful, extra float64
	served, offered := 0, 0
	for seed := range uint64(recoverySeeds) {
		out := recoveryRun(f, p, seed+1)
		resumes = append(resumes, out.resumes...)
		useful += out.useful
		extra += out.extra
		g := out.Total(Filter{})
		served, offered = served+g.Served, offered+g.Offered
		row.Poisoned += out.poisoned
	}
	slices.Sort(resumes)
	row.Streams = len(resumes)
	row.Median, row.P99, row.Max = Quantile(resumes, 0.5), Quantile(resumes, 0.99), Quantile(resumes, 1)
	row.Extra = extra / useful
	row.Served = float64(served) / float64(offered)
	return row
}

func recoveryRun(f Fault, p Policy, seed uint64) *Outcome {
	w := newWorld(p, seed)
	w.build(recoveryEngines, 3)
	rate := recoveryLoad * recoveryEngines / w.figures.seconds(recoveryPrompt, recoveryTokens)
	w.offer(Load{
		Name: "desk", Rate: rate, Prompt: recoveryPrompt, Tokens: recoveryTokens, Prefix: 256,
		MaxWait: time.Minute, To: faultAt + 30*time.Second,
	}, seed)
	w.After(faultAt, func() { f.start(w) })
	w.run(recoveryLength)
	return w.out
}

// RecoveryTable prints rows for people.
func RecoveryTable(rows []Row) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d engines at %.0f%% load, %d routers, %d seeds; resume latency of the streams that were hit.\n\n",
		recoveryEngines, 100*recoveryLoad, recoveryRouters, recoverySeeds)
	b.WriteString("| fault | policy | streams | median | p99 | max | extra work | answers whole |\n")
	b.WriteString("| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %d | %.2f s | %.2f s | %.2f s | %.2f%% | %.2f%% |\n",
			r.Fault, r.Policy, r.Streams, r.Median.Seconds(), r.P99.Seconds(), r.Max.Seconds(), 100*r.Extra, 100*r.Served)
	}
	return b.String()
}
