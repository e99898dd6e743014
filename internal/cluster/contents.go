package cluster

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

const (
	// clearedTTL is how long it is told that a content was cleared.
	clearedTTL = 10 * time.Second
	// maxToldContents bounds the contents that are told to each VM, about 2 KB. Those under
	// which most servers died come first.
	maxToldContents = 24
)

// ContentReport is a recovery.ContentRecord between VMs. Its times are ages, because the
// VMs' clocks may differ.
type ContentReport struct {
	Digest uint64        `cbor:"1,keyasint"`
	Deaths []ServerDeath `cbor:"2,keyasint,omitempty"`
	// ClearedAgeMS is an age in milliseconds, plus 1; 0: never.
	ClearedAgeMS int64 `cbor:"3,keyasint,omitempty"`
}

// ServerDeath is the death of one server under a content.
type ServerDeath struct {
	Server string `cbor:"1,keyasint"`
	AgeMS  int64  `cbor:"2,keyasint"`
	Trial  bool   `cbor:"3,keyasint,omitempty"`
}

func encodeContent(digest uint64, r recovery.ContentRecord, now time.Time) ContentReport {
	out := ContentReport{Digest: digest}
	if !r.ClearedAt.IsZero() {
		out.ClearedAgeMS = now.Sub(r.ClearedAt).Milliseconds() + 1
	}
	for _, d := range r.Deaths {
		out.Deaths = append(out.Deaths, ServerDeath{Server: d.Server, AgeMS: now.Sub(d.At).Milliseconds(), Trial: d.Trial})
	}
	return out
}

func encodeContents(records map[uint64]recovery.ContentRecord, now time.Time) []ContentReport {
	var out []ContentReport
	for digest, r := range records {
		out = append(out, encodeContent(digest, r, now))
	}
	return out
}

// decode returns the record as of its arrival.
func (c *ContentReport) decode(now time.Time) recovery.ContentRecord {
	var out recovery.ContentRecord
	if c.ClearedAgeMS > 0 {
		out.ClearedAt = now.Add(-time.Duration(c.ClearedAgeMS-1) * time.Millisecond)
	}
	for _, d := range c.Deaths {
		out.Deaths = append(out.Deaths, recovery.ContentDeath{Server: d.Server, At: now.Add(-time.Duration(d.AgeMS) * time.Millisecond), Trial: d.Trial})
	}
	return out
}

// ContentTrialRequest asks for a trial of a content.
type ContentTrialRequest struct {
	Known   ContentReport `cbor:"1,keyasint"`
	Service string        `cbor:"2,keyasint"`
	Stream  bool          `cbor:"3,keyasint,omitempty"`
}

// ContentTrialReply grants a trial, or states when to ask again. If it does neither, the
// content needs no trial, or is held back, as Known tells.
type ContentTrialReply struct {
	Granted bool          `cbor:"1,keyasint,omitempty"`
	WaitMS  int64         `cbor:"2,keyasint,omitempty"`
	Known   ContentReport `cbor:"3,keyasint"`
}

// ContentTrialEnd is what came of a trial.
type ContentTrialEnd struct {
	Known  ContentReport `cbor:"1,keyasint"`
	NotRun bool          `cbor:"2,keyasint,omitempty"` // no server has run the content
}

// contentService holds what all VMs know of suspect contents, and grants their trials. The
// Hub guards it.
type contentService struct {
	contents *recovery.SuspectContents
	trials   *recovery.ContentTrials
	version  uint64 // changes with the records that are told to VMs
}

func newContentService() *contentService {
	// A random start distinguishes the versions of different processes.
	return &contentService{contents: recovery.NewSuspectContents(), trials: recovery.NewContentTrials(), version: rand.Uint64()>>1 + 1}
}

func (c *contentService) receive(reports []ContentReport, now time.Time) {
	for i := range reports {
		c.learn(&reports[i], now)
	}
}

// learn merges what a VM knows of a content and returns its standing.
func (c *contentService) learn(report *ContentReport, now time.Time) recovery.ContentStanding {
	before, _ := c.contents.Standing(report.Digest, now)
	changed := c.contents.Merge(report.Digest, report.decode(now), now)
	standing, _ := c.contents.Standing(report.Digest, now)
	if changed && max(before, standing) >= recovery.ContentOnTrial {
		c.version++
	}
	if standing == recovery.ContentFree {
		c.trials.Cleared(report.Digest)
	}
	return standing
}

// told returns the records that the VMs need: of contents that are not sent freely, and of
// those that were cleared lately.
func (c *contentService) told(now time.Time) []ContentReport {
	var out []ContentReport
	c.contents.Each(now, func(digest uint64, r *recovery.ContentRecord) {
		if r.Standing(now) >= recovery.ContentOnTrial || len(r.Deaths) == 0 && now.Sub(r.ClearedAt) < clearedTTL {
			out = append(out, encodeContent(digest, *r, now))
		}
	})
	slices.SortFunc(out, func(a, b ContentReport) int {
		return cmp.Or(cmp.Compare(len(b.Deaths), len(a.Deaths)), cmp.Compare(a.Digest, b.Digest))
	})
	return out[:min(len(out), maxToldContents)]
}

