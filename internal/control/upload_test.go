package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// Guards against a command that is assembled from the wrong pieces, and against uploads of
// vanished proposers that occupy the space for others.
func TestUploads(t *testing.T) {
	now := time.Unix(1000, 0)
	piece := func(number uint64, offset, total int, data string) request {
		return request{Op: opPiece, ID: "same", Upload: number, Offset: offset, Total: total, Piece: []byte(data)}
	}
	type step struct {
		vm      string
		q       request
		after   time.Duration
		command string
		want    status
	}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"in order", []step{
			{"vm1", piece(1, 0, 4, "ab"), 0, "", statusOK},
			{"vm1", piece(1, 2, 4, "cd"), 0, "abcd", statusOK},
		}},
		{"two proposers of one command", []step{
			{"vm1", piece(1, 0, 4, "ab"), 0, "", statusOK},
			{"vm2", piece(1, 0, 4, "ab"), 0, "", statusOK},
			{"vm1", piece(1, 2, 4, "cd"), 0, "abcd", statusOK},
			{"vm2", piece(1, 2, 4, "cd"), 0, "abcd", statusOK},
		}},
		{"one proposer, twice at once", []step{
			{"vm1", piece(1, 0, 4, "ab"), 0, "", statusOK},
			{"vm1", piece(2, 0, 4, "ab"), 0, "", statusOK},
			{"vm1", piece(1, 2, 4, "cd"), 0, "abcd", statusOK},
			{"vm1", piece(2, 2, 4, "cd"), 0, "abcd", statusOK},
		}},
		{"repeated piece", []step{
			{"vm1", piece(1, 0, 4, "ab"), 0, "", statusOK},
			{"vm1", piece(1, 2, 6, "cd"), 0, "abcd", statusOK},
			{"vm1", piece(1, 2, 4, "cd"), 0, "", statusWanted},
		}},
		{"missing piece", []step{
			{"vm1", piece(1, 0, 6, "ab"), 0, "", statusOK},
			{"vm1", piece(1, 4, 6, "ef"), 0, "", statusWanted},
		}},
		{"more data than announced", []step{
			{"vm1", piece(1, 0, 3, "ab"), 0, "", statusOK},
			{"vm1", piece(1, 2, 3, "cd"), 0, "", statusWanted},
		}},
		{"restarted", []step{
			{"vm1", piece(1, 0, 4, "xy"), 0, "", statusOK},
			{"vm1", piece(1, 0, 4, "ab"), 0, "", statusOK},
			{"vm1", piece(1, 2, 4, "cd"), 0, "abcd", statusOK},
		}},
		{"no space", []step{
			{"vm1", piece(1, 0, maxUploadBytes-1, "ab"), 0, "", statusOK},
			{"vm2", piece(2, 0, 4, "ab"), 0, "", statusBusy},
			{"vm2", piece(2, 0, 4, "ab"), uploadTimeout + time.Second, "", statusOK},
		}},
		{"empty", []step{{"vm1", piece(1, 0, 0, ""), 0, "", statusBusy}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var u uploads
			for i, s := range test.steps {
				command, got := u.add(s.vm, s.q, now.Add(s.after))
				if string(command) != s.command || got != s.want {
					t.Errorf("step %d: got command %q and status %d, want %q and %d", i, command, got, s.command, s.want)
				}
			}
		})
	}
}

// Guards against a proposal that is executed again for each request that arrives while it
// is in flight.
func TestProposalUnderWayIsJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f inflightProposals
		runs := 0
		propose := func() reply {
			runs++
			<-time.After(3 * time.Second)
			return reply{Status: statusOK, Index: 7}
		}
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if out := f.join(short, "a", propose); out.Status != statusUnknown {
			t.Errorf("got status %d before the outcome is known, want statusUnknown", out.Status)
		}
		if out := f.join(t.Context(), "a", propose); out.Index != 7 || runs != 1 {
			t.Errorf("got outcome %+v after %d runs, want index 7 after one run", out, runs)
		}
		if _, ok := f.wait(t.Context(), "a"); ok {
			t.Error("proposal is still in flight after its outcome, want it removed")
		}
	})
}

// Guards against a list that is appended to the log once for each VM that proposes it. Several
// VMs propose the same list at once, one of them twice.
func TestSameCommandOfManyVMsRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startWithLinkRates(t, mbit100, mbit100, 3)
		defer c.stop()
		before := c.logBytes("vm1")
		const size = 600 << 10
		cmd, err := codec.Marshal(incompressibleText(size))
		if err != nil {
			t.Fatal(err)
		}
		replies := make(chan string, 4)
		for _, vm := range []string{"router1", "router2", "router3", "router3"} {
			go func() {
				out, err := c.vms[vm].client.ProposeDeduplicated(t.Context(), PlansStateMachine, cmd)
				replies <- string(out)
				if err != nil {
					t.Error(err)
				}
			}()
		}
		for range 4 {
			if got := <-replies; got != "\x01" {
				t.Errorf("got reply %q, want the reply of the first execution", got)
			}
		}
		<-time.After(time.Second)
		if got := c.logBytes("vm1") - before; got > size*3/2 {
			t.Errorf("log grew by %d bytes for a command of %d bytes, want at most 1.5 times its size", got, size)
		}
	})
}
