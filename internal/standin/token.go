// Package standin provides stand-ins for external systems: model engines, plain
// services and the platform's inventory. Tests, the demo and the load tool use them.
// The daemon never does.
package standin

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthshelf/amaranthshelf/internal/engine"
)

// A token is digest*sampleValues + sample. The digest part depends on model, version,
// adapter and all earlier tokens, which lets Verify detect a token that does not belong
// to its prefix. The sample part is free, which allows attempts to sample differently.
const (
	digestValues = 1000
	sampleValues = 32
)

// PromptTokens returns the tokens of the prompt. Text has one token per byte.
func PromptTokens(c *engine.Completion) []int32 {
	out := make([]int32, 0, len(c.PromptIDs)+len(c.Prompt))
	out = append(out, c.PromptIDs...)
	for i := range len(c.Prompt) {
		out = append(out, int32(c.Prompt[i]))
	}
	return out
}

// answerDigest is a digest of the prompt and the tokens generated so far.
type answerDigest uint64

func promptDigest(c *engine.Completion, version string) answerDigest {
	d := xxhash.New()
	_, _ = d.WriteString(c.Model + "\x00" + version + "\x00" + c.Adapter)
	h := answerDigest(d.Sum64())
	for _, t := range PromptTokens(c) {
		h = h.with(t)
	}
	return h
}

func (h answerDigest) with(token int32) answerDigest {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(h))
	binary.LittleEndian.PutUint32(b[8:], uint32(token))
	return answerDigest(xxhash.Sum64(b[:]))
}

func (h answerDigest) next(choice uint64) int32 {
	return int32(uint64(h)%digestValues*sampleValues + choice%sampleValues)
}

// TextOf returns the text of a token.
func TextOf(token int32) string { return fmt.Sprintf(" t%d", token) }

// Verify checks that each token of an answer follows from its prefix, and that a
// complete answer has MaxTokens tokens.
func Verify(c engine.Completion, version string, tokens []int32, complete bool) error {
	h := promptDigest(&c, version)
	for i, t := range tokens {
		if want := int32(uint64(h) % digestValues); t/sampleValues != want {
			return Error.New("token %d is %d, which does not follow from its prefix", i+1, t)
		}
		h = h.with(t)
	}
	if complete && len(tokens) != c.MaxTokens {
		return Error.New("got %d tokens, want %d", len(tokens), c.MaxTokens)
	}
	return nil
}
