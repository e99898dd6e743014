package operator

import (
	"cmp"
	"context"
	"net"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// list is one of the two lists as the API serves it.
type list struct {
	path        string
	key         string // of the rows in the JSON answer
	set, remove plan.Action
	rows        func(*plan.Book) any
	row         func(*plan.Book, *plan.Ledger, string) (any, uint64, bool)
	read        func(w http.ResponseWriter, r *http.Request, c *plan.Command) error
}

// AllowanceAnswer is a row of the second list.
type AllowanceAnswer = plan.AllowanceRow

// PlanAnswer is a row of the first list, with what the workspace has in use.
type PlanAnswer struct {
	plan.CustomerRow
	Use plan.Use `json:"use"`
}

var customers = list{
	path: "/v1/plans", key: "plans", set: plan.SetCustomer, remove: plan.RemoveCustomer,
	rows: func(b *plan.Book) any { return b.Customers() },
	row: func(b *plan.Book, l *plan.Ledger, name string) (any, uint64, bool) {
		row, ok := b.Customer(name)
		return PlanAnswer{row, l.Use(name)}, row.Version, ok
	},
	read: func(w http.ResponseWriter, r *http.Request, c *plan.Command) error {
		c.Customer = &plan.Customer{}
		if err := decodeBody(w, r, c.Customer); err != nil {
			return err
		}
		return named(&c.Customer.Workspace, c.Name, "workspace")
	},
}

var allowances = list{
	path: "/v1/allowances", key: "allowances", set: plan.SetAllowance, remove: plan.RemoveAllowance,
	rows: func(b *plan.Book) any { return b.Allowances() },
	row: func(b *plan.Book, _ *plan.Ledger, name string) (any, uint64, bool) {
		row, ok := b.Allowance(name)
		return row, row.Version, ok
	},
	read: func(w http.ResponseWriter, r *http.Request, c *plan.Command) error {
		c.Allowance = &plan.Allowance{}
		if err := decodeBody(w, r, c.Allowance); err != nil {
			return err
		}
		return named(&c.Allowance.Plan, c.Name, "plan")
	},
}

// named fills in a row's name from the path; another one in the body is refused.
func named(field *string, name, what string) error {
	if *field != "" && *field != name {
		return result.Newf(result.InvalidField, "%s in the body is %q, in the path %q", what, *field, name)
	}
	*field = name
	return nil
}

type listHandler func(w http.ResponseWriter, r *http.Request, l list) error

func (a *API) with(l list, h listHandler) func(w http.ResponseWriter, r *http.Request) error {
	return func(w http.ResponseWriter, r *http.Request) error { return h(w, r, l) }
}

func (a *API) all(w http.ResponseWriter, r *http.Request, l list) error {
	var rows any
	var version uint64
	err := a.read(r.Context(), func(b *plan.Book, _ *plan.Ledger) { rows, version = l.rows(b), b.Version() })
	if err != nil {
		return err
	}
	if err := a.wait(r, version); err != nil {
		return err
	}
	w.Header().Set("ETag", etag(version))
	return writeJSON(w, http.StatusOK, map[string]any{"version": version, l.key: rows})
}

func (a *API) one(w http.ResponseWriter, r *http.Request, l list) error {
	name := mux.Vars(r)["name"]
	var row any
	var version uint64
	found := false
	err := a.read(r.Context(), func(b *plan.Book, u *plan.Ledger) { row, version, found = l.row(b, u, name) })
	if err != nil {
		return err
	}
	if !found {
		return result.Newf(result.NotFound, "no row %q", name)
	}
	w.Header().Set("ETag", etag(version))
	return writeJSON(w, http.StatusOK, row)
}

func (a *API) history(w http.ResponseWriter, r *http.Request, l list) error {
	var changes []plan.Change
	err := a.read(r.Context(), func(b *plan.Book, _ *plan.Ledger) {
		changes = b.History(l.set == plan.SetCustomer, mux.Vars(r)["name"])
	})
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, map[string]any{"history": changes})
}

func (a *API) read(ctx context.Context, f func(*plan.Book, *plan.Ledger)) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := a.Lists.Read(ctx, f); err != nil {
		return result.Newf(result.ControlUnavail, "%v", err)
	}
	return nil
}

// Written answers a change.
type Written struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"` // of the row, 0 once it is removed
	Lists   uint64 `json:"lists_version"`
	InForce bool   `json:"in_force"`
}

func (a *API) change(w http.ResponseWriter, r *http.Request, l list) error {
	c := plan.Command{Name: mux.Vars(r)["name"], Action: l.set, Who: who(r), Key: r.Header.Get("Idempotency-Key")}
	if c.Key != "" && !keyPattern.MatchString(c.Key) {
		return result.New(result.InvalidKey)
	}
	if err := precondition(r, &c); err != nil {
		return err
	}
	if r.Method == http.MethodDelete {
		c.Action = l.remove
	} else if err := l.read(w, r, &c); err != nil {
		return err
	}
	reply, err := a.commit(r.Context(), c)
	if err != nil {
		return err
	}
	if reply.Code != 0 && reply.Version != 0 {
		w.Header().Set("ETag", etag(reply.Version))
	}
	if err := reply.Err(); err != nil {
		return err
	}
	return a.answerChange(w, r, c, reply)
}

// who names the operator in the history: what he calls himself, and from where.
func who(r *http.Request) string {
	const longest = 64
	name := cmp.Or(r.Header.Get("X-Operator"), "operator")
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return name[:min(len(name), longest)] + "@" + host
}

// commit has the group decide. Without an answer nobody can tell whether the
// change was made: the operator resends it with the same Idempotency-Key.
func (a *API) commit(ctx context.Context, c plan.Command) (plan.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reply, err := control.Propose[plan.Reply](ctx, a.Control, control.PartPlans, c)
	if err != nil {
		e := result.Newf(result.ControlUnavail, "no answer from the control group: %v; resend with the same Idempotency-Key", err)
		return reply, e.WithRan(result.RanUnknown)
	}
	return reply, nil
}

func (a *API) answerChange(w http.ResponseWriter, r *http.Request, c plan.Command, reply plan.Reply) error {
	a.Log.Info().Str("who", c.Who).Str("what", c.Action.String()).Str("name", c.Name).
		Uint64("version", reply.Version).Msg("lists changed")
	out := Written{Name: c.Name, Version: reply.Version, Lists: reply.Lists}
	if err := a.wait(r, reply.Lists); err != nil {
		return result.From(err).WithRan(result.RanYes)
	}
	out.InForce = waits(r)
	status := http.StatusOK
	if reply.Created {
		status = http.StatusCreated
	}
	if reply.Version != 0 {
		w.Header().Set("ETag", etag(reply.Version))
	}
	return writeJSON(w, status, out)
}

func waits(r *http.Request) bool { return r.URL.Query().Get("wait") == "in-force" }

func (a *API) wait(r *http.Request, version uint64) error {
	if !waits(r) {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), waitTimeout)
	defer cancel()
	if err := a.InForce.Wait(ctx, version); err != nil {
		return result.Newf(result.ControlUnavail, "version %d is accepted; waiting for it to be in force: %v", version, err)
	}
	return nil
}
