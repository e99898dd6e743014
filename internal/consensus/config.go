package consensus

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// MaxVoters bounds the number of voters. With more voters each commit waits for
// more disks, and the VMs' zones do not allow for the additional losses anyway.
const MaxVoters = 7

// Config is the group's membership. Learners receive the log but have no vote.
type Config struct {
	Voters   []MemberID `cbor:"1,keyasint"`
	Learners []MemberID `cbor:"2,keyasint,omitempty"`
}

// Quorum returns the number of voters that form a majority.
func (c Config) Quorum() int { return len(c.Voters)/2 + 1 }

// IsVoter reports whether id is a voter.
func (c Config) IsVoter(id MemberID) bool { return slices.Contains(c.Voters, id) }

// IsLearner reports whether id is a learner.
func (c Config) IsLearner(id MemberID) bool { return slices.Contains(c.Learners, id) }

// Members returns all voters and learners.
func (c Config) Members() []MemberID { return slices.Concat(c.Voters, c.Learners) }

// votingVMs returns the number of VMs with a vote. A VM that lost its disk has two until
// the one of its former member is removed.
func (c Config) votingVMs() int {
	n := 0
	for i, id := range c.Voters {
		sameVM := func(m MemberID) bool { return m.VM() == id.VM() }
		if !slices.ContainsFunc(c.Voters[:i], sameVM) {
			n++
		}
	}
	return n
}

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// The kinds of changes. Each adds or removes at most one vote. Therefore every
// majority before the change and every majority after it share a member.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
)

// Change is a membership change of one member.
type Change struct {
	Kind ChangeKind `cbor:"1,keyasint"`
	ID   MemberID   `cbor:"2,keyasint"`
}

// Apply returns the membership after a change.
func (c Config) Apply(ch Change) (Config, error) {
	next := Config{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
	is := func(id MemberID) bool { return id == ch.ID }
	switch {
	case ch.Kind == AddLearner && !c.IsVoter(ch.ID) && !c.IsLearner(ch.ID):
		next.Learners = append(next.Learners, ch.ID)
	case ch.Kind == Promote && c.IsLearner(ch.ID) && len(c.Voters) < MaxVoters:
		next.Learners = slices.DeleteFunc(next.Learners, is)
		next.Voters = append(next.Voters, ch.ID)
	case ch.Kind == Remove && c.IsLearner(ch.ID):
		next.Learners = slices.DeleteFunc(next.Learners, is)
	case ch.Kind == Remove && c.IsVoter(ch.ID) && len(c.Voters) > 1:
		next.Voters = slices.DeleteFunc(next.Voters, is)
	default:
		return c, fmt.Errorf("%w: %d of %s", ErrBadChange, ch.Kind, ch.ID)
	}
	return next, nil
}

func (c Config) encode() []byte {
	data, err := cbor.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("consensus: encode config: %v", err)) // strings and slices only
	}
	return data
}

func decodeConfig(data []byte) Config {
	var c Config
	if err := cbor.Unmarshal(data, &c); err != nil {
		panic(fmt.Sprintf("consensus: decode config: %v", err))
	}
	return c
}
