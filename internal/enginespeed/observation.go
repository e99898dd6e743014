package enginespeed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Observation sums what one VM measured on an engine since its last report. A report that is
// lost loses these measurements, and nothing else. All fields are sums, so that observations
// are added by adding their fields, except Slowdown and its age.
type Observation struct {
	// Prompts, PromptTokens and PrefillUS describe prompts that the engine prefilled one at a
	// time: their number, their tokens and their prefill times in microseconds.
	Prompts      int   `cbor:"1,keyasint,omitempty"`
	PromptTokens int   `cbor:"2,keyasint,omitempty"`
	PrefillUS    int64 `cbor:"3,keyasint,omitempty"`
	// Windows counts the windows of events. GapUS sums the median time between two events of
	// each window in microseconds, which prefills of other prompts do not affect. Batch, BatchSquares and BatchGapUS
	// sum the number of runs on the engine, its square and its product with the gap.
	Windows      int   `cbor:"4,keyasint,omitempty"`
	GapUS        int64 `cbor:"5,keyasint,omitempty"`
	Batch        int64 `cbor:"6,keyasint,omitempty"`
	BatchSquares int64 `cbor:"7,keyasint,omitempty"`
	BatchGapUS   int64 `cbor:"8,keyasint,omitempty"`
	// Pauses counts runs that shared the engine with other runs. PauseMS and PauseSquares sum
	// the longest gap of each in milliseconds, and its square.
	Pauses       int   `cbor:"9,keyasint,omitempty"`
	PauseMS      int64 `cbor:"10,keyasint,omitempty"`
	PauseSquares int64 `cbor:"11,keyasint,omitempty"`
	// Slowdown is how many times longer than usual work takes on the engine's machine, by the
	// engine's last statement, in thousandths; 0: not stated. SlowdownAgeMS is its age in
	// milliseconds.
	Slowdown      int64 `cbor:"12,keyasint,omitempty"`
	SlowdownAgeMS int64 `cbor:"13,keyasint,omitempty"`
}

// Bounds of single measurements. Anything beyond them is an error of a clock or of a message.
const (
	maxPrefill = 2 * time.Minute
	maxGap     = 30 * time.Second
	maxBatch   = 4096
	maxCount   = 1 << 16 // measurements of a kind in one observation
)

// AddPrompt adds a prompt that the engine prefilled while it prefilled no other.
func (o *Observation) AddPrompt(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 || took > maxPrefill || o.Prompts >= maxCount {
		return
	}
	o.Prompts++
	o.PromptTokens += tokens
	o.PrefillUS += took.Microseconds()
}

// AddWindow adds the median time between two events of a window, and the number of runs on the
// engine.
func (o *Observation) AddWindow(gap time.Duration, batch int) {
	if gap <= 0 || gap > maxGap || batch <= 0 || batch > maxBatch || o.Windows >= maxCount {
		return
	}
	us, n := gap.Microseconds(), int64(batch)
	o.Windows++
	o.GapUS += us
	o.Batch += n
	o.BatchSquares += n * n
	o.BatchGapUS += n * us
}

// AddPause adds the longest gap of a run that shared its engine with other runs.
func (o *Observation) AddPause(longest time.Duration) {
	if longest <= 0 || longest > maxGap || o.Pauses >= maxCount {
		return
	}
	ms := longest.Milliseconds()
	o.Pauses++
	o.PauseMS += ms
	o.PauseSquares += ms * ms
}

// State records a slowdown that the engine states. What is not above 0 is no statement.
func (o *Observation) State(slowdown float64, age time.Duration) {
	if !(slowdown > 0) || age < 0 { // also if it is no number
		return
	}
	o.Slowdown, o.SlowdownAgeMS = int64(1000*min(slowdown, maxSlowdown)), age.Milliseconds()
}

// Count is the number of measurements, by which the observations to report first are chosen.
func (o *Observation) Count() int { return o.Prompts + o.Windows + o.Pauses }

// plausible reports whether an observation of another VM can be used.
func (o *Observation) plausible() bool {
	counts := max(o.Prompts, o.Windows, o.Pauses) <= maxCount && min(o.Prompts, o.Windows, o.Pauses) >= 0
	prompts := o.PromptTokens >= o.Prompts && o.PrefillUS >= 0 && o.PrefillUS <= int64(o.Prompts)*maxPrefill.Microseconds()
	gaps := o.GapUS >= 0 && o.GapUS <= int64(o.Windows)*maxGap.Microseconds() && o.Batch >= int64(o.Windows) && o.Batch <= int64(o.Windows)*maxBatch
	products := o.BatchSquares >= 0 && o.BatchSquares <= maxBatch*o.Batch && o.BatchGapUS >= 0 && o.BatchGapUS <= maxBatch*o.GapUS
	pauses := o.PauseMS >= 0 && o.PauseMS <= int64(o.Pauses)*maxGap.Milliseconds() && o.PauseSquares >= 0 && o.PauseSquares <= maxGap.Milliseconds()*o.PauseMS
	return counts && prompts && gaps && products && pauses
}

// TakeMost removes from all, by engine, the n observations with the most measurements and
// returns them.
func TakeMost(all map[string]*Observation, n int) map[string]Observation {
	if len(all) == 0 {
		return nil
	}
	ids := slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		return cmp.Or(cmp.Compare(all[b].Count(), all[a].Count()), cmp.Compare(a, b))
	})
	out := make(map[string]Observation, min(n, len(ids)))
	for _, id := range ids[:min(n, len(ids))] {
		out[id] = *all[id]
		delete(all, id)
	}
	return out
}

// Sum returns two sets of observations by engine, the later one with its statements.
func Sum(earlier, later map[string]Observation) map[string]Observation {
	if len(earlier) == 0 {
		return later
	}
	out := maps.Clone(earlier)
	for id, o := range later {
		out[id] = out[id].plus(o)
	}
	return out
}

func (o Observation) plus(later Observation) Observation {
	sum := Observation{
		Prompts: o.Prompts + later.Prompts, PromptTokens: o.PromptTokens + later.PromptTokens, PrefillUS: o.PrefillUS + later.PrefillUS,
		Windows: o.Windows + later.Windows, GapUS: o.GapUS + later.GapUS, Batch: o.Batch + later.Batch,
		BatchSquares: o.BatchSquares + later.BatchSquares, BatchGapUS: o.BatchGapUS + later.BatchGapUS,
		Pauses: o.Pauses + later.Pauses, PauseMS: o.PauseMS + later.PauseMS, PauseSquares: o.PauseSquares + later.PauseSquares,
		Slowdown: o.Slowdown, SlowdownAgeMS: o.SlowdownAgeMS,
	}
	if later.Slowdown > 0 {
		sum.Slowdown, sum.SlowdownAgeMS = later.Slowdown, later.SlowdownAgeMS
	}
	return sum
}
