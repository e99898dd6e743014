package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/routedlocal"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Sizes of the tests of clients that send odd requests.
const (
	oddVMMegabytes  = 64
	oddDescriptors  = 500
	oddCrowd        = 300
	oddHeadBytes    = 16 << 10 // of a head inside the limit
	oddEndlessBytes = 1 << 20  // of one that is not
	oddBound        = 20 * time.Second
)

// oddRequest is what a client sends, and no more.
type oddRequest struct {
	name    string
	text    func(start string) string
	callers bool // it is sent to the listeners of callers only
	crowds  int  // of clients; 0: one
}

// shortLines returns header lines of distinct short names, of about n bytes.
func shortLines(n int) string {
	var out strings.Builder
	for i := 0; out.Len() < n; i++ {
		fmt.Fprintf(&out, "%x:1\r\n", i)
	}
	return out.String()
}

// oddStart begins a request that no listener knows.
const oddStart = "POST /v1/odd HTTP/1.1\r\nHost: shelf.example\r\n"

func oddRequests() []oddRequest {
	head := func(text string) func(string) string {
		return func(start string) string { return start + text }
	}
	const body = "Content-Length: 10\r\n\r\n"
	room := oddHeadBytes - 256 - len(body)
	chunked := "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n"
	return []oddRequest{
		{"short lines, no body comes", head(shortLines(room) + body), false, 0},
		{"short lines, no end", head(shortLines(room)), false, 0},
		{"one short name", head(strings.Repeat("a:\r\n", room/4) + body), false, 0},
		{"a head without end", head(shortLines(oddEndlessBytes)), false, 0},
		{"empty lines without end", func(string) string { return strings.Repeat("\r\n", oddEndlessBytes/2) }, false, 0},
		{"short lines behind a request", head(body + "0123456789" + oddStart + shortLines(room)), false, 0},
		{"long lines", head(strings.Repeat("a: "+strings.Repeat("x", 1000)+"\r\n", room/1005) + body), true, 0},
		{"250 KB of short lines", head(shortLines(250<<10) + body), true, 0},
		{"short trailers", head(chunked + "0\r\n" + shortLines(3<<10)), true, 0},
		{"chunks of a byte", head(chunked + strings.Repeat("1\r\nx\r\n", room/6)), true, 0},
		{"a long body that never comes", head("Content-Length: 4000000\r\n\r\n"), true, 0},
		{"nothing", func(string) string { return "" }, true, 2},
	}
}

// sendCrowd has a crowd send a request each at the same time, and returns once all of it is written or
// refused. The connections are closed by the returned function.
func sendCrowd(t *testing.T, clients int, addr, text string) (leave func()) {
	t.Helper()
	var mu sync.Mutex
	var conns []net.Conn
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				return // it is refused
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
			_, _ = io.WriteString(c, text) // it may be refused
		})
	}
	wg.Wait()
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// oddTarget is a listener of a process.
type oddTarget struct {
	name, addr string
	pid        func() int
	callers    bool
	start      string // begins a request; empty: oddStart
	// served sends an ordinary request and reports whether it is answered.
	served func() error
}

// play sends all odd requests to the listener, one crowd after the other.
func (g *oddTarget) play(t *testing.T) {
	for _, q := range oddRequests() {
		if q.callers && !g.callers {
			continue
		}
		pid, stop, most, files := g.pid(), make(chan struct{}), int64(0), 0
		var wg sync.WaitGroup
		wg.Go(func() {
			for {
				most, files = max(most, residentBytes(pid)), max(files, openFiles(pid))
				select {
				case <-stop:
					return
				case <-time.After(memoryInterval):
				}
			}
		})
		leave := sendCrowd(t, max(1, q.crowds)*oddCrowd, g.addr, q.text(cmp.Or(g.start, oddStart)))
		time.Sleep(300 * time.Millisecond)
		err := g.served()
		leave()
		close(stop)
		wg.Wait()
		t.Logf("%s, %s: %d MB, %d descriptors", g.name, q.name, most>>20, files)
		switch {
		case residentBytes(pid) == 0:
			t.Fatalf("%s, %s: the process has ended", g.name, q.name)
		case most > oddVMMegabytes<<20:
			t.Errorf("%s, %s: %d MB, want at most %d", g.name, q.name, most>>20, oddVMMegabytes)
		case files > oddDescriptors:
			t.Errorf("%s, %s: %d descriptors, want at most %d", g.name, q.name, files, oddDescriptors)
		}
		if err != nil {
			t.Errorf("%s, %s: an ordinary request beside the crowd: %v", g.name, q.name, err)
		}
		if err := g.served(); err != nil {
			t.Errorf("%s, %s: an ordinary request afterwards: %v", g.name, q.name, err)
		}
	}
}

