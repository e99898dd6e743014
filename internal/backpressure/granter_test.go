package backpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/virtualtime"
)

// The bounds of a rate limit: in any limitWindow at most limitFactor times the limit, and
// limitSlack requests more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5.0
	leastUse    = 0.9 // of the limit, while requests wait
)

// sendLog records when requests were sent.
type sendLog []time.Time

// worstWindow returns the largest number of sends within limitWindow, as a part of what the
// limit allows.
func (l sendLog) worstWindow(rate float64) float64 {
	most, first := 0, 0
	for i, at := range l {
		for at.Sub(l[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return float64(most) / (limitFactor*rate*limitWindow.Seconds() + limitSlack)
}

// use returns the sends as a part of the limit over a time.
func (l sendLog) use(rate float64, d time.Duration) float64 {
	return float64(len(l)) / (rate * d.Seconds())
}

// limiter decides whether a VM may send to the one server of a simulation.
type limiter interface {
	take(vm int, now time.Time) bool
	report(now time.Time) // VMs exchange reports
}

// granted limits by one Granter. VMs wait as they are told.
type granted struct {
	g      *Granter
	rate   float64
	denied []time.Time // by VM
	asked  int
}

func (w *granted) take(vm int, now time.Time) bool {
	if now.Before(w.denied[vm]) {
		return false
	}
	w.asked++
	wait := w.g.Take("s", fmt.Sprint(vm), w.rate, now)
	w.denied[vm] = now.Add(wait)
	return wait == 0
}
func (*granted) report(time.Time) {}

// equalShares gives each VM the same part of the limit.
type equalShares struct {
	rate float64
	vms  []bucket
}

func (w *equalShares) take(vm int, now time.Time) bool {
	b := &w.vms[vm]
	b.fill(w.rate/float64(len(w.vms)), now)
	if b.permits < 1 {
		return false
	}
	b.permits--
	return true
}
func (*equalShares) report(time.Time) {}

// demandShares gives each VM a part of the limit by the requests that it and the others
// reported last.
type demandShares struct {
	equalShares
	wanted, share []float64
}

func (w *demandShares) take(vm int, now time.Time) bool {
	w.wanted[vm]++
	b := &w.vms[vm]
	b.fill(w.rate*w.share[vm], now)
	if b.permits < 1 {
		return false
	}
	b.permits--
	return true
}

func (w *demandShares) report(time.Time) {
	sum := 0.0
	for _, n := range w.wanted {
		sum += n
	}
	for vm, n := range w.wanted {
		w.share[vm] = n / max(1, sum)
		w.wanted[vm] = n / 2 // a moving mean
	}
}

// limitLoad is simulated traffic to one server with a rate limit.
type limitLoad struct {
	name   string
	vms    int
	rate   float64
	choose func(now time.Duration, vms int, rng *rand.Rand) int // the VM of a caller
}

const (
	loadTime   = 60 * time.Second
	loadFactor = 8.0 // requests per request that the limit allows
)

func (l limitLoad) run(w limiter) sendLog {
	start := time.Unix(0, 0)
	q, rng := virtualtime.New(start), rand.New(rand.NewPCG(1, 2))
	var sent sendLog
	var arrive, report func()
	arrive = func() {
		if w.take(l.choose(q.Now().Sub(start), l.vms, rng), q.Now()) {
			sent = append(sent, q.Now())
		}
		q.After(time.Duration(rng.ExpFloat64()/(loadFactor*l.rate)*float64(time.Second)), arrive)
	}
	report = func() {
		w.report(q.Now())
		q.After(400*time.Millisecond, report)
	}
	q.After(0, arrive)
	q.After(0, report)
	q.Run(start.Add(loadTime))
	return sent
}

var limitLoads = func() []limitLoad {
	even := func(_ time.Duration, vms int, rng *rand.Rand) int { return rng.IntN(vms) }
	one := func(time.Duration, int, *rand.Rand) int { return 0 }
	moving := func(now time.Duration, vms int, _ *rand.Rand) int { return int(now/(3*time.Second)) % vms }
	var out []limitLoad
	for _, vms := range []int{12, 330} {
		for _, rate := range []float64{0.5, 9, 100} {
			for _, c := range []struct {
				name   string
				choose func(time.Duration, int, *rand.Rand) int
			}{{"even", even}, {"one VM", one}, {"moving", moving}} {
				out = append(out, limitLoad{fmt.Sprintf("%d VMs, limit %v, %s", vms, rate, c.name), vms, rate, c.choose})
			}
		}
	}
	return out
}()

// A server with a rate limit must receive what it allows and no more, from dozens or hundreds
// of VMs, whether callers use all of them or one. Shares for each VM leave most of the limit
// unused, or exceed it when callers move.
func TestGranterUsesTheLimit(t *testing.T) {
	for _, l := range limitLoads {
		t.Run(l.name, func(t *testing.T) {
			g := &granted{g: NewGranter(rand.New(rand.NewPCG(3, 4)).Float64), rate: l.rate, denied: make([]time.Time, l.vms)}
			equal := &equalShares{l.rate, make([]bucket, l.vms)}
			demand := &demandShares{equalShares{l.rate, make([]bucket, l.vms)}, make([]float64, l.vms), make([]float64, l.vms)}
			for i := range l.vms {
				equal.vms[i].filledAt, demand.vms[i].filledAt = time.Unix(0, 0), time.Unix(0, 0)
			}
			sent, byEqual, byDemand := l.run(g), l.run(equal), l.run(demand)
			t.Logf("use and worst window: granter %.2f %.2f (asked %.1f times a send); equal shares %.2f %.2f; shares by demand %.2f %.2f",
				sent.use(l.rate, loadTime), sent.worstWindow(l.rate), float64(g.asked)/float64(max(1, len(sent))),
				byEqual.use(l.rate, loadTime), byEqual.worstWindow(l.rate), byDemand.use(l.rate, loadTime), byDemand.worstWindow(l.rate))
			if worst := sent.worstWindow(l.rate); worst > 1 {
				t.Errorf("got %.2f times the allowed requests in a window, want at most 1", worst)
			}
			if use := sent.use(l.rate, loadTime); use < leastUse {
				t.Errorf("got %.2f of the limit used, want %v or more", use, leastUse)
			}
		})
	}
}

// Two control VMs that both grant, since VMs disagree on which of them answers, must not
// together grant twice the limit for longer than reports take.
func TestTwoGrantersShareALimit(t *testing.T) {
	const rate = 20.0
	now := time.Unix(0, 0)
	rng := rand.New(rand.NewPCG(5, 6))
	granters := []*Granter{NewGranter(rng.Float64), NewGranter(rng.Float64)}
	var sent sendLog
	grants := make([]uint64, 2)
	for step := range 60_000 {
		now = now.Add(time.Millisecond)
		for i, g := range granters {
			if g.Take("s", "vm", rate, now) == 0 {
				sent = append(sent, now)
				grants[i]++
			}
		}
		if step%400 == 0 {
			granters[0].Debit("s", grants[1], now)
			granters[1].Debit("s", grants[0], now)
			grants[0], grants[1] = 0, 0
		}
	}
	if worst := sent.worstWindow(rate); worst > 1 {
		t.Errorf("got %.2f times the allowed requests in a window, want at most 1", worst)
	}
	if use := sent.use(rate, time.Minute); use < leastUse {
		t.Errorf("got %.2f of the limit used, want %v or more", use, leastUse)
	}
}

// A control VM that takes over must start slowly, since the former one may still grant.
func TestGranterStartsSlowly(t *testing.T) {
	const rate = 40.0
	start := time.Unix(0, 0)
	g := NewGranter(func() float64 { return 0 })
	granted := 0
	for ms := range 2000 {
		if g.Take("s", "vm", rate, start.Add(time.Duration(ms)*time.Millisecond)) == 0 {
			granted++
		}
	}
	if most := int(settleShare * rate * 2); granted > most {
		t.Errorf("got %d permits within 2 s of a takeover, want at most %d", granted, most)
	}
}

// A VM that is denied a permit must not ask again at the same moment, or it would ask
// without end.
func TestDeniedVMWaits(t *testing.T) {
	now := time.Unix(0, 0)
	var s Server
	s.Learn(Statement{Limit: LimitStatement{Kind: LimitStated, Rate: 9}}, 1, now, now)
	if s.Check(NewWork, now) != NeedsPermit {
		t.Fatal("a server with a limit accepts a request without a permit")
	}
	if _, ok := s.TakeShare(NewWork, 2, 0.5, now); ok {
		t.Fatal("got a permit of an own share at its start, want none")
	}
	s.Denied(0, now)
	if s.Check(NewWork, now) != AtLimit {
		t.Error("a server for which a permit was denied may be asked for at once, want it withheld")
	}
}

// A permit must not outlast a stall of its VM, nor the statement of a limit after it.
func TestPermitIsCheckedAtTheSend(t *testing.T) {
	now := time.Unix(0, 0)
	limited := Statement{Limit: LimitStatement{Kind: LimitStated, Rate: 9}}
	var s Server
	if !s.Use(Permit{}, now) {
		t.Error("a server without a limit refused a send")
	}
	s.Learn(limited, 1, now, now)
	if s.Use(Permit{}, now) {
		t.Error("a send without a permit passed after the server had stated a limit")
	}
	if p := s.Granted(NewWork, "c1", now); s.Use(p, now.Add(permitTTL+time.Millisecond)) || !s.Use(p, now.Add(permitTTL)) {
		t.Error("a permit is not valid for permitTTL exactly")
	}
	if got := s.SentElsewhere("c1"); got != 0 {
		t.Errorf("got %d sends without a permit of c1, want 0", got)
	}
	if got := s.SentElsewhere("c2"); got != 1 {
		t.Errorf("got %d sends without a permit of c2, want 1", got)
	}
}

// Hundreds of VMs that lose all control VMs at the same moment must not send their shares at
// the same moment, neither at once nor after a time without requests.
func TestSharesAreNotSentAtOnce(t *testing.T) {
	for _, tt := range []struct {
		vms  int
		rate float64
		idle time.Duration // without requests, after the control VMs were lost
	}{
		{12, 9, 0}, {12, 9, time.Minute}, {330, 9, 0}, {330, 9, 10 * time.Minute}, {330, 0.5, time.Hour}, {1, 9, time.Minute},
	} {
		t.Run(fmt.Sprint(tt), func(t *testing.T) {
			now, rng := time.Unix(0, 0), rand.New(rand.NewPCG(7, 8))
			servers := make([]Server, tt.vms)
			limited := Statement{Limit: LimitStatement{Kind: LimitStated, Rate: tt.rate}}
			ask := func(s *Server) bool {
				_, ok := s.TakeShare(NewWork, tt.vms, rng.Float64(), now)
				return ok
			}
			for i := range servers {
				servers[i].Learn(limited, tt.vms, now, now)
				ask(&servers[i])
			}
			now = now.Add(tt.idle)
			var sent sendLog
			for range 6000 {
				now = now.Add(10 * time.Millisecond)
				for i := range servers {
					if ask(&servers[i]) {
						sent = append(sent, now)
					}
				}
			}
			if worst := sent.worstWindow(tt.rate); worst > 1 {
				t.Errorf("got %.2f times the allowed requests in a window, want at most 1", worst)
			}
			if use := sent.use(tt.rate, time.Minute); use < 0.8*shareWithoutGranter || use > 1.1 {
				t.Errorf("got %.2f of the limit used, want about %v", use, shareWithoutGranter)
			}
		})
	}
}
