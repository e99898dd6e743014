package plan

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Action is what a command does to a row. The numbers are stored on disk.
type Action uint8

// The actions.
const (
	SetCustomer     Action = 1
	RemoveCustomer  Action = 2
	SetAllowance    Action = 3
	RemoveAllowance Action = 4
)

// String returns the action as shown in the history.
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

// Command changes one row by compare-and-swap on the version of the row.
type Command struct {
	Action         Action     `cbor:"1,keyasint"`
	Name           string     `cbor:"2,keyasint"` // workspace or plan
	Customer       *Customer  `cbor:"3,keyasint,omitempty"`
	Allowance      *Allowance `cbor:"4,keyasint,omitempty"`
	IfMatch        uint64     `cbor:"5,keyasint,omitempty"` // version of the row that the operator read
	Create         bool       `cbor:"6,keyasint,omitempty"` // only if the row does not exist
	IdempotencyKey string     `cbor:"7,keyasint,omitempty"` // value of the Idempotency-Key header, if any
	Who            string     `cbor:"8,keyasint,omitempty"`
}

// digest identifies what the command does. It excludes the sender, since the same
// command may be sent again from another terminal.
func (c Command) digest() ([]byte, error) {
	c.IdempotencyKey, c.Who = "", ""
	data, err := cbor.Marshal(c)
	sum := sha256.Sum256(data)
	return sum[:16], err
}

func (c *Command) validate() error {
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

// Reply is the reply to a Command. Version is the row's version after the command,
// or after a conflict the current version, 0 if there is no such row.
type Reply struct {
	Code         result.Code `cbor:"1,keyasint,omitempty"`
	Message      string      `cbor:"2,keyasint,omitempty"`
	Version      uint64      `cbor:"3,keyasint"`
	ListsVersion uint64      `cbor:"4,keyasint"` // version of the lists after the command
	Created      bool        `cbor:"5,keyasint,omitempty"`
}

// Err returns the error of the reply as a *result.Error, or nil.
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

// MarshalJSON adds the text of Action as field what.
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

// diffCustomer shortens key hashes to their first characters, which suffice to
// distinguish keys and keep the line readable.
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

// Equal reports whether two customers have the same content.
func (c Customer) Equal(o Customer) bool {
	return c.Workspace == o.Workspace && c.Plan == o.Plan && slices.Equal(c.KeyHashes, o.KeyHashes)
}

// Equal reports whether two allowances have the same content.
func (a Allowance) Equal(o Allowance) bool {
	return a.Plan == o.Plan && len(diffAllowance(a, o)) == 0
}
