// Package engine is the client of model engines: OpenAI-style HTTP with
// Server-Sent Events as docs/ENGINE-PROTOCOL.md states it.
package engine

// Attempt names one run of a request; engines echo it on every event.
type Attempt = string

// Completion asks an engine to generate. Generated holds the tokens that the
// answer already has: the engine goes on behind them.
type Completion struct {
	Attempt   Attempt `json:"attempt"`
	Model     string  `json:"model"`
	Version   string  `json:"version,omitempty"`
	Adapter   string  `json:"adapter,omitempty"`
	Prompt    string  `json:"prompt,omitempty"`
	PromptIDs []int32 `json:"prompt_token_ids,omitempty"`
	Generated []int32 `json:"generated_token_ids,omitempty"`
	MaxTokens int     `json:"max_tokens"` // of the whole answer, Generated included
	Priority  int     `json:"priority"`
	Stream    bool    `json:"stream"`
	DetachMS  int64   `json:"detach_ms,omitempty"` // how long the run outlives its connection
}

// Event is the data of one SSE event. Index counts the answer's tokens and is
// the index of the event's last token, from 1.
type Event struct {
	Attempt  Attempt  `json:"attempt"`
	Index    int      `json:"index"`
	TokenIDs []int32  `json:"token_ids"`
	Texts    []string `json:"texts"`
	Finish   string   `json:"finish_reason,omitempty"`
	Usage    *Usage   `json:"usage,omitempty"`
	Version  string   `json:"version,omitempty"` // of the model that runs
}

// Usage is what one attempt cost the engine, in tokens.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Cached     int `json:"cached_tokens"`
	Completion int `json:"completion_tokens"`
}

// Load is an engine's report on itself, some time old when it is read.
type Load struct {
	Seq          uint64   `json:"seq"`
	AgeMS        int64    `json:"age_ms"`
	Running      int      `json:"running"`
	Queued       int      `json:"queued"`
	QueuedTokens int      `json:"queued_tokens"`
	CacheUsed    int      `json:"cache_tokens_used"`
	CacheLimit   int      `json:"cache_tokens_limit"`
	StepMS       float64  `json:"step_ms"`
	Models       []string `json:"models"`
	Leaving      bool     `json:"leaving"`
}

// CacheEvent says that a prefix came into or left the engine's cache. Prefix is
// the digest chain of the prefix's blocks of CacheBlock tokens.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"` // "add" or "evict"
	Prefix uint64 `json:"prefix"`
}

// CacheEvents is one page of events; a jump in Seq is a gap.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// CacheBlock is the granularity of prefix caches, in tokens.
const CacheBlockTokens = 16

// Order tells an engine to change what it serves.
type Order struct {
	Fence   uint64 `json:"fence"`
	Op      string `json:"op"` // "load", "unload" or "role"
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// State is what an engine says it serves.
type State struct {
	Fence  uint64  `json:"fence"`
	Role   string  `json:"role"`
	Models []Model `json:"models"`
}

// Model is one loaded model.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Ready    bool     `json:"ready"`
}
