// Package standin holds stand-ins for what the system meets from outside:
// model engines, plain services and the platform's lists. Tests, the demo and
// the load tool use them; the daemon never does.
package standin

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
)

// A token is chain*choices + choice. The chain part depends on model, version,
// adapter and the whole prefix, so a token that does not belong to its prefix
// shows; the choice part is free, so sampling may differ by attempt.
const (
	chains  = 1000
	choices = 32
)

// PromptTokens returns the prompt's tokens; text has one token a byte.
func PromptTokens(c *engine.Completion) []int32 {
	out := make([]int32, 0, len(c.PromptIDs)+len(c.Prompt))
	out = append(out, c.PromptIDs...)
	for i := range len(c.Prompt) {
		out = append(out, int32(c.Prompt[i]))
	}
	return out
}

// chain digests the prefix of an answer.
type chain uint64

func startChain(c *engine.Completion, version string) chain {
	d := xxhash.New()
	_, _ = d.WriteString(c.Model + "\x00" + version + "\x00" + c.Adapter)
	h := chain(d.Sum64())
	for _, t := range PromptTokens(c) {
		h = h.with(t)
	}
	return h
}

func (h chain) with(token int32) chain {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(h))
	binary.LittleEndian.PutUint32(b[8:], uint32(token))
	return chain(xxhash.Sum64(b[:]))
}

func (h chain) next(choice uint64) int32 {
	return int32(uint64(h)%chains*choices + choice%choices)
}

// TextOf is the text of a token.
func TextOf(token int32) string { return fmt.Sprintf(" t%d", token) }

// Verify checks an answer token by token: each must follow from its prefix, and
// a whole answer has MaxTokens of them.
func Verify(c engine.Completion, version string, tokens []int32, whole bool) error {
	h := startChain(&c, version)
	for i, t := range tokens {
		if want := int32(uint64(h) % chains); t/choices != want {
			return Error.New("token %d is %d, which does not follow from its prefix", i+1, t)
		}
		h = h.with(t)
	}
	if whole && len(tokens) != c.MaxTokens {
		return Error.New("%d tokens, want %d", len(tokens), c.MaxTokens)
	}
	return nil
}
