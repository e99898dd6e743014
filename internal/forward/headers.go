package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/backpressure"
	"github.com/amaranthshelf/amaranthshelf/internal/backpressure/backpressurehttp"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Headers implements the methods of a Wire that read and write headers. Its fields are
// the header names in canonical form.
type Headers struct {
	RequestID    string
	Deadline     string // remaining ms
	Instance     string // the incarnation that the request is sent to
	Workspace    string
	Priority     string
	Tokens       string // prompt tokens and maximum output tokens: "8000,1000"
	LastEvent    string
	CopyTo       string // address of the backup engine
	CopyFrom     string // address/id of the copy to resume from
	Key          string
	KeyScheme    string // prefix of the key, with its space
	Signature    string
	NotRun       string
	Load         string
	InstanceID   string // the incarnation that answers; servers need not state it
	RateLimit    string // requests per second that the server accepts from all VMs together
	Rejections   string // requests that the server can refuse in a second without ending
	Leaving      string // true or 1: the server ends soon and takes no new work
	FirstAttempt string // id of the attempt that brought the first event of the stream to which the caller reconnects
	// Reserved are further headers of requests to engines that only the system may set.
	Reserved []string
	// ReadLoad parses the value of Load. It returns false if the value cannot be read.
	ReadLoad func(value string) (upstream.Load, bool)
}

// lowestPriority is the largest priority number that engines accept.
const lowestPriority = 9

// ReadCaller implements Wire. A value that cannot be parsed is ignored, since counts and
// deadlines only help to place the request.
func (n *Headers) ReadCaller(h http.Header) (Caller, error) {
	c := Caller{RequestID: h.Get(n.RequestID), FirstAttempt: h.Get(n.FirstAttempt), ReconnectFault: n.reconnectFault(h)}
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
	c.PromptTokens, c.OutputTokens = parseTokens(in), parseTokens(out)
	return c, nil
}

// reconnectFault returns why the headers that name a stream cannot be read; empty: they can.
func (n *Headers) reconnectFault(h http.Header) string {
	last := h.Get(n.LastEvent)
	_, err := strconv.ParseUint(last, 10, 64)
	switch {
	case len(h.Values(n.FirstAttempt)) > 1:
		return "it names several attempts that began the stream"
	case len(h.Values(n.LastEvent)) > 1:
		return "it names several last events"
	case last != "" && err != nil:
		return "the id of the last event is not a number"
	}
	return ""
}

// parseTokens parses a number of tokens; 0: missing or invalid.
func parseTokens(s string) int {
	n, err := strconv.Atoi(strings.TrimSpace(s))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// SetSendHeaders implements Wire.
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

// SetInstance implements Wire.
func (n *Headers) SetInstance(h http.Header, instance string) { h.Set(n.Instance, instance) }

// SetDeadline implements Wire.
func (n *Headers) SetDeadline(h http.Header, left time.Duration) {
	h.Set(n.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
}

// SetReconnect implements Wire.
func (n *Headers) SetReconnect(h http.Header, after uint64, firstAttempt string) {
	h.Set(n.LastEvent, strconv.FormatUint(after, 10))
	h.Set(n.FirstAttempt, firstAttempt)
}

// PerAttemptHeaders implements Wire.
func (n *Headers) PerAttemptHeaders() []string {
	return []string{n.RequestID, n.Deadline, n.LastEvent, n.FirstAttempt}
}

// ReadAnswer implements Wire. A server that states that it is another incarnation has
// not run the request.
func (n *Headers) ReadAnswer(status int, h http.Header) Answer {
	moved := status == http.StatusMisdirectedRequest
	load, unreadable := n.readLoad(h)
	return Answer{
		RequestID: h.Get(n.RequestID), Signed: h.Get(n.Signature) != "",
		NotRun: moved || len(h.Values(n.NotRun)) > 0, WrongInstance: moved, Load: load, LoadUnreadable: unreadable,
		Instance: h.Get(n.InstanceID), Statement: backpressure.Statement{
			Limit: backpressurehttp.ReadLimit(h.Values(n.RateLimit)), Pause: backpressurehttp.ReadPause(status, h), Leaving: backpressurehttp.ReadLeaving(h.Values(n.Leaving)),
			Rejections: backpressurehttp.ReadLimit(h.Values(n.Rejections)),
		},
	}
}

func (n *Headers) readLoad(h http.Header) (load *upstream.Load, unreadable bool) {
	value := h.Get(n.Load)
	if value == "" {
		return nil, false
	}
	l, ok := n.ReadLoad(value)
	if !ok {
		return nil, true
	}
	return &l, false
}
