package load

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Histograms hold microseconds up to ten minutes with three significant digits.
const (
	histMax    = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3
)

// Sample is the result of one request as its caller received it.
type Sample struct {
	Key            string
	Class          string
	Workspace      string
	At             time.Duration // intended time of the send, from the start of the run
	SendDelay      time.Duration // from the intended to the actual send
	First          time.Duration // from the intended time to the first token or a call's answer
	Total          time.Duration
	LongestGap     time.Duration
	Tokens         int
	UnbrokenTokens int // tokens of prompt and answer that a run without faults computes
	Reconnects     int
	Code           result.Code // 0: served
	WrongReason    string      // why the answer is wrong; empty: it is correct
}

// ClassReport holds the results of one class. Times are in milliseconds.
type ClassReport struct {
	Class      string         `json:"class"`
	Sent       int            `json:"sent"`
	Served     int            `json:"served"`
	NotSent    int            `json:"not_sent"`
	Wrong      int            `json:"wrong"`
	Refused    map[string]int `json:"refused"`
	FirstP50   float64        `json:"first_p50_ms"`
	FirstP95   float64        `json:"first_p95_ms"`
	FirstP99   float64        `json:"first_p99_ms"`
	GapP50     float64        `json:"gap_p50_ms"`
	GapP95     float64        `json:"gap_p95_ms"`
	GapP99     float64        `json:"gap_p99_ms"`
	TotalP50   float64        `json:"total_p50_ms"`
	TotalP99   float64        `json:"total_p99_ms"`
	WorstGap   float64        `json:"worst_gap_ms"`
	RefusedP50 float64        `json:"refused_p50_ms"`
}

// Second holds the results of the requests that were due in one second of the run.
type Second struct {
	At           int     `json:"at"`
	Sent         int     `json:"sent"`
	Served       int     `json:"served"`
	Refused      int     `json:"refused"`
	WorstFirstMS float64 `json:"worst_first_ms"`
}

// Report holds the results of a run. Times are in milliseconds unless the name says otherwise.
type Report struct {
	Seed           uint64        `json:"seed"`
	Seconds        float64       `json:"seconds"`
	Arrivals       int           `json:"arrivals"`
	Classes        []ClassReport `json:"classes"`
	Tokens         int           `json:"tokens"`
	ExtraShare     float64       `json:"extra_work_share"` // of engine work; only in local runs
	EngineTokens   int           `json:"engine_tokens"`
	UnbrokenTokens int           `json:"unbroken_tokens"`
	Reconnects     int           `json:"reconnects"`
	SentLateP99    float64       `json:"sent_late_p99_ms"`
	Edits          int           `json:"edits"` // accepted edits of the lists; only in local runs
	InForceP50     float64       `json:"in_force_p50_ms"`
	InForceMax     float64       `json:"in_force_max_ms"`
	Timeline       []Second      `json:"timeline"`
	WrongAnswers   []string      `json:"wrong_answers,omitempty"`
	Failures       []Failure     `json:"failures,omitempty"` // the first maxFailures of them
	Slowest        []Failure     `json:"slowest,omitempty"`  // the maxSlowest requests with the latest first tokens
}

// Failure identifies a request that was slow or not served, so that `amaranthshelf explain`
// can look it up.
type Failure struct {
	Key       string  `json:"key"`
	Workspace string  `json:"workspace"`
	AtMS      float64 `json:"at_ms"`
	TookMS    float64 `json:"took_ms"`
	Tokens    int     `json:"tokens"`
	Name      string  `json:"name"`
}

const (
	maxFailures = 20
	maxSlowest  = 5
)

// OK reports whether every answer was correct.
func (r *Report) OK() bool { return len(r.WrongAnswers) == 0 }

type classRecord struct {
	sent, served, notSent, wrong   int
	refused                        map[string]int
	first, gap, total, refusalTime *hdrhistogram.Histogram
	worstGap                       time.Duration
}

type recorder struct {
	mu        sync.Mutex
	classes   map[string]*classRecord
	order     []string
	sendDelay *hdrhistogram.Histogram
	timeline  []Second
	totals    Report
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, histMax, histDigits) }

func newRecorder(o Options) *recorder {
	r := &recorder{classes: map[string]*classRecord{}, sendDelay: histogram()}
	for _, c := range o.Profile.Classes {
		r.order = append(r.order, c.Name)
		r.classes[c.Name] = &classRecord{
			refused: map[string]int{}, first: histogram(), gap: histogram(), total: histogram(), refusalTime: histogram(),
		}
	}
	r.timeline = make([]Second, int(o.Duration/time.Second)+1)
	for i := range r.timeline {
		r.timeline[i].At = i
	}
	return r
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only above histMax, so the value is clamped.
	_ = h.RecordValue(min(max(1, d.Microseconds()), histMax))
}

func (r *recorder) gap(class string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordDuration(r.classes[class].gap, d)
}

func (r *recorder) notSent(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classes[a.Class.Name].notSent++
}

