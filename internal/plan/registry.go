package plan

import (
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Bounds of the stored replies and of the history. At the target of 1,000 changes a
// day the replies cover eight days and the history four. A command that is sent
// again later still cannot take effect twice, since its If-Match names an outdated
// version.
const (
	maxReplies = 8192
	maxHistory = 4096
)

// CustomerRow is a Customer with the version of its row.
type CustomerRow struct {
	Customer
	Version uint64 `cbor:"10,keyasint" json:"version"`
}

// AllowanceRow is an Allowance with the version of its row.
type AllowanceRow struct {
	Allowance
	Version uint64 `cbor:"10,keyasint" json:"version"`
}

type storedReply struct {
	Key    string `cbor:"1,keyasint"`
	Digest []byte `cbor:"2,keyasint"`
	Reply  Reply  `cbor:"3,keyasint"`
}

// Registry is the control group's replicated state machine for the operators' two
// lists, customers and allowances. The version of a row is the number of the change
// that wrote it, counted over both lists. Versions therefore only grow, also when a
// row is removed and created again, and a delayed command that names an old version
// always fails.
type Registry struct {
	version    uint64
	customers  map[string]CustomerRow
	allowances map[string]AllowanceRow
	keyOwner   map[string]string      // key hash to workspace
	planUsers  map[string]int         // number of workspaces by plan
	replies    map[string]storedReply // by Idempotency-Key
	replyKeys  []string               // oldest first
	history    []Change               // oldest first
}

// NewRegistry returns a Registry with empty lists.
func NewRegistry() *Registry {
	return &Registry{
		customers: map[string]CustomerRow{}, allowances: map[string]AllowanceRow{},
		keyOwner: map[string]string{}, planUsers: map[string]int{}, replies: map[string]storedReply{},
	}
}

// Apply implements control.StateMachine. data is an encoded Command, the result an
// encoded Reply.
func (r *Registry) Apply(nowMS int64, data []byte) []byte {
	var c Command
	reply := Reply{ListsVersion: r.version}
	if err := cbor.Unmarshal(data, &c); err != nil {
		reply.fail(result.Newf(result.MalformedBody, "command: %v", err))
		return encode(reply)
	}
	return encode(r.Execute(nowMS, c))
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // only types of this package are encoded
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

// Do executes a command once per Idempotency-Key. An operator whose reply was lost
// sends the command again, perhaps to another VM after a change of leader. The
// operator must get the first reply rather than a conflict with the operator's own
// change.
func (r *Registry) Execute(nowMS int64, c Command) Reply {
	digest, err := c.digest()
	if err != nil {
		reply := Reply{ListsVersion: r.version}
		reply.fail(err)
		return reply
	}
	if first, ok := r.replies[c.IdempotencyKey]; ok && c.IdempotencyKey != "" {
		if !slices.Equal(first.Digest, digest) {
			reply := Reply{ListsVersion: r.version}
			reply.fail(result.New(result.KeyReused))
			return reply
		}
		return first.Reply
	}
	reply := r.decide(nowMS, c)
	r.storeReply(storedReply{Key: c.IdempotencyKey, Digest: digest, Reply: reply})
	return reply
}

func (r *Registry) storeReply(a storedReply) {
	if a.Key == "" {
		return
	}
	r.replies[a.Key] = a
	r.replyKeys = append(r.replyKeys, a.Key)
	if over := len(r.replyKeys) - maxReplies; over > 0 {
		for _, k := range r.replyKeys[:over] {
			delete(r.replies, k)
		}
		r.replyKeys = slices.Delete(r.replyKeys, 0, over)
	}
}

func (r *Registry) decide(nowMS int64, c Command) Reply {
	current := r.currentVersion(c)
	reply := Reply{Version: current, ListsVersion: r.version}
	if err := r.checkPreconditions(c, current); err != nil {
		reply.fail(err)
		return reply
	}
	diff, changed := r.execute(c, r.version+1)
	if !changed {
		return reply
	}
	r.version++
	r.history = append(r.history, Change{
		Version: r.version, AtMS: nowMS, Who: c.Who, Action: c.Action, Name: c.Name, Diff: diff,
	})
	if over := len(r.history) - maxHistory; over > 0 {
		r.history = slices.Delete(r.history, 0, over)
	}
	return Reply{Version: r.currentVersion(c), ListsVersion: r.version, Created: current == 0}
}

// currentVersion is the version of the row that a command names, 0 if there is none.
func (r *Registry) currentVersion(c Command) uint64 {
	if c.Action == SetCustomer || c.Action == RemoveCustomer {
		return r.customers[c.Name].Version
	}
	return r.allowances[c.Name].Version
}

func (r *Registry) checkPreconditions(c Command, current uint64) error {
	if err := c.validate(); err != nil {
		return err
	}
	remove := c.Action == RemoveCustomer || c.Action == RemoveAllowance
	switch {
	case remove && current == 0:
		return result.Newf(result.NotFound, "no row %q", c.Name)
	case c.Create && current != 0:
		return result.Newf(result.VersionConflict, "%q exists already, in version %d", c.Name, current)
	case !c.Create && c.IfMatch == 0:
		return result.New(result.VersionRequired)
	case !c.Create && c.IfMatch != current && current == 0:
		return result.Newf(result.VersionConflict, "%q does not exist; version %d is gone", c.Name, c.IfMatch)
	case !c.Create && c.IfMatch != current:
		return result.Newf(result.VersionConflict, "%q is in version %d, not %d", c.Name, current, c.IfMatch)
	}
	return r.checkReferences(c)
}

// checkReferences checks a row against the other rows.
func (r *Registry) checkReferences(c Command) error {
	switch c.Action {
	case SetCustomer:
		if _, ok := r.allowances[c.Customer.Plan]; !ok {
			return result.Newf(result.UnknownPlan, "no allowance exists for plan %q", c.Customer.Plan)
		}
		for i, h := range c.Customer.KeyHashes {
			if owner, ok := r.keyOwner[h]; ok && owner != c.Name {
				return invalid("key_hashes[%d] belongs to another workspace", i)
			}
		}
	case RemoveAllowance:
		if n := r.planUsers[c.Name]; n > 0 {
			return result.Newf(result.PlanInUse, "%d workspaces still have plan %q", n, c.Name)
		}
	case SetAllowance, RemoveCustomer:
	}
	return nil
}

// execute changes the row and returns the differences. If the new row equals the
// current one, it reports false and the row keeps its version.
func (r *Registry) execute(c Command, version uint64) ([]string, bool) {
	switch c.Action {
	case SetCustomer:
		before, ok := r.customers[c.Name]
		if ok && before.Equal(*c.Customer) {
			return nil, false
		}
		r.putCustomer(CustomerRow{*c.Customer, version})
		return diffCustomer(before.Customer, *c.Customer), true
	case RemoveCustomer:
		before := r.customers[c.Name].Customer
		r.dropCustomer(c.Name)
		return diffCustomer(before, Customer{}), true
	case SetAllowance:
		before, ok := r.allowances[c.Name]
		if ok && before.Equal(*c.Allowance) {
			return nil, false
		}
		r.allowances[c.Name] = AllowanceRow{*c.Allowance, version}
		return diffAllowance(before.Allowance, *c.Allowance), true
	case RemoveAllowance:
		before := r.allowances[c.Name].Allowance
		delete(r.allowances, c.Name)
		return diffAllowance(before, Allowance{}), true
	}
	return nil, false
}

func (r *Registry) putCustomer(row CustomerRow) {
	r.dropCustomer(row.Workspace)
	r.customers[row.Workspace] = row
	r.planUsers[row.Plan]++
	for _, h := range row.KeyHashes {
		r.keyOwner[h] = row.Workspace
	}
}

func (r *Registry) dropCustomer(workspace string) {
	row, ok := r.customers[workspace]
	if !ok {
		return
	}
	delete(r.customers, workspace)
	for _, h := range row.KeyHashes {
		delete(r.keyOwner, h)
	}
	if r.planUsers[row.Plan]--; r.planUsers[row.Plan] == 0 {
		delete(r.planUsers, row.Plan)
	}
}

// lookup returns the allowance of a workspace.
func (r *Registry) lookup(workspace string) (Allowance, bool) {
	c, ok := r.customers[workspace]
	if !ok {
		return Allowance{}, false
	}
	a, ok := r.allowances[c.Plan]
	return a.Allowance, ok
}
