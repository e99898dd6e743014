package plan

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Action is what a command does to a row. The numbers are on disk.
type Action uint8

// The actions.
const (
	SetCustomer     Action = 1
	RemoveCustomer  Action = 2
	SetAllowance    Action = 3
	RemoveAllowance Action = 4
)

// String is the action in the history.
func (a Action) String() string {
	switch a {
	case SetCustomer:
		return "set plan"
	case RemoveCustomer:
		return "remove plan"
	case SetAllowance:
		return "set allowance"
	case RemoveAllowance:
		return "remove allowance"
	}
	return "unknown"
}

// Command is one change of a row, decided by compare-and-swap.
type Command struct {
	Action         Action     `cbor:"1,keyasint"`
	Name           string     `cbor:"2,keyasint"` // workspace or plan
	Customer       *Customer  `cbor:"3,keyasint,omitempty"`
	Allowance      *Allowance `cbor:"4,keyasint,omitempty"`
	IfMatch        uint64     `cbor:"5,keyasint,omitempty"` // version that the operator read
	Create         bool       `cbor:"6,keyasint,omitempty"` // only if the row does not exist
	IdempotencyKey string     `cbor:"7,keyasint,omitempty"` // Idempotency-Key
	Who            string     `cbor:"8,keyasint,omitempty"`
}

// digest covers what the command does, not who sent it: a resend may come from
// another terminal.
func (c Command) digest() ([]byte, error) {
	c.IdempotencyKey, c.Who = "", ""
	data, err := cbor.Marshal(c)
	sum := sha256.Sum256(data)
	return sum[:16], err
}

func (c *Command) check() error {
	switch {
	case c.Action == SetCustomer && c.Customer != nil && c.Customer.Workspace == c.Name:
		return c.Customer.Validate()
	case c.Action == SetAllowance && c.Allowance != nil && c.Allowance.Plan == c.Name:
		return c.Allowance.Validate()
	case c.Action == RemoveCustomer, c.Action == RemoveAllowance:
		return nil
	}
	return result.Newf(result.MalformedBody, "the command does not name its row")
}

// Reply answers a Command. Version is the row's version after it; after a
// conflict, the present one (0: no such row).
type Reply struct {
	Code         result.Code `cbor:"1,keyasint,omitempty"`
	Message      string      `cbor:"2,keyasint,omitempty"`
	Version      uint64      `cbor:"3,keyasint"`
	ListsVersion uint64      `cbor:"4,keyasint"` // version of the lists once this was done
	Created      bool        `cbor:"5,keyasint,omitempty"`
}

// Err is the reply's error, or nil.
func (r *Reply) Err() error {
	if r.Code == 0 {
		return nil
	}
	return result.Newf(r.Code, "%s", r.Message)
}

// Change is one entry of the history.
type Change struct {
	Version uint64   `cbor:"1,keyasint" json:"version"`
	AtMS    int64    `cbor:"2,keyasint" json:"at_ms"`
	Who     string   `cbor:"3,keyasint" json:"who"`
	Action  Action   `cbor:"4,keyasint" json:"-"`
	Name    string   `cbor:"5,keyasint" json:"name"`
	Diff    []string `cbor:"6,keyasint" json:"diff"`
}

// MarshalJSON gives the action as a word.
func (c Change) MarshalJSON() ([]byte, error) {
	type plain Change
	return json.Marshal(struct {
		What string `json:"what"`
		plain
	}{c.Action.String(), plain(c)})
}

func diffField[T any](out []string, name string, before, after T) []string {
	b, a := fmt.Sprint(before), fmt.Sprint(after)
	if a == b {
		return out
	}
	return append(out, fmt.Sprintf("%s: %s -> %s", name, b, a))
}

// diffCustomer shows key hashes by their first characters: enough to tell keys
// apart, and a line stays readable.
func diffCustomer(before, after Customer) []string {
	out := diffField(nil, "plan", before.Plan, after.Plan)
	return diffField(out, "key_hashes", shortHashes(before.KeyHashes), shortHashes(after.KeyHashes))
}

func shortHashes(hashes []string) []string {
	out := make([]string, 0, len(hashes))
	for _, h := range hashes {
		out = append(out, h[:8])
	}
	return out
}

func diffAllowance(before, after Allowance) []string {
	out := diffField(nil, "models", before.Models, after.Models)
	out = diffField(out, "services", before.Services, after.Services)
	out = diffField(out, "tokens_per_window", before.TokensPerWindow, after.TokensPerWindow)
	out = diffField(out, "requests_per_window", before.RequestsPerWindow, after.RequestsPerWindow)
	out = diffField(out, "window_seconds", before.WindowSeconds, after.WindowSeconds)
	out = diffField(out, "concurrent", before.Concurrent, after.Concurrent)
	out = diffField(out, "share", before.Share, after.Share)
	return diffField(out, "priority_ceiling", before.PriorityCeiling, after.PriorityCeiling)
}

// Equal reports whether two rows say the same.
func (c Customer) Equal(o Customer) bool {
	return c.Workspace == o.Workspace && c.Plan == o.Plan && slices.Equal(c.KeyHashes, o.KeyHashes)
}

// Equal reports whether two rows say the same.
func (a Allowance) Equal(o Allowance) bool {
	return a.Plan == o.Plan && len(diffAllowance(a, o)) == 0
}