func (r *recorder) add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[s.Class]
	c.sent++
	recordDuration(r.sendDelay, s.SendDelay)
	second := &r.timeline[min(int(s.At/time.Second), len(r.timeline)-1)]
	second.Sent++
	r.totals.Reconnects += s.Reconnects
	if s.WrongReason != "" {
		c.wrong++
		r.totals.WrongAnswers = append(r.totals.WrongAnswers, s.Class+": "+s.WrongReason)
	}
	if s.Code != 0 {
		c.refused[codeName(s.Code)]++
		recordDuration(c.refusalTime, s.Total)
		second.Refused++
		if len(r.totals.Failures) < maxFailures {
			r.totals.Failures = append(r.totals.Failures, Failure{
				s.Key, s.Workspace, millis(s.At), millis(s.Total), s.Tokens, codeName(s.Code),
			})
		}
		return
	}
	c.served++
	second.Served++
	second.WorstFirstMS = max(second.WorstFirstMS, millis(s.First))
	recordDuration(c.first, s.First)
	recordDuration(c.total, s.Total)
	c.worstGap = max(c.worstGap, s.LongestGap)
	r.keepSlowest(s)
	r.totals.Tokens += s.Tokens
	r.totals.UnbrokenTokens += s.UnbrokenTokens
}

// keepSlowest adds s to the slowest requests if its first token was among the latest.
func (r *recorder) keepSlowest(s Sample) {
	list := append(r.totals.Slowest, Failure{s.Key, s.Workspace, millis(s.At), millis(s.First), s.Tokens, "first token"})
	slices.SortFunc(list, func(a, b Failure) int { return cmp.Compare(b.TookMS, a.TookMS) })
	r.totals.Slowest = list[:min(len(list), maxSlowest)]
}

func codeName(c result.Code) string {
	if c == codeNoAnswer {
		return "no_answer"
	}
	return result.Lookup(c).Name
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func (r *recorder) progressLine() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var parts []string
	for _, name := range r.order {
		c := r.classes[name]
		parts = append(parts, fmt.Sprintf("%s %d/%d", name, c.served, c.sent))
	}
	return strings.Join(parts, ", ")
}

func (r *recorder) report(o Options, arrivals int) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.totals
	out.Seed, out.Seconds, out.Arrivals = o.Seed, o.Duration.Seconds(), arrivals
	out.SentLateP99 = quantile(r.sendDelay, 99)
	out.Timeline = slices.Clone(r.timeline)
	for _, name := range r.order {
		out.Classes = append(out.Classes, r.classes[name].report(name))
	}
	return &out
}

func (c *classRecord) report(name string) ClassReport {
	return ClassReport{
		Class: name, Sent: c.sent, Served: c.served, NotSent: c.notSent, Wrong: c.wrong, Refused: c.refused,
		FirstP50: quantile(c.first, 50), FirstP95: quantile(c.first, 95), FirstP99: quantile(c.first, 99),
		GapP50: quantile(c.gap, 50), GapP95: quantile(c.gap, 95), GapP99: quantile(c.gap, 99),
		TotalP50: quantile(c.total, 50), TotalP99: quantile(c.total, 99),
		WorstGap: millis(c.worstGap), RefusedP50: quantile(c.refusalTime, 50),
	}
}

// Text formats the report as text.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %.0f s, %d arrivals, sent late p99 %.1f ms\n", r.Seed, r.Seconds, r.Arrivals, r.SentLateP99)
	fmt.Fprintf(&b, "%-16s %6s %6s %6s %9s %9s %9s %9s %9s %9s\n",
		"class", "sent", "served", "wrong", "first p50", "p95", "p99", "gap p95", "worst gap", "total p99")
	for _, c := range r.Classes {
		fmt.Fprintf(&b, "%-16s %6d %6d %6d %9.1f %9.1f %9.1f %9.1f %9.1f %9.1f\n",
			c.Class, c.Sent, c.Served, c.Wrong, c.FirstP50, c.FirstP95, c.FirstP99, c.GapP95, c.WorstGap, c.TotalP99)
		for _, name := range sortedKeys(c.Refused) {
			fmt.Fprintf(&b, "%-16s   %s: %d\n", "", name, c.Refused[name])
		}
	}
	fmt.Fprintf(&b, "%d tokens to callers, %d reconnects\n", r.Tokens, r.Reconnects)
	if r.EngineTokens > 0 {
		fmt.Fprintf(&b, "engines computed %d tokens for %d of unbroken runs (a cached prefix counts as saved)\n", r.EngineTokens, r.UnbrokenTokens)
	}
	if r.Edits > 0 {
		fmt.Fprintf(&b, "%d edits of the lists accepted, in force everywhere after p50 %.0f, at most %.0f ms\n", r.Edits, r.InForceP50, r.InForceMax)
	}
	for _, f := range r.Failures {
		fmt.Fprintf(&b, "not served: %s of %s, sent at %.1f s: %s after %.1f s and %d tokens\n",
			f.Key, f.Workspace, f.AtMS/1000, f.Name, f.TookMS/1000, f.Tokens)
	}
	for _, f := range r.Slowest {
		fmt.Fprintf(&b, "slowest first token: %s of %s, sent at %.1f s: %.2f s\n", f.Key, f.Workspace, f.AtMS/1000, f.TookMS/1000)
	}
	for _, w := range r.WrongAnswers {
		fmt.Fprintf(&b, "WRONG %s\n", w)
	}
	return b.String()
}

func sortedKeys(m map[string]int) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
