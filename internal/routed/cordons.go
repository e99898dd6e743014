package routed

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/control"
	"github.com/amaranthshelf/amaranthshelf/internal/cordon"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
)

const (
	// cordonCheckInterval is how often a control VM applies changes and ends of cordons.
	cordonCheckInterval = 100 * time.Millisecond
	// directoryHoldLimit is how long a control VM that has just started names no VM to
	// callers, unless it knows the cordons earlier. It covers an election of a leader.
	directoryHoldLimit = 2 * time.Second
	// removalTimeout bounds the removal of an ended cordon. A later check repeats it.
	removalTimeout = 1 * time.Second
)

// CordonService takes orders of cordons. Requests with the same key are carried out once.
type CordonService interface {
	// PutCordon orders a cordon, and returns once the order is committed to the log.
	PutCordon(ctx context.Context, o cordon.Order, key string) (CordonStatus, error)
	// RemoveCordon ends a cordon.
	RemoveCordon(ctx context.Context, r cordon.Removal, key string) error
	// Cordons returns the cordons in force, confirmed by a majority of the group.
	Cordons(ctx context.Context) ([]CordonStatus, error)
}

// CordonStatus is a cordon in force.
type CordonStatus struct {
	Kind        cordon.Kind `json:"kind" cbor:"1,keyasint"`
	ID          string      `json:"id" cbor:"2,keyasint"`
	Reason      string      `json:"reason,omitempty" cbor:"3,keyasint,omitempty"`
	RemainingMS int64       `json:"remaining_ms" cbor:"4,keyasint"`
	EndMS       int64       `json:"end_ms" cbor:"5,keyasint"` // on the group's clock, Unix milliseconds
	// Listed reports whether the answering VM knows such a server or VM now.
	Listed bool `json:"listed" cbor:"6,keyasint,omitempty"`
}

// cordonRequest is an observer's request to a voter: an order, a removal, or a query if both
// are nil.
type cordonRequest struct {
	Order   *cordon.Order   `cbor:"1,keyasint,omitempty"`
	Removal *cordon.Removal `cbor:"2,keyasint,omitempty"`
	Key     string          `cbor:"3,keyasint,omitempty"`
}

// serveCordon answers the cordonRequest of an observer.
func (c *Control) serveCordon(ctx context.Context, body []byte) (any, error) {
	var q cordonRequest
	if err := codec.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	switch {
	case q.Order != nil:
		st, err := c.PutCordon(ctx, *q.Order, q.Key)
		return []CordonStatus{st}, err
	case q.Removal != nil:
		return []CordonStatus{}, c.RemoveCordon(ctx, *q.Removal, q.Key)
	}
	return c.Cordons(ctx)
}

// cordonWatch is what a control VM knows of the cordons. It is safe for concurrent use.
type cordonWatch struct {
	mu      sync.Mutex
	known   bool   // the log was read up to the present once
	version uint64 // of the state machine. A member that is opened again replays older ones
	tracker cordon.Tracker
}

// read takes the cordons of a session. complete is set if the session holds everything that
// was committed when it was last known.
func (w *cordonWatch) read(s *memberSession, complete bool, now time.Time) {
	var state cordon.State
	version := uint64(0)
	s.machine.Read(control.CordonsStateMachine, func(control.StateMachine) { version, state = s.cordons.Version(), s.cordons.State() })
	w.mu.Lock()
	defer w.mu.Unlock()
	if version > w.version {
		w.version = version
		w.tracker.Learn(&state, now, !w.known)
	}
	w.known = w.known || complete
}

func (w *cordonWatch) inForce(now time.Time) (f cordon.InForce, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.InForce(now), w.known
}

func (w *cordonWatch) ended(now time.Time) []cordon.Removal {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.Ended(now, now.UnixMilli())
}

func (w *cordonWatch) list(now time.Time) []cordon.Remaining {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.List(now)
}

// runCordons applies the cordons on this control VM until c's context ends. The leader removes
// those whose time has passed.
func (c *Control) runCordons() {
	tick := time.NewTicker(cordonCheckInterval)
	defer tick.Stop()
	began, last := time.Now(), ""
	caughtUp := make(chan struct{})
	go c.awaitLog(caughtUp)
	for {
		select {
		case <-tick.C:
		case <-c.ctx.Done():
			return
		}
		now := time.Now()
		s := c.memberRunner.current()
		if s != nil {
			c.cordons.read(s, isClosed(caughtUp), now)
		}
		f, known := c.cordons.inForce(now)
		mayApply := known || now.Sub(began) > directoryHoldLimit
		if text := textOf(f); mayApply && text != last {
			last = text
			c.hub.SetCordons(f)
			c.o.Log.Info().Int("engines", len(f.Engines)).Int("vms", len(f.VMs)).Bool("log_read", known).Msg("cordons applied")
		}
		if s != nil && c.IsLeader() {
			c.removeEnded(s, now)
		}
	}
}

