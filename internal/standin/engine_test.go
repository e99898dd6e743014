package standin_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

func completion(attempt string, max int) engine.Completion {
	return engine.Completion{Attempt: attempt, Model: "m", Prompt: "a prompt of more than sixteen bytes", MaxTokens: max}
}

// collect reads a whole answer, or what came before an error.
func collect(ctx context.Context, e *standin.Engine, c engine.Completion) ([]int32, error) {
	var out []int32
	err := e.Generate(ctx, "", c, func(ev engine.Event) error {
		out = append(out, ev.TokenIDs...)
		return nil
	})
	return out, err
}

func inBubble(t *testing.T, change func(*standin.EngineConfig), f func(t *testing.T, e *standin.Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cfg := standin.DefaultEngine("e", "m")
		if change != nil {
			change(&cfg)
		}
		e := standin.NewEngine(cfg)
		defer e.Stop()
		f(t, e)
	})
}

func TestResumeContinuesTheSameAnswer(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *standin.Engine) {
		whole, err := collect(t.Context(), e, completion("a", 40))
		if err != nil {
			t.Fatal(err)
		}
		rest := completion("b", 40)
		rest.Generated = whole[:25]
		tail, err := collect(t.Context(), e, rest)
		if err != nil {
			t.Fatal(err)
		}
		if err := standin.Verify(rest, "1", append(whole[:25:25], tail...), true); err != nil {
			t.Error(err)
		}
	})
}

// Two attempts that sample differently each give a sound answer; the tail of one
// behind the head of the other does not follow from its prefix.
func TestVerifyDetectsSplicedGenerations(t *testing.T) {
	inBubble(t, func(c *standin.EngineConfig) { c.SampleByAttempt = true }, func(t *testing.T, e *standin.Engine) {
		first, err1 := collect(t.Context(), e, completion("a", 40))
		second, err2 := collect(t.Context(), e, completion("b", 40))
		if err := errors.Join(err1, err2); err != nil {
			t.Fatal(err)
		}
		for _, answer := range [][]int32{first, second} {
			if err := standin.Verify(completion("", 40), "1", answer, true); err != nil {
				t.Error(err)
			}
		}
		spliced := append(first[:20:20], second[20:]...)
		if standin.Verify(completion("", 40), "1", spliced, true) == nil {
			t.Error("a spliced answer passed the check")
		}
	})
}

func TestDeathEndsStreamsAndEmptiesTheEngine(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *standin.Engine) {
		time.AfterFunc(50*time.Millisecond, e.Kill)
		got, err := collect(t.Context(), e, completion("a", 1000))
		if err == nil || len(got) == 0 || len(got) == 1000 {
			t.Errorf("%d tokens, error %v; want a part and an error", len(got), err)
		}
		if _, err := collect(t.Context(), e, completion("b", 1)); err == nil {
			t.Error("a dead engine answered")
		}
	})
}

func TestDetachedRunIsKeptAndAttached(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *standin.Engine) {
		c := completion("a", 100)
		c.DetachMS = 1000
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		head, _ := collect(ctx, e, c)
		var tail []int32
		err := e.Attach(t.Context(), "", "a", len(head), func(ev engine.Event) error {
			tail = append(tail, ev.TokenIDs...)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := standin.Verify(c, "1", append(head, tail...), true); err != nil {
			t.Error(err)
		}
		if s := e.Stats(); s.GeneratedTokens != 100 || s.RunsStarted != 1 {
			t.Errorf("%+v: the run was not kept", s)
		}
	})
}

func TestUnreadRunIsCancelledAfterItsDetachTime(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *standin.Engine) {
		c := completion("a", 100000)
		c.DetachMS = 200
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _ = collect(ctx, e, c)
		synctest.Wait()
		if e.Running() != 1 {
			t.Fatal("the run ended with its connection")
		}
		timer := time.NewTimer(300 * time.Millisecond)
		<-timer.C
		synctest.Wait()
		if e.Running() != 0 || e.Stats().CancelledRuns != 1 {
			t.Errorf("running %d, stats %+v; want a cancelled run", e.Running(), e.Stats())
		}
	})
}

func TestPrefixCacheSavesPrefill(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, e *standin.Engine) {
		for _, a := range []string{"a", "b"} {
			if _, err := collect(t.Context(), e, completion(a, 1)); err != nil {
				t.Fatal(err)
			}
		}
		prompt := len(completion("", 1).Prompt)
		want := prompt + prompt%engine.CacheBlockTokens
		if got := e.Stats().PrefillTokens; got != want {
			t.Errorf("prefilled %d tokens, want %d: whole blocks once, the rest twice", got, want)
		}
	})
}

func TestFencing(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fences  bool
		wantErr bool
	}{
		{"an engine that fences refuses an old number", true, true},
		{"an engine that does not takes it", false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(c *standin.EngineConfig) { c.EnforceFencing = tc.fences }, func(t *testing.T, e *standin.Engine) {
				if _, err := e.Order(engine.Order{Fence: 5, Op: "load", Model: "n", Version: "1"}); err != nil {
					t.Fatal(err)
				}
				_, err := e.Order(engine.Order{Fence: 4, Op: "unload", Model: "m", Version: "1"})
				if (err != nil) != tc.wantErr {
					t.Errorf("error %v, want one: %v", err, tc.wantErr)
				}
			})
		})
	}
}
