package admission

import "sync/atomic"

// InFlight bounds the requests that a VM holds and the bytes of their bodies. The
// overload: a backend server slows down, its callers keep sending, and each request holds
// its body, its answer and a connection until the server answers. Without a bound the VM
// runs out of memory and loses the answers that it holds. Safe for concurrent use.
type InFlight struct {
	maxCount, maxBytes int64
	count, bytes       atomic.Int64
}

// NewInFlight returns an InFlight with the given limits.
func NewInFlight(maxCount, maxBytes int64) *InFlight {
	return &InFlight{maxCount: maxCount, maxBytes: maxBytes}
}

// Enter reserves room for a request with a body of at most n bytes, and returns a
// function that releases it. It reports false if a limit would be exceeded.
func (f *InFlight) Enter(n int64) (leave func(), ok bool) {
	leave = func() {
		f.count.Add(-1)
		f.bytes.Add(-n)
	}
	count, bytes := f.count.Add(1), f.bytes.Add(n)
	if count > f.maxCount || bytes > f.maxBytes {
		leave()
		return nil, false
	}
	return leave, true
}