// textOf returns a text that differs between sets of cordons.
func textOf(f cordon.InForce) string {
	out, _ := json.Marshal(f) // sets of strings always encode, in the order of their keys
	return string(out)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// awaitLog closes done once this VM's log contains everything that was committed before the
// start.
func (c *Control) awaitLog(done chan<- struct{}) {
	for c.ctx.Err() == nil {
		if s := c.memberRunner.current(); s != nil {
			ctx, cancel := context.WithTimeout(c.ctx, removalTimeout)
			err := s.client.Barrier(ctx)
			cancel()
			if err == nil {
				close(done)
				return
			}
		}
		select {
		case <-time.After(cordonCheckInterval):
		case <-c.ctx.Done():
		}
	}
}

func (c *Control) removeEnded(s *memberSession, now time.Time) {
	for _, r := range c.cordons.ended(now) {
		ctx, cancel := context.WithTimeout(c.ctx, removalTimeout)
		_, err := control.Propose[cordon.Reply](ctx, s.client, control.CordonsStateMachine, cordon.Command{Removal: &r})
		cancel()
		c.o.Log.Info().Str("kind", string(r.Kind)).Str("id", r.ID).Uint64("cordon", r.Number).AnErr("error", err).Msg("cordon ended")
	}
}

// confirmedCordons returns the session whose state contains every cordon committed before the
// call, and what is in force.
func (c *Control) confirmedCordons(ctx context.Context) (*memberSession, cordon.InForce, error) {
	s := c.memberRunner.current()
	if s == nil {
		return nil, cordon.InForce{}, result.New(result.ControlUnavail)
	}
	if err := s.client.Barrier(ctx); err != nil {
		return nil, cordon.InForce{}, result.New(result.ControlUnavail)
	}
	now := time.Now()
	c.cordons.read(s, false, now)
	f, _ := c.cordons.inForce(now)
	return s, f, nil
}

// PutCordon implements CordonService.
func (c *Control) PutCordon(ctx context.Context, o cordon.Order, key string) (CordonStatus, error) {
	st, err := c.putCordon(ctx, &o, key)
	c.o.Log.Info().Str("kind", string(o.Kind)).Str("id", o.ID).Int64("for_ms", o.ForMS).Str("reason", o.Reason).
		Bool("listed", st.Listed).AnErr("error", err).Msg("cordon ordered")
	return st, err
}

func (c *Control) putCordon(ctx context.Context, o *cordon.Order, key string) (CordonStatus, error) {
	if err := o.Validate(); err != nil {
		return CordonStatus{}, err
	}
	s, inForce, err := c.confirmedCordons(ctx)
	if err != nil {
		return CordonStatus{}, err
	}
	listed, err := c.checkCordon(o.Kind, o.ID, inForce)
	if err != nil {
		return CordonStatus{}, err
	}
	reply, err := control.ProposeDeduplicated[cordon.Reply](ctx, s.client, control.CordonsStateMachine, cordon.Command{Order: o, Key: key})
	switch {
	case err != nil:
		return CordonStatus{}, err
	case reply.Outcome == cordon.Full:
		return CordonStatus{}, result.Newf(result.CordonRefused, "too many cordons are in force")
	case reply.Outcome != cordon.Accepted:
		return CordonStatus{}, result.New(result.InvalidCordon)
	}
	return CordonStatus{Kind: o.Kind, ID: o.ID, Reason: o.Reason, RemainingMS: o.ForMS, EndMS: reply.Cordon.EndMS, Listed: listed}, nil
}

// checkCordon refuses a cordon that would leave nothing to serve requests with, and reports
// whether this VM knows what is cordoned.
func (c *Control) checkCordon(kind cordon.Kind, id string, inForce cordon.InForce) (listed bool, err error) {
	if kind == cordon.VM {
		return cordon.CheckVM(c.hub.CallerVMs(), inForce.VMs, id)
	}
	rows, _, _, ok := c.backendList.Current()
	if !ok {
		return false, result.Newf(result.ControlUnavail, "this VM holds no list of backend servers yet")
	}
	servers := make([]cordon.Server, len(rows))
	for i := range rows {
		b := &rows[i]
		servers[i] = cordon.Server{ID: b.ID, Address: b.Address, Service: b.Service, Zone: b.Zone, Draining: b.Draining}
	}
	return cordon.CheckEngine(servers, inForce.Engines, id)
}

// RemoveCordon implements CordonService.
func (c *Control) RemoveCordon(ctx context.Context, r cordon.Removal, key string) error {
	err := c.removeCordon(ctx, &r, key)
	c.o.Log.Info().Str("kind", string(r.Kind)).Str("id", r.ID).AnErr("error", err).Msg("cordon removed")
	return err
}

func (c *Control) removeCordon(ctx context.Context, r *cordon.Removal, key string) error {
	if err := r.Validate(); err != nil {
		return err
	}
	s := c.memberRunner.current()
	if s == nil {
		return result.New(result.ControlUnavail)
	}
	reply, err := control.ProposeDeduplicated[cordon.Reply](ctx, s.client, control.CordonsStateMachine, cordon.Command{Removal: r, Key: key})
	if err == nil && reply.Outcome != cordon.Accepted {
		return result.New(result.NoCordon)
	}
	return err
}

// Cordons implements CordonService.
func (c *Control) Cordons(ctx context.Context) ([]CordonStatus, error) {
	if _, _, err := c.confirmedCordons(ctx); err != nil {
		return nil, err
	}
	out := []CordonStatus{}
	for _, r := range c.cordons.list(time.Now()) {
		// Only whether it is listed is of interest: the cordon is in force already.
		listed, _ := c.checkCordon(r.Kind, r.ID, cordon.InForce{})
		out = append(out, CordonStatus{Kind: r.Kind, ID: r.ID, Reason: r.Reason, RemainingMS: r.Left.Milliseconds(), EndMS: r.EndMS, Listed: listed})
	}
	return out, nil
}

// PutCordon implements CordonService. A voter that did not answer may have committed the
// order. The next voter then returns the same reply, because the key is the same.
func (v *Observer) PutCordon(ctx context.Context, o cordon.Order, key string) (CordonStatus, error) {
	out, err := orderFromVoters[[]CordonStatus](ctx, &v.voters, peer.KindCordon, cordonRequest{Order: &o, Key: key})
	if err != nil || len(out) != 1 {
		return CordonStatus{}, err
	}
	return out[0], nil
}

// RemoveCordon implements CordonService.
func (v *Observer) RemoveCordon(ctx context.Context, r cordon.Removal, key string) error {
	_, err := orderFromVoters[[]CordonStatus](ctx, &v.voters, peer.KindCordon, cordonRequest{Removal: &r, Key: key})
	return err
}

// Cordons implements CordonService.
func (v *Observer) Cordons(ctx context.Context) ([]CordonStatus, error) {
	return askVoters[[]CordonStatus](ctx, &v.voters, peer.KindCordon, cordonRequest{})
}

// cordonOrder is the JSON body of an operator's order.
type cordonOrder struct {
	ForMS  int64  `json:"for_ms"`
	Reason string `json:"reason"`
}

// cordonRoutes adds the operators' paths of cordons to a router.
func cordonRoutes(m *mux.Router, token string, c CordonService) {
	const one = "/v1/cordons/{kind}/{id:.*}" // an empty id gets a coded error
	m.Handle("/v1/cordons", requireToken(token, func(w http.ResponseWriter, q *http.Request) error { return getCordons(w, q, c) })).Methods(http.MethodGet)
	m.Handle(one, requireToken(token, func(w http.ResponseWriter, q *http.Request) error { return putCordon(w, q, c) })).Methods(http.MethodPut)
	m.Handle(one, requireToken(token, func(w http.ResponseWriter, q *http.Request) error { return deleteCordon(w, q, c) })).Methods(http.MethodDelete)
}

func getCordons(w http.ResponseWriter, r *http.Request, c CordonService) error {
	ctx, cancel := context.WithTimeout(r.Context(), operatorCallTimeout)
	defer cancel()
	out, err := c.Cordons(ctx)
	if err != nil {
		return err
	}
	resulthttp.WriteJSON(w, map[string]any{"cordons": out})
	return nil
}

func putCordon(w http.ResponseWriter, r *http.Request, c CordonService) error {
	var body cordonOrder
	if err := readOrder(w, r, &body, result.InvalidCordon); err != nil {
		return err
	}
	o := cordon.Order{Kind: cordon.Kind(mux.Vars(r)["kind"]), ID: mux.Vars(r)["id"], ForMS: body.ForMS, Reason: body.Reason}
	if err := o.Validate(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorCallTimeout)
	defer cancel()
	out, err := c.PutCordon(ctx, o, requestKey(r))
	if err != nil {
		return err
	}
	resulthttp.WriteJSON(w, out)
	return nil
}

func deleteCordon(w http.ResponseWriter, r *http.Request, c CordonService) error {
	removal := cordon.Removal{Kind: cordon.Kind(mux.Vars(r)["kind"]), ID: mux.Vars(r)["id"]}
	if err := removal.Validate(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorCallTimeout)
	defer cancel()
	if err := c.RemoveCordon(ctx, removal, requestKey(r)); err != nil {
		return err
	}
	resulthttp.WriteJSON(w, map[string]any{"removed": true})
	return nil
}

// requestKey returns the key that identifies a request of an operator, who may send it again
// to another VM.
func requestKey(r *http.Request) string {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return rand.Text()
}
