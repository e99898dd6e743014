// Package engine is the client of model engines. The protocol is OpenAI-style HTTP with
// Server-Sent Events; docs/ENGINE-PROTOCOL.md specifies it.
package engine

// Attempt is the ID of one run of a request. Engines return it in every event.
type Attempt = string

// Completion is a generation request to an engine. Generated holds the tokens that the answer
// already has; the engine continues after them.
type Completion struct {
	Attempt   Attempt `json:"attempt"`
	Model     string  `json:"model"`
	Version   string  `json:"version,omitempty"`
	Adapter   string  `json:"adapter,omitempty"`
	Prompt    string  `json:"prompt,omitempty"`
	PromptIDs []int32 `json:"prompt_token_ids,omitempty"`
	Generated []int32 `json:"generated_token_ids,omitempty"`
	MaxTokens int     `json:"max_tokens"` // of the complete answer, Generated included
	Priority  int     `json:"priority"`
	Stream    bool    `json:"stream"`
	DetachMS  int64   `json:"detach_ms,omitempty"` // how long the run continues without a connection
}

// Event is the data of one SSE event. Index is the position of the event's last token in the
// complete answer, counted from 1.
type Event struct {
	Attempt  Attempt  `json:"attempt"`
	Index    int      `json:"index"`
	TokenIDs []int32  `json:"token_ids"`
	Texts    []string `json:"texts"`
	Finish   string   `json:"finish_reason,omitempty"`
	Usage    *Usage   `json:"usage,omitempty"`
	Version  string   `json:"version,omitempty"` // version of the model that generates the answer
}

// Usage is the number of tokens that one attempt processed. Cached tokens are the part of the
// prompt that came from the prefix cache.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Cached     int `json:"cached_tokens"`
	Completion int `json:"completion_tokens"`
}

// Load is the load report of an engine. AgeMS is the age of the report when it was
// read.
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

// CacheEvent reports that a prefix was added to or evicted from the engine's cache. Prefix is
// the chained digest of the prefix's blocks of CacheBlockTokens tokens.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"` // "add" or "evict"
	Prefix uint64 `json:"prefix"`
}

// CacheEvents is one page of events. A gap in the sequence numbers means that events were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// CacheBlockTokens is the block size of prefix caches, in tokens.
const CacheBlockTokens = 16

// Order instructs an engine to load or unload a model or to change its role.
type Order struct {
	Fence   uint64 `json:"fence"`
	Op      string `json:"op"` // "load", "unload" or "role"
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// State is the role and the loaded models that an engine reports.
type State struct {
	Fence  uint64  `json:"fence"`
	Role   string  `json:"role"`
	Models []Model `json:"models"`
}

// Model is one model of an engine. Ready reports whether the engine can serve it.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Ready    bool     `json:"ready"`
}
