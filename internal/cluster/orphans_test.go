package cluster

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/handoff"
	"github.com/amaranthshelf/amaranthshelf/internal/peer/peertest"
)

// runID returns the id of a stream with a content of its own.
func runID(stream uint64) forward.RunID { return forward.RunID{Content: stream, Stream: stream} }

func reported(stream uint64, c forward.Copy) forward.ResumableRun {
	return forward.ResumableRun{RunID: runID(stream), Orphan: forward.Orphan{Copy: c}}
}

// A dead router's backup copies are found for a few seconds. The lookup must not return the
// copy of another request: if two runs have the same content and the caller names none of them,
// it returns neither.
func TestFindOrphan(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		h := startHub(ctx, n, "c1", controls[:1])
		v := startRouter(ctx, n, "r1", controls[:1], 0)
		time.Sleep(time.Second)
		a, b := forward.Copy{Address: "e1:1", ID: "q1"}, forward.Copy{Address: "e2:1", ID: "q2"}
		twin := reported(8, b)
		twin.Stream = 80
		h.streamBegan(7, "r7")
		h.streamBegan(8, "r8")
		h.streamBegan(8, "r80")
		h.hub.recordHeartbeat("dead", Heartbeat{Runs: []forward.ResumableRun{reported(7, a), reported(8, a)}})
		h.hub.recordHeartbeat("dead too", Heartbeat{Runs: []forward.ResumableRun{twin}})
		for _, tt := range []struct {
			wanted forward.RunID
			want   forward.Copy
		}{
			{runID(7), a},
			{forward.RunID{Content: 7}, a},
			{forward.RunID{Content: 7, Stream: 70}, forward.Copy{}},
			{runID(8), a},
			{twin.RunID, b},
			{forward.RunID{Content: 8}, forward.Copy{}},
			{runID(9), forward.Copy{}},
		} {
			if got, ok := v.member.FindOrphan(ctx, tt.wanted); got.Copy != tt.want || ok != (tt.want.Address != "") {
				t.Errorf("%+v: got %+v, found %t; want the only copy of this stream, or none", tt.wanted, got, ok)
			}
		}
		time.Sleep(copyLifetime + time.Second)
		if _, ok := v.member.FindOrphan(ctx, runID(7)); ok {
			t.Error("got an expired copy, want none")
		}
	})
}

// Guards against a stream that loses its backup copy to another request while its router still
// serves it, and against a copy that is withheld after that router is gone.
func TestCopyInUseIsNotTaken(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		h := startHub(ctx, n, "c1", controls[:1])
		v := startRouter(ctx, n, "r1", controls[:1], 0)
		carried, ended := runID(7), runID(8)
		owner := NewMember("r2", n.VM("r2"), controls[:1], NewListReplica(nil), Local{
			Endpoint: "r2:80", CarriesStream: func(id forward.RunID) bool { return id == carried },
		}, v.member.log)
		ownerCtx, stop := context.WithCancel(ctx)
		go owner.Run(ownerCtx)
		time.Sleep(time.Second)
		stop()
		a, b := forward.Copy{Address: "e1:1", ID: "q1"}, forward.Copy{Address: "e2:1", ID: "q2"}
		h.hub.recordHeartbeat("r2", Heartbeat{Runs: []forward.ResumableRun{reported(7, a), reported(8, b)}})
		if got, ok := v.member.FindOrphan(ctx, carried); ok || got.RunID != (forward.RunID{}) {
			t.Errorf("got %+v of a stream that its router carries, want no copy and no id", got)
		}
		if got, _ := v.member.FindOrphan(ctx, ended); got.Copy != b {
			t.Errorf("got %+v of a stream that its router has ended, want its copy", got)
		}
		n.Isolate("r2")
		began := time.Now()
		if got, _ := v.member.FindOrphan(ctx, carried); got.Copy != a {
			t.Errorf("got %+v after the router is gone, want its copy", got)
		}
		if took := time.Since(began); took > findRunTimeout {
			t.Errorf("lookup took %v, want %v at most", took, findRunTimeout)
		}
	})
}

