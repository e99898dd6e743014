// Package routedlocal runs routers, control processes and stand-in engines in one
// process on loopback addresses. The demo and end-to-end tests over real connections use
// it.
package routedlocal

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/rollout"
	"github.com/amaranthshelf/amaranthshelf/internal/routed"
	"github.com/amaranthshelf/amaranthshelf/internal/routes"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/timer"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Sizes of a system.
const (
	controlCount = 3
	routerCount  = 2
	zoneCount    = 3
	engineCount  = 6
	// Events is the number of events of each stream.
	Events = 60
)

// Host and service of the route lists that PutStreamRoute sends.
const (
	Host    = "shelf"
	Service = "models"
)

// System is a running system. Stop ends it.
type System struct {
	Net             *routedengine.Net
	Controls        []*routed.Control
	Routers         []*routed.Router
	CallerAddresses []string // of the routers, for callers

	mu       sync.Mutex
	backends []upstream.Backend
	seeds    []string // addresses of the control VMs
	// controlIDs are the ids of the control processes.
	controlIDs  map[*routed.Control]string
	dir         string
	versionHold time.Duration
}

// Start starts three control processes and two routers, and two engines in each of three
// zones.
func Start() (*System, error) { return StartHolding(rollout.DefaultVersionHold) }

// StartHolding is Start with another time for which versions wait for the order of a roll-out.
func StartHolding(hold time.Duration) (*System, error) {
	for try := 1; ; try++ {
		s := &System{Net: routedengine.NewNet(), controlIDs: map[*routed.Control]string{}, versionHold: hold}
		err := s.start()
		if err == nil {
			return s, nil
		}
		s.Stop()
		// Another process may have taken an address since freeAddrs released it.
		if !errors.Is(err, syscall.EADDRINUSE) || try == maxStartTries {
			return nil, err
		}
	}
}

// maxStartTries bounds how often Start tries again with other addresses.
const maxStartTries = 5

