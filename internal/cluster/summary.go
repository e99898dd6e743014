package cluster

import (
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// The load pattern. Hundreds of VMs ask one control VM, some times a second each, what
// all the others do. Summed and encoded for each of them, that takes a time which grows
// with the square of the VMs: at 330 VMs before 710 engines three quarters of a core,
// of the half that there is. The control VM then answers nobody in time, and is taken
// for lost by all of them.
//
// So the sum is made and encoded once for all who ask within a moment, the asker's own
// part included, which is told beside it and which the asker takes off.

// summaryFor is how long a summary is told: far below the time between two notices, by
// which every part of it is older.
const summaryFor = 50 * time.Millisecond

// Summary is what all VMs told a control VM.
type Summary struct {
	Routers []string                 `cbor:"1,keyasint,omitempty"` // VMs that take callers, by id
	Use     map[string]placement.Use `cbor:"2,keyasint,omitempty"` // of backend servers
	Deaths  []recovery.Death         `cbor:"3,keyasint,omitempty"`
	Dead    []string                 `cbor:"4,keyasint,omitempty"` // judged dead lately
	// Short names the services whose memory is needed for prompts.
	Short []string `cbor:"5,keyasint,omitempty"`
}

// summary is a Summary as it is told.
type summary struct {
	made      time.Time
	encoded   cbor.RawMessage
	entrances []string                            // of Routers, by address
	use       map[string]map[string]placement.Use // by VM: its part of Use
}

// summarize returns the summary that is told now.
func (h *Hub) summarize() (*summary, error) {
	h.mu.Lock()
	s := h.summed
	h.mu.Unlock()
	if s != nil && time.Since(s.made) < summaryFor {
		return s, nil
	}
	short := h.schedule.short()
	h.mu.Lock()
	defer h.mu.Unlock()
	s, err := h.sum(short, time.Now())
	if err == nil {
		h.summed = s
	}
	return s, err
}

// sum needs h.mu.
func (h *Hub) sum(short []string, now time.Time) (*summary, error) {
	s := &summary{made: now, use: map[string]map[string]placement.Use{}}
	told := Summary{Use: map[string]placement.Use{}, Deaths: h.recentDeaths(now), Short: short}
	var ready []seen
	for vm, v := range h.vms {
		if now.Sub(v.at) > presentFor {
			continue
		}
		s.use[vm] = v.notice.Told.Use
		for id, u := range v.notice.Told.Use {
			told.Use[id] = told.Use[id].Add(u)
		}
		told.Dead = append(told.Dead, v.notice.Dead...)
		if v.takesCallers() {
			ready = append(ready, v)
		}
	}
	slices.SortFunc(ready, func(a, b seen) int { return strings.Compare(a.notice.Callers, b.notice.Callers) })
	for _, v := range ready {
		told.Routers = append(told.Routers, v.vm)
		s.entrances = append(s.entrances, v.notice.Callers)
	}
	slices.Sort(told.Dead)
	told.Dead = slices.Compact(told.Dead)
	var err error
	s.encoded, err = codec.Marshal(&told)
	return s, err
}

// recentDeaths needs h.mu.
func (h *Hub) recentDeaths(now time.Time) []recovery.Death {
	h.deaths = slices.DeleteFunc(h.deaths, func(d toldDeath) bool { return now.Sub(d.at) > deathsFor })
	out := make([]recovery.Death, 0, len(h.deaths))
	for _, d := range h.deaths {
		out = append(out, d.death)
	}
	return out
}

// learn reads what a control VM told of all VMs, and takes this VM's part off.
func (a *Answer) learn(own []string) error {
	if len(a.Encoded) == 0 {
		return nil
	}
	if err := codec.Unmarshal(a.Encoded, &a.Summary); err != nil {
		return err
	}
	for id, u := range a.Own {
		rest := a.Use[id].Add(u.Negative())
		if rest == (placement.Use{}) {
			delete(a.Use, id)
			continue
		}
		a.Use[id] = rest
	}
	a.Dead = slices.DeleteFunc(a.Dead, func(id string) bool { return slices.Contains(own, id) })
	return nil
}
