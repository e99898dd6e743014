package call

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

type claimRecord struct {
	Ref       Ref     `cbor:"1,keyasint"`
	Request   Digest  `cbor:"2,keyasint"`
	Claimant  string  `cbor:"3,keyasint"`
	State     State   `cbor:"4,keyasint"`
	Attempt   int     `cbor:"5,keyasint"`
	ClaimedMS int64   `cbor:"6,keyasint"`
	GrantedMS int64   `cbor:"7,keyasint"`
	Answer    *Answer `cbor:"8,keyasint,omitempty"`
}

type hourRecord struct {
	StartMS int64         `cbor:"1,keyasint"`
	Digests []byte        `cbor:"2,keyasint"` // 8 bytes each, sorted
	Counts  []countRecord `cbor:"3,keyasint"`
}

type countRecord struct {
	Workspace string `cbor:"1,keyasint"`
	Keys      int    `cbor:"2,keyasint"`
}

type stateMachineRecord struct {
	Claims []claimRecord `cbor:"1,keyasint"`
	Hours  []hourRecord  `cbor:"2,keyasint"`
	Clock  clock         `cbor:"3,keyasint"`
}

// Snapshot implements control.StateMachine. Equal states have equal snapshots.
func (p *StateMachine) Snapshot() ([]byte, error) {
	out := stateMachineRecord{Clock: p.clock}
	for _, c := range p.order {
		out.Claims = append(out.Claims, claimRecord{
			c.ref, c.request, c.claimant, c.state, c.attempt, c.claimedMS, c.grantedMS, c.answer,
		})
	}
	for i := range p.keys.hours {
		out.Hours = append(out.Hours, p.keys.hours[i].record())
	}
	return codec.Marshal(&out)
}

func (h *hour) record() hourRecord {
	out := hourRecord{StartMS: h.startMS}
	for _, d := range h.digests() {
		out.Digests = binary.BigEndian.AppendUint64(out.Digests, d)
	}
	for w, n := range h.byWorkspace {
		out.Counts = append(out.Counts, countRecord{w, n})
	}
	slices.SortFunc(out.Counts, func(a, b countRecord) int {
		if a.Workspace < b.Workspace {
			return -1
		}
		return 1
	})
	return out
}

// Restore implements control.StateMachine.
func (p *StateMachine) Restore(data []byte) error {
	var in stateMachineRecord
	if err := codec.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("call: snapshot: %w", err)
	}
	fresh := NewStateMachine(p.limits)
	fresh.clock = in.Clock
	for _, h := range in.Hours {
		if err := fresh.keys.restore(h); err != nil {
			return err
		}
	}
	for _, c := range in.Claims {
		fresh.restore(c)
	}
	*p = *fresh
	return nil
}

func (m *usedKeys) restore(r hourRecord) error {
	if len(r.Digests)%8 != 0 {
		return fmt.Errorf("call: snapshot: key digests take %d bytes, which is not a multiple of 8", len(r.Digests))
	}
	h := hour{startMS: r.StartMS, recent: map[uint64]struct{}{}, byWorkspace: map[string]int{}}
	for b := r.Digests; len(b) > 0; b = b[8:] {
		h.sorted = append(h.sorted, binary.BigEndian.Uint64(b))
	}
	for _, c := range r.Counts {
		h.byWorkspace[c.Workspace] = c.Keys
		m.byWorkspace[c.Workspace] += c.Keys
		m.total += c.Keys
	}
	m.hours = append(m.hours, h)
	return nil
}

func (p *StateMachine) restore(r claimRecord) {
	c := &claim{r.Ref, r.Request, r.Claimant, r.State, r.Attempt, r.ClaimedMS, r.GrantedMS, r.Answer}
	p.claims[c.ref] = c
	p.order = append(p.order, c)
	p.counts[c.ref.Workspace]++
	held := c.answer.size()
	if c.state == Granted {
		held = p.limits.MaxAnswerBytes
	}
	p.charge(c.ref.Workspace, held)
}
