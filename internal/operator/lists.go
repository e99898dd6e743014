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

// list describes one of the two lists that the API serves: its path, its commands, and how to
// read a row from a request body. allowances is false for the list of plans.
type list struct {
	path        string
	allowances  bool
	set, remove plan.Action
	read        func(w http.ResponseWriter, r *http.Request, c *plan.Command) error
}

// PlanAnswer is the answer with one row of the list of plans, and the usage of its workspace.
type PlanRow struct {
	plan.CustomerRow
	Use plan.Usage `json:"use"`
}

// PlansAnswer is the answer with the list of plans, one row for each workspace.
type PlansAnswer struct {
	Version uint64             `json:"version"` // of both lists
	Plans   []plan.CustomerRow `json:"plans"`
}

// AllowancesAnswer is the answer with the list of allowances, one row for each plan.
type AllowancesAnswer struct {
	Version    uint64              `json:"version"` // of both lists
	Allowances []plan.AllowanceRow `json:"allowances"`
}

var customers = list{
	path: "/v1/plans", set: plan.SetCustomer, remove: plan.RemoveCustomer,
	read: func(w http.ResponseWriter, r *http.Request, c *plan.Command) error {
		c.Customer = &plan.Customer{}
		if err := decodeBody(w, r, c.Customer); err != nil {
			return err
		}
		return setName(&c.Customer.Workspace, c.Name, "workspace")
	},
}

var allowances = list{
	path: "/v1/allowances", allowances: true, set: plan.SetAllowance, remove: plan.RemoveAllowance,
	read: func(w http.ResponseWriter, r *http.Request, c *plan.Command) error {
		c.Allowance = &plan.Allowance{}
		if err := decodeBody(w, r, c.Allowance); err != nil {
			return err
		}
		return setName(&c.Allowance.Plan, c.Name, "plan")
	},
}

// setName sets the name of a row to that in the path. It refuses a different name in the
// body.
func setName(field *string, name, what string) error {
	if *field != "" && *field != name {
		return result.Newf(result.InvalidField, "%s in the body is %q, in the path %q", what, *field, name)
	}
	*field = name
	return nil
}

type listHandler func(w http.ResponseWriter, r *http.Request, l list) error

func (a *API) bind(l list, h listHandler) func(w http.ResponseWriter, r *http.Request) error {
	return func(w http.ResponseWriter, r *http.Request) error { return h(w, r, l) }
}

func (a *API) listRows(w http.ResponseWriter, r *http.Request, l list) error {
	answer, err := a.query(r.Context(), plan.Query{Allowances: l.allowances})
	if err != nil {
		return err
	}
	if err := a.waitInForce(r, answer.Version); err != nil {
		return err
	}
	w.Header().Set("ETag", etag(answer.Version))
	if l.allowances {
		return writeJSON(w, http.StatusOK, AllowancesAnswer{answer.Version, orEmpty(answer.Allowances)})
	}
	return writeJSON(w, http.StatusOK, PlansAnswer{answer.Version, orEmpty(answer.Customers)})
}

// orEmpty returns an empty list for nil, which JSON encodes as [] instead of null.
func orEmpty[T any](rows []T) []T {
	if rows == nil {
		return []T{}
	}
	return rows
}

func (a *API) readRow(w http.ResponseWriter, r *http.Request, l list) error {
	name := mux.Vars(r)["name"]
	answer, err := a.query(r.Context(), plan.Query{Allowances: l.allowances, Name: name})
	switch {
	case err != nil:
		return err
	case len(answer.Customers) == 1:
		w.Header().Set("ETag", etag(answer.Customers[0].Version))
		return writeJSON(w, http.StatusOK, PlanRow{answer.Customers[0], answer.Usage})
	case len(answer.Allowances) == 1:
		w.Header().Set("ETag", etag(answer.Allowances[0].Version))
		return writeJSON(w, http.StatusOK, answer.Allowances[0])
	}
	return result.Newf(result.NotFound, "no row %q", name)
}

func (a *API) history(w http.ResponseWriter, r *http.Request, l list) error {
	answer, err := a.query(r.Context(), plan.Query{Allowances: l.allowances, Name: mux.Vars(r)["name"], History: true})
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, map[string][]plan.Change{"history": orEmpty(answer.History)})
}

func (a *API) query(ctx context.Context, q plan.Query) (plan.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	answer, err := a.Lists.Ask(ctx, q)
	if err != nil {
		return answer, result.Newf(result.ControlUnavail, "%v", err)
	}
	return answer, nil
}

// ChangeAnswer is the answer to a change of a row. InForce is true if the request waited until
// the change was in force.
type ChangeResult struct {
	Name         string `json:"name"`
	Version      uint64 `json:"version"` // of the row; 0: the row was removed
	ListsVersion uint64 `json:"lists_version"`
	InForce      bool   `json:"in_force"`
}

func (a *API) change(w http.ResponseWriter, r *http.Request, l list) error {
	c := plan.Command{Name: mux.Vars(r)["name"], Action: l.set, Who: operatorName(r), IdempotencyKey: r.Header.Get("Idempotency-Key")}
	if c.IdempotencyKey != "" && !keyPattern.MatchString(c.IdempotencyKey) {
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

// operatorName returns the name of the operator for the history: the header X-Operator, cut
// to 64 bytes, and the host that the request came from.
func operatorName(r *http.Request) string {
	const maxNameBytes = 64
	name := cmp.Or(r.Header.Get("X-Operator"), "operator")
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return name[:min(len(name), maxNameBytes)] + "@" + host
}

// commit proposes a change to the control group. Without an answer it is unknown whether the
// change was made, and the operator has to resend it with the same Idempotency-Key.
func (a *API) commit(ctx context.Context, c plan.Command) (plan.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	reply, err := control.Propose[plan.Reply](ctx, a.Control, control.PlansStateMachine, c)
	if err == nil || result.CodeOf(err) == result.ControlUnavail {
		return reply, err // the change was not executed and will not be
	}
	e := result.Newf(result.ControlUnavail, "no answer from the control group: %v; resend with the same Idempotency-Key", err)
	return reply, e.WithRan(result.RanUnknown)
}

func (a *API) answerChange(w http.ResponseWriter, r *http.Request, c plan.Command, reply plan.Reply) error {
	a.Log.Info().Str("who", c.Who).Str("what", c.Action.String()).Str("name", c.Name).
		Uint64("version", reply.Version).Msg("row of a list changed")
	out := ChangeResult{Name: c.Name, Version: reply.Version, ListsVersion: reply.ListsVersion}
	if err := a.waitInForce(r, reply.ListsVersion); err != nil {
		return result.From(err).WithRan(result.RanYes)
	}
	out.InForce = wantsInForce(r)
	status := http.StatusOK
	if reply.Created {
		status = http.StatusCreated
	}
	if reply.Version != 0 {
		w.Header().Set("ETag", etag(reply.Version))
	}
	return writeJSON(w, status, out)
}

func wantsInForce(r *http.Request) bool { return r.URL.Query().Get("wait") == "in-force" }

func (a *API) waitInForce(r *http.Request, version uint64) error {
	if !wantsInForce(r) {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), waitTimeout)
	defer cancel()
	if err := a.InForce.Wait(ctx, version); err != nil {
		return result.Newf(result.ControlUnavail, "version %d is accepted; waiting for it to be in force: %v", version, err)
	}
	return nil
}
