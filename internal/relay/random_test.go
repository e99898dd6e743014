package relay_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/amaranthshelf/amaranthshelf/internal/generation"
	"github.com/amaranthshelf/amaranthshelf/internal/relay"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

var long = flag.Int("long", 0, "number of further seeds for the randomised schedules")

const (
	pinnedSeed  = 20261202
	pinnedRuns  = 40
	shortRuns   = 6
	faultSteps  = 14
	randomVMs   = 7
	randomKeys  = 2
	readersEach = 3
)

// readInput and readOutput are one read of an answer.
type readInput struct {
	key  string
	from int
}

type readOutput struct {
	chunk relay.Chunk
	code  result.Code // 0: the read brought tokens or the end
}

// answerState is the part of an answer that at least one caller has seen.
type answerState struct {
	tokens []int32
	finish string
}

// answerModel is the model of an answer that callers may observe. The answer only
// grows, no index changes, it ends once, and it cannot be lost or unknown after one of
// its tokens was read.
var answerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(readInput).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return answerState{} },
	Step: func(state, input, output any) (bool, any) {
		return state.(answerState).step(input.(readInput), output.(readOutput))
	},
	Equal: func(a, b any) bool {
		x, y := a.(answerState), b.(answerState)
		return slices.Equal(x.tokens, y.tokens) && x.finish == y.finish
	},
}

func (s answerState) step(in readInput, out readOutput) (bool, any) {
	if out.code != 0 {
		lost := out.code == result.NotFound || out.code == result.JournalLost || out.code == result.BadLastEventID
		return !lost || len(s.tokens) == 0, s
	}
	next := answerState{slices.Clone(s.tokens), s.finish}
	for i, token := range out.chunk.Span.Tokens {
		switch at := in.from + i; {
		case at < len(s.tokens) && s.tokens[at] != token:
			return false, s
		case at == len(next.tokens):
			if s.finish != "" {
				return false, s
			}
			next.tokens = append(next.tokens, token)
		case at > len(next.tokens):
			return false, s
		}
	}
	if out.chunk.Finish != "" {
		if in.from+len(out.chunk.Span.Tokens) != len(next.tokens) {
			return false, s
		}
		next.finish = out.chunk.Finish
	}
	return true, next
}

// schedule is one randomised run with callers that move between VMs, and with faults.
type schedule struct {
	s       *system
	rand    *rand.Rand
	mu      sync.Mutex
	history []porcupine.Operation
}

// Several callers read two answers and move between VMs at random. Meanwhile VMs are
// killed, shut down, restarted without memory, paused and cut off from receiving,
// messages are lost and duplicated, and engines are paused. Every caller must receive a
// complete answer in the end, and all reads together must form a history of one growing
// answer for each key.
func TestRandomFaults(t *testing.T) {
	seed := uint64(pinnedSeed)
	if text := os.Getenv("AMARANTHSHELF_SEED"); text != "" {
		seed, _ = strconv.ParseUint(text, 10, 64)
	}
	runs := pinnedRuns + *long
	if testing.Short() {
		runs = shortRuns
	}
	for i := range uint64(runs) {
		t.Run(fmt.Sprint("seed", seed+i), func(t *testing.T) {
			inBubble(t, randomVMs, 3, func(s *system) { randomRun(s, seed+i) })
		})
	}
}

func randomRun(s *system, seed uint64) {
	r := &schedule{s: s, rand: rand.New(rand.NewPCG(seed, 2))}
	for _, e := range s.engines {
		e.Slow(8) // an answer lasts about as long as the faults
	}
	var wg sync.WaitGroup
	for i := range randomKeys * readersEach {
		turns := rand.New(rand.NewPCG(seed, uint64(10+i)))
		wg.Go(func() { r.caller(fmt.Sprint("k", i%randomKeys), i, turns) })
	}
	for range faultSteps {
		r.fault()
	}
	s.net.HealAll()
	s.net.SetLoss(0, 0)
	wg.Wait()
	if verdict := porcupine.CheckOperationsTimeout(answerModel, r.history, time.Minute); verdict != porcupine.Ok {
		s.t.Errorf("got verdict %v on the callers' history, want the history of one answer for each key", verdict)
	}
	if n := s.count("invariants_broken"); n != 0 {
		s.t.Errorf("got %d broken invariants, want 0", n)
	}
}

func (r *schedule) pause(shortest, longest time.Duration) {
	time.Sleep(shortest + time.Duration(r.rand.Int64N(int64(longest-shortest)))) // virtual
}

// fault causes one fault and ends it. At most two VMs are lost at a time, and the next
// ones are lost only after the owners had time to move their journals.
func (r *schedule) fault() {
	s := r.s
	i := r.rand.IntN(randomVMs)
	vm, other := fmt.Sprint("vm", i), fmt.Sprint("vm", (i+1+r.rand.IntN(randomVMs-1))%randomVMs)
	switch r.rand.IntN(7) {
	case 0:
		r.restart(vm)
	case 1:
		r.restart(vm, other)
	case 2:
		s.net.Pause(vm)
		r.pause(100*time.Millisecond, 6*time.Second)
		s.net.Resume(vm)
	case 3:
		s.net.CutInbound(vm)
		r.pause(100*time.Millisecond, 6*time.Second)
		s.net.HealAll()
	case 4:
		s.net.SetLoss(0.02, 0.1)
		r.pause(time.Second, 4*time.Second)
		s.net.SetLoss(0, 0)
	case 5:
		s.engines[r.rand.IntN(len(s.engines))].Pause(time.Duration(r.rand.IntN(4000)) * time.Millisecond)
	case 6:
		ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
		_ = s.hub(vm).Drain(ctx) // on an error, some answer has found no successor in time
		cancel()
		r.restart(vm)
	}
	r.pause(1500*time.Millisecond, 3*time.Second)
}

// restart kills VMs, which lose their memory and return as new keepers.
func (r *schedule) restart(vms ...string) {
	r.s.kill(vms...)
	r.pause(10*time.Millisecond, time.Second)
	var restarted []generation.Candidate
	for _, vm := range vms {
		var i int
		_, _ = fmt.Sscanf(vm, "vm%d", &i)
		restarted = append(restarted, r.s.candidate(i))
		r.s.start(restarted[len(restarted)-1])
	}
	r.s.commit(restarted...)
}

// caller reads one answer to its end over successive connections to random VMs.
func (r *schedule) caller(key string, id int, turns *rand.Rand) {
	c := r.s.caller(key)
	deadline := time.Now().Add(5 * time.Minute)
	for c.finish == "" && time.Now().Before(deadline) {
		vm := fmt.Sprint("vm", turns.IntN(randomVMs))
		r.readStretch(c, id, vm, len(c.tokens)+1+turns.IntN(testTokens))
		time.Sleep(time.Duration(20+turns.IntN(300)) * time.Millisecond) // virtual
	}
	c.check()
}

// readStretch reads over one connection, until the answer has n tokens or an error occurs.
func (r *schedule) readStretch(c *caller, id int, vm string, n int) {
	hub := r.s.hub(vm)
	if hub == nil {
		return
	}
	c.observe = func(began time.Time, from int, chunk relay.Chunk, err error) {
		code := result.Code(0)
		if err != nil {
			code = result.CodeOf(err)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.history = append(r.history, porcupine.Operation{
			ClientId: id, Input: readInput{c.key, from}, Output: readOutput{chunk, code},
			Call: began.UnixNano(), Return: time.Now().UnixNano(),
		})
	}
	_ = c.readFrom(hub, n)
}
