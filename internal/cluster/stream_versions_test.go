package cluster

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
	"github.com/amaranthshelf/amaranthshelf/internal/streamversion"
	"github.com/amaranthshelf/amaranthshelf/internal/wal/waltest"
)

// versionSystem has three control VMs that keep records of streams' versions, and two routers.
type versionSystem struct {
	ctx     context.Context
	net     *peertest.Net
	disks   map[string]*waltest.FS
	stop    map[string]context.CancelFunc
	routers []*testVM
}

func startVersionSystem(ctx context.Context, n *peertest.Net) *versionSystem {
	s := &versionSystem{ctx: ctx, net: n, disks: map[string]*waltest.FS{}, stop: map[string]context.CancelFunc{}}
	for _, id := range controls {
		s.disks[id] = waltest.New()
		s.startControl(id)
	}
	for i := range 2 {
		r := startRouter(ctx, n, fmt.Sprint("r", i), controls, 0)
		go r.member.RunRecords(ctx)
		s.routers = append(s.routers, r)
	}
	time.Sleep(time.Second)
	return s
}

func (s *versionSystem) startControl(id string) {
	ctx, stop := context.WithCancel(s.ctx)
	h := startHub(ctx, s.net, id, controls)
	store := streamversion.NewStore(s.disks[id], "versions", zerolog.Nop())
	h.hub.ServeStreamVersions(s.net.VM(id), store)
	go store.Run(ctx)
	s.stop[id] = stop
}

// killControl ends a control VM. Its disk keeps what was synced.
func (s *versionSystem) killControl(id string) {
	s.net.Kill(id)
	s.stop[id]()
	s.disks[id].Crash(func(int) int { return 0 })
}

// isolateInTurn cuts each control VM off for a time, one after the other.
func (s *versionSystem) isolateInTurn(d time.Duration) {
	for _, id := range controls {
		s.net.Isolate(id)
		time.Sleep(d)
		s.net.HealAll()
	}
}

// record records a stream at a router, and returns how long it took, 200 ms at most.
func (s *versionSystem) record(router int, attempt, version string) time.Duration {
	began := time.Now()
	wait := s.routers[router].member.Record(streamversion.Record{
		Key: streamversion.KeyOf("w", attempt), Origin: streamversion.Origin{Service: "models", Version: version}, TTL: time.Minute,
	})
	select {
	case <-wait.Held:
	case <-time.After(200 * time.Millisecond):
	}
	return time.Since(began)
}

func (s *versionSystem) find(router int, attempt string) (string, streamversion.Finding, bool) {
	ctx, cancel := context.WithTimeout(s.ctx, 400*time.Millisecond)
	defer cancel()
	o, finding, all := s.routers[router].member.Find(ctx, streamversion.KeyOf("w", attempt))
	return o.Version, finding, all
}

