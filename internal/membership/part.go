package membership

import (
	"fmt"
	"slices"
	"strings"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// FirstVersion is the lowest version of a committed list; below it are the
// static lists that VMs use before the system has formed.
const FirstVersion = 2

type evidence struct {
	Suspect Suspect `cbor:"1,keyasint"`
	Zone    string  `cbor:"2,keyasint"`
	AtMS    int64   `cbor:"3,keyasint"`
}

// state is everything that a snapshot carries. Views are oldest first; the last
// is the present one.
type state struct {
	Views     []View     `cbor:"1,keyasint"`
	Evidence  []evidence `cbor:"2,keyasint"`
	Evictions []int64    `cbor:"3,keyasint"` // times within the last minute
	Expected  int        `cbor:"4,keyasint"` // VMs until the list counts as formed
	FormedAt  uint64     `cbor:"5,keyasint"` // first version by which journals are placed; 0: none yet
}

// Part is the list in the control group's state. It implements control.Part.
type StateMachine struct{ s state }

// NewPart returns an empty list.
func NewStateMachine() *StateMachine { return &StateMachine{} }

func (p *StateMachine) present() View {
	if n := len(p.s.Views); n > 0 {
		return p.s.Views[n-1]
	}
	return View{Version: FirstVersion - 1}
}

// Version implements control.Part.
func (p *StateMachine) Version() uint64 {
	if len(p.s.Views) == 0 {
		return 0
	}
	return p.present().Version
}

// Apply executes an encoded Command.
func (p *StateMachine) Apply(nowMS int64, data []byte) []byte {
	var cmd Command
	if err := codec.Unmarshal(data, &cmd); err == nil {
		p.Execute(nowMS, &cmd)
	}
	out, err := codec.Marshal(Reply{p.Version()})
	if err != nil {
		panic(err) // a struct of one number always encodes
	}
	return out
}

// Execute executes a command at the group's time.
func (p *StateMachine) Execute(nowMS int64, cmd *Command) {
	switch {
	case cmd.Join != nil:
		p.join(nowMS, cmd.Join)
	case cmd.Leave != nil:
		p.leave(nowMS, cmd.Leave)
	case cmd.Suspect != nil:
		p.suspect(nowMS, cmd.Suspect)
	}
}

func (p *StateMachine) join(nowMS int64, j *Join) {
	p.s.Expected = max(p.s.Expected, j.Expected)
	vm := j.VM
	vm.State, vm.SinceMS = Live, nowMS
	p.clear(vm.ID)
	if old, ok := p.find(vm.ID); ok && old.Incarnation == vm.Incarnation {
		// A VM that has begun to leave stays leaving, whatever comes late.
		if old.State != Dead && old.PeerAddr == vm.PeerAddr && old.Endpoint == vm.Endpoint || old.State == Leaving {
			return
		}
	}
	p.put(nowMS, vm)
}

func (p *StateMachine) leave(nowMS int64, l *Leave) {
	vm, ok := p.find(l.VM)
	if !ok || vm.Incarnation != l.Incarnation {
		return
	}
	if l.Left {
		p.drop(nowMS, l.VM)
		return
	}
	if vm.State != Leaving {
		vm.State, vm.SinceMS = Leaving, nowMS
		p.put(nowMS, vm)
	}
}

func (p *StateMachine) suspect(nowMS int64, s *Suspect) {
	vm, ok := p.find(s.VM)
	observer, known := p.find(s.Observer)
	if !ok || !known || vm.Incarnation != s.Incarnation || observer.State == Dead || s.VM == s.Observer {
		return
	}
	p.record(nowMS, evidence{*s, observer.Zone, nowMS})
	zones, absent := p.agree(s.VM)
	if zones < p.needed(s.VM) {
		return
	}
	switch {
	case vm.State != Dead && p.mayEvict(nowMS):
		p.s.Evictions = append(p.s.Evictions, nowMS)
		vm.State, vm.SinceMS = Dead, nowMS
		p.put(nowMS, vm)
	case vm.State == Dead && absent && nowMS-vm.SinceMS >= removeAfterMS:
		p.drop(nowMS, vm.ID)
	}
}

// removeAfterMS: a dead VM that the platform does not list either is removed
// with its memory. A minute is beyond the lag of the platform's list.
const removeAfterMS = 60_000

// record keeps the newest evidence of each observer on each VM.
func (p *StateMachine) record(nowMS int64, e evidence) {
	p.s.Evidence = slices.DeleteFunc(p.s.Evidence, func(o evidence) bool {
		same := o.Suspect.VM == e.Suspect.VM && o.Suspect.Observer == e.Suspect.Observer
		return same || nowMS-o.AtMS > evidenceFor.Milliseconds()
	})
	p.s.Evidence = append(p.s.Evidence, e)
}

// agree counts the zones that suspect a VM; absent: all of them say that the
// platform has dropped it.
func (p *StateMachine) agree(vm string) (zones int, absent bool) {
	var seen []string
	absent = true
	for _, e := range p.s.Evidence {
		if e.Suspect.VM != vm {
			continue
		}
		absent = absent && e.Suspect.Absent
		if !slices.Contains(seen, e.Zone) {
			seen = append(seen, e.Zone)
		}
	}
	return len(seen), absent
}

// needed is zonesNeeded, or as many zones as other living VMs are in.
func (p *StateMachine) needed(vm string) int {
	var zones []string
	for _, o := range p.present().VMs {
		if o.ID != vm && o.State != Dead && !slices.Contains(zones, o.Zone) {
			zones = append(zones, o.Zone)
		}
	}
	return max(1, min(zonesNeeded, len(zones)))
}

func (p *StateMachine) mayEvict(nowMS int64) bool {
	p.s.Evictions = slices.DeleteFunc(p.s.Evictions, func(at int64) bool { return nowMS-at >= 60_000 })
	all, dead := 0, 0
	for _, vm := range p.present().VMs {
		all++
		if vm.State == Dead {
			dead++
		}
	}
	perMinute := max(minuteLeast, int(float64(all)*minuteShare+0.5))
	return len(p.s.Evictions) < perMinute && dead < max(1, int(float64(all)*deadShare))
}

func (p *StateMachine) clear(vm string) {
	p.s.Evidence = slices.DeleteFunc(p.s.Evidence, func(e evidence) bool { return e.Suspect.VM == vm })
}

func (p *StateMachine) find(id string) (VM, bool) {
	v := p.present()
	return v.Find(id)
}

// put adds a version with the VM as given.
func (p *StateMachine) put(nowMS int64, vm VM) {
	vms := slices.DeleteFunc(slices.Clone(p.present().VMs), func(o VM) bool { return o.ID == vm.ID })
	vms = append(vms, vm)
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(a.ID, b.ID) })
	p.add(nowMS, vms)
}

