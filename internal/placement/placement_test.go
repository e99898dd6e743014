package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func engines(perZone int) []Candidate {
	var out []Candidate
	for _, zone := range []string{"a", "b", "c"} {
		for range perZone {
			out = append(out, Candidate{Zone: zone, Slots: 64, KVTokens: 88_000, Slowdown: 1})
		}
	}
	return out
}

// As many prompts as engines arrive at once. Placed at random, three meet on one engine,
// and the last of them produces its first event after three seconds. Placed by cost, no
// engine gets a second prompt while another has none.
func TestSimultaneousPromptsSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	all := engines(12)
	need := Need{Prompt: 8000, Output: 1000}
	most, mostRandom := 0, 0
	random := map[int]int{}
	baseline := rand.New(rand.NewPCG(7, 7))
	for range 36 {
		i := ChooseEngine(all, need, rng.IntN)
		all[i].Usage = all[i].Usage.Add(Usage{Requests: 1, Tokens: need.Tokens(), PendingPrompt: need.Prompt})
		most = max(most, all[i].Usage.Requests)
		k := baseline.IntN(len(all))
		random[k]++
		mostRandom = max(mostRandom, random[k])
	}
	if most != 1 || mostRandom < 3 {
		t.Errorf("most prompts on one engine: got %d by cost and %d at random, want 1 and 3 or more", most, mostRandom)
	}
}

// When a zone is lost, the copies of its runs must be in other zones, on engines with
// room to resume them.
func TestCopiesAreInOtherZones(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	all := engines(12)
	need := Need{Prompt: 8000, Output: 1000}
	kept := map[string]int{}
	for range 70 {
		i := ChooseEngine(all, need, rng.IntN)
		all[i].Usage = all[i].Usage.Add(Usage{Requests: 1, Tokens: need.Tokens()})
		k := ChooseBackupEngine(all, all[i].Zone, need, rng.IntN)
		if k < 0 || all[k].Zone == all[i].Zone {
			t.Fatalf("the copy of a run in zone %s is on engine %d, want one in another zone", all[i].Zone, k)
		}
		all[k].Usage = all[k].Usage.Add(Usage{Tokens: need.Tokens()})
		kept[all[k].Zone]++
	}
	for i := range all {
		if all[i].Usage.Tokens > 6*need.Tokens() {
			t.Errorf("engine %d holds %d tokens, want six runs or less", i, all[i].Usage.Tokens)
		}
	}
	for zone, n := range kept {
		if n < 15 {
			t.Errorf("zone %s keeps %d of 70 copies, want 15 or more", zone, n)
		}
	}
}

func TestChooseEngine(t *testing.T) {
	need := Need{Prompt: 8000, Output: 1000}
	tests := []struct {
		name string
		all  []Candidate
		want int
	}{
		{"none", nil, -1},
		{"no pending prompt preferred", []Candidate{{KVTokens: 88_000, Usage: Usage{PendingPrompt: 8000}}, {KVTokens: 88_000, Usage: Usage{Requests: 3}}}, 1},
		{"free memory preferred", []Candidate{{KVTokens: 88_000, Usage: Usage{Tokens: 85_000}}, {KVTokens: 88_000, Usage: Usage{Requests: 9}}}, 1},
		{"suspected engine avoided", []Candidate{{KVTokens: 88_000, Avoid: true}, {KVTokens: 88_000, Usage: Usage{Tokens: 85_000, Requests: 9}}}, 1},
		{"suspected engine alone", []Candidate{{KVTokens: 88_000, Avoid: true}}, 0},
		{"slow engine avoided", []Candidate{{KVTokens: 88_000, Slowdown: 4}, {KVTokens: 88_000, Slowdown: 1, Usage: Usage{Requests: 2}}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := ChooseEngine(tt.all, need, func(int) int { return 0 }); got != tt.want {
				t.Errorf("got candidate %d, want %d", got, tt.want)
			}
		})
	}
}

// After a zone is lost, nine VMs place two prompts each at the same moment, before any
// knows of the others' choices. Without a rendezvous order all choose the two engines that
// look idle, and one of these gets eight prompts or more while others get none. With it,
// two VMs rarely choose the same engine, and no engine gets more than three prompts.
func TestVMsWithEqualReportsSpreadTheirPrompts(t *testing.T) {
	var vms []string
	for i := range 9 {
		vms = append(vms, fmt.Sprint("10.0.0.", i, ":7340"))
	}
	mostOnOneEngine := func(ranked bool) int {
		rng := rand.New(rand.NewPCG(1, 2))
		need := Need{Prompt: 8000, Output: 1000}
		prompts := map[int]int{}
		for _, vm := range vms {
			all := engines(8)
			for i := range all {
				all[i].Usage.Requests = 2 + i%2
				if ranked {
					all[i].RendezvousRank = RendezvousRank(fmt.Sprint("i-", i), vm, vms)
				}
			}
			all[5].Usage, all[11].Usage = Usage{}, Usage{}
			for range 2 {
				i := ChooseEngine(all, need, rng.IntN)
				all[i].Usage = all[i].Usage.Add(Usage{Requests: 1, PendingPrompt: need.Prompt, Tokens: need.Tokens()})
				prompts[i]++
			}
		}
		most := 0
		for _, n := range prompts {
			most = max(most, n)
		}
		return most
	}
	if unranked, ranked := mostOnOneEngine(false), mostOnOneEngine(true); ranked > 3 || unranked < 8 {
		t.Errorf("most prompts on one engine: got %d without ranks and %d with ranks, want 8 or more and 3 or less", unranked, ranked)
	}
}

