package generation

import "slices"

// Journal is the answer so far: tokens in order, the text of each, and how it
// ended once it has. Finish is empty while the generation runs.
type Journal struct {
	Tokens []int32  `cbor:"1,keyasint"`
	Texts  []string `cbor:"2,keyasint"`
	Finish string   `cbor:"3,keyasint,omitempty"`
	Usage  Usage    `cbor:"4,keyasint"`
}

// Usage counts the tokens charged for a finished generation.
type Usage struct {
	PromptTokens     int `cbor:"1,keyasint" json:"prompt_tokens"`
	CompletionTokens int `cbor:"2,keyasint" json:"completion_tokens"`
}

// Len is the number of tokens.
func (j *Journal) Len() int { return len(j.Tokens) }

// bytes is about the memory that the tokens take: four for the id, the text, and
// its string header.
func (j *Journal) bytes() int64 {
	const perToken = 4 + 16
	size := int64(perToken * len(j.Tokens))
	for _, t := range j.Texts {
		size += int64(len(t))
	}
	return size
}

// Clone copies j, so that a message never shares memory with live state.
func (j *Journal) Clone() Journal {
	c := *j
	c.Tokens = slices.Clone(j.Tokens)
	c.Texts = slices.Clone(j.Texts)
	return c
}

// Digest returns the prefix digest of the first n tokens.
func (j *Journal) Digest(n int) uint64 {
	var d uint64
	for _, t := range j.Tokens[:n] {
		d = PrefixDigest(d, t)
	}
	return d
}

// Span is a run of tokens that starts at index From, counted from 0.
type Span struct {
	From   int      `cbor:"1,keyasint"`
	Tokens []int32  `cbor:"2,keyasint"`
	Texts  []string `cbor:"3,keyasint"`
}

// End is the index after the span's last token.
func (s *Span) End() int { return s.From + len(s.Tokens) }
