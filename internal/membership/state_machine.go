package membership

import (
	"fmt"
	"slices"
	"strings"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// FirstVersion is the lowest version of a committed list. Lower versions belong to the
// static lists that VMs use before the system has formed.
const FirstVersion = 2

type evidence struct {
	Suspect Suspect `cbor:"1,keyasint"`
	Zone    string  `cbor:"2,keyasint"`
	AtMS    int64   `cbor:"3,keyasint"`
}

// state is the content of a snapshot. Views are sorted from oldest to newest; the last one is
// current.
type state struct {
	Views     []View     `cbor:"1,keyasint"`
	Evidence  []evidence `cbor:"2,keyasint"`
	Evictions []int64    `cbor:"3,keyasint"` // times of those within the last minute
	Expected  int        `cbor:"4,keyasint"` // highest Join.Expected; the list forms with that many VMs or maxFormationSize
	FormedAt  uint64     `cbor:"5,keyasint"` // first version by which journals are placed; 0: none yet
}

// StateMachine holds the list in the control group's replicated state. It implements
// control.StateMachine.
type StateMachine struct{ s state }

// NewStateMachine returns a StateMachine with an empty list.
func NewStateMachine() *StateMachine { return &StateMachine{} }

func (p *StateMachine) current() View {
	if n := len(p.s.Views); n > 0 {
		return p.s.Views[n-1]
	}
	return View{Version: FirstVersion - 1}
}

// Version returns the version of the current list; 0: none yet.
func (p *StateMachine) Version() uint64 {
	if len(p.s.Views) == 0 {
		return 0
	}
	return p.current().Version
}

// Apply executes an encoded Command and returns an encoded Reply. It ignores a command that
// cannot be decoded.
func (p *StateMachine) Apply(nowMS int64, data []byte) []byte {
	var cmd Command
	if err := codec.Unmarshal(data, &cmd); err == nil {
		p.Execute(nowMS, &cmd)
	}
	out, err := codec.Marshal(Reply{p.Version()})
	if err != nil {
		panic(err) // cannot happen: a struct of one number always encodes
	}
	return out
}

// Execute executes a command at a time of the group's clock, in Unix milliseconds.
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
	p.clearEvidence(vm.ID)
	if old, ok := p.find(vm.ID); ok && old.Incarnation == vm.Incarnation {
		// A delayed Join does not make a leaving VM live again.
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
	zones, absent := p.suspectingZones(s.VM)
	if zones < p.requiredZones(s.VM) {
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

// removeAfterMS is how long a VM has to be dead before it is removed, if the platform does
// not list it either. Its memory then counts as lost. A minute exceeds the lag of the
// platform's list.
const removeAfterMS = 60_000

// record stores the evidence in place of the observer's earlier evidence on the same VM, and
// removes expired evidence.
func (p *StateMachine) record(nowMS int64, e evidence) {
	p.s.Evidence = slices.DeleteFunc(p.s.Evidence, func(o evidence) bool {
		same := o.Suspect.VM == e.Suspect.VM && o.Suspect.Observer == e.Suspect.Observer
		return same || nowMS-o.AtMS > evidenceValidity.Milliseconds()
	})
	p.s.Evidence = append(p.s.Evidence, e)
}

// suspectingZones counts the zones with evidence against a VM. absent is true if all of the
// evidence says that the platform does not list the VM.
func (p *StateMachine) suspectingZones(vm string) (zones int, absent bool) {
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

// requiredZones returns minSuspectingZones, or the number of zones that have another VM that
// is not dead if that is less.
func (p *StateMachine) requiredZones(vm string) int {
	var zones []string
	for _, o := range p.current().VMs {
		if o.ID != vm && o.State != Dead && !slices.Contains(zones, o.Zone) {
			zones = append(zones, o.Zone)
		}
	}
	return max(1, min(minSuspectingZones, len(zones)))
}

func (p *StateMachine) mayEvict(nowMS int64) bool {
	p.s.Evictions = slices.DeleteFunc(p.s.Evictions, func(at int64) bool { return nowMS-at >= 60_000 })
	all, dead := 0, 0
	for _, vm := range p.current().VMs {
		all++
		if vm.State == Dead {
			dead++
		}
	}
	perMinute := max(minEvictionLimit, int(float64(all)*evictionShare+0.5))
	return len(p.s.Evictions) < perMinute && dead < max(1, int(float64(all)*maxDeadShare))
}

func (p *StateMachine) clearEvidence(vm string) {
	p.s.Evidence = slices.DeleteFunc(p.s.Evidence, func(e evidence) bool { return e.Suspect.VM == vm })
}

func (p *StateMachine) find(id string) (VM, bool) {
	v := p.current()
	return v.Find(id)
}

// put adds a version of the list in which vm replaces the VM with the same ID.
func (p *StateMachine) put(nowMS int64, vm VM) {
	vms := slices.DeleteFunc(slices.Clone(p.current().VMs), func(o VM) bool { return o.ID == vm.ID })
	vms = append(vms, vm)
	slices.SortFunc(vms, func(a, b VM) int { return strings.Compare(a.ID, b.ID) })
	p.add(nowMS, vms)
}

func (p *StateMachine) drop(nowMS int64, id string) {
	p.clearEvidence(id)
	// Once all VMs have left, no journal exists any more. The first VM of the next start
	// must not place journals by a list of one VM.
	if len(p.current().VMs) == 1 {
		p.s.FormedAt = 0
	}
	p.add(nowMS, slices.DeleteFunc(slices.Clone(p.current().VMs), func(o VM) bool { return o.ID == id }))
}

// add appends a version and removes old ones. Until the list has formed, only the current
// version is retained, because no journal was placed by an earlier one.
func (p *StateMachine) add(nowMS int64, vms []VM) {
	next := View{Version: p.current().Version + 1, AtMS: nowMS, VMs: vms}
	if p.s.FormedAt == 0 {
		p.s.Views = nil
	}
	// A journal placed by a list that has not formed would have too few keepers. A formed
	// list stays formed, however many VMs are lost.
	if p.s.FormedAt == 0 && len(vms) >= min(p.s.Expected, maxFormationSize) {
		p.s.FormedAt = next.Version
	}
	p.s.Views = append(p.s.Views, next)
	for len(p.s.Views) > minVersions {
		// A version stops being current when its successor is committed.
		ended := p.s.Views[1].AtMS
		if nowMS-ended < versionRetention.Milliseconds() && len(p.s.Views) <= maxVersions {
			break
		}
		p.s.Views = slices.Clone(p.s.Views[1:])
	}
}

// maxFormationSize is the number of VMs that suffices for a list to form: a journal has at
// most five keepers.
const maxFormationSize = 5

// change is what the VMs that follow the list receive. A VM without a version receives the
// complete history, which is small and rarely changes. Views are sorted from oldest to newest.
type change struct {
	Views    []View `cbor:"1,keyasint"`
	FormedAt uint64 `cbor:"2,keyasint"`
}

// Changes returns an encoded change with the retained versions after since.
func (p *StateMachine) Changes(since uint64) []byte {
	c := change{FormedAt: p.s.FormedAt}
	for _, v := range p.s.Views {
		if v.Version > since {
			c.Views = append(c.Views, v)
		}
	}
	out, err := codec.Marshal(c)
	if err != nil {
		panic(err) // cannot happen: a struct of numbers and strings always encodes
	}
	return out
}

// Snapshot returns the encoded state.
func (p *StateMachine) Snapshot() ([]byte, error) { return codec.Marshal(&p.s) }

// Restore replaces the state by a snapshot.
func (p *StateMachine) Restore(data []byte) error {
	var s state
	if err := codec.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("membership: snapshot: %w", err)
	}
	p.s = s
	return nil
}
