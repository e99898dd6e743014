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
	digestValues = 1000
	sampleValues = 32
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

// answerDigest digests the prefix of an answer.
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

// TextOf is the text of a token.
func TextOf(token int32) string { return fmt.Sprintf(" t%d", token) }

// Verify checks an answer token by token: each must follow from its prefix, and
// a whole answer has MaxTokens of them.
func Verify(c engine.Completion, version string, tokens []int32, whole bool) error {
	h := promptDigest(&c, version)
	for i, t := range tokens {
		if want := int32(uint64(h) % digestValues); t/sampleValues != want {
			return Error.New("token %d is %d, which does not follow from its prefix", i+1, t)
		}
		h = h.with(t)
	}
	if whole && len(tokens) != c.MaxTokens {
		return Error.New("%d tokens, want %d", len(tokens), c.MaxTokens)
	}
	return nil
}
