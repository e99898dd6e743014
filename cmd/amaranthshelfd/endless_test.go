package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/routedlocal"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Sizes of the test of answers without an end.
const (
	endlessVMMegabytes = 88
	endlessSlots       = 64
	endlessFor         = 1500 * time.Millisecond // of each kind of answer
	endlessPause       = 500 * time.Millisecond  // without any
	endlessMostBytes   = 256 << 20               // of one answer
	endlessRate        = 100 << 20               // bytes a second of one answer
	endlessChunk       = 64 << 10
	soundCallers       = 6 // of streams that no server spoils, at all routers together
	spoiledCallers     = 24
	spoiledStreamWait  = 1500 * time.Millisecond // until the caller of a spoiled stream leaves
	memoryInterval     = 10 * time.Millisecond   // between two readings of the routers' memory
)

// endlessAnswer is a kind of answer that does not end: unit is repeated after head.
type endlessAnswer struct{ name, head, unit string }

// endlessAnswers returns the kinds for a server's answer to a request.
func endlessAnswers(server, request string) []endlessAnswer {
	id := forward.HeaderRequestID + ": " + request + "\r\n"
	signed := forward.HeaderSignature + ": " + server + "\r\n" + id
	ok, failed, chunked := "HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 Internal Server Error\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	events := ok + signed + "Content-Type: text/event-stream\r\n" + chunked
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	block := chunk(strings.Repeat("x", 4000))
	return []endlessAnswer{
		{"bytes that are no response", "", "\x00"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"header", ok + "A: ", "b"},
		{"header lines", ok, "a:\r\n"},
		{"body", ok + signed + chunked, block},
		{"body of a failure", failed + signed + chunked, block},
		{"body of a refusal", "HTTP/1.1 503 Service Unavailable\r\n" + forward.HeaderNotRun + ": 1\r\n" + signed + chunked, block},
		{"body without a signature", ok + id + chunked, block},
		{"body for another request", ok + forward.HeaderSignature + ": " + server + "\r\n" + forward.HeaderRequestID + ": other\r\n" + chunked, block},
		{"stated length", ok + signed + "Content-Length: 16000000\r\n\r\n", "x"},
		{"stated length of a failure", failed + signed + "Content-Length: 16000000\r\n\r\n", "x"},
		{"no length", ok + signed + "\r\n", "x"},
		{"event", events, chunk("data: " + strings.Repeat("x", 1000) + "\n")},
		{"numbered events", events, ""},
		{"one event again and again", events, chunk("id: 1\ndata: x\n\n")},
		{"events without numbers", events + chunk("id: 1\ndata: x\n\n"), chunk("data: x\n\n")},
		{"comments", events, chunk(": x\n\n")},
		{"chunk extension", ok + signed + chunked + "1;", "x"},
		{"trailers", ok + signed + chunked + "0\r\n", "A: b\r\n"},
	}
}

// write sends the answer until the connection ends.
func (a *endlessAnswer) write(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	began, event := time.Now(), 0
	next := func() []byte { return []byte(strings.Repeat(a.unit, 1+endlessChunk/len(a.unit))) }
	if a.unit == "" {
		next = func() []byte {
			var out []byte
			for len(out) < endlessChunk {
				event++
				text := fmt.Sprintf("id: %d\ndata: piece\n\n", event)
				out = fmt.Appendf(out, "%x\r\n%s\r\n", len(text), text)
			}
			return out
		}
	}
	_, err = c.Write([]byte(a.head))
	for sent := 0; err == nil && sent < endlessMostBytes; {
		n := 0
		n, err = c.Write(next())
		sent += n
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / endlessRate * float64(time.Second)))))
	}
}

// endlessSystem is a system whose servers spoil each second answer to the requests for it.
type endlessSystem struct {
	*soakClients
	kind    atomic.Int64 // index of the kind of answer; -1: none
	answers atomic.Int64 // that were spoiled

	mu     sync.Mutex
	broken []string // sound streams that were not whole
	sound  int      // those that were
}

// spoiledPrefix begins the ids of the requests whose answers are spoiled.
const spoiledPrefix = "spoiled"

func (e *endlessSystem) intercept(s *routedengine.Server, w http.ResponseWriter, r *http.Request) bool {
	id, kind := r.Header.Get(forward.HeaderRequestID), e.kind.Load()
	if kind < 0 || !strings.HasPrefix(id, spoiledPrefix) || rand.IntN(2) == 0 {
		return false
	}
	e.answers.Add(1)
	endlessAnswers(s.ID, id)[kind].write(w)
	return true
}

func startEndlessSystem(t *testing.T) *endlessSystem {
	s := &soakSystem{t: t, net: routedengine.NewNet(), dir: t.TempDir(), memoryMB: endlessVMMegabytes}
	t.Cleanup(s.net.Close)
	e := &endlessSystem{soakClients: newSoakClients(t, s)}
	e.kind.Store(-1)
	for i := range 2 * soakZones {
		s.addServer(&routedengine.Server{
			Backend: upstream.Backend{ID: fmt.Sprint("engine", i), Service: "models", Zone: fmt.Sprint("z", i%soakZones), Slots: endlessSlots, Version: "v1"},
			Events:  soakEvents, PrefillTime: 20 * time.Millisecond, EventInterval: 10 * time.Millisecond, Intercept: e.intercept,
		})
	}
	for i := range soakZones {
		s.addServer(&routedengine.Server{
			Backend:  upstream.Backend{ID: fmt.Sprint("desk", i), Service: "desk", Zone: fmt.Sprint("z", i), Slots: endlessSlots, Version: "v1"},
			CallTime: 20 * time.Millisecond, Intercept: e.intercept,
		})
	}
	s.writeSettings(freePorts(t, 2*soakControls+3*soakRouters))
	t.Cleanup(s.stop)
	for i := range s.processes {
		s.start(i)
	}
	return e
}

