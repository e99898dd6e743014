package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers implements the part of a Wire that is headers, by their names in
// canonical form.
type Headers struct {
	RequestID string
	Deadline  string // ms that are left
	Instance  string // the incarnation that is meant
	Workspace string
	Priority  string
	Tokens    string // of the prompt, and of the output at most: "8000,1000"
	LastEvent string
	CopyTo    string // address of the engine that is to keep a copy
	CopyFrom  string // address/id of the copy to go on from
	Key       string
	KeyScheme string // before the key, with its space
	Signature string
	NotRun    string
	Load      string
	// Reserved are further headers that only the system may set on the way to an
	// engine.
	Reserved []string
	// ReadLoad reads Load; -1: not said.
	ReadLoad func(value string) int
}

// lowestPriority is the largest number that an engine knows.
const lowestPriority = 9

// Caller implements Wire. What cannot be read is taken as not said: a count or a
// deadline only helps to place the request.
func (n *Headers) ReadCaller(h http.Header) (Caller, error) {
	c := Caller{RequestID: h.Get(n.RequestID)}
	if key, ok := strings.CutPrefix(h.Get(n.Key), n.KeyScheme); ok {
		c.Key = strings.TrimSpace(key)
	}
	if ms, err := strconv.ParseFloat(h.Get(n.Deadline), 64); err == nil && ms > 0 {
		c.Deadline = time.Duration(ms * float64(time.Millisecond))
	}
	if after, err := strconv.ParseUint(h.Get(n.LastEvent), 10, 64); err == nil {
		c.After, c.HasAfter = after, true
	}
	in, out, _ := strings.Cut(h.Get(n.Tokens), ",")
	c.PromptTokens, c.OutputTokens = count(in), count(out)
	return c, nil
}

// count reads a number of tokens; 0 where there is none that can be read.
func count(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// Engine implements Wire.
func (n *Headers) SetSendHeaders(h http.Header, s Send) {
	for _, name := range n.Reserved {
		h.Del(name)
	}
	for _, name := range []string{n.Instance, n.Workspace, n.Priority, n.CopyTo, n.CopyFrom} {
		h.Del(name)
	}
	if strings.HasPrefix(h.Get(n.Key), n.KeyScheme) {
		h.Del(n.Key)
	}
	h.Set(n.Deadline, strconv.FormatInt(s.Deadline.Milliseconds(), 10))
	h.Set(n.Instance, s.Instance)
	h.Set(n.Priority, strconv.Itoa(min(max(s.Priority, 0), lowestPriority)))
	if s.Workspace != "" {
		h.Set(n.Workspace, s.Workspace)
	}
	if s.HasAfter {
		h.Set(n.LastEvent, strconv.FormatUint(s.After, 10))
	}
	if s.CopyTo != "" {
		h.Set(n.CopyTo, s.CopyTo)
	}
	if s.ResumeFrom != nil {
		h.Set(n.CopyFrom, s.ResumeFrom.Address+"/"+s.ResumeFrom.ID)
	}
}

// PerAttempt implements Wire.
func (n *Headers) PerAttemptHeaders() []string { return []string{n.RequestID, n.Deadline, n.LastEvent} }

// Answer implements Wire. A server that says that it is another incarnation has
// not run the request.
func (n *Headers) ReadAnswer(status int, h http.Header) Answer {
	moved := status == http.StatusMisdirectedRequest
	return Answer{
		RequestID: h.Get(n.RequestID), Signed: h.Get(n.Signature) != "",
		NotRun: moved || len(h.Values(n.NotRun)) > 0, WrongInstance: moved, Load: n.ReadLoad(h.Get(n.Load)),
	}
}
