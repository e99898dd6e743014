package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
)

// Guards against a command that is made of the wrong pieces, and against proposers that
// vanish midway and leave no room.
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
		{"a piece again", []step{
			{"vm1", piece(1, 0, 4, "ab"), 0, "", statusOK},
			{"vm1", piece(1, 2, 6, "cd"), 0, "abcd", statusOK},
			{"vm1", piece(1, 2, 4, "cd"), 0, "", statusWanted},
		}},
		{"a gap", []step{
			{"vm1", piece(1, 0, 6, "ab"), 0, "", statusOK},
			{"vm1", piece(1, 4, 6, "ef"), 0, "", statusWanted},
		}},
		{"more than it said", []step{
			{"vm1", piece(1, 0, 3, "ab"), 0, "", statusOK},
			{"vm1", piece(1, 2, 3, "cd"), 0, "", statusWanted},
		}},
		{"begun anew", []step{
			{"vm1", piece(1, 0, 4, "xy"), 0, "", statusOK},
			{"vm1", piece(1, 0, 4, "ab"), 0, "", statusOK},
			{"vm1", piece(1, 2, 4, "cd"), 0, "abcd", statusOK},
		}},
		{"no room", []step{
			{"vm1", piece(1, 0, maxUploadBytes-1, "ab"), 0, "", statusOK},
			{"vm2", piece(2, 0, 4, "ab"), 0, "", statusBusy},
			{"vm2", piece(2, 0, 4, "ab"), uploadLife + time.Second, "", statusOK},
		}},
		{"empty", []step{{"vm1", piece(1, 0, 0, ""), 0, "", statusBusy}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var u uploads
			for i, s := range test.steps {
				command, got := u.add(s.vm, s.q, now.Add(s.after))
				if string(command) != s.command || got != s.want {
					t.Errorf("step %d: %q, status %d; want %q, %d", i, command, got, s.command, s.want)
				}
			}
		})
	}
}

// Guards against a proposal that runs once for each who asks for it.
func TestProposalUnderWayIsJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f flights
		runs := 0
		propose := func() reply {
			runs++
			<-time.After(3 * time.Second)
			return reply{Status: statusOK, Index: 7}
		}
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if out := f.join(short, "a", propose); out.Status != statusUnknown {
			t.Errorf("status %d before the outcome is known", out.Status)
		}
		if out := f.join(t.Context(), "a", propose); out.Index != 7 || runs != 1 {
			t.Errorf("outcome %+v after %d runs", out, runs)
		}
		if _, ok := f.wait(t.Context(), "a"); ok {
			t.Error("still under way")
		}
	})
}

// Guards against a list that several VMs propose at once, one of them twice, and the log
// takes as often.
func TestSameCommandOfManyVMsRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startOnLinks(t, mbit100, mbit100, 3)
		defer c.stop()
		before := c.logged("vm1")
		const size = 600 << 10
		cmd, err := codec.Marshal(noise(size))
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
				t.Errorf("reply %q, want the first command's", got)
			}
		}
		<-time.After(time.Second)
		if got := c.logged("vm1") - before; got > size*3/2 {
			t.Errorf("the log took %d bytes for a command of %d", got, size)
		}
	})
}
