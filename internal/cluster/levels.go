package cluster

import (
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/overload"
	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
)

// knownLevels holds the refusal levels that the deciding control VM stated, by service. Safe
// for concurrent use.
type knownLevels struct {
	mu     sync.Mutex
	levels map[string]knownLevel
}

type knownLevel struct {
	overload.Level
	at time.Time
}

// replace takes the levels in a heartbeat's reply, which are those of all services.
func (k *knownLevels) replace(levels map[string]overload.Level, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.levels = make(map[string]knownLevel, len(levels))
	for service, l := range levels {
		k.levels[service] = knownLevel{l, now}
	}
}

// learn takes the level in an answer.
func (k *knownLevels) learn(service string, l *overload.Level, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.levels == nil {
		k.levels = map[string]knownLevel{}
	}
	k.levels[service] = knownLevel{*l, now}
}

// RefusalLevel returns which new streams of a service are refused. It returns false if none
// are, or if the deciding control VM has not stated a level for overload.MaxAge.
func (m *Member) RefusalLevel(service string) (overload.Level, bool) {
	k := &m.placing.levels
	k.mu.Lock()
	defer k.mu.Unlock()
	l, ok := k.levels[service]
	return l.Level, ok && time.Since(l.at) <= overload.MaxAge
}

// learnLevels takes the levels in a reply of the control VM that decides about streams. Other
// control VMs state none.
func (m *Member) learnLevels(vm string, levels map[string]overload.Level) {
	if vm == m.scheduler() {
		m.placing.levels.replace(levels, time.Now())
	}
}

// publishLevels keeps the refusal levels for replies and answers. It needs c.mu. It reports
// whether there are any, which must be followed in further rounds.
func (c *schedulerService) publishLevels(now time.Time) bool {
	levels := c.scheduler.Levels(now)
	if step := c.scheduler.RefusalStep(); int64(step) != c.refusalStep.Swap(int64(step)) {
		for service, l := range levels {
			c.log.Info().Str("service", service).Int("step", step).Int("priority", l.Priority).Bool("over_share", l.OverShare).Strs("surging", l.Surging).
				Float64("admitted", l.Admitted).Dur("retry_after", l.RetryAfter).Msg("refusal level changed")
		}
		if len(levels) == 0 {
			c.log.Info().Msg("refusal level changed: no streams are refused")
		}
	}
	c.levels.Store(&levels)
	return len(levels) > 0
}

// currentLevels returns the levels as of the last round.
func (c *schedulerService) currentLevels() map[string]overload.Level {
	if p := c.levels.Load(); p != nil {
		return *p
	}
	return nil
}

// withLevel adds the level of a ranked stream's service to an answer.
func (c *schedulerService) withLevel(st *scheduler.Stream, a scheduler.Answer) scheduler.Answer {
	if l, ok := c.currentLevels()[st.Service]; ok && st.Ranked {
		a.Level = &l
	}
	return a
}

// RefusalStep returns the step of the refusal level; see overload.Tracker.
func (h *Hub) RefusalStep() int64 { return h.scheduling.refusalStep.Load() }