// Guards against a stream that cannot go on at its version, since the VMs that know the version are
// gone, cut off or restarted.
func TestStreamVersionIsFoundElsewhere(t *testing.T) {
	everyControl := func(f func(id string)) {
		for _, id := range controls {
			f(id)
		}
	}
	for _, tt := range []struct {
		name    string
		before  func(s *versionSystem) // the record
		between func(s *versionSystem) // the record and the search
		slow    bool                   // enough VMs hold the record only after 200 ms
		spaced  time.Duration          // between two records
	}{
		{name: "undisturbed"},
		{name: "its router is killed", between: func(s *versionSystem) { s.net.Kill("r0") }},
		{name: "two control VMs are killed", between: func(s *versionSystem) { s.killControl("c1"); s.killControl("c3") }},
		{name: "one is down at the record", before: func(s *versionSystem) { s.killControl("c2") }},
		{name: "one is paused at the record, another killed afterwards", before: func(s *versionSystem) { s.net.Pause("c2") }, between: func(s *versionSystem) { s.net.Resume("c2"); s.killControl("c1") }},
		{name: "all are killed and restarted", between: func(s *versionSystem) {
			everyControl(s.killControl)
			time.Sleep(time.Second)
			everyControl(s.startControl)
			time.Sleep(time.Second)
		}},
		{name: "all restart in turn", between: func(s *versionSystem) {
			everyControl(func(id string) {
				s.killControl(id)
				time.Sleep(100 * time.Millisecond)
				s.startControl(id)
				time.Sleep(time.Second)
			})
		}},
		{name: "control VMs are cut off in turn, and all are killed", slow: true, before: func(s *versionSystem) { go s.isolateInTurn(600 * time.Millisecond) }, spaced: 80 * time.Millisecond, between: func(s *versionSystem) {
			s.net.HealAll()
			everyControl(s.killControl)
			time.Sleep(time.Second)
			everyControl(s.startControl)
			time.Sleep(time.Second)
		}},
		{name: "messages are lost and doubled", before: func(s *versionSystem) { s.net.SetLoss(0.1, 0.3) }, between: func(s *versionSystem) { s.net.SetLoss(0, 0.3); time.Sleep(2 * time.Second) }, slow: true},
		{name: "messages overtake one another", before: func(s *versionSystem) { s.net.SetDelay(time.Millisecond, 40*time.Millisecond) }},
		{name: "its router was cut off at the record", slow: true, before: func(s *versionSystem) { s.net.Isolate("r0") }, between: func(s *versionSystem) { s.net.HealAll(); time.Sleep(2 * time.Second) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
				s := startVersionSystem(ctx, n)
				if tt.before != nil {
					tt.before(s)
				}
				const streams = 20
				for i := range streams {
					if took := s.record(0, fmt.Sprint(i), fmt.Sprint("v", i%3)); took >= 200*time.Millisecond && !tt.slow {
						t.Errorf("stream %d was recorded after %v, want less than 200 ms", i, took)
					}
					time.Sleep(tt.spaced)
				}
				if tt.between != nil {
					tt.between(s)
				}
				for i := range streams {
					if got, finding, _ := s.find(1, fmt.Sprint(i)); finding != streamversion.Found || got != fmt.Sprint("v", i%3) {
						t.Errorf("stream %d: got version %q, finding %d, want v%d", i, got, finding, i%3)
					}
				}
			})
		})
	}
}

// Guards against a record that counts as held and is in no file after all control VMs were killed,
// since their disks stood still, and against streams that wait for disks that fail.
func TestRecordWaitsForDisks(t *testing.T) {
	const soon = 200 * time.Millisecond
	for _, tt := range []struct {
		name  string
		fault func(disk *waltest.FS, on bool)
		disks int  // with the fault
		slow  bool // a control VM states that its disk is slow
		waits bool
	}{
		{"one stands still", (*waltest.FS).StallSync, 1, true, false},
		{"two stand still", (*waltest.FS).StallSync, 2, true, true},
		{"all stand still", (*waltest.FS).StallSync, 3, true, true},
		{"two fail", (*waltest.FS).FailSync, 2, false, false},
		{"all fail", (*waltest.FS).FailSync, 3, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
				s := startVersionSystem(ctx, n)
				setFault := func(on bool) {
					for _, id := range controls[:tt.disks] {
						tt.fault(s.disks[id], on)
					}
				}
				setFault(true)
				wait := s.routers[0].member.Record(streamversion.Record{
					Key: streamversion.KeyOf("w", "a"), Origin: streamversion.Origin{Service: "models", Version: "v1"}, TTL: time.Minute,
				})
				time.Sleep(soon)
				if held, slow := isClosed(wait.Held), isClosed(wait.DiskIsSlow); held == tt.waits || slow != tt.slow {
					t.Errorf("after 200 ms: held %t, disk is slow %t, want %t and %t", held, slow, !tt.waits, tt.slow)
				}
				setFault(false)
				time.Sleep(soon)
				if !isClosed(wait.Held) {
					t.Error("the record is not held 200 ms after the disks work again")
				}
				time.Sleep(5 * time.Second) // files that failed are opened again
				for _, id := range controls {
					s.killControl(id)
				}
				time.Sleep(time.Second)
				for _, id := range controls {
					s.startControl(id)
				}
				time.Sleep(time.Second)
				if got, finding, _ := s.find(1, "a"); finding != streamversion.Found || got != "v1" {
					t.Errorf("after a restart of all: got version %q, finding %d, want v1", got, finding)
				}
			})
		})
	}
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// Guards against first events that do not wait for their records since this process stood still,
// and all control VMs look silent to it.
func TestStallOfTheRouterIsNoSilence(t *testing.T) {
	s := newRecordSender()
	lane := &recordLane{}
	s.lanes["c1"] = lane
	now := time.Now()
	for i := range silentMessages + 1 {
		lane.queue = append(lane.queue, queuedRecord{expires: now.Add(time.Minute), holders: newRecordHolding(1, now)})
		batch := s.takeBatches(now)["c1"]
		s.stalled("c1", batch)
		if lane.silent() || len(lane.queue) != i+1 || lane.underWay != 0 {
			t.Fatalf("after %d stalls: silent %t, %d records wait, %d messages under way, want %d records that wait", i+1, lane.silent(), len(lane.queue), lane.underWay, i+1)
		}
	}
}

