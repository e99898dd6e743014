// Package peertest provides an in-memory peer.Transport for tests. Its Net drops, delays and
// duplicates messages, cuts links, and kills and pauses VMs. It uses only the clock of package
// time, so a test under testing/synctest does not wait in real time. Messages are encoded and
// decoded, because sender and receiver must not share memory.
package peertest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// callTimeout is the maximum duration of a call, for example over a cut link. peer.Network
// closes a connection on which nothing arrives after about this time.
const callTimeout = 2500 * time.Millisecond

type link struct{ from, to string }

// Net is a simulated network that connects the Transports of a test. It is safe for concurrent
// use.
type Net struct {
	mu        sync.Mutex
	rand      *rand.Rand
	vms       map[string]*Transport
	cut       map[link]bool
	paused    map[string]chan struct{} // by paused VM; Resume closes the channel
	drop      float64
	duplicate float64
	minDelay  time.Duration
	maxDelay  time.Duration
}

// New returns a Net without faults. The seed determines which messages are dropped and
// duplicated, and their delays.
func New(seed uint64) *Net {
	return &Net{
		rand: rand.New(rand.NewPCG(seed, 1)), vms: map[string]*Transport{},
		cut: map[link]bool{}, paused: map[string]chan struct{}{},
	}
}

// VM starts a VM and returns its Transport. An earlier VM with the same ID is killed, so a test
// can use it to restart a VM without its memory.
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

// Kill stops a VM like a crash: calls to and from it fail at once, like refused connections.
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
	if n.paused[id] == nil {
		n.paused[id] = make(chan struct{})
	}
}

// Resume ends a Pause and delivers the messages that it held.
func (n *Net) Resume(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.paused[id]; ch != nil {
		close(ch)
		delete(n.paused, id)
	}
}

// Paused returns a channel that Resume closes, or nil if the VM is not paused. A test uses it to
// block the other work of the VM's process.
func (n *Net) Paused(id string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused[id]
}

// Cut silently drops every message from one VM to another. The other direction is not
// affected.
func (n *Net) Cut(from, to string) { n.setCut(from, to, true) }

// Heal undoes Cut.
func (n *Net) Heal(from, to string) { n.setCut(from, to, false) }

func (n *Net) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = cut
}

// CutInbound drops all messages to a VM, replies included. Messages from it still arrive.
func (n *Net) CutInbound(id string) {
	for _, other := range n.others(id) {
		n.Cut(other, id)
	}
}

// Isolate cuts all links of a VM in both directions.
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

// SetLoss sets the probabilities, from 0 to 1, that a message is dropped and that it is
// delivered twice.
func (n *Net) SetLoss(drop, duplicate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop, n.duplicate = drop, duplicate
}

// SetDelay sets the bounds of the random one-way delay of each message. Different bounds also
// reorder messages.
func (n *Net) SetDelay(minDelay, maxDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.minDelay, n.maxDelay = minDelay, maxDelay
}

// sampleFate draws whether one message is lost or duplicated, and its delay.
func (n *Net) sampleFate(l link) (lost, duplicated bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delay = n.minDelay
	if n.maxDelay > n.minDelay {
		delay += time.Duration(n.rand.Int64N(int64(n.maxDelay - n.minDelay)))
	}
	lost = n.cut[l] || n.rand.Float64() < n.drop
	return lost, n.rand.Float64() < n.duplicate, delay
}

func (n *Net) lookup(id string) (*Transport, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vms[id], n.paused[id]
}

// Transport is the peer.Transport of one VM of a Net.
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stop := context.AfterFunc(t.ctx, cancel)
	defer stop()
	out, err := t.exchange(ctx, vm, kind, data)
	if err != nil || reply == nil {
		return err
	}
	return codec.Unmarshal(out, reply)
}

type response struct {
	data []byte
	err  error
}

// exchange delivers a request and its reply. Either may be lost.
func (t *Transport) exchange(ctx context.Context, vm string, kind peer.Kind, data []byte) ([]byte, error) {
	request, reply := link{t.id, vm}, link{vm, t.id}
	duplicated, err := t.net.deliver(ctx, request)
	if err != nil {
		return nil, err
	}
	to, _ := t.net.lookup(vm)
	if to == nil {
		return nil, fmt.Errorf("%w: %s: %w", peer.ErrUnreachable, vm, syscall.ECONNREFUSED)
	}
	responses := make(chan response, 2)
	serve := func() {
		out, err := to.serve(t.id, kind, data)
		responses <- response{out, err}
	}
	go serve()
	if duplicated {
		go serve()
	}
	select {
	case a := <-responses:
		if _, err := t.net.deliver(ctx, reply); err != nil {
			return nil, err
		}
		return a.data, a.err
	case <-to.ctx.Done():
		return nil, fmt.Errorf("%w: %s: killed", peer.ErrUnreachable, vm)
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %s: %w", peer.ErrUnreachable, vm, ctx.Err())
	}
}

// deliver simulates one message on a link. It waits for the delay and until neither VM is
// paused, and reports whether the message is duplicated.
func (n *Net) deliver(ctx context.Context, l link) (bool, error) {
	if l.from == l.to {
		return false, ctx.Err()
	}
	lost, duplicated, delay := n.sampleFate(l)
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
	return duplicated, nil
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
