package routes

import (
	"bytes"
	"fmt"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// Outcome is what became of a list that an operator sent.
type Outcome uint8

// The outcomes.
const (
	Accepted   Outcome = 1
	Unchanged  Outcome = 2 // the same list is in force already
	Superseded Outcome = 3 // a higher version is in force; nothing changed
	Conflict   Outcome = 4 // other content is held under this version
	Unreadable Outcome = 5
)

// Reply tells an operator's outcome and the version in force after it.
type Reply struct {
	Outcome Outcome `cbor:"1,keyasint"`
	Version uint64  `cbor:"2,keyasint"`
}

// Part is the list in the control group's state. It implements control.Part.
//
// Safeguard: the decision is taken where the log is applied, so that two
// operators who race with one version cannot both be told that theirs holds.
type StateMachine struct{ held List }

// NewPart returns a Part without a list.
func NewStateMachine() *StateMachine { return &StateMachine{} }

// Version implements control.Part.
func (p *StateMachine) Version() uint64 { return p.held.Version }

// List is the list in force; Version 0: none yet. It must not be changed.
func (p *StateMachine) List() *List { return &p.held }

// Apply executes an encoded List.
func (p *StateMachine) Apply(_ int64, cmd []byte) []byte {
	var l List
	outcome := Unreadable
	if err := codec.Unmarshal(cmd, &l); err == nil {
		outcome = p.put(l)
	}
	out, err := codec.Marshal(Reply{outcome, p.held.Version})
	if err != nil {
		panic(err) // a struct of two numbers always encodes
	}
	return out
}

func (p *StateMachine) put(l List) Outcome {
	switch {
	case l.Version > p.held.Version:
		p.held = l
		return Accepted
	case l.Version < p.held.Version:
		return Superseded
	case bytes.Equal(l.Source, p.held.Source):
		return Unchanged
	}
	return Conflict
}

// Changes implements control.Part: the whole list without the operator's text.
func (p *StateMachine) Changes(uint64) []byte {
	l := p.held
	l.Source = nil
	return mustMarshal(&l)
}

// Snapshot implements control.Part.
func (p *StateMachine) Snapshot() ([]byte, error) { return codec.Marshal(&p.held) }

// Restore implements control.Part.
func (p *StateMachine) Restore(data []byte) error {
	var l List
	if err := codec.Unmarshal(data, &l); err != nil {
		return fmt.Errorf("routes: snapshot: %w", err)
	}
	p.held = l
	return nil
}

func mustMarshal(v any) []byte {
	out, err := codec.Marshal(v)
	if err != nil {
		panic(err) // numbers, texts and lists of them always encode
	}
	return out
}