// Guards against streams that are forgotten when their router starts again within a second: the
// callers' connections hang, and they come back later than it does.
func TestOrphansOutliveARestartOfTheirRouter(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		h := startHub(ctx, n, "c1", controls[:1])
		v := startRouter(ctx, n, "r1", controls[:1], 0)
		time.Sleep(time.Second)
		orphan := forward.Orphan{Copy: forward.Copy{Address: "e2:1", ID: "q1"}, PrefillEngine: "e1:1"}
		process := func(incarnation uint64, runs ...forward.ResumableRun) {
			h.hub.recordHeartbeat("r2", Heartbeat{Spent: RetrySpending{Incarnation: incarnation}, Runs: runs})
		}
		process(1, forward.ResumableRun{RunID: runID(7), Orphan: orphan}, reported(8, orphan.Copy))
		process(1, forward.ResumableRun{RunID: runID(7), Orphan: orphan})
		process(2)
		process(2, reported(9, orphan.Copy))
		if got, _ := v.member.FindOrphan(ctx, runID(7)); got.Orphan != orphan {
			t.Errorf("got %+v, want what the former process reported", got)
		}
		if got, ok := v.member.FindOrphan(ctx, runID(8)); ok {
			t.Errorf("got %+v of a stream that the former process had ended, want nothing", got)
		}
		time.Sleep(copyLifetime + time.Second)
		if got, _ := v.member.FindOrphan(ctx, runID(7)); got.Orphan != (forward.Orphan{PrefillEngine: "e1:1"}) {
			t.Errorf("got %+v after the copy has expired, want the engine only", got)
		}
		time.Sleep(forgetAfter)
		if got, ok := v.member.FindOrphan(ctx, runID(7)); ok {
			t.Errorf("got %+v after %v, want none", got, forgetAfter)
		}
	})
}

// Guards against the copy of another request after a restart of the control process: its file knows
// only one of two streams with the same content.
func TestSavedRunsAreNoProofOfUniqueness(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
		h := startHub(ctx, n, "c1", controls[:1])
		v := startRouter(ctx, n, "r1", controls[:1], 0)
		time.Sleep(time.Second)
		first, second := reported(7, forward.Copy{Address: "e1:1", ID: "q1"}), reported(7, forward.Copy{Address: "e2:1", ID: "q2"})
		second.Stream = 70
		h.streamBegan(7, "r7")
		h.hub.mu.Lock()
		h.hub.savedRuns = []forward.ReportedRun{{ResumableRun: first, Router: "dead"}}
		h.hub.copiesExpireAt, h.hub.savedRunsExpireAt = time.Now().Add(copyLifetime), time.Now().Add(forgetAfter)
		h.hub.mu.Unlock()
		unnamed := forward.RunID{Content: 7}
		if got, _ := v.member.FindOrphan(ctx, unnamed); got.Copy != first.Copy {
			t.Errorf("got %+v while one stream is known, want its copy", got)
		}
		h.hub.recordHeartbeat("dead too", Heartbeat{Runs: []forward.ResumableRun{second}})
		if got, ok := v.member.FindOrphan(ctx, unnamed); ok {
			t.Errorf("got %+v while two streams are known, want none", got)
		}
		if got, _ := v.member.FindOrphan(ctx, first.RunID); got.Copy != first.Copy {
			t.Errorf("got %+v, want the copy of the stream that is named", got)
		}
	})
}

