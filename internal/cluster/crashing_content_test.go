package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// The bounds of a content that crashes servers.
const (
	crashesBeforeBound = 3               // servers that end before the bound holds
	crashBoundFrom     = 3 * time.Second // after the last of them
	maxSendsAfter      = 3               // from then on
)

const (
	crashingPath = "/tally/crash"
	popularPath  = "/tally/popular"
	minCrashTime = 46 * time.Millisecond     // a server ends so long after it received the content
	maxCrashTime = 160 * time.Millisecond    // if the run had to wait for a slot
	restartAfter = 3200 * time.Millisecond   // a server starts again at its address
	listDelay    = 800 * time.Millisecond    // until routers read a change of the servers
	servedAgain  = listDelay + 1*time.Second // harmless requests are served so long after a server is back
	contentTime  = 60 * time.Second          // duration of a test
	repeatEvery  = 150 * time.Millisecond    // the crashing content comes again
	harmlessGap  = 30 * time.Millisecond     // between two harmless requests
)

// crashingService makes the servers of a callSystem end under crashingPath, and start again
// under new ids at the same addresses.
type crashingService struct {
	*callSystem
	mu      sync.Mutex
	rng     *rand.Rand
	crashes []time.Time
	sends   []time.Time // of the crashing content
	backAt  time.Time   // when a server was last back while there was none
	up      int
	ended   map[*routedengine.Server]bool
}

func crashServersOf(s *callSystem) *crashingService {
	c := &crashingService{callSystem: s, rng: rand.New(rand.NewPCG(7, 8)), up: len(s.list), backAt: time.Now(), ended: map[*routedengine.Server]bool{}}
	for _, server := range s.list {
		server.Intercept = c.intercept
	}
	return c
}

func (c *crashingService) intercept(s *routedengine.Server, _ http.ResponseWriter, r *http.Request) bool {
	if !strings.HasPrefix(r.RequestURI, crashingPath) {
		return false
	}
	s.RecordRun(r, 0, false)
	c.mu.Lock()
	c.sends = append(c.sends, time.Now())
	runs := minCrashTime + time.Duration(c.rng.Int64N(int64(maxCrashTime-minCrashTime)))
	c.mu.Unlock()
	time.Sleep(runs)
	c.crash(s)
	return true
}

// crash ends a server, unless another run has ended it already.
func (c *crashingService) crash(s *routedengine.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended[s] {
		return
	}
	c.ended[s] = true
	s.Set(routedengine.Dead)
	c.crashes = append(c.crashes, time.Now())
	c.up--
	next := &routedengine.Server{Backend: s.Backend, CallTime: s.CallTime, Intercept: c.intercept}
	next.ID = fmt.Sprint("s-", len(c.crashes))
	time.AfterFunc(restartAfter, func() { c.restart(next) })
}

func (c *crashingService) restart(s *routedengine.Server) {
	if c.ctx.Err() != nil {
		return
	}
	c.servers.Add(s)
	c.mu.Lock()
	c.list = append(c.list, s)
	if c.up == 0 {
		c.backAt = time.Now()
	}
	c.up++
	c.mu.Unlock()
	time.AfterFunc(listDelay, c.publish)
}

// publish gives all routers the list of servers.
func (c *crashingService) publish() {
	if c.ctx.Err() != nil {
		return
	}
	c.callSystem.mu.Lock()
	defer c.callSystem.mu.Unlock()
	for _, r := range c.routers {
		r.fleet.Apply(upstream.List{Backends: c.servers.Backends(), AsOf: time.Now()})
	}
}

// serves reports whether harmless requests should be served.
func (c *crashingService) serves(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up > 0 && now.Sub(c.backAt) > servedAgain
}

// get sends a read to a router and returns the result code of a refusal, or 0.
func (c *crashingService) get(r *callRouter, path string) int {
	w := httptest.NewRecorder()
	q := httptest.NewRequest(http.MethodGet, path, http.NoBody)
	q.Host = "shelf"
	q.Header.Set(forward.HeaderRequestID, strconv.FormatInt(c.sent.Add(1), 10))
	r.handler.ServeHTTP(w, q.WithContext(c.ctx))
	if w.Code == http.StatusOK {
		return 0
	}
	return codeOf(w.Body.String())
}

// codeOf returns the result code in the body of a refusal.
func codeOf(body string) int {
	_, rest, _ := strings.Cut(body, `"code":`)
	digits, _, _ := strings.Cut(rest, ",")
	code, _ := strconv.Atoi(strings.TrimSpace(digits))
	return code
}