// Guards against a refusal for good while a VM that may hold the record does not answer, and
// against one that promises that it will be known.
func TestUnknownStreamVersion(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		s := startVersionSystem(ctx, n)
		if _, finding, all := s.find(1, "never"); finding != streamversion.Unknown || !all {
			t.Errorf("got finding %d, all answered: %t, want unknown to all", finding, all)
		}
		n.Isolate("c2")
		began := time.Now()
		if _, finding, all := s.find(1, "never"); finding != streamversion.Unknown || all || time.Since(began) > 500*time.Millisecond {
			t.Errorf("got finding %d, all answered: %t after %v, want unknown to some within 500 ms", finding, all, time.Since(began))
		}
	})
}

// Guards against first events that wait for control VMs that do not answer, again and again.
func TestRecordsWithoutControlVMs(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		s := startVersionSystem(ctx, n)
		n.Isolate("r0")
		s.record(0, "first", "v1")
		time.Sleep(2 * time.Second) // three messages are not answered
		if took := s.record(0, "second", "v1"); took > 10*time.Millisecond {
			t.Errorf("the record of a second stream took %v, want no wait", took)
		}
		n.HealAll()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for _, attempt := range []string{"first", "second"} {
			if got, finding, _ := s.find(1, attempt); finding != streamversion.Found || got != "v1" {
				t.Errorf("%s: got version %q, finding %d, want v1", attempt, got, finding)
			}
		}
	})
}

// BenchmarkRecords measures the bytes on the wire for the records of a router with 24 new streams
// a second, at three control VMs.
func BenchmarkRecords(b *testing.B) {
	for _, streams := range []int{1, 24, 240} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			records := make([]streamversion.Record, streams)
			for i := range records {
				records[i] = streamversion.Record{Key: streamversion.KeyOf("workspace", fmt.Sprint(i)), Origin: streamversion.Origin{Service: "diagnosis", Version: "v1.12.3"}, TTL: 35 * time.Second, Content: uint32(i) * 2_654_435_761}
			}
			bytes := 0
			for b.Loop() {
				batch := streamversion.Pack(records)
				data, err := codec.Marshal(batch)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes*recordHolders)/float64(streams), "wire-B/stream")
		})
	}
}

// Guards against a control VM that stays silent and gets all records again and again, and against
// records that wait behind a message which is not answered.
func TestSilentControlVMGetsFewRecords(t *testing.T) {
	s := newRecordSender()
	now := time.Now()
	lane := &recordLane{}
	s.lanes["c1"] = lane
	add := func(n int) {
		for range n {
			lane.queue = append(lane.queue, queuedRecord{expires: now.Add(time.Minute), holders: newRecordHolding(1, now)})
		}
	}
	add(10)
	var underWay [][]queuedRecord
	for range maxRecordMessages {
		underWay = append(underWay, s.takeBatches(now)["c1"])
		add(1)
	}
	if len(underWay[0]) != 10 || len(underWay[maxRecordMessages-1]) != 1 || s.takeBatches(now)["c1"] != nil {
		t.Errorf("got messages of %d and %d records, want 10 at first, 1 in each of the next, and no further one", len(underWay[0]), len(underWay[maxRecordMessages-1]))
	}
	want := []time.Duration{minRecordPause, minRecordPause, minRecordPause, 2 * minRecordPause}
	for i, batch := range underWay {
		if pause, first := s.unanswered("c1", batch, now); pause != want[i] || first != (i == 0) {
			t.Errorf("message %d: got a pause of %v, first: %t, want %v", i, pause, first, want[i])
		}
	}
	if got := s.takeBatches(now)["c1"]; got != nil {
		t.Errorf("got a message of %d records during the pause, want none", len(got))
	}
	now = now.Add(maxRecordPause)
	probe := s.takeBatches(now)["c1"]
	if len(probe) != 1 || s.takeBatches(now)["c1"] != nil {
		t.Errorf("got a message of %d records to a silent VM, want 1 and no further one", len(probe))
	}
	if _, wasSilent := s.answered("c1", probe, Synced, now); !wasSilent || len(s.takeBatches(now)["c1"]) != 13 {
		t.Error("a VM that answers again does not get the other records")
	}
}