// Guards against the copy of another request while reports lack the stream that is meant: it began just
// before all processes were killed, and its caller does not name it.
func TestUnnamedStreamIsFoundOnlyAlone(t *testing.T) {
	for _, tt := range []struct {
		name     string
		began    []string // attempts that have begun a stream with the content
		silent   int      // control VMs that do not answer
		wantCopy bool
	}{
		{"one stream has begun", []string{"r1"}, 0, true},
		{"and a holder of the records is silent", []string{"r1"}, 1, true},
		{"two streams have begun", []string{"r1", "r2"}, 0, false},
		{"none is recorded", nil, 0, false},
		{"too few holders answer", []string{"r1"}, 2, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
				run := forward.ResumableRun{RunID: runID(7), Orphan: forward.Orphan{Copy: forward.Copy{Address: "e1:1", ID: "q1"}, PrefillEngine: "e2:1"}}
				hubs := map[string]*testHub{}
				for _, id := range controls {
					hubs[id] = startHub(ctx, n, id, controls)
				}
				v := startRouter(ctx, n, "r1", controls, 0)
				time.Sleep(time.Second)
				for _, h := range hubs {
					for _, attempt := range tt.began {
						h.streamBegan(7, attempt)
					}
					h.hub.recordHeartbeat("dead", Heartbeat{Runs: []forward.ResumableRun{run}})
				}
				for i := range tt.silent {
					n.Isolate(controls[i])
				}
				time.Sleep(500 * time.Millisecond) // the answers of the others are fresher now
				got, ok := v.member.FindOrphan(ctx, forward.RunID{Content: 7})
				want := forward.ReportedRun{ResumableRun: run, Router: "dead", Age: got.Age}
				if !tt.wantCopy {
					want.Copy, want.RunID = forward.Copy{}, forward.RunID{}
				}
				if !ok || got != want {
					t.Errorf("got %+v, found %t, want %+v", got, ok, want)
				}
				if got, _ := v.member.FindOrphan(ctx, run.RunID); got.Copy != run.Copy {
					t.Errorf("got %+v of the stream that is named, want its copy", got)
				}
			})
		})
	}
}

// Guards against two engines that work on one stream: a VM serves it for another one that is gone, and
// its caller asks a third one for the rest.
func TestStreamOfALostReaderIsEnded(t *testing.T) {
	for _, tt := range []struct {
		name string
		lose func(n *peertest.Net) // nil: the reader is alive
	}{
		{"killed", func(n *peertest.Net) { n.Kill("r3") }},
		{"cut off", func(n *peertest.Net) { n.Isolate("r3") }},
		{"frozen", func(n *peertest.Net) { n.Pause("r3") }},
		{"alive", nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context, n *peertest.Net) {
				h := startHub(ctx, n, "c1", controls[:1])
				v := startRouter(ctx, n, "r1", controls[:1], 0)
				startRouter(ctx, n, "r3", controls[:1], 0)
				var ended atomic.Bool
				owner := NewMember("r2", n.VM("r2"), controls[:1], NewListReplica(nil), Local{
					Endpoint: "r2:80", CarriesStream: func(forward.RunID) bool { return true },
					ReaderOf: func(id forward.RunID) (handoff.Reader, bool) {
						return handoff.Reader{VM: "r3", End: func() { ended.Store(true) }}, id == runID(7)
					},
				}, v.member.log)
				ownerCtx, stop := context.WithCancel(ctx)
				go owner.Run(ownerCtx)
				time.Sleep(time.Second)
				stop()
				a := forward.Copy{Address: "e1:1", ID: "q1"}
				h.hub.recordHeartbeat("r2", Heartbeat{Runs: []forward.ResumableRun{reported(7, a), reported(8, a)}})
				if tt.lose != nil {
					tt.lose(n)
				}
				if _, ok := v.member.FindOrphan(ctx, runID(8)); ok || ended.Load() {
					t.Error("a stream of the VM itself was given away")
				}
				got, ok := v.member.FindOrphan(ctx, runID(7))
				if lost := tt.lose != nil; ended.Load() != lost || ok != lost || lost && got.Copy != a {
					t.Errorf("ended: %t, found %+v: %t; want the end of a lost reader's stream, and its copy", ended.Load(), got, ok)
				}
				n.Resume("r3")
			})
		})
	}
}
