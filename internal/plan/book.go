package plan

import (
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Bounds of what the Book remembers. At the target of 1,000 changes a day the
// answers reach back eight days and the history four. A resend that comes later
// still cannot run twice: its If-Match names a version that is gone.
const (
	maxAnswers = 8192
	maxHistory = 4096
)

// CustomerRow is a row of the first list with its version.
type CustomerRow struct {
	Customer
	Version uint64 `cbor:"10,keyasint" json:"version"`
}

// AllowanceRow is a row of the second list with its version.
type AllowanceRow struct {
	Allowance
	Version uint64 `cbor:"10,keyasint" json:"version"`
}

type answer struct {
	Key    string `cbor:"1,keyasint"`
	Digest []byte `cbor:"2,keyasint"`
	Reply  Reply  `cbor:"3,keyasint"`
}

// Book is the replicated state of the operators' two lists (control.PartPlans).
// A row's version is the number of the change that wrote it, counted over both
// lists: versions only grow, also when a row is removed and made again, so a
// late change that names an old version can never win.
type Registry struct {
	version    uint64
	customers  map[string]CustomerRow
	allowances map[string]AllowanceRow
	keyOwner   map[string]string // key hash to workspace
	planUsers  map[string]int    // workspaces of a plan
	answers    map[string]answer // first answers by Idempotency-Key
	answerKeys []string          // oldest first
	history    []Change          // oldest first
}

// NewBook returns empty lists.
func NewRegistry() *Registry {
	return &Registry{
		customers: map[string]CustomerRow{}, allowances: map[string]AllowanceRow{},
		keyOwner: map[string]string{}, planUsers: map[string]int{}, answers: map[string]answer{},
	}
}

// Apply implements control.Part.
func (b *Registry) Apply(nowMS int64, data []byte) []byte {
	var c Command
	reply := Reply{ListsVersion: b.version}
	if err := cbor.Unmarshal(data, &c); err != nil {
		reply.fail(result.Newf(result.MalformedBody, "command: %v", err))
		return encode(reply)
	}
	return encode(b.Do(nowMS, c))
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // only types of this package come here
	}
	return data
}

func (r *Reply) fail(err error) {
	var coded *result.Error
	if !errors.As(err, &coded) {
		coded = result.Newf(result.Internal, "%v", err)
	}
	r.Code, r.Message = coded.Code, coded.Message
}

// Do executes a command once per Idempotency-Key: an operator whose answer was
// lost resends it, perhaps to another VM after a change of leader, and must get
// the first answer rather than a conflict with his own change.
func (b *Registry) Do(nowMS int64, c Command) Reply {
	digest, err := c.digest()
	if err != nil {
		reply := Reply{ListsVersion: b.version}
		reply.fail(err)
		return reply
	}
	if first, ok := b.answers[c.IdempotencyKey]; ok && c.IdempotencyKey != "" {
		if !slices.Equal(first.Digest, digest) {
			reply := Reply{ListsVersion: b.version}
			reply.fail(result.New(result.KeyReused))
			return reply
		}
		return first.Reply
	}
	reply := b.decide(nowMS, c)
	b.remember(answer{Key: c.IdempotencyKey, Digest: digest, Reply: reply})
	return reply
}

func (b *Registry) remember(a answer) {
	if a.Key == "" {
		return
	}
	b.answers[a.Key] = a
	b.answerKeys = append(b.answerKeys, a.Key)
	if over := len(b.answerKeys) - maxAnswers; over > 0 {
		for _, k := range b.answerKeys[:over] {
			delete(b.answers, k)
		}
		b.answerKeys = slices.Delete(b.answerKeys, 0, over)
	}
}

func (b *Registry) decide(nowMS int64, c Command) Reply {
	present := b.present(c)
	reply := Reply{Version: present, ListsVersion: b.version}
	if err := b.allowed(c, present); err != nil {
		reply.fail(err)
		return reply
	}
	diff, changed := b.execute(c, b.version+1)
	if !changed {
		return reply
	}
	b.version++
	b.history = append(b.history, Change{
		Version: b.version, AtMS: nowMS, Who: c.Who, Action: c.Action, Name: c.Name, Diff: diff,
	})
	if over := len(b.history) - maxHistory; over > 0 {
		b.history = slices.Delete(b.history, 0, over)
	}
	return Reply{Version: b.present(c), ListsVersion: b.version, Created: present == 0}
}