// In a burst, memory is nearly taken everywhere, and eleven VMs place one run each before
// any knows of the others' choices. If the memory cost rises in one step, all of them
// choose the one engine below it, and five runs wait there for others to end while its
// neighbours could start theirs at once.
func TestNearlyFullEnginesShareABurst(t *testing.T) {
	const vms = 11
	need := Need{Prompt: 8000, Output: 1500}
	rng := rand.New(rand.NewPCG(1, 2))
	taken := map[int]int{}
	for vm := range vms {
		all := engines(10)
		for i := range all {
			all[i].Usage = Usage{Requests: 6, Tokens: 72_000 + 200*(i%10)}
			all[i].RendezvousRank = (i + vm) % vms
		}
		all[17].Usage.Tokens = 70_000
		taken[ChooseEngine(all, need, rng.IntN)]++
	}
	most := 0
	for _, n := range taken {
		most = max(most, n)
	}
	if most > 2 {
		t.Errorf("got %d of %d runs on one engine, want 2 or less", most, vms)
	}
}

// In a large deployment, every engine prefills a prompt except for three that have just
// started, and each of 66 VMs places one run before any knows of the others' choices. If
// all ranks but the first cost the same, the three get 22 prompts each and prefill them
// for 20 s. With the cost rising by rank, only four VMs choose the same engine.
func TestFreshEnginesAreNotOverrun(t *testing.T) {
	var vms []string
	for i := range 66 {
		vms = append(vms, fmt.Sprint("10.0.0.", i, ":7340"))
	}
	mostOnFreshEngine := func(flatRanks bool) int {
		rng := rand.New(rand.NewPCG(1, 2))
		need := Need{Prompt: 8000, Output: 1500}
		prompts := map[int]int{}
		for _, vm := range vms {
			all := engines(60)
			for i := range all {
				all[i].Usage = Usage{Requests: 3, Tokens: 30_000, PendingPrompt: 8000}
				all[i].RendezvousRank = RendezvousRank(fmt.Sprint("i-", i), vm, vms)
				if flatRanks {
					all[i].RendezvousRank = min(1, all[i].RendezvousRank)
				}
			}
			all[5].Usage, all[71].Usage, all[140].Usage = Usage{}, Usage{}, Usage{}
			prompts[ChooseEngine(all, need, rng.IntN)]++
		}
		n := 0
		for _, i := range []int{5, 71, 140} {
			n = max(n, prompts[i])
		}
		return n
	}
	if ranked, flat := mostOnFreshEngine(false), mostOnFreshEngine(true); ranked > 5 || flat < 15 {
		t.Errorf("most prompts on a newly started engine: got %d by rank and %d with equal ranks, want 5 or less and 15 or more", ranked, flat)
	}
}

// Guards against streams that cross to another zone while engines of their own zone have
// room, and against a zone that fills its own engines while others are idle.
func TestStreamsStayInTheirZone(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	all := engines(12)
	need := Need{Prompt: 5000, Output: 1000}
	place := func(zone string, prompt int) string {
		for i := range all {
			all[i].OtherZone = all[i].Zone != zone
		}
		i := ChooseEngine(all, need, rng.IntN)
		all[i].Usage = all[i].Usage.Add(Usage{Requests: 1, Tokens: need.Tokens(), PendingPrompt: prompt})
		return all[i].Zone
	}
	crossed := 0
	for range 8 {
		for _, zone := range []string{"a", "b", "c"} {
			if place(zone, 0) != zone {
				crossed++
			}
		}
	}
	if crossed > 0 {
		t.Errorf("got %d of 24 streams in another zone, want 0", crossed)
	}
	load := map[string]int{}
	for range 36 {
		load[place("a", need.Prompt)]++
	}
	if load["a"] > 14 || load["b"] < 9 || load["c"] < 9 {
		t.Errorf("got a burst of 36 prompts in zone a placed as %v, want 14 or less in a and 9 or more in b and c", load)
	}
}
