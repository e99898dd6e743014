package generation

import "slices"

// Journal is the answer so far: the tokens in order and the text of each. Finish
// is the reason why the generation ended; it is empty while the generation runs.
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

// Len returns the number of tokens.
func (j *Journal) Len() int { return len(j.Tokens) }

// Digest returns the prefix digest of the first n tokens.
func (j *Journal) Digest(n int) uint64 {
	var d uint64
	for _, t := range j.Tokens[:n] {
		d = PrefixDigest(d, t)
	}
	return d
}

// Span is a sequence of consecutive tokens that starts at index From, counted
// from 0.
type Span struct {
	From   int      `cbor:"1,keyasint"`
	Tokens []int32  `cbor:"2,keyasint"`
	Texts  []string `cbor:"3,keyasint"`
}

// End returns the index after the span's last token.
func (s *Span) End() int { return s.From + len(s.Tokens) }

// packedJournal is a keeper's representation of a journal. It stores all text in
// one buffer: a string header for each token would take more memory than the
// token and its text together.
type packedJournal struct {
	tokens   []int32
	text     []byte
	textEnds []uint32 // end offset in text of each token
	finish   string
	usage    Usage
}

func (p *packedJournal) len() int { return len(p.tokens) }

func (p *packedJournal) add(tokens []int32, texts []string) {
	p.tokens = append(p.tokens, tokens...)
	for _, t := range texts {
		p.text = append(p.text, t...)
		p.textEnds = append(p.textEnds, uint32(len(p.text)))
	}
}

func (p *packedJournal) unpack() Journal {
	j := Journal{Tokens: slices.Clone(p.tokens), Texts: make([]string, 0, len(p.textEnds)), Finish: p.finish, Usage: p.usage}
	text := string(p.text)
	from := uint32(0)
	for _, end := range p.textEnds {
		j.Texts = append(j.Texts, text[from:end])
		from = end
	}
	return j
}

// bytes returns the approximate memory use of the tokens.
func (p *packedJournal) bytes() int64 {
	const perToken = 4 + 4
	return int64(perToken*len(p.tokens) + len(p.text))
}
