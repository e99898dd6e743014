package relay_test

import (
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

// A caller's answer runs on version 1 of the model. Its engine dies and then its VM,
// and by then two of the three remaining engines serve version 2. The answer must
// continue on an engine with version 1. Tokens of version 2 would splice two generations
// into one answer, which the check of each token against its prefix detects.
func TestAnswerKeepsItsModelVersion(t *testing.T) {
	inBubble(t, 5, 4, func(s *system) {
		s.onlyEngine(0)
		c := s.caller("k")
		if err := c.read("vm0", 60); err != nil {
			t.Fatal(err)
		}
		update(t, s.engines[1])
		update(t, s.engines[2])
		if err := c.read("vm0", 250); err != nil { // version 2 is ready by then
			t.Fatal(err)
		}
		s.onlyEngine(-1)
		s.engines[0].Kill()
		if err := c.read("vm0", 320); err != nil {
			t.Fatal(err)
		}
		owner := s.owner("k")
		s.kill(owner)
		c.finishOn(s.other(owner))
	})
}

// update makes an engine serve version 2 in place of version 1.
func update(t *testing.T, e *standin.Engine) {
	t.Helper()
	for _, o := range []engine.Order{
		{Fence: 1, Op: "load", Model: testModel, Version: "2"},
		{Fence: 2, Op: "unload", Model: testModel, Version: "1"},
	} {
		if _, err := e.Order(o); err != nil {
			t.Fatal(err)
		}
	}
}
