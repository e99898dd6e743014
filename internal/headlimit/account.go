// Package headlimit bounds what all clients of a process together may hold of it before their
// requests are served: heads of requests, as they arrive and parsed, and connections.
//
// The overload. A parsed header line takes a hundred bytes and more, however short it is. A thousand
// clients with a head of 16 KB each, which is inside any limit, take all memory of a small VM; heads
// without an end need fewer. Clients that send nothing take its descriptors.
//
// Therefore all listeners of a process draw on one Account. When it is spent, the connection that
// holds most is closed, unless its request is being served: the heads of ordinary clients are small,
// so that they stay. Others read on once the HTTP server has freed what it held.
package headlimit

import (
	"container/list"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/amaranthshelf/amaranthshelf/internal/memory"
)

const (
	// memoryShare is the part of a VM's memory that the heads of requests may use.
	memoryShare = 0.1
	// servedShare is the part of the account that requests which are served may use.
	servedShare = 0.5
	// connsShare is the part of the descriptors that the connections of clients may use. Connections to
	// servers and files need the rest.
	connsShare = 0.6
	// lineBytes is the memory of a parsed header line besides its bytes, twice: the line is copied to
	// be passed on.
	lineBytes = 256
	// byteCopies is how often a byte of a head is held.
	byteCopies = 2
	// freeBytes of each head are not counted. Most heads take no more.
	freeBytes = 8 << 10
	// roomTimeout bounds how long a read waits for memory that connections which gave way have not freed.
	roomTimeout = time.Second
)

// Account bounds the heads and connections of all clients of a process. It is safe for concurrent use.
type Account struct {
	limit    int
	maxConns int // 0: not limited

	mu     sync.Mutex
	used   int
	served int // the part of used that requests which are served hold
	// leaving is what connections that gave way held and the HTTP server has not freed.
	leaving int
	// room is closed when reads that wait have room; nil: none waits.
	room chan struct{}
	open int
	// holders are the connections that hold something.
	holders map[*conn]struct{}
	// waiting are the connections whose requests are not served, the one that has waited for the
	// longest time first.
	waiting *list.List
	closed  int // connections that were closed since others needed what they held
}

// NewAccount returns the Account of a VM with the given memory in bytes and descriptors; 0: not
// stated.
func NewAccount(vmBytes int64, descriptors int) *Account {
	return &Account{
		limit: int(memoryShare * float64(memory.VMBytes(vmBytes))), maxConns: int(connsShare * float64(descriptors)),
		holders: map[*conn]struct{}{}, waiting: list.New(),
	}
}

// Usage is what clients hold.
type Usage struct {
	Bytes       int
	Connections int
	Closed      int // connections that were closed since others needed what they held
}

// Usage returns what clients hold.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Bytes: a.used, Connections: a.open, Closed: a.closed}
}

// RegisterGauges registers the metrics of an account.
func RegisterGauges(set *metrics.Set, a *Account) {
	set.NewGauge("shelf_heads_bytes", func() float64 { return float64(a.Usage().Bytes) })
	set.NewGauge("shelf_client_connections", func() float64 { return float64(a.Usage().Connections) })
	set.NewGauge("shelf_client_connections_closed_total", func() float64 { return float64(a.Usage().Closed) })
}

// charge returns the memory that a head is counted with.
func (h headSize) charge() int { return max(0, byteCopies*h.bytes+lineBytes*h.lines-freeBytes) }

// accept counts a new connection. If there are too many, it removes the one that has waited for the
// longest time, and returns it.
func (a *Account) accept(c *conn) (victim *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
	c.gone = make(chan struct{})
	c.waits = a.waiting.PushBack(c)
	if a.maxConns == 0 || a.open <= a.maxConns {
		return nil
	}
	victim = a.waiting.Front().Value.(*conn)
	a.giveWay(victim)
	return victim
}

// hold sets what a connection holds, and returns the connections that must give way. It may be among
// them itself.
func (a *Account) hold(c *conn, bytes int) (victims []*conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.removed || bytes == c.held {
		return nil
	}
	a.set(c, bytes)
	for a.used > a.limit {
		victim := a.largest()
		if victim == nil {
			victim = c
		}
		a.giveWay(victim)
		victims = append(victims, victim)
		if victim == c {
			break
		}
	}
	return victims
}

// set needs a.mu.
func (a *Account) set(c *conn, bytes int) {
	a.used += bytes - c.held
	if c.served {
		a.served += bytes - c.held
	}
	if c.held = bytes; bytes > 0 {
		a.holders[c] = struct{}{}
	} else {
		delete(a.holders, c)
	}
	a.signal()
}

// giveWay removes a connection that must be closed. What it held counts until forget. It needs a.mu.
func (a *Account) giveWay(c *conn) {
	a.closed++
	c.leaving = c.held
	a.leaving += c.leaving
	a.remove(c)
}

// free records that the HTTP server has freed what a connection held.
func (a *Account) free(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !c.removed {
		a.set(c, 0)
	}
	a.forget(c)
}

// forget ends the count of what a connection held when it gave way. It needs a.mu.
func (a *Account) forget(c *conn) {
	a.leaving -= c.leaving
	c.leaving = 0
	a.signal()
}

// fits needs a.mu.
func (a *Account) fits() bool { return a.used+a.leaving <= a.limit }

// signal lets the reads that wait go on if there is room. It needs a.mu.
func (a *Account) signal() {
	if a.room != nil && a.fits() {
		close(a.room)
		a.room = nil
	}
}

// awaitRoom returns once the account has room for what connections hold, with those that gave way, or
// after roomTimeout. It reports false if the connection gives way itself.
func (a *Account) awaitRoom(c *conn) bool {
	a.mu.Lock()
	if c.removed || a.fits() {
		defer a.mu.Unlock()
		return !c.removed
	}
	if a.room == nil {
		a.room = make(chan struct{})
	}
	room := a.room
	a.mu.Unlock()
	late := time.NewTimer(roomTimeout)
	defer late.Stop()
	select {
	case <-room:
	case <-late.C:
	case <-c.gone:
	}
	return !a.isRemoved(c)
}

func (a *Account) isRemoved(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.removed
}

// largest returns the connection that holds most and is not being served; nil: there is none. It
// needs a.mu.
func (a *Account) largest() *conn {
	var out *conn
	for c := range a.holders {
		if !c.served && (out == nil || c.held > out.held) {
			out = c
		}
	}
	return out
}

// serve marks the request of a connection as served. It reports false if such requests would hold
// more than their part. A single one may.
func (a *Account) serve(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.removed || c.served {
		return !c.removed
	}
	if c.held > 0 && a.served > 0 && float64(a.served+c.held) > servedShare*float64(a.limit) {
		return false
	}
	a.served += c.held
	c.served = true
	a.stopWaiting(c)
	return true
}

// await marks a connection as one without a request that is served.
func (a *Account) await(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.removed {
		return
	}
	if c.served {
		a.served -= c.held
		c.served = false
	}
	a.stopWaiting(c)
	c.waits = a.waiting.PushBack(c)
}

// stopWaiting needs a.mu.
func (a *Account) stopWaiting(c *conn) {
	if c.waits != nil {
		a.waiting.Remove(c.waits)
		c.waits = nil
	}
}

// drop ends the count of a connection.
func (a *Account) drop(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(c)
	a.forget(c)
}

// remove needs a.mu.
func (a *Account) remove(c *conn) {
	if c.removed {
		return
	}
	a.set(c, 0)
	a.stopWaiting(c)
	a.open--
	c.removed = true
	close(c.gone)
}