// openFiles returns the number of descriptors of a process.
func openFiles(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// servesRequest returns a function that sends an ordinary request until it is answered with one of some
// statuses. A refusal may be sent again, as ordinary callers do.
func servesRequest(method, url, body string, header map[string]string, statuses ...int) func() error {
	return func() error {
		var last error
		for began := time.Now(); time.Since(began) < oddBound; time.Sleep(100 * time.Millisecond) {
			r, err := http.NewRequest(method, url, strings.NewReader(body))
			if err != nil {
				return err
			}
			for name, value := range header {
				r.Header.Set(name, value)
			}
			r.Close = true
			if host := header["Host"]; host != "" {
				r.Host = host
			}
			resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(r)
			if err != nil {
				last = err
				continue
			}
			_, _ = io.Copy(io.Discard, bufio.NewReader(resp.Body))
			_ = resp.Body.Close()
			for _, status := range statuses {
				if resp.StatusCode == status {
					return nil
				}
			}
			last = fmt.Errorf("status %d", resp.StatusCode)
		}
		return last
	}
}

// Guards against a process that runs out of memory over requests made of very many short lines, heads
// without end and the like, and against ordinary callers that get no answer beside them.
func TestOddRequestsAtRoutedProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := &soakSystem{t: t, mixed: true, memoryMB: oddVMMegabytes, descriptors: oddDescriptors}
	c := s.startServing()
	pid := func(process int) func() int { return func() int { return s.processes[process].cmd.Process.Pid } }
	vote := map[string]string{"Host": routedlocal.Host, "Authorization": "Bearer " + soakWorkspaces[0].key()}
	start := fmt.Sprintf("POST /vote/odd HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: odd\r\n", routedlocal.Host, soakWorkspaces[0].key(), forward.HeaderRequestID)
	n := 0
	served := func() error {
		n++
		vote[forward.HeaderRequestID] = fmt.Sprint("ordinary-", n)
		return servesRequest(http.MethodPost, "http://"+s.callers[0]+"/vote/x", "yes", vote, http.StatusOK)()
	}
	router, control := pid(soakControls), pid(0)
	peer := func(addr string) func() error {
		return servesRequest(http.MethodGet, "http://"+addr+"/peer", "", nil, http.StatusUnauthorized)
	}
	operator := func(addr, path string, statuses ...int) func() error {
		return servesRequest(http.MethodGet, "http://"+addr+path, "", nil, statuses...)
	}
	for _, g := range []oddTarget{
		{"callers", s.callers[0], router, true, start, served},
		{"operators of a router", s.routerOperators[0], router, false, "", operator(s.routerOperators[0], "/readyz", 200, 204)},
		{"peers of a router", s.routerPeers[0], router, false, "", peer(s.routerPeers[0])},
		{"operators and entry of a control process", s.operators[0], control, false, "", operator(s.operators[0], "/v1/entry", 200)},
		{"peers of a control process", s.controlPeers[0], control, false, "", peer(s.controlPeers[0])},
	} {
		g.play(t)
	}
	c.awaitCallers()
}

// Guards against the same at the three listeners of the other daemon.
func TestOddRequestsAtADaemon(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	net := routedengine.NewNet()
	t.Cleanup(net.Close)
	desk := &routedengine.Server{Backend: upstream.Backend{ID: "desk", Service: "desk", Slots: 6}}
	if err := net.ListenTCP(desk); err != nil {
		t.Fatal(err)
	}
	p := startProcesses(t, fmt.Sprintf("[limits]\nmemory_mb = %d\ndescriptors = %d\n[backend:desk]\naddress = %s\nkind = service\nservice = desk\n", oddVMMegabytes, oddDescriptors, desk.Address))
	p.waitReady(t.Context(), 0)
	pid := func() int { return p.daemons[0].Process.Pid }
	answered := func(addr, path string, status int) func() error {
		return servesRequest(http.MethodGet, "http://"+addr+path, "", nil, status)
	}
	for _, g := range []oddTarget{
		{"callers of a daemon", p.callers[0], pid, true, "", answered(p.callers[0], "/v1/none", http.StatusNotFound)},
		{"operators of a daemon", p.operators[0], pid, false, "", answered(p.operators[0], "/readyz", http.StatusNoContent)},
		{"peers of a daemon", p.peers[0], pid, false, "", answered(p.peers[0], "/peer", http.StatusBadRequest)},
	} {
		g.play(t)
	}
}