// Guards against a router that runs out of memory, with all that it carries, over servers that
// send without end, and against sound streams that suffer beside them.
func TestEndlessAnswers(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	e := startEndlessSystem(t)
	e.putRouteList(t.Context(), 1)
	e.waitAllServe(1)
	ctx, cancel := context.WithCancel(t.Context())
	peaks := make([]atomic.Int64, soakRouters)
	for i := range soakRouters {
		e.wg.Go(func() { e.watchMemory(ctx, i, &peaks[i]) })
	}
	for i := range soundCallers {
		e.wg.Go(func() { e.callSound(ctx, i) })
	}
	for i := range spoiledCallers {
		e.wg.Go(func() { e.callSpoiled(ctx, i) })
	}
	for kind, a := range endlessAnswers("", "") {
		e.playKind(t, kind, a.name, peaks)
	}
	cancel()
	e.awaitCallers()
}

// playKind has the servers send one kind of answer, and checks what it did.
func (e *endlessSystem) playKind(t *testing.T, kind int, name string, peaks []atomic.Int64) {
	e.takeSound()
	e.answers.Store(0)
	e.kind.Store(int64(kind))
	time.Sleep(endlessFor)
	e.kind.Store(-1)
	time.Sleep(endlessPause)
	most := int64(0)
	for i := range peaks {
		most = max(most, peaks[i].Swap(0))
	}
	whole, broken := e.takeSound()
	t.Logf("%s: %d answers, %d MB at most, %d sound streams whole", name, e.answers.Load(), most>>20, whole)
	if most > endlessVMMegabytes<<20 {
		t.Errorf("%s: a router used %d MB, want at most %d", name, most>>20, endlessVMMegabytes)
	}
	if e.answers.Load() == 0 || whole == 0 || len(broken) > 0 {
		t.Errorf("%s: %d answers, %d sound streams whole, want some; and these were not: %v", name, e.answers.Load(), whole, broken)
	}
}

// takeSound returns and forgets what became of the sound streams.
func (e *endlessSystem) takeSound() (whole int, broken []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	whole, broken = e.sound, e.broken
	e.sound, e.broken = 0, nil
	return whole, broken
}

// watchMemory records the highest memory of a router. One beyond its limit is killed, as the
// machine would, and started again.
func (e *endlessSystem) watchMemory(ctx context.Context, router int, peak *atomic.Int64) {
	process := soakControls + router
	for timer.Sleep(ctx, memoryInterval) == nil {
		used := residentBytes(e.s.processes[process].cmd.Process.Pid)
		peak.Store(max(peak.Load(), used))
		if used > endlessVMMegabytes<<20 {
			<-e.s.signal(process, syscall.SIGKILL)
			e.s.start(process)
		}
	}
}

// residentBytes returns the memory of a process; 0: it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64) // 0 if the process has just ended
	return pages * int64(os.Getpagesize())
}

func (e *endlessSystem) callSound(ctx context.Context, caller int) {
	name := fmt.Sprint("sound caller ", caller)
	defer e.states.end(name)
	for n := 0; ctx.Err() == nil; n++ {
		q := routedlocal.StreamRequest{
			Addr: e.s.callers[caller%soakRouters], Path: fmt.Sprintf("/s/sound-%d-%d", caller, n), ID: fmt.Sprint("sound-", caller, "-", n), Key: soakWorkspaces[0].key(),
		}
		e.states.set(name, "stream "+q.ID)
		got, err := q.Do(e.t.Context())
		e.mu.Lock()
		if err == nil && got.Complete && routedlocal.HasAllEvents(got.EventIDs, soakEvents) {
			e.sound++
		} else {
			e.broken = append(e.broken, fmt.Sprintf("%s: status %d, %d events, complete %t, error %v", q.ID, got.Status, len(got.EventIDs), got.Complete, err))
		}
		e.mu.Unlock()
	}
}

// callSpoiled sends streams and calls whose answers may be spoiled, in turn.
func (e *endlessSystem) callSpoiled(ctx context.Context, caller int) {
	name := fmt.Sprint("spoiled caller ", caller)
	defer e.states.end(name)
	for n := 0; ctx.Err() == nil; n++ {
		id, router := fmt.Sprintf("%s-%d-%d", spoiledPrefix, caller, n), e.s.callers[caller%soakRouters]
		e.states.set(name, id)
		if caller%3 == 0 {
			e.vote(router, "/vote/x", id)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, spoiledStreamWait)
		_, _ = routedlocal.StreamRequest{Addr: router, Path: "/s/" + id, ID: id, Key: soakWorkspaces[0].key()}.Do(callCtx)
		cancel()
	}
}