// present is the version of the row that a command names, 0 without one.
func (b *Registry) present(c Command) uint64 {
	if c.Action == SetCustomer || c.Action == RemoveCustomer {
		return b.customers[c.Name].Version
	}
	return b.allowances[c.Name].Version
}

func (b *Registry) allowed(c Command, present uint64) error {
	if err := c.check(); err != nil {
		return err
	}
	remove := c.Action == RemoveCustomer || c.Action == RemoveAllowance
	switch {
	case remove && present == 0:
		return result.Newf(result.NotFound, "no row %q", c.Name)
	case c.Create && present != 0:
		return result.Newf(result.VersionConflict, "%q exists already, in version %d", c.Name, present)
	case !c.Create && c.IfMatch == 0:
		return result.New(result.VersionRequired)
	case !c.Create && c.IfMatch != present && present == 0:
		return result.Newf(result.VersionConflict, "%q does not exist; version %d is gone", c.Name, c.IfMatch)
	case !c.Create && c.IfMatch != present:
		return result.Newf(result.VersionConflict, "%q is in version %d, not %d", c.Name, present, c.IfMatch)
	}
	return b.consistent(c)
}

// consistent checks a row against the other rows.
func (b *Registry) consistent(c Command) error {
	switch c.Action {
	case SetCustomer:
		if _, ok := b.allowances[c.Customer.Plan]; !ok {
			return result.Newf(result.UnknownPlan, "no allowance exists for plan %q", c.Customer.Plan)
		}
		for i, h := range c.Customer.KeyHashes {
			if owner, ok := b.keyOwner[h]; ok && owner != c.Name {
				return invalid("key_hashes[%d] belongs to another workspace", i)
			}
		}
	case RemoveAllowance:
		if n := b.planUsers[c.Name]; n > 0 {
			return result.Newf(result.PlanInUse, "%d workspaces still have plan %q", n, c.Name)
		}
	case SetAllowance, RemoveCustomer:
	}
	return nil
}

// execute changes the row and reports how; a row equal to the present one is no
// change and keeps its version.
func (b *Registry) execute(c Command, version uint64) ([]string, bool) {
	switch c.Action {
	case SetCustomer:
		before, ok := b.customers[c.Name]
		if ok && before.Equal(*c.Customer) {
			return nil, false
		}
		b.putCustomer(CustomerRow{*c.Customer, version})
		return diffCustomer(before.Customer, *c.Customer), true
	case RemoveCustomer:
		before := b.customers[c.Name].Customer
		b.dropCustomer(c.Name)
		return diffCustomer(before, Customer{}), true
	case SetAllowance:
		before, ok := b.allowances[c.Name]
		if ok && before.Equal(*c.Allowance) {
			return nil, false
		}
		b.allowances[c.Name] = AllowanceRow{*c.Allowance, version}
		return diffAllowance(before.Allowance, *c.Allowance), true
	case RemoveAllowance:
		before := b.allowances[c.Name].Allowance
		delete(b.allowances, c.Name)
		return diffAllowance(before, Allowance{}), true
	}
	return nil, false
}

func (b *Registry) putCustomer(row CustomerRow) {
	b.dropCustomer(row.Workspace)
	b.customers[row.Workspace] = row
	b.planUsers[row.Plan]++
	for _, h := range row.KeyHashes {
		b.keyOwner[h] = row.Workspace
	}
}

func (b *Registry) dropCustomer(workspace string) {
	row, ok := b.customers[workspace]
	if !ok {
		return
	}
	delete(b.customers, workspace)
	for _, h := range row.KeyHashes {
		delete(b.keyOwner, h)
	}
	if b.planUsers[row.Plan]--; b.planUsers[row.Plan] == 0 {
		delete(b.planUsers, row.Plan)
	}
}

// lookup finds what a workspace may use now.
func (b *Registry) lookup(workspace string) (Allowance, bool) {
	c, ok := b.customers[workspace]
	if !ok {
		return Allowance{}, false
	}
	a, ok := b.allowances[c.Plan]
	return a.Allowance, ok
}
