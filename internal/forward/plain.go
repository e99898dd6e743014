package forward

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// The project's own headers between callers, routers and backend servers.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderDeadline   = "X-Deadline-Ms"
	HeaderInstance   = "X-Backend-Instance" // the incarnation that is meant
	HeaderWorkspace  = "X-Workspace"
	HeaderPriority   = "X-Priority"
	HeaderTokens     = "X-Tokens" // prompt,output
	HeaderSignature  = "X-Backend-Signature"
	HeaderNotRun     = "X-Not-Run"
	HeaderLoad       = "X-Backend-Load" // requests that run and wait
	HeaderCopyTo     = "X-Keep-Copy-At"
	HeaderCopyFrom   = "X-Resume-From" // ip:port/request id
	HeaderLastEvent  = "Last-Event-Id"
	PlainCopyURI     = "/v1/copies" // where an engine takes orders to copy a run
	plainReportURI   = "/v1/report"
	plainKeyScheme   = "Bearer "
	plainKeyHeader   = "Authorization"
	plainMinPriority = 9
)

// PlainWire is the Wire of the project's own headers.
type PlainWire struct{}

// Caller implements Wire.
func (PlainWire) Caller(h http.Header) (Caller, error) {
	c := Caller{RequestID: h.Get(HeaderRequestID)}
	if key, ok := strings.CutPrefix(h.Get(plainKeyHeader), plainKeyScheme); ok {
		c.Key = strings.TrimSpace(key)
	}
	if ms, err := strconv.ParseInt(h.Get(HeaderDeadline), 10, 64); err == nil && ms > 0 {
		c.Deadline = time.Duration(ms) * time.Millisecond
	}
	if after, err := strconv.ParseUint(h.Get(HeaderLastEvent), 10, 64); err == nil {
		c.After, c.HasAfter = after, true
	}
	in, out, _ := strings.Cut(h.Get(HeaderTokens), ",")
	// Counts that cannot be read are not said.
	c.Prompt, _ = strconv.Atoi(strings.TrimSpace(in))
	c.Output, _ = strconv.Atoi(strings.TrimSpace(out))
	return c, nil
}

// Engine implements Wire.
func (PlainWire) Engine(h http.Header, s Send) {
	for _, name := range []string{HeaderInstance, HeaderWorkspace, HeaderPriority, HeaderCopyTo, HeaderCopyFrom, plainKeyHeader} {
		h.Del(name)
	}
	h.Set(HeaderDeadline, strconv.FormatInt(s.Deadline.Milliseconds(), 10))
	h.Set(HeaderInstance, s.Instance)
	h.Set(HeaderPriority, strconv.Itoa(min(max(s.Priority, 0), plainMinPriority)))
	if s.Workspace != "" {
		h.Set(HeaderWorkspace, s.Workspace)
	}
	if s.HasAfter {
		h.Set(HeaderLastEvent, strconv.FormatUint(s.After, 10))
	}
	if s.CopyTo != "" {
		h.Set(HeaderCopyTo, s.CopyTo)
	}
	if s.From != nil {
		h.Set(HeaderCopyFrom, s.From.Address+"/"+s.From.ID)
	}
}

// PerAttempt implements Wire.
func (PlainWire) PerAttempt() []string {
	return []string{HeaderRequestID, HeaderDeadline, HeaderLastEvent}
}

// Answer implements Wire.
func (PlainWire) Answer(status int, h http.Header) Answer {
	a := Answer{
		RequestID: h.Get(HeaderRequestID), Signed: h.Get(HeaderSignature) != "",
		NotRun: h.Get(HeaderNotRun) != "", Moved: status == http.StatusMisdirectedRequest, Load: -1,
	}
	if n, err := strconv.Atoi(h.Get(HeaderLoad)); err == nil {
		a.Load = n
	}
	return a
}

// ReportURI implements Wire.
func (PlainWire) ReportURI() string { return plainReportURI }

// ReadReport implements Wire.
func (PlainWire) ReadReport(body []byte) (Report, error) {
	var r Report
	return r, json.Unmarshal(body, &r)
}

// CopyOrder implements Wire.
func (PlainWire) CopyOrder(requestID, to string) (method, uri string, body []byte) {
	return http.MethodPost, PlainCopyURI + "?run=" + url.QueryEscape(requestID) + "&to=" + url.QueryEscape(to), []byte{}
}

// ReadCopy implements Wire: the body is the copy's name.
func (PlainWire) ReadCopy(status int, body []byte) string {
	if status != http.StatusOK {
		return ""
	}
	return string(body)
}

// CopyDrop implements Wire.
func (PlainWire) CopyDrop(name string) (method, uri string) {
	return http.MethodDelete, PlainCopyURI + "?name=" + url.QueryEscape(name)
}

// RetryAfter implements Wire: whole seconds, as RFC 9110 has them.
func (PlainWire) RetryAfter(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
