package routes

import (
	"bytes"
	"fmt"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// Outcome is the result of an operator's attempt to replace the list.
type Outcome uint8

// The outcomes.
const (
	Accepted   Outcome = 1
	Unchanged  Outcome = 2 // the same list is already in force
	Superseded Outcome = 3 // a higher version is in force; nothing changed
	Conflict   Outcome = 4 // another list with this version is in force
	Unreadable Outcome = 5 // the list could not be decoded
)

// Reply is the reply to an operator: the outcome and the version in force after it.
type Reply struct {
	Outcome Outcome `cbor:"1,keyasint"`
	Version uint64  `cbor:"2,keyasint"`
}

// StateMachine holds the route list in the control group's replicated state. It implements
// control.StateMachine.
//
// Versions are compared where the log is applied. Two operators who send different lists
// with the same version at the same time therefore cannot both have theirs accepted.
type StateMachine struct{ list List }

// NewStateMachine returns a StateMachine without a list.
func NewStateMachine() *StateMachine { return &StateMachine{} }

// Version returns the version of the list in force; 0: none yet.
func (p *StateMachine) Version() uint64 { return p.list.Version }

// List returns the list in force; Version 0: none yet. It must not be changed.
func (p *StateMachine) List() *List { return &p.list }

// Apply replaces the list by an encoded List and returns an encoded Reply.
func (p *StateMachine) Apply(_ int64, cmd []byte) []byte {
	var l List
	outcome := Unreadable
	if err := codec.Unmarshal(cmd, &l); err == nil {
		outcome = p.replace(l)
	}
	out, err := codec.Marshal(Reply{outcome, p.list.Version})
	if err != nil {
		panic(err) // cannot happen: a struct of two numbers always encodes
	}
	return out
}

func (p *StateMachine) replace(l List) Outcome {
	switch {
	case l.Version > p.list.Version:
		p.list = l
		return Accepted
	case l.Version < p.list.Version:
		return Superseded
	case bytes.Equal(l.Source, p.list.Source):
		return Unchanged
	}
	return Conflict
}

// Changes returns the whole encoded list without the operator's text. It ignores the
// version of the watcher.
func (p *StateMachine) Changes(uint64) []byte {
	l := p.list
	l.Source = nil
	return mustMarshal(&l)
}

// Snapshot returns the encoded list with the operator's text.
func (p *StateMachine) Snapshot() ([]byte, error) { return codec.Marshal(&p.list) }

// Restore replaces the list by a snapshot.
func (p *StateMachine) Restore(data []byte) error {
	var l List
	if err := codec.Unmarshal(data, &l); err != nil {
		return fmt.Errorf("routes: snapshot: %w", err)
	}
	p.list = l
	return nil
}

func mustMarshal(v any) []byte {
	out, err := codec.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: numbers, strings and lists of them always encode
	}
	return out
}
