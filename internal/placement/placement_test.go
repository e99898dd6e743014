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

// The load of a clump: as many prompts as engines arrive at once. Placed at
// random, three meet on one engine, whose last first event comes after three
// seconds; by cost no engine gets a second one while another has none.
func TestClumpOfPromptsSpreads(t *testing.T) {
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
		t.Errorf("most prompts on one engine: %d by cost, %d at random", most, mostRandom)
	}
}

// A lost zone finds the copies of its runs in other zones, and on engines with
// room to take them up.
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
			t.Fatalf("copy of a run in zone %s at %d", all[i].Zone, k)
		}
		all[k].Usage = all[k].Usage.Add(Usage{Tokens: need.Tokens()})
		kept[all[k].Zone]++
	}
	for i := range all {
		if all[i].Usage.Tokens > 6*need.Tokens() {
			t.Errorf("engine %d holds %d tokens", i, all[i].Usage.Tokens)
		}
	}
	for zone, n := range kept {
		if n < 15 {
			t.Errorf("zone %s keeps %d of 70 copies", zone, n)
		}
	}
}

func TestEngine(t *testing.T) {
	need := Need{Prompt: 8000, Output: 1000}
	tests := []struct {
		name string
		all  []Candidate
		want int
	}{
		{"none", nil, -1},
		{"the one without a prompt", []Candidate{{KVTokens: 88_000, Usage: Usage{PendingPrompt: 8000}}, {KVTokens: 88_000, Usage: Usage{Requests: 3}}}, 1},
		{"the one with room", []Candidate{{KVTokens: 88_000, Usage: Usage{Tokens: 85_000}}, {KVTokens: 88_000, Usage: Usage{Requests: 9}}}, 1},
		{"a suspect only if alone", []Candidate{{KVTokens: 88_000, Avoid: true}, {KVTokens: 88_000, Usage: Usage{Tokens: 85_000, Requests: 9}}}, 1},
		{"alone", []Candidate{{KVTokens: 88_000, Avoid: true}}, 0},
		{"not the slow one", []Candidate{{KVTokens: 88_000, Slowdown: 4}, {KVTokens: 88_000, Slowdown: 1, Usage: Usage{Requests: 2}}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := ChooseEngine(tt.all, need, func(int) int { return 0 }); got != tt.want {
				t.Errorf("chose %d, want %d", got, tt.want)
			}
		})
	}
}

// The load of a lost zone: nine VMs place two prompts each in the same moment,
// before any hears of another's. Alike, all choose the engines that look idle, and
// one engine reads five prompts while others read none; each at home first, seldom
// two meet.
func TestVMsThatKnowTheSameDoNotMeet(t *testing.T) {
	var vms []string
	for i := range 9 {
		vms = append(vms, fmt.Sprint("10.0.0.", i, ":7340"))
	}
	meet := func(homes bool) int {
		rng := rand.New(rand.NewPCG(1, 2))
		need := Need{Prompt: 8000, Output: 1000}
		prompts := map[int]int{}
		for _, vm := range vms {
			all := engines(8)
			for i := range all {
				all[i].Usage.Requests = 2 + i%2
				if homes {
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
	if alike, home := meet(false), meet(true); home > 3 || alike < 8 {
		t.Errorf("most prompts on one engine: %d alike, %d at home first", alike, home)
	}
}

// The load of a burst: memory is nearly taken everywhere, and eleven VMs place one
// run each before any hears of another's. A cliff at the full mark sends all of
// them to the one engine below it, where five wait for the others to end while
// its neighbours could begin theirs at once.
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
		t.Errorf("%d of %d runs went to one engine", most, vms)
	}
}

// The load of a large deployment: every engine reads a prompt but three that have
// just started, and each of 66 VMs places one run before any hears of another's.
// Were all of them alike to an engine that is not their own, the three would get
// 22 prompts each and read them for 20 s; in line, four VMs find one worth it.
func TestFreshEnginesAreNotOverrun(t *testing.T) {
	var vms []string
	for i := range 66 {
		vms = append(vms, fmt.Sprint("10.0.0.", i, ":7340"))
	}
	most := func(alike bool) int {
		rng := rand.New(rand.NewPCG(1, 2))
		need := Need{Prompt: 8000, Output: 1500}
		prompts := map[int]int{}
		for _, vm := range vms {
			all := engines(60)
			for i := range all {
				all[i].Usage = Usage{Requests: 3, Tokens: 30_000, PendingPrompt: 8000}
				all[i].RendezvousRank = RendezvousRank(fmt.Sprint("i-", i), vm, vms)
				if alike {
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
	if line, alike := most(false), most(true); line > 5 || alike < 15 {
		t.Errorf("most prompts on a fresh engine: %d in line, %d alike", line, alike)
	}
}

// Guards against streams that cross to another zone while engines of their own have room,
// and against a zone that fills its own engines while others stand idle.
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
		t.Errorf("%d of 24 streams crossed to another zone", crossed)
	}
	load := map[string]int{}
	for range 36 {
		load[place("a", need.Prompt)]++
	}
	if load["a"] > 14 || load["b"] < 9 || load["c"] < 9 {
		t.Errorf("a burst of one zone was placed %v", load)
	}
}