func (s *System) start() error {
	dir, err := os.MkdirTemp("", "shelf-routed")
	if err != nil {
		return err
	}
	s.dir = dir
	if err := s.startEngines(); err != nil {
		return err
	}
	addrs, err := freeAddrs(controlCount + 2*routerCount)
	if err != nil {
		return err
	}
	seeds := addrs[:controlCount]
	s.seeds = seeds
	for _, id := range seeds {
		if err := s.startControl(id, true); err != nil {
			return err
		}
	}
	for i := range routerCount {
		if err := s.startRouter(addrs[controlCount+2*i], addrs[controlCount+2*i+1], seeds[:1]); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startControl(id string, firstStart bool) error {
	c, err := routed.StartControl(routed.ControlOptions{
		Common: common(id, s.seeds), Dir: filepath.Join(s.dir, strings.ReplaceAll(id, ":", "-")),
		FirstStart: firstStart, TargetVoters: controlCount, ReadBackends: s.readBackends, VersionHold: s.versionHold,
	})
	if err == nil {
		s.Controls = append(s.Controls, c)
		s.controlIDs[c] = id
	}
	return err
}

func (s *System) startEngines() error {
	for i := range engineCount {
		e := &routedengine.Server{
			Backend: upstream.Backend{ID: fmt.Sprint("engine", i), Service: Service, Zone: fmt.Sprint("zone", i%zoneCount), Slots: 8},
			Events:  Events, PrefillTime: 50 * time.Millisecond, EventInterval: 10 * time.Millisecond,
		}
		if err := s.Net.ListenTCP(e); err != nil {
			return err
		}
		s.backends = append(s.backends, e.Backend)
	}
	return nil
}

// AddServer starts a backend server and adds it to the list of backend servers.
func (s *System) AddServer(e *routedengine.Server) error {
	if err := s.Net.ListenTCP(e); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backends = append(s.backends, e.Backend)
	return nil
}

// RemoveServers kills all servers of a service and version and removes them from the list.
func (s *System) RemoveServers(service, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backends = slices.DeleteFunc(s.backends, func(b upstream.Backend) bool {
		remove := b.Service == service && b.Version == version
		if remove {
			s.Net.ServerAt(b.Address).Set(routedengine.Dead)
		}
		return remove
	})
}

func (s *System) startRouter(id, callerAddr string, seeds []string) error {
	r, err := routed.StartRouter(routed.RouterOptions{
		Common: common(id, seeds), Endpoint: callerAddr, Wire: forward.NewPlainWire(),
		RetryAllowance: forward.RetryAllowance{Ratio: 0.8, Slack: 150, Window: 10 * time.Second},
		Drain:          routed.DrainTimes{Grace: 4 * time.Second, EntryTTL: 300 * time.Millisecond},
	})
	if err != nil {
		return err
	}
	s.Routers, s.CallerAddresses = append(s.Routers, r), append(s.CallerAddresses, callerAddr)
	return nil
}

func common(id string, seeds []string) routed.Common {
	return routed.Common{
		ID: id, Zone: "zone0", Token: "local", Seeds: seeds,
		Log: zerolog.Nop(), RoutineLog: zerolog.Nop(), Metrics: metrics.NewSet(),
	}
}

func (s *System) readBackends(context.Context) ([]upstream.Backend, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.backends), nil
}

// freeAddrs returns n loopback addresses. Another process may take them before their use.
func freeAddrs(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// StartObserver starts a control process without a disk. The caller must close it.
func (s *System) StartObserver() (*routed.Observer, error) {
	addrs, err := freeAddrs(1)
	if err != nil {
		return nil, err
	}
	return routed.StartObserver(common(addrs[0], s.seeds))
}

// Stop ends all processes and servers and removes their files.
func (s *System) Stop() {
	for _, r := range s.Routers {
		r.Close()
	}
	for _, c := range s.Controls {
		c.Close()
	}
	s.Net.Close()
	if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
}

// StopLeader ends the control process that leads the control group.
func (s *System) StopLeader() error {
	_, err := s.stopLeader()
	return err
}

// RestartLeader ends the control process that leads the control group and starts it again. It
// becomes the last of Controls.
func (s *System) RestartLeader() error {
	id, err := s.stopLeader()
	if err != nil {
		return err
	}
	return s.startControl(id, false)
}

func (s *System) stopLeader() (id string, err error) {
	for i, c := range s.Controls {
		if c.IsLeader() {
			c.Close()
			s.Controls = slices.Delete(s.Controls, i, i+1)
			return s.controlIDs[c], nil
		}
	}
	return "", errors.New("routedlocal: no control process is the leader")
}

// retryPause is the pause between two tries of a request or a check.
const retryPause = 50 * time.Millisecond

// PutStreamRoute puts a list with one route of streams in force, through any control
// process that accepts it.
func (s *System) PutStreamRoute(ctx context.Context, version uint64, prefix string) error {
	l := &routes.List{
		Version: version, Source: fmt.Appendf(nil, "list %d", version),
		Routes: []routes.Route{{
			Name: "streams", Host: Host, Prefix: prefix, Kind: routes.Stream, Resumable: true, MaxAttempts: 5,
			Targets: []routes.Target{{Service: Service, Weight: 1}}, Timeout: 20 * time.Second,
			Objective: 4 * time.Second, PauseObjective: 700 * time.Millisecond,
		}},
		Services: []routes.Service{{Name: Service, Engine: &routes.EngineTraits{Slots: 8, KVTokens: 88_000, KeepCopies: true}}},
	}
	return s.PutList(ctx, l)
}

// PutList puts a list in force. It tries the control processes in turn until ctx is done.
func (s *System) PutList(ctx context.Context, l *routes.List) error {
	for i := 0; ; i++ {
		tryCtx, cancel := context.WithTimeout(ctx, time.Second)
		_, err := s.Controls[i%len(s.Controls)].PutRoutes(tryCtx, l)
		cancel()
		if err == nil {
			return nil
		}
		if timer.Sleep(ctx, retryPause) != nil {
			return err
		}
	}
}

// Ready waits until every router is ready for callers and known to the control group.
func (s *System) Ready(ctx context.Context) error {
	for {
		ready := len(s.Controls[0].Endpoints("", len(s.Routers))) == len(s.Routers)
		for _, r := range s.Routers {
			ready = ready && r.Ready()
		}
		if ready {
			return nil
		}
		if err := timer.Sleep(ctx, retryPause); err != nil {
			return err
		}
	}
}

// StreamResult is what a caller received of a stream.
type StreamResult struct {
	EventIDs     []int
	Complete     bool          // the answer ended without an error
	LongestPause time.Duration // between two events
	Foreign      int           // events that state the path of another stream
	Versions     []string      // of the servers that sent events, if they state it; in order, each once
	Memories     []string      // requests whose prompts the events go on from, if they state it; each once
	// Status is the status of the answer; 0: none. Refusal is the error of the system in it.
	Status  int
	Refusal result.Error
}

// StreamRequest is a caller's request for a stream.
type StreamRequest struct {
	Addr, Path, ID string
	Key            string // of the caller's workspace; empty: none
	After          int    // if above 0, the stream starts after this event
	FirstAttempt   string // ID of the attempt that brought the stream's first event; empty: not stated
	Seen           func(n int)
	LeaveAfter     int // if above 0, the caller reads nothing after this event
}

// Stream requests a stream from a router and reads it to its end. If after is above 0,
// the stream starts after that event. seen, if not nil, is called with each event's id.
func Stream(ctx context.Context, addr, path, id string, after int, seen func(n int)) (StreamResult, error) {
	return StreamRequest{Addr: addr, Path: path, ID: id, After: after, Seen: seen}.Do(ctx)
}

// Do sends the request and reads the stream to its end, or until the caller leaves.
func (q StreamRequest) Do(ctx context.Context) (StreamResult, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.Addr+q.Path, strings.NewReader("log "+q.Path))
	if err != nil {
		return StreamResult{}, err
	}
	req.Host = Host
	req.Header.Set(forward.HeaderRequestID, q.ID)
	req.Header.Set(forward.HeaderTokens, "8000,1000")
	if q.Key != "" {
		req.Header.Set("Authorization", "Bearer "+q.Key)
	}
	if q.After > 0 {
		req.Header.Set(forward.HeaderLastEvent, strconv.Itoa(q.After))
	}
	if q.FirstAttempt != "" {
		req.Header.Set(forward.HeaderFirstAttempt, q.FirstAttempt)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return StreamResult{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		out := StreamResult{Status: resp.StatusCode}
		_ = json.NewDecoder(resp.Body).Decode(&out.Refusal) // a server's own answer may be of another form
		if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
			out.Refusal.RetryAfter = time.Duration(s) * time.Second
		}
		return out, fmt.Errorf("routedlocal: status %d", resp.StatusCode)
	}
	out := q.read(resp.Body)
	out.Status = resp.StatusCode
	return out, nil
}

// read reads the stream to its end, or to the event after which the caller leaves.
func (q StreamRequest) read(body io.Reader) StreamResult {
	var out StreamResult
	br := bufio.NewReader(body)
	last := time.Now()
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			out.Complete = errors.Is(err, io.EOF)
			return out
		}
		if n := len(out.EventIDs); line == "\n" && n > 0 && out.EventIDs[n-1] == q.LeaveAfter {
			return out
		}
		n := 0
		line = cutMark(line, routedengine.MemoryMark, &out.Memories)
		line = cutMark(line, routedengine.VersionMark, &out.Versions)
		if _, of, names := strings.Cut(line, " of "); names && strings.HasPrefix(line, "data: ") && strings.TrimSpace(of) != q.Path {
			out.Foreign++
		}
		if _, err := fmt.Sscanf(line, "id: %d", &n); err != nil {
			continue
		}
		if len(out.EventIDs) > 0 {
			out.LongestPause = max(out.LongestPause, time.Since(last))
		}
		last = time.Now()
		out.EventIDs = append(out.EventIDs, n)
		if q.Seen != nil {
			q.Seen(n)
		}
	}
}

// cutMark returns a line without what follows a mark, and adds that to seen.
func cutMark(line, mark string, seen *[]string) string {
	rest, stated, found := strings.Cut(strings.TrimRight(line, "\n"), mark)
	if !found {
		return line
	}
	if !slices.Contains(*seen, stated) {
		*seen = append(*seen, stated)
	}
	return rest
}

// HasAllEvents reports whether ids are 1 to n, each once and in order.
func HasAllEvents(ids []int, n int) bool {
	for i, id := range ids {
		if id != i+1 {
			return false
		}
	}
	return len(ids) == n
}
