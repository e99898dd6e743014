// Package peertest is a peer.Transport in memory for tests. Its Net loses,
// delays, repeats and cuts messages, and kills and pauses VMs. It takes time
// from package time only, so that under testing/synctest a test waits for
// nothing. Messages pass through the codec: both sides never share memory.
package peertest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// silenceLimit is how long a call over a cut link lasts at most; peer.Network
// closes a silent connection after about this time.
const silenceLimit = 2500 * time.Millisecond

type link struct{ from, to string }

// Net joins the Transports of a test. Safe for concurrent use.
type Net struct {
	mu      sync.Mutex
	rand    *rand.Rand
	vms     map[string]*Transport
	cut     map[link]bool
	resumed map[string]chan struct{} // of paused VMs
	drop    float64
	repeat  float64
	least   time.Duration
	most    time.Duration
}

// New returns a Net without faults. Equal seeds lose and delay equally.
func New(seed uint64) *Net {
	return &Net{
		rand: rand.New(rand.NewPCG(seed, 1)), vms: map[string]*Transport{},
		cut: map[link]bool{}, resumed: map[string]chan struct{}{},
	}
}

// VM starts a VM and returns its Transport. An earlier one of the same id is
// killed: so a test restarts a VM that lost its memory.
func (n *Net) VM(id string) *Transport {
	n.Kill(id)
	n.Resume(id)
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{net: n, id: id, handlers: map[peer.Kind]peer.Handler{}, ctx: ctx, cancel: cancel}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms[id] = t
	return t
}

// Kill ends a VM as a crash does: calls to and from it fail at once.
func (n *Net) Kill(id string) {
	n.mu.Lock()
	t := n.vms[id]
	delete(n.vms, id)
	n.mu.Unlock()
	if t != nil {
		t.cancel()
	}
}

// Pause holds all messages to and from a VM until Resume.
func (n *Net) Pause(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumed[id] == nil {
		n.resumed[id] = make(chan struct{})
	}
}

// Resume delivers what Pause held.
func (n *Net) Resume(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.resumed[id]; ch != nil {
		close(ch)
		delete(n.resumed, id)
	}
}

// Paused returns a channel that Resume closes, or nil where the VM runs. A test
// holds with it what else the VM's process would do.
func (n *Net) Paused(id string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resumed[id]
}

// Cut loses every message from one VM to another, silently; the other
// direction goes on.
func (n *Net) Cut(from, to string) { n.setCut(from, to, true) }

// Heal undoes Cut.
func (n *Net) Heal(from, to string) { n.setCut(from, to, false) }

func (n *Net) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = cut
}

// Deafen loses what others send to a VM, answers included; what it sends arrives.
func (n *Net) CutInbound(id string) {
	for _, other := range n.others(id) {
		n.Cut(other, id)
	}
}

// Isolate cuts a VM off in both directions.
func (n *Net) Isolate(id string) {
	n.CutInbound(id)
	for _, other := range n.others(id) {
		n.Cut(id, other)
	}
}

// HealAll undoes every cut.
func (n *Net) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

func (n *Net) others(id string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for vm := range n.vms {
		if vm != id {
			out = append(out, vm)
		}
	}
	return out
}

// SetLoss sets the shares of messages that are lost and that arrive twice.
func (n *Net) SetLoss(drop, repeat float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop, n.repeat = drop, repeat
}

// SetDelay sets the bounds of each message's one-way delay. Unequal bounds also
// reorder messages.
func (n *Net) SetDelay(least, most time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.least, n.most = least, most
}

// roll decides the fate of one message.
func (n *Net) roll(l link) (lost, twice bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delay = n.least
	if n.most > n.least {
		delay += time.Duration(n.rand.Int64N(int64(n.most - n.least)))
	}
	lost = n.cut[l] || n.rand.Float64() < n.drop
	return lost, n.rand.Float64() < n.repeat, delay
}

func (n *Net) lookup(id string) (*Transport, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vms[id], n.resumed[id]
}

// Transport is one VM's side of a Net.
type Transport struct {
	net    *Net
	id     string
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	handlers map[peer.Kind]peer.Handler
}

// Handle implements peer.Transport.
func (t *Transport) Handle(kind peer.Kind, h peer.Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlers[kind] = h
}

// Call implements peer.Transport.
func (t *Transport) Call(ctx context.Context, vm string, kind peer.Kind, body, reply any) error {
	data, err := codec.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	stop := context.AfterFunc(t.ctx, cancel)
	defer stop()
	out, err := t.exchange(ctx, vm, kind, data)
	if err != nil || reply == nil {
		return err
	}
	return codec.Unmarshal(out, reply)
}

type answer struct {
	data []byte
	err  error
}

// exchange carries a request and its answer; either may be lost.
func (t *Transport) exchange(ctx context.Context, vm string, kind peer.Kind, data []byte) ([]byte, error) {
	there, back := link{t.id, vm}, link{vm, t.id}
	twice, err := t.net.carry(ctx, there)
	if err != nil {
		return nil, err
	}
	to, _ := t.net.lookup(vm)
	if to == nil {
		return nil, fmt.Errorf("%w: %s", peer.ErrUnreachable, vm)
	}
	answers := make(chan answer, 2)
	serve := func() {
		out, err := to.serve(t.id, kind, data)
		answers <- answer{out, err}
	}
	go serve()
	if twice {
		go serve()
	}
	select {
	case a := <-answers:
		if _, err := t.net.carry(ctx, back); err != nil {
			return nil, err
		}
		return a.data, a.err
	case <-to.ctx.Done():
		return nil, fmt.Errorf("%w: %s: killed", peer.ErrUnreachable, vm)
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", peer.ErrUnreachable, vm, ctx.Err())
	}
}

// carry takes one message over a link: it waits for its delay and for paused
// ends, and reports whether the message arrives twice.
func (n *Net) carry(ctx context.Context, l link) (bool, error) {
	if l.from == l.to {
		return false, ctx.Err()
	}
	lost, twice, delay := n.roll(l)
	if lost {
		<-ctx.Done()
		return false, fmt.Errorf("%w: %s: %w", peer.ErrUnreachable, l.to, ctx.Err())
	}
	for _, end := range []string{l.from, l.to} {
		if _, paused := n.lookup(end); paused != nil {
			select {
			case <-paused:
			case <-ctx.Done():
			}
		}
	}
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return false, fmt.Errorf("%w: %s: %w", peer.ErrUnreachable, l.to, ctx.Err())
	}
	return twice, nil
}

func (t *Transport) serve(from string, kind peer.Kind, data []byte) ([]byte, error) {
	t.mu.Lock()
	h := t.handlers[kind]
	t.mu.Unlock()
	if h == nil {
		return nil, &peer.RemoteError{Message: fmt.Sprintf("no handler for kind %d", kind)}
	}
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	out, err := h(ctx, from, data)
	if err != nil {
		return nil, peer.AsRemote(err)
	}
	return codec.Marshal(out)
}

// Send implements peer.Transport.
func (t *Transport) Send(vm string, kind peer.Kind, body any) error {
	go func() { _ = t.Call(t.ctx, vm, kind, body, nil) }()
	return nil
}
