package routed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// whole is a system of control members and routers on loopback, before stand-in
// engines on loopback too.
type whole struct {
	t        *testing.T
	net      *routedengine.Net
	controls []*Control
	routers  []*Router
	fronts   []string

	mu   sync.Mutex
	rows []upstream.Backend
}

// freeAddrs are loopback addresses that were free a moment ago.
func freeAddrs(t *testing.T, n int) []string {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out
}

func (w *whole) common(id string, seeds []string) Common {
	return Common{
		ID: id, Zone: "a", Token: "t", Seeds: seeds,
		Log: zerolog.Nop(), Ordinary: zerolog.Nop(), Metrics: metrics.NewSet(),
	}
}

func (w *whole) read(context.Context) ([]upstream.Backend, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.rows), nil
}

// startWhole starts three control members, two routers and two engines in each of
// three zones.
func startWhole(t *testing.T) *whole {
	w := &whole{t: t, net: routedengine.NewNet()}
	for i := range 6 {
		s := &routedengine.Server{
			Backend: upstream.Backend{ID: fmt.Sprint("i", i), Service: "models", Zone: string(rune('a' + i%3)), Slots: 8},
			Events:  60, ReadTime: 50 * time.Millisecond, EventTime: 10 * time.Millisecond,
		}
		if err := w.net.ListenTCP(s); err != nil {
			t.Fatal(err)
		}
		w.rows = append(w.rows, s.Backend)
	}
	ids := freeAddrs(t, 7)
	seeds := ids[:3]
	for i, id := range seeds {
		c, err := StartControl(ControlOptions{
			Common: w.common(id, seeds), Dir: fmt.Sprint(t.TempDir(), "/", i), FirstStart: true, Voters: 3, ReadBackends: w.read,
		})
		if err != nil {
			t.Fatal(err)
		}
		w.controls = append(w.controls, c)
		t.Cleanup(c.Close)
	}
	for i := range 2 {
		front := ids[5+i]
		r, err := StartRouter(RouterOptions{
			Common: w.common(ids[3+i], seeds[:1]), Callers: front, Wire: forward.PlainWire{}, Limits: DefaultLimits,
			Allowance: forward.Allowance{Ratio: 0.8, Slack: 150, Window: 10 * time.Second},
			Drain:     DrainTimes{Grace: 4 * time.Second, EntryTTL: 300 * time.Millisecond},
		})
		if err != nil {
			t.Fatal(err)
		}
		w.routers, w.fronts = append(w.routers, r), append(w.fronts, front)
		t.Cleanup(r.Close)
	}
	return w
}

// until polls for something that real processes bring about in their own time.
func (w *whole) until(what string, ok func() bool) {
	w.t.Helper()
	deadline := time.After(20 * time.Second)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-tick.C:
		case <-deadline:
			w.t.Fatalf("not within 20 s: %s", what)
		}
	}
}

// put puts a route list in force through any control member that can.
func (w *whole) put(version uint64, prefix string) {
	w.t.Helper()
	l := &routes.List{
		Version: version, Source: []byte(fmt.Sprint("list ", version)),
		Routes: []routes.Route{{
			Name: "r", Host: "shelf", Prefix: prefix, Kind: routes.Stream, Resumable: true, MaxAttempts: 5,
			Targets: []routes.Target{{Service: "models", Weight: 1}}, Timeout: 20 * time.Second,
			Objective: 4 * time.Second, PauseObjective: 700 * time.Millisecond,
		}},
		Services: []routes.Service{{Name: "models", Engine: &routes.EngineTraits{Slots: 8, KVTokens: 88_000, KeepCopies: true}}},
	}
	w.until(fmt.Sprint("list ", version, " in force"), func() bool {
		for _, c := range w.controls {
			ctx, cancel := context.WithTimeout(w.t.Context(), time.Second)
			_, err := c.PutRoutes(ctx, l)
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
}

// events asks a router for a stream and returns the ids that came, and whether
// the answer ended whole.
func (w *whole) events(front, path, id string, after int, seen func(n int)) (ids []int, whole bool) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+front+path, strings.NewReader("log "+path))
	req.Host = "shelf"
	req.Header.Set(forward.HeaderRequestID, id)
	req.Header.Set(forward.HeaderTokens, "8000,1000")
	if after > 0 {
		req.Header.Set(forward.HeaderLastEvent, fmt.Sprint(after))
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, false
	}
	br := bufio.NewReader(resp.Body)
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return ids, err == io.EOF
		}
		n := 0
		if _, err := fmt.Sscanf(line, "id: %d", &n); err == nil {
			ids = append(ids, n)
			if seen != nil {
				seen(n)
			}
		}
	}
}

func count(from, to int) []int {
	var out []int
	for n := from; n <= to; n++ {
		out = append(out, n)
	}
	return out
}

// The whole path over real connections. A caller's stream survives the loss of its
// engine's zone; the operators' list survives the loss of the group's leader, and
// its next version is in force on every router; a stream whose router dies goes on
// at another behind the last event.
func TestWholePath(t *testing.T) {
	if testing.Short() {
		t.Skip("real processes and real time")
	}
	w := startWhole(t)
	w.put(1, "/a/")
	w.until("both routers are ready and listed", func() bool {
		return w.routers[0].Ready() && w.routers[1].Ready() && len(w.controls[0].Entrances(64)) == 2
	})
	ids, whole := w.events(w.fronts[0], "/a/1", "r1", 0, func(n int) {
		if n == 20 {
			w.net.LoseZoneOf("r1")
		}
	})
	if !whole || !slices.Equal(ids, count(1, 60)) {
		t.Errorf("a lost zone: whole %t, events %v", whole, ids)
	}
	for i, c := range w.controls {
		if c.leads() {
			c.Close()
			w.controls = slices.Delete(w.controls, i, i+1)
			break
		}
	}
	w.put(2, "/b/")
	for _, front := range w.fronts {
		w.until("the next list on "+front, func() bool {
			ids, whole := w.events(front, "/b/1", "r2"+front, 0, nil)
			return whole && len(ids) == 60
		})
		if ids, _ := w.events(front, "/a/1", "r3", 0, nil); ids != nil {
			t.Error("a route that was taken away is still served")
		}
	}
	ids, whole = w.events(w.fronts[0], "/b/2", "r4", 0, func(n int) {
		if n == 20 {
			w.routers[0].Close()
		}
	})
	rest, end := w.events(w.fronts[1], "/b/2", "r5", len(ids), nil)
	if whole || !end || !slices.Equal(append(ids, rest...), count(1, 60)) {
		t.Errorf("a dead router: events %v, then %v", ids, rest)
	}
}

// An operator reads what was acknowledged, or is told that it cannot be known.
func TestReadWithoutAMajority(t *testing.T) {
	if testing.Short() {
		t.Skip("real processes and real time")
	}
	w := startWhole(t)
	w.put(7, "/a/")
	last := w.controls[2]
	w.until("the list is read back", func() bool {
		source, err := last.Routes(t.Context())
		return err == nil && string(source) == "list 7"
	})
	w.controls[0].Close()
	w.controls[1].Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if _, err := last.Routes(ctx); result.CodeOf(err) != result.ControlUnavail {
		t.Errorf("read by one of three: %v", err)
	}
}