// repeat sends the crashing content to the routers that choose returns, until end.
func (c *crashingService) repeat(end time.Time, choose func(i int) *callRouter) {
	for i := 0; time.Now().Before(end); i++ {
		r := choose(i)
		go c.get(r, crashingPath)
		time.Sleep(repeatEvery)
	}
}

// heldBack counts the harmless reads of one popular content and of many rare ones that are
// refused as suspect while servers are up, until end.
func (c *crashingService) heldBack(end time.Time) int {
	rng := rand.New(rand.NewPCG(3, 4))
	var mu sync.Mutex
	refused := 0
	for i := 0; time.Now().Before(end); i++ {
		path := popularPath
		if i%2 == 0 {
			path = fmt.Sprint("/tally/rare", i)
		}
		r := c.any(rng)
		go func() {
			began := time.Now()
			code := c.get(r, path)
			if code == int(result.ContentHeldBack) && c.serves(began) {
				mu.Lock()
				refused++
				mu.Unlock()
			}
		}()
		time.Sleep(harmlessGap)
	}
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	return refused
}

// requireCrashBound fails the test if the crashing content was sent too often after it had
// ended crashesBeforeBound servers.
func (c *crashingService) requireCrashBound(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < crashesBeforeBound {
		return
	}
	from := c.crashes[crashesBeforeBound-1].Add(crashBoundFrom)
	late := 0
	for _, at := range c.sends {
		if at.After(from) {
			late++
		}
	}
	if late > maxSendsAfter {
		t.Errorf("the content was sent %d times from %v after its third crash on, want at most %d; %d servers ended in all", late, crashBoundFrom, maxSendsAfter, len(c.crashes))
	}
}

// repeatAtAll sends the crashing content to all routers within 100 ms, each three seconds,
// until end.
func (c *crashingService) repeatAtAll(end time.Time) {
	for time.Now().Before(end) {
		for i := range c.routers {
			go c.get(c.router(i), crashingPath)
			time.Sleep(100 * time.Millisecond / time.Duration(len(c.routers)))
		}
		time.Sleep(3 * time.Second)
	}
}

func (c *crashingService) router(i int) *callRouter {
	c.callSystem.mu.Lock()
	defer c.callSystem.mu.Unlock()
	return c.routers[i]
}

// A request that crashes its servers comes again and again, through any router, under new
// ids. After three servers have ended, it must reach hardly any more, and harmless requests
// must be served beside it as soon as a server is back.
func TestCrashingContentStopsAtAllVMs(t *testing.T) {
	const routers = 12
	rng := rand.New(rand.NewPCG(5, 6))
	byTurns := func(c *crashingService, end time.Time) {
		c.repeat(end, func(i int) *callRouter { return c.router(i % routers) })
	}
	for i, tt := range []struct {
		name    string
		repeat  func(c *crashingService, end time.Time)
		trouble func(c *crashingService) // of the control VMs or routers; nil: none
	}{
		{name: "at all VMs by turns", repeat: byTurns},
		{name: "at any VM", repeat: func(c *crashingService, end time.Time) {
			c.repeat(end, func(int) *callRouter { return c.any(rng) })
		}},
		{name: "at one VM", repeat: func(c *crashingService, end time.Time) {
			c.repeat(end, func(int) *callRouter { return c.router(0) })
		}},
		{name: "at all VMs at once", repeat: (*crashingService).repeatAtAll},
		{name: "while messages are lost", repeat: byTurns, trouble: func(c *crashingService) { c.net.SetLoss(0.1, 0) }},
		{name: "while control VMs freeze in turn", repeat: byTurns, trouble: func(c *crashingService) {
			for i := 0; c.ctx.Err() == nil; i++ {
				c.net.Pause(controls[i%len(controls)])
				time.Sleep(4 * time.Second)
				c.net.Resume(controls[i%len(controls)])
				time.Sleep(time.Second)
			}
		}},
		{name: "while routers restart in turn", repeat: byTurns, trouble: func(c *crashingService) {
			for i := 0; c.ctx.Err() == nil; i++ {
				c.restartRouter(i % routers)
				time.Sleep(time.Second)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if testing.Short() && i > 0 {
				t.Skip("one case shows the races of this test")
			}
			inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
				ctx, cancel := context.WithCancel(ctx)
				s := startCallSystem(ctx, n, routers)
				defer s.stop()
				c := crashServersOf(s)
				if tt.trouble != nil {
					go tt.trouble(c)
				}
				end := time.Now().Add(contentTime)
				go tt.repeat(c, end)
				refused := c.heldBack(end)
				cancel()
				c.requireCrashBound(t)
				if refused > 0 && tt.trouble == nil {
					t.Errorf("%d harmless requests were held back while servers were up, want none", refused)
				}
			})
		})
	}
}
