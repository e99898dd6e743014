// Package plan holds the state machines of the operators' two lists and of the
// grants. The first list has the customers, with the plan that each workspace has
// bought. The second list has the allowances, which say what each plan may use. The
// package is pure: time is an argument.
package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// Customer is one row of the first list: a workspace, its plan and the hashes of its
// keys.
type Customer struct {
	Workspace string   `cbor:"1,keyasint" json:"workspace"`
	Plan      string   `cbor:"2,keyasint" json:"plan"`
	KeyHashes []string `cbor:"3,keyasint" json:"key_hashes"` // results of HashKey
}

// Allowance is one row of the second list: what a plan may use.
type Allowance struct {
	Plan              string   `cbor:"1,keyasint" json:"plan"`
	Models            []string `cbor:"2,keyasint" json:"models"`
	Services          []string `cbor:"3,keyasint" json:"services"`
	TokensPerWindow   int64    `cbor:"4,keyasint" json:"tokens_per_window"`
	RequestsPerWindow int64    `cbor:"5,keyasint" json:"requests_per_window"`
	WindowSeconds     int64    `cbor:"6,keyasint" json:"window_seconds"`
	Concurrent        int      `cbor:"7,keyasint" json:"concurrent"`
	Share             int      `cbor:"8,keyasint" json:"share"` // weight in fair queueing
	PriorityCeiling   int      `cbor:"9,keyasint" json:"priority_ceiling"`
}

// Window returns the length of the allowance's window.
func (a *Allowance) Window() time.Duration { return time.Duration(a.WindowSeconds) * time.Second }

// HashKey returns the form in which a workspace key is stored: its SHA-256 in
// lower-case hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Directory is an index of one version of the two lists. It is immutable.
type Directory struct {
	Version    uint64
	customers  map[string]Customer // by key hash
	workspaces map[string]Customer
	allowances map[string]Allowance
}

// NewDirectory returns an index of the lists.
func NewDirectory(version uint64, customers []Customer, allowances []Allowance) *Directory {
	d := &Directory{Version: version, customers: map[string]Customer{}, workspaces: map[string]Customer{}, allowances: map[string]Allowance{}}
	for _, c := range customers {
		d.workspaces[c.Workspace] = c
		for _, h := range c.KeyHashes {
			d.customers[h] = c
		}
	}
	for _, a := range allowances {
		d.allowances[a.Plan] = a
	}
	return d
}

// Lookup returns the customer that owns a key (not its hash), and its allowance. It
// reports false if either is unknown.
func (d *Directory) Lookup(key string) (Customer, Allowance, bool) {
	c, ok := d.customers[HashKey(key)]
	if !ok {
		return Customer{}, Allowance{}, false
	}
	a, ok := d.allowances[c.Plan]
	return c, a, ok
}

// Workspace returns the customer of a workspace and its allowance. It reports false
// if either is unknown.
func (d *Directory) Workspace(name string) (Customer, Allowance, bool) {
	c, ok := d.workspaces[name]
	if !ok {
		return Customer{}, Allowance{}, false
	}
	a, ok := d.allowances[c.Plan]
	return c, a, ok
}

// AllowsModel reports whether the plan includes a model.
func (a *Allowance) AllowsModel(model string) bool { return slices.Contains(a.Models, model) }

// AllowsService reports whether the plan includes a service.
func (a *Allowance) AllowsService(service string) bool { return slices.Contains(a.Services, service) }
