package control

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
)

// fabric is a simulated network of VMs in one process. A message takes a millisecond each
// way, links can be cut silently, and replies can be lost.
type fabric struct {
	mu            sync.Mutex
	handlers      map[string]map[peer.Kind]peer.Handler
	cut           map[[2]string]bool
	lostReplyKind peer.Kind // replies of this kind are lost
	lostReplies   int       // number of further replies to lose
	bytes         map[string]int
	messages      map[string]int
	inFlight      sync.WaitGroup
	// linkRate is the rate of a VM's link in each direction, in bytes a second; 0: no limit.
	linkRate      map[string]float64
	sendFreeAt    map[string]time.Time // when the VM's link will have sent all queued messages
	receiveFreeAt map[string]time.Time
}

func newFabric() *fabric {
	return &fabric{
		handlers: map[string]map[peer.Kind]peer.Handler{}, cut: map[[2]string]bool{},
		bytes: map[string]int{}, messages: map[string]int{},
		linkRate: map[string]float64{}, sendFreeAt: map[string]time.Time{}, receiveFreeAt: map[string]time.Time{},
	}
}

// transmit waits until a message has crossed the links of both VMs, after all messages that
// were queued before it.
func (f *fabric) transmit(from, to string, size int) {
	f.mu.Lock()
	now := time.Now()
	at := now
	if from != to {
		at = f.occupyLink(f.sendFreeAt, from, at, size)
		at = f.occupyLink(f.receiveFreeAt, to, at, size)
	}
	f.mu.Unlock()
	<-time.After(at.Sub(now) + linkDelay)
}

func (f *fabric) occupyLink(freeAt map[string]time.Time, vm string, from time.Time, size int) time.Time {
	if f.linkRate[vm] == 0 {
		return from
	}
	if freeAt[vm].After(from) {
		from = freeAt[vm]
	}
	freeAt[vm] = from.Add(time.Duration(float64(size+frameOverhead) / f.linkRate[vm] * float64(time.Second)))
	return freeAt[vm]
}

type endpoint struct {
	f  *fabric
	vm string
}

const linkDelay = time.Millisecond

func (p endpoint) Handle(kind peer.Kind, h peer.Handler) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	if p.f.handlers[p.vm] == nil {
		p.f.handlers[p.vm] = map[peer.Kind]peer.Handler{}
	}
	p.f.handlers[p.vm][kind] = h
}

// frameOverhead is the size of the CBOR frame, WebSocket, TCP and IP headers of a message,
// in bytes.
const frameOverhead = 12 + 6 + 52

func (f *fabric) route(from, to string, kind peer.Kind, size int) (peer.Handler, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from != to {
		f.bytes[from] += size + frameOverhead
		f.bytes[to] += size + frameOverhead
		f.messages[from]++
	}
	if f.cut[[2]string{from, to}] {
		return nil, false, nil
	}
	h := f.handlers[to][kind]
	if h == nil {
		return nil, false, peer.ErrUnreachable
	}
	return h, true, nil
}

func (p endpoint) Call(ctx context.Context, vm string, kind peer.Kind, body, reply any) error {
	data, err := codec.Marshal(body)
	if err != nil {
		return err
	}
	h, up, err := p.f.route(p.vm, vm, kind, len(data))
	if err != nil {
		return err
	}
	if !up {
		<-ctx.Done()
		return ctx.Err()
	}
	done := make(chan error, 1)
	var out []byte
	p.f.inFlight.Go(func() {
		p.f.transmit(p.vm, vm, len(data))
		v, err := h(context.WithoutCancel(ctx), p.vm, data)
		if err == nil {
			out, err = codec.Marshal(v)
		}
		p.f.transmit(vm, p.vm, len(out))
		_, back, _ := p.f.route(vm, p.vm, kind, len(out))
		p.f.mu.Lock()
		back = (back || p.f.handlers[p.vm][kind] == nil) && !p.f.cut[[2]string{vm, p.vm}]
		if kind == p.f.lostReplyKind && p.f.lostReplies > 0 {
			p.f.lostReplies--
			back = false
		}
		p.f.mu.Unlock()
		if back {
			done <- err
		}
	})
	select {
	case err := <-done:
		if err != nil || reply == nil {
			return err
		}
		return codec.Unmarshal(out, reply)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p endpoint) Send(vm string, kind peer.Kind, body any) error {
	data, err := codec.Marshal(body)
	if err != nil {
		return err
	}
	h, up, err := p.f.route(p.vm, vm, kind, len(data))
	if err != nil || !up {
		return err
	}
	p.f.inFlight.Go(func() {
		p.f.transmit(p.vm, vm, len(data))
		_, _ = h(context.Background(), p.vm, data)
	})
	return nil
}

// isolate silently cuts the links between a VM and others in both directions. heal restores
// all links.
func (f *fabric) isolate(vm string, others ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range others {
		if o != vm {
			f.cut[[2]string{vm, o}], f.cut[[2]string{o, vm}] = true, true
		}
	}
}

func (f *fabric) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cut)
}
