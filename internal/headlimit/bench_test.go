package headlimit

import (
	"net/http"
	"testing"
)

// BenchmarkOrdinaryHead reads heads of ordinary clients on one connection, one after the other.
func BenchmarkOrdinaryHead(b *testing.B) {
	c := newConns(NewAccount(0, 0), 1)[0]
	c.Conn, c.maxHead = sender{text: []byte("GET / HTTP/1.1\r\nHost: h\r\nAccept: */*\r\n\r\n")}, func() int { return 16 << 10 }
	buf := make([]byte, 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Read(buf); err != nil {
			b.Fatal(err)
		}
		c.onState(http.StateIdle)
	}
}