func (p *StateMachine) drop(nowMS int64, id string) {
	p.clear(id)
	// Once all have left no journal is left either: the first VM of the next
	// start must not place journals by a list of one.
	if len(p.present().VMs) == 1 {
		p.s.FormedAt = 0
	}
	p.add(nowMS, slices.DeleteFunc(slices.Clone(p.present().VMs), func(o VM) bool { return o.ID == id }))
}

// add appends a version and forgets old ones. Until the list has formed only the
// present version is kept: nothing was placed by those before it.
func (p *StateMachine) add(nowMS int64, vms []VM) {
	next := View{Version: p.present().Version + 1, AtMS: nowMS, VMs: vms}
	if p.s.FormedAt == 0 {
		p.s.Views = nil
	}
	// Until then a journal placed by the list would have fewer keepers than it
	// should. Once formed it stays so, however many VMs are lost.
	if p.s.FormedAt == 0 && len(vms) >= min(p.s.Expected, formedAt) {
		p.s.FormedAt = next.Version
	}
	p.s.Views = append(p.s.Views, next)
	for len(p.s.Views) > keepAtLeast {
		// A version has stopped being the present one when its successor came.
		ended := p.s.Views[1].AtMS
		if nowMS-ended < keepFor.Milliseconds() && len(p.s.Views) <= keepAtMost {
			break
		}
		p.s.Views = slices.Clone(p.s.Views[1:])
	}
}

// formedAt is the most that a system waits for: five keepers of a journal.
const formedAt = 5

// change is what watchers get: the whole history, which is small and rarely
// changes.
type change struct {
	Views    []View `cbor:"1,keyasint"`
	FormedAt uint64 `cbor:"2,keyasint"`
}

// Changes implements control.Part. A watcher gets the versions it lacks.
func (p *StateMachine) Changes(since uint64) []byte {
	c := change{FormedAt: p.s.FormedAt}
	for _, v := range p.s.Views {
		if v.Version > since {
			c.Views = append(c.Views, v)
		}
	}
	out, err := codec.Marshal(c)
	if err != nil {
		panic(err) // a struct of numbers and texts always encodes
	}
	return out
}

// Snapshot implements control.Part.
func (p *StateMachine) Snapshot() ([]byte, error) { return codec.Marshal(&p.s) }

// Restore implements control.Part.
func (p *StateMachine) Restore(data []byte) error {
	var s state
	if err := codec.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("membership: snapshot: %w", err)
	}
	p.s = s
	return nil
}
