package operator

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
)

// Group provides operators with access to the control group.
type Group interface {
	// Members returns the state of the group's members as the leader knows it.
	Members(ctx context.Context) (control.MemberStats, error)
	// Remove removes a control VM that will not come back from the voters. It succeeds for a
	// VM that is not a voter, because an operator may resend it after a lost answer.
	Remove(ctx context.Context, vm string) error
}

func (a *API) members(w http.ResponseWriter, r *http.Request) error {
	ctx, cancel := context.WithTimeout(r.Context(), commitTimeout)
	defer cancel()
	s, err := a.Group.Members(ctx)
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, s)
}

func (a *API) removeMember(w http.ResponseWriter, r *http.Request) error {
	ctx, cancel := context.WithTimeout(r.Context(), commitTimeout)
	defer cancel()
	vm := mux.Vars(r)["vm"]
	if err := a.Group.Remove(ctx, vm); err != nil {
		return err
	}
	a.Log.Info().Str("member", vm).Msg("control VM removed from the voters")
	return a.members(w, r)
}
