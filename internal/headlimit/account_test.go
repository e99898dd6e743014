package headlimit

import (
	"slices"
	"testing"
)

func newConns(a *Account, n int) []*conn {
	var out []*conn
	for range n {
		c := &conn{account: a}
		a.accept(c)
		out = append(out, c)
	}
	return out
}

// Guards against ordinary clients that give way to those with odd heads, and against requests that are
// broken off while they are served.
func TestWhoGivesWay(t *testing.T) {
	a := NewAccount(10_000, 0) // 1,000 bytes of heads
	c := newConns(a, 4)
	steps := []struct {
		conn, bytes int
		victims     []*conn
	}{
		{0, 100, nil},
		{1, 400, nil},
		{2, 450, nil},
		{3, 100, []*conn{c[2]}},
		{3, 500, nil},
		{0, 101, []*conn{c[3]}},
	}
	for i, s := range steps {
		if got := a.hold(c[s.conn], s.bytes); !slices.Equal(got, s.victims) {
			t.Errorf("step %d: %d connections give way, want %d", i, len(got), len(s.victims))
		}
	}
	if !a.serve(c[1]) {
		t.Error("a request within the part of those that are served is refused")
	}
	if a.serve(c[0]) {
		t.Error("a request beyond the part of those that are served is not refused")
	}
	c = append(c, newConns(a, 1)...)
	if got := a.hold(c[4], 700); !slices.Equal(got, []*conn{c[4]}) {
		t.Errorf("%d connections give way to one that holds more than all others, want itself", len(got))
	}
	if u := a.Usage(); u.Bytes != 501 || u.Connections != 2 || u.Closed != 3 {
		t.Errorf("got usage %+v, want 501 bytes, 2 connections and 3 that were closed", u)
	}
	a.await(c[1])
	if !a.serve(c[0]) {
		t.Error("a request is refused after the one that was served has ended")
	}
	for _, v := range c {
		a.drop(v)
		a.drop(v)
	}
	if u := a.Usage(); u.Bytes != 0 || u.Connections != 0 || a.served != 0 || a.waiting.Len() != 0 {
		t.Errorf("got usage %+v after the last connection, want nothing", u)
	}
}

// Guards against clients that send nothing and take all descriptors.
func TestConnectionsAreBounded(t *testing.T) {
	a := NewAccount(0, 10) // 6 connections
	c := newConns(a, 6)
	if !a.serve(c[0]) {
		t.Error("the request of a connection that holds nothing is refused")
	}
	a.await(c[1])
	if victim := a.accept(&conn{account: a}); victim != c[2] {
		t.Error("the connection that has waited for the longest time stays")
	}
	if n := a.Usage().Connections; n != 6 {
		t.Errorf("%d connections are open, want 6", n)
	}
}

// Guards against a limit that a client inside the limits meets: a head of 16 KB, whatever its lines,
// is taken by the smallest VM, and ordinary heads do not count.
func TestLimitsThatNoSoundClientMeets(t *testing.T) {
	small := NewAccount(16<<20, 0)
	odd := newConns(small, 1)[0]
	if victims := small.hold(odd, headSize{16 << 10, (16 << 10) / 3}.charge()); len(victims) > 0 || !small.serve(odd) {
		t.Errorf("a single head of the shortest lines is refused: it counts as %d bytes of %d", odd.held, small.limit)
	}
	if got := (headSize{900, 12}).charge(); got != 0 {
		t.Errorf("an ordinary head counts as %d bytes, want none", got)
	}
}
