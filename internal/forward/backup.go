package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/placement"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// The failure pattern is a loss of zones one after the other, some seconds apart. The
// first loss also destroys the copies of runs in other zones. Those runs continue and
// look healthy, but have no copy when the second zone or their own engine is lost.
// Their prompts are then prefilled again, by engines that are full at that moment.
//
// A run whose backup engine is lost therefore gets another copy while it continues. It
// does not wait for the list of backend servers, which names dead engines for two more
// seconds. By the time the run had looked at the list, the second zone could be lost.

// Constants of backup copies.
const (
	// backupCheckInterval is how often a run checks that its backup engine is alive. It
	// is a small part of the three seconds between two losses.
	backupCheckInterval = 400 * time.Millisecond
	// copyRenewShare is the part of a copy's life after which it is renewed. Renewal
	// transfers only what was added since.
	copyRenewShare = 0.6
	// copyOrderTimeout allows for the copies of a zone's runs to queue on the links.
	copyOrderTimeout = 1 * time.Second
	// defaultCopyLife applies to engines that do not state how long they keep a copy.
	defaultCopyLife = 4 * time.Second
)

// backupCopy is a copy of a run's memory at another engine.
type backupCopy struct {
	engine  *upstream.Server
	ref     Copy
	renewAt time.Time // when to order it again; zero: the engine keeps it up to date itself
}

// backupState is the copy of a run and the order that replaces it.
type backupState struct {
	current backupCopy
	pending chan backupCopy // result of the order in flight; nil: none
}

// checkBackup orders a copy if the run's copy is lost or due for renewal.
func (r *run) checkBackup() {
	e := r.st.q.service.Engine
	if e == nil || !e.CopiesOnOrder || r.forwarded == 0 || r.backup.pending != nil {
		return
	}
	current := r.backup.current
	lost := current.engine == nil || r.st.h.opts.Fleet.Lost(current.engine)
	switch {
	case lost:
		r.orderBackup(r.st.chooseBackupEngine(r.server))
	case !current.renewAt.IsZero() && time.Now().After(current.renewAt):
		r.orderBackup(current.engine)
	}
}

// orderBackup has the run's engine copy the run's memory while the run continues.
func (r *run) orderBackup(to *upstream.Server) {
	if to == nil {
		return
	}
	life := r.st.q.service.Engine.CopyLife
	if life <= 0 {
		life = defaultCopyLife
	}
	ordered := make(chan backupCopy, 1)
	r.backup.pending = ordered
	// The order outlives the run: only its answer has the name by which the copy can
	// be dropped.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.st.q.ctx), copyOrderTimeout)
	go func() {
		defer cancel()
		p := backupCopy{renewAt: time.Now().Add(time.Duration(copyRenewShare * float64(life)))}
		if name := r.st.h.requestCopy(ctx, r.server, r.st.q.RequestID, to.Address); name != "" {
			p.engine, p.ref = to, Copy{Address: r.server.Address, ID: name}
		}
		ordered <- p
	}()
}

// handleBackupOrdered handles the result of an order.
func (r *run) handleBackupOrdered(p backupCopy) {
	r.backup.pending = nil
	if p.engine == nil {
		return // ordered again at the next check
	}
	r.st.h.Stats.CopiesOrdered.Inc()
	if p.engine != r.backup.current.engine {
		r.setBackupEngine(p.engine)
	}
	r.backup.current = p
	r.reportRun()
	r.st.h.opts.Log.Info().Str("request", r.st.q.RequestID).Str("engine", r.server.ID).Str("keeper", p.engine.ID).
		Int("passed", r.forwarded).Msg("backup copy ordered")
}

// setBackupEngine changes the backup engine and moves the memory that the copy takes
// to its account.
func (r *run) setBackupEngine(to *upstream.Server) {
	fleet := r.st.h.opts.Fleet
	if r.backup.current.engine != nil {
		fleet.Release(r.backup.current.engine, r.backupUse)
	}
	r.backupUse = placement.CopyUsage(r.st.need)
	fleet.Take(to, r.backupUse)
	r.backup.current.engine = to
}

// loseBackup records that the run's copy is gone.
func (r *run) loseBackup() {
	if r.backup.current.engine == nil {
		return
	}
	r.st.h.opts.Fleet.Release(r.backup.current.engine, r.backupUse)
	r.backup.current, r.backupUse = backupCopy{}, placement.Usage{}
}

// dropBackups has the engine drop the copies that were made on order. They will not be
// used, and would occupy memory and a slot at the backup engine for some seconds. A
// copy that the engine makes by itself ends with the run. A caller whose VM is gone asks another
// one for the rest, which needs the copies.
func (r *run) dropBackups() {
	if errors.Is(context.Cause(r.st.q.ctx), handoff.ErrReaderLost) {
		return
	}
	h, s, p, ordered := r.st.h, r.server, r.backup.current, r.backup.pending
	go func() {
		h.dropCopy(s, p)
		if ordered != nil {
			h.dropCopy(s, <-ordered)
		}
	}()
}

// dropCopy has an engine drop a copy that it made on order.
func (h *Handler) dropCopy(s *upstream.Server, p backupCopy) {
	if p.renewAt.IsZero() || p.engine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), copyOrderTimeout)
	defer cancel()
	method, uri := h.opts.Wire.CopyDrop(p.ref.ID)
	r := upstream.Request{Method: method, URI: uri, Host: s.Address, Header: http.Header{}}
	if _, _, err := h.engines.do(ctx, s, &r); err != nil {
		h.opts.Log.Debug().Err(err).Str("engine", s.ID).Msg("backup copy could not be dropped; it remains until it expires")
	}
}

// requestCopy has an engine copy a run's memory to the address to. It returns the name
// of the copy; empty: none was made.
func (h *Handler) requestCopy(ctx context.Context, s *upstream.Server, requestID, to string) string {
	method, uri, body := h.opts.Wire.CopyOrder(requestID, to)
	header := http.Header{"Content-Type": {"application/json"}}
	resp, text, err := h.engines.do(ctx, s, &upstream.Request{Method: method, URI: uri, Host: s.Address, Header: header, Body: body})
	if err != nil {
		h.opts.Log.Info().Err(err).Str("request", requestID).Str("engine", s.ID).Msg("backup copy could not be ordered")
		return ""
	}
	return h.opts.Wire.ReadCopy(resp.StatusCode, text)
}

// backupEngineFor returns the backup engine of a run that is about to start. It is the
// one that was granted with the engine; without a grant, this VM chooses. nil: none.
func (st *streamRelay) backupEngineFor(c *engineChoice) *upstream.Server {
	if !c.granted {
		return st.chooseBackupEngine(c.server)
	}
	if c.grant.BackupEngine == "" {
		return nil
	}
	return st.h.opts.Fleet.Lookup(c.grant.BackupEngine)
}

// chooseBackupEngine chooses the backup engine of a run on s, of the same version. It returns nil
// if the route may not resume, or if the service's engines make no copies.
func (st *streamRelay) chooseBackupEngine(s *upstream.Server) *upstream.Server {
	if !st.mayKeepCopy() || st.h.isCopyingDisabled(st.q.service.Name) {
		return nil
	}
	skip := map[string]bool{s.ID: true}
	for id := range st.skip {
		skip[id] = true
	}
	servers, candidates := st.h.opts.Fleet.Candidates(st.q.service.Name, rollout.FixedVersion(s.Version), st.kvTokens(), skip)
	if i := placement.ChooseBackupEngine(candidates, s.Zone, st.need, rand.IntN); i >= 0 {
		return servers[i]
	}
	return nil
}
