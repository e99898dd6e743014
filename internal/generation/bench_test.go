package generation

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func benchOwner(b *testing.B) (*Owner, []*Keeper, KeeperSet) {
	b.Helper()
	keeperSet := KeeperSet{NewestVersion: 1}
	replies := NewReplies(nil, Membership{})
	epoch := Epoch{Version: 1, Round: 1, VM: "vm1#abcdefgh"}
	var keepers []*Keeper
	for _, vm := range []string{"vm1", "vm2", "vm3", "vm4", "vm5"} {
		id := KeeperID{vm, "life"}
		k := NewKeeper(id.Incarnation, DefaultLimits(time.Minute))
		replies.Add(id, k.Promise(Promise{ID: journalID, Epoch: epoch, Incarnation: id.Incarnation}, time.Time{}))
		keeperSet.Keepers = append(keeperSet.Keepers, id)
		keepers = append(keepers, k)
	}
	return NewOwner(Request{ID: journalID, Prompt: "unit 7 log"}, epoch, keeperSet, replies, Journal{}), keepers, keeperSet
}

// BenchmarkAppendAndReplicate measures one token from the engine to its release:
// the owner appends it, writes it to five keepers one by one, and all acknowledge.
func BenchmarkAppendAndReplicate(b *testing.B) {
	const length = 4096
	now := time.Time{}
	b.ReportAllocs()
	var o *Owner
	var keepers []*Keeper
	var keeperSet KeeperSet
	var attempt AttemptID
	tokens, texts := []int32{7}, []string{" t7"}
	for i := range b.N {
		if i%length == 0 {
			o, keepers, keeperSet = benchOwner(b)
			attempt, _ = o.BeginAttempt()
		}
		if err := o.Append(attempt.Number, Span{From: i % length, Tokens: tokens, Texts: texts}, "", Usage{}); err != nil {
			b.Fatal(err)
		}
		for k, id := range keeperSet.Keepers {
			w, _ := o.NextWrite(id.VM, 512)
			if err := o.Ack(id.VM, keepers[k].Write(w, now)); err != nil {
				b.Fatal(err)
			}
		}
		if o.Released() != i%length+1 {
			b.Fatal("an acknowledged token is not released")
		}
	}
}

// BenchmarkBatchCodec encodes and decodes a batch of writes to one keeper: 64
// journals with one token each. The result is per token.
func BenchmarkBatchCodec(b *testing.B) {
	const journals = 64
	var batch []Write
	for range journals {
		batch = append(batch, Write{
			ID: RequestID{"coop", "5f0c4e7a-diag"}, Epoch: Epoch{3, 17, "vm1#abcdefgh"}, Incarnation: "abcdefgh",
			Span: Span{From: 512, Tokens: []int32{70123}, Texts: []string{" boiler"}},
		})
	}
	b.ReportAllocs()
	bytes := 0
	for range b.N / journals {
		data, err := cbor.Marshal(batch)
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(data)
		var out []Write
		if err := cbor.Unmarshal(data, &out); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes)/journals, "wire-B/token")
}

// BenchmarkPlace measures the placement of one journal among 330 VMs in five zones.
func BenchmarkPlace(b *testing.B) {
	var vms []Candidate
	for i := range 330 {
		vms = append(vms, Candidate{VM: fmt.Sprint("vm", i), Incarnation: "abcdefgh", Zone: fmt.Sprint("z", i%5)})
	}
	b.ReportAllocs()
	for range b.N {
		if len(Place(journalID, vms)) != MaxKeepers {
			b.Fatal("placement returned too few or too many keepers")
		}
	}
}