// request decides about a request for a trial.
func (c *contentService) request(vm string, r *ContentTrialRequest, now time.Time) ContentTrialReply {
	standing := c.learn(&r.Known, now)
	record := c.contents.Record(r.Known.Digest)
	reply := ContentTrialReply{Known: encodeContent(r.Known.Digest, record, now)}
	if standing != recovery.ContentOnTrial {
		return reply
	}
	wait := record.TrialWait(now)
	if wait == 0 {
		wait = c.trials.Request(r.Known.Digest, vm, r.Service, r.Stream, now)
	}
	if wait == 0 {
		reply.Granted = true
		return reply
	}
	reply.WaitMS = max(1, wait.Milliseconds())
	return reply
}

func (h *Hub) serveContentTrial(_ context.Context, from string, body []byte) (any, error) {
	var r ContentTrialRequest
	if err := codec.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	reply := h.contents.request(from, &r, time.Now())
	h.log.Info().Str("router", from).Uint64("digest", r.Known.Digest).Str("service", r.Service).Bool("granted", reply.Granted).Int64("wait_ms", reply.WaitMS).
		Int("deaths", len(reply.Known.Deaths)).Msg("trial of a suspect content requested")
	return reply, nil
}

func (h *Hub) serveContentTrialEnd(_ context.Context, from string, body []byte) (any, error) {
	var e ContentTrialEnd
	if err := codec.Unmarshal(body, &e); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	standing := h.contents.learn(&e.Known, time.Now())
	h.contents.trials.End(e.Known.Digest, from, e.NotRun)
	h.log.Info().Str("router", from).Uint64("digest", e.Known.Digest).Bool("not_run", e.NotRun).Stringer("standing", standing).Msg("trial of a suspect content ended")
	return nil, nil
}

// addContents adds the records of contents to a reply unless the receiver holds them.
func (h *Hub) addContents(held uint64, reply *HeartbeatReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply.ContentsVersion = h.contents.version
	if held != h.contents.version {
		reply.Contents = h.contents.told(time.Now())
	}
}

// contentState is what a Member knows of the control VMs' records of contents. Safe for
// concurrent use.
type contentState struct {
	silent silentVMs

	mu      sync.Mutex
	source  string // the control VM that told them
	version uint64
}

// versionOf returns the version of the records that a control VM has told; 0: none.
func (s *contentState) versionOf(vm string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.source != vm {
		return 0
	}
	return s.version
}

// newContents returns the records that the control VMs may not know.
func (m *Member) newContents() []ContentReport {
	if m.local.Contents == nil {
		return nil
	}
	return encodeContents(m.local.Contents(), time.Now())
}

// learned reports whether a control VM has told its records.
func (s *contentState) learned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version != 0
}

// learnContents takes the records of a reply, if it has new ones.
func (m *Member) learnContents(vm string, reply *HeartbeatReply) {
	if m.local.LearnContents == nil || reply.ContentsVersion == 0 || reply.ContentsVersion == m.contents.versionOf(vm) {
		return
	}
	m.contents.mu.Lock()
	m.contents.source, m.contents.version = vm, reply.ContentsVersion
	m.contents.mu.Unlock()
	records, now := map[uint64]recovery.ContentRecord{}, time.Now()
	for i := range reply.Contents {
		records[reply.Contents[i].Digest] = reply.Contents[i].decode(now)
	}
	m.local.LearnContents(records)
}

var _ forward.ContentTrials = (*Member)(nil)

// RequestTrial implements forward.ContentTrials. It asks the scheduling control VM, and its
// successor if that does not answer.
func (m *Member) RequestTrial(ctx context.Context, r forward.ContentTrialRequest) (forward.ContentTrialAnswer, bool) {
	request := ContentTrialRequest{Known: encodeContent(r.Digest, r.Known, time.Now()), Service: r.Service, Stream: r.Stream}
	var reply ContentTrialReply
	vm, answered := m.askGranter(ctx, &m.contents.silent, peer.KindContentTrial, request, &reply)
	if !answered {
		return forward.ContentTrialAnswer{}, false
	}
	return forward.ContentTrialAnswer{
		Granter: vm, Granted: reply.Granted, Wait: time.Duration(reply.WaitMS) * time.Millisecond, Known: reply.Known.decode(time.Now()),
	}, true
}

// EndTrial implements forward.ContentTrials.
func (m *Member) EndTrial(granter string, e forward.ContentTrialEnd) {
	end := ContentTrialEnd{Known: encodeContent(e.Digest, e.Known, time.Now()), NotRun: e.NotRun}
	if err := m.t.Send(granter, peer.KindContentTrialEnd, end); err != nil {
		m.log.Debug().Err(err).Str("control", granter).Uint64("digest", e.Digest).Msg("the end of a trial could not be sent; its lease ends it")
	}
}
