package operator

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/amaranthshelf/amaranthshelf/internal/control"
)

// Group is the control group as operators see it.
type Group interface {
	// Members returns the group as its leader sees it.
	Members(ctx context.Context) (control.MemberStats, error)
	// Remove takes the vote from a control VM that will not come back. It succeeds
	// where the VM has none, so that a resend after a lost answer does too.
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
	a.Log.Info().Str("member", vm).Msg("control VM has no vote")
	return a.members(w, r)
}
