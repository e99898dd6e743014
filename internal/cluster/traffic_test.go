package cluster

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/scheduler"
)

// controlBytes is what a VM may spend on control, in bytes a second.
const controlBytes = 11_000

// Hundreds of routers ask for what the others do, on links of 10 Mbit/s, while a zone
// is lost and every router doubts its engines. Counted are a second of answers of the
// control VM that decides, with the use of engines as often as a router wants it.
func TestSummaryTraffic(t *testing.T) { synctest.Test(t, testSummaryTraffic) }

func testSummaryTraffic(t *testing.T) {
	for _, size := range []struct{ routers, engines int }{{9, 36}, {67, 178}, {200, 163}, {330, 710}} {
		f := newFullHub(t, size.routers, size.engines)
		var o others
		now, total := f.hub.summed.made, 0
		const notices = 50
		for range notices {
			a, n := f.serve(t, 0, f.notice(t, 0, o.wantsUse(now), o.digest))
			if _, err := o.learn(&a, nil, now); err != nil {
				t.Fatal(err)
			}
			total += n
			now = now.Add(HeartbeatInterval)
		}
		perSecond := int(float64(total) / (notices * HeartbeatInterval.Seconds()))
		t.Logf("%d routers, %d engines: %d B/s", size.routers, size.engines, perSecond)
		if perSecond > controlBytes/2 {
			t.Errorf("%d routers, %d engines: %d B/s of answers, half of %d at most", size.routers, size.engines, perSecond, controlBytes)
		}
		if len(o.routers) != size.routers || len(o.engines) == 0 {
			t.Errorf("%d routers and %d engines are known", len(o.routers), len(o.engines))
		}
	}
}

// A router goes by the others' use alone. In order: it hears of all, itself included;
// its own part is taken off, of streams and of calls; a server without a call left is
// not in what it hears next; names of routers come again only when they change.
func TestOwnPartIsTakenOff(t *testing.T) { synctest.Test(t, testOwnPartIsTakenOff) }

func testOwnPartIsTakenOff(t *testing.T) {
	f := newFullHub(t, 3, 4)
	var o others
	now := f.hub.summed.made
	a, _ := f.serve(t, 1, f.notice(t, 1, true, 0))
	k, err := o.learn(&a, nil, now)
	if err != nil {
		t.Fatal(err)
	}
	if got := k.Use["call"].Requests; got != 2 {
		t.Errorf("%d calls of the other two", got)
	}
	if got := k.Use[f.engines[1].ID]; got.Requests != 0 || got.Tokens != 9000 {
		t.Errorf("%+v on the engine that runs its stream and another's copy, want the copy", got)
	}
	if len(k.Routers) != 3 {
		t.Errorf("routers %v", k.Routers)
	}
	b, _ := f.serve(t, 1, f.notice(t, 1, false, o.digest))
	if len(b.Routers) > 0 || len(b.EncodedUse) > 0 {
		t.Errorf("told again: %v, %d bytes of use", b.Routers, len(b.EncodedUse))
	}
	if k, err = o.learn(&b, nil, now); err != nil || len(k.Routers) != 3 || k.Use[f.engines[1].ID].Tokens != 9000 {
		t.Errorf("known after that: %+v, %v", k, err)
	}
}

// A router that has carried no stream so far shuts down, and must know how long streams
// take. It hears what all others observed.
func TestPacesAreToldToAll(t *testing.T) { synctest.Test(t, testPacesAreToldToAll) }

func testPacesAreToldToAll(t *testing.T) {
	f := newFullHub(t, 3, 4)
	pace := scheduler.EngineTiming{PrefillPerToken: 125 * time.Microsecond, RunDuration: 5 * time.Second, EventsPerRun: 140}
	f.hub.schedule.told(f.routers[0], &UseReport{Incarnation: 1, Seq: 99, Paces: map[string]scheduler.EngineTiming{"models": pace}})
	f.hub.mu.Lock()
	f.hub.summed = nil
	f.hub.mu.Unlock()
	var o others
	a, _ := f.serve(t, 1, f.notice(t, 1, false, 0))
	k, err := o.learn(&a, nil, time.Now())
	if err != nil || k.Paces["models"] != pace {
		t.Errorf("heard of %+v, %v", k.Paces, err)
	}
}
