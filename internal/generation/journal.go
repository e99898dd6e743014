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

// packed is a journal as a keeper holds it: without a string for each token,
// which would take more than the token and its text together.
type packed struct {
	tokens []int32
	text   []byte
	ends   []uint32 // of each token's text
	finish string
	usage  Usage
}

func (p *packed) len() int { return len(p.tokens) }

func (p *packed) add(tokens []int32, texts []string) {
	p.tokens = append(p.tokens, tokens...)
	for _, t := range texts {
		p.text = append(p.text, t...)
		p.ends = append(p.ends, uint32(len(p.text)))
	}
}

func (p *packed) unpack() Journal {
	j := Journal{Tokens: slices.Clone(p.tokens), Texts: make([]string, 0, len(p.ends)), Finish: p.finish, Usage: p.usage}
	text := string(p.text)
	from := uint32(0)
	for _, end := range p.ends {
		j.Texts = append(j.Texts, text[from:end])
		from = end
	}
	return j
}

// bytes is about the memory that the tokens take.
func (p *packed) bytes() int64 {
	const perToken = 4 + 4
	return int64(perToken*len(p.tokens) + len(p.text))
}
