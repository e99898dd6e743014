package inventory

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/amaranthshelf/amaranthshelf/internal/jsonlist"
)

// maxNameBytes bounds a name in a row.
const maxNameBytes = 1 << 10

// errInvalidRow means that a row has a value that the platform never writes.
var errInvalidRow = errors.New("inventory: invalid row")

// rawList is a List whose rows are decoded one by one.
type rawList struct {
	VMs      []json.RawMessage `json:"vms"`
	Backends []json.RawMessage `json:"backends"`
}

// decode returns a list without the rows that cannot be used, and how many these are. Of rows with
// the same name the first one counts.
func decode(body []byte) (list List, skipped int, err error) {
	raw, err := decodeRows(body)
	if err != nil {
		return List{}, 0, err
	}
	list.VMs = usable(raw.VMs, func(v VM) string { return v.ID })
	list.Backends = usable(raw.Backends, func(b Backend) string { return b.Name })
	return list, len(raw.VMs) + len(raw.Backends) - len(list.VMs) - len(list.Backends), nil
}

func decodeRows(body []byte) (raw rawList, err error) {
	if err = json.NewDecoder(bytes.NewReader(body)).Decode(&raw); err == nil {
		return raw, nil
	}
	var rest rawList
	if json.Unmarshal(jsonlist.ReplaceUnreadable(body), &rest) == nil {
		return rest, nil
	}
	return rawList{}, err
}

// row is a VM or a backend server.
type row interface{ check() error }

func usable[R row](raw []json.RawMessage, name func(R) string) []R {
	var out []R
	known := make(map[string]bool, len(raw))
	for _, text := range raw {
		var r R
		if !utf8.Valid(text) || json.Unmarshal(text, &r) != nil || r.check() != nil || known[name(r)] {
			continue
		}
		known[name(r)] = true
		out = append(out, r)
	}
	return out
}

func (v VM) check() error {
	if !isName(v.ID) || !isAddress(v.Peer) || !isAddress(v.Endpoint) {
		return errInvalidRow
	}
	return nil
}

func (b Backend) check() error {
	if !isName(b.Name) || !isAddress(b.Address) || !slices.Contains([]string{"", "engine", "service"}, b.Kind) {
		return errInvalidRow
	}
	return nil
}

func isName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && strings.IndexFunc(s, unicode.IsControl) < 0
}

// isAddress reports whether s is the address of a host with a port, or nothing: the settings state the
// address. A connection to the unspecified address reaches the VM itself.
func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	ip := a.Addr().Unmap()
	return s == "" || err == nil && a.Port() != 0 && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast()
}
