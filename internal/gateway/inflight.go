package gateway

import "sync/atomic"

// Bounds of service calls in flight, and of generations being opened, on one
// VM. The load pattern: a service slows
// down, its callers go on sending, and each call holds its body, its answer and
// a connection until the service answers. Without a bound the VM runs out of
// memory and takes the generations on it along. A call is held for less than a
// second as a rule: 4,096 at once are some thousand a second.
const (
	maxCalls     = 4096
	maxCallBytes = 256 << 20 // bodies; an answer is at most as large as MaxAnswerBytes
)

// inflight counts requests and the bytes of their bodies. Safe for concurrent use.
type inflight struct {
	calls atomic.Int64
	bytes atomic.Int64
}

// enter takes a place for a body of at most n bytes, or reports false.
func (f *inflight) enter(n int64) (leave func(), ok bool) {
	leave = func() {
		f.calls.Add(-1)
		f.bytes.Add(-n)
	}
	calls, bytes := f.calls.Add(1), f.bytes.Add(n)
	if calls > maxCalls || bytes > maxCallBytes {
		leave()
		return nil, false
	}
	return leave, true
}
