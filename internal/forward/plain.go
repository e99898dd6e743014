package forward

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// The project's own headers between callers, routers and backend servers.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderDeadline     = "X-Deadline-Ms"
	HeaderInstance     = "X-Backend-Instance"
	HeaderWorkspace    = "X-Workspace"
	HeaderTokens       = "X-Tokens"
	HeaderSignature    = "X-Backend-Signature"
	HeaderNotRun       = "X-Not-Run"
	HeaderLoad         = "X-Backend-Load" // requests that run or wait at the server, and its slowdown in percent
	HeaderCopyTo       = "X-Keep-Copy-At"
	HeaderCopyFrom     = "X-Resume-From"
	HeaderLastEvent    = "Last-Event-Id"
	HeaderRateLimit    = "X-Rate-Limit"      // requests per second that the server accepts from all VMs together
	HeaderRejections   = "X-Rejection-Limit" // requests that the server can refuse in a second without ending
	HeaderLeaving      = "X-Leaving"         // the server ends soon and takes no new work
	HeaderFirstAttempt = "X-First-Attempt"   // request id of the attempt that brought the first event of a stream
)

// Paths of the project's own engine interface.
const (
	PlainReportURI = "/v1/report"
	PlainCopyURI   = "/v1/copies" // accepts orders to copy a run
)

// PlainWire is the Wire for the project's own headers.
type PlainWire struct{ Headers }

// NewPlainWire returns a PlainWire with the names above.
func NewPlainWire() *PlainWire {
	return &PlainWire{Headers{
		RequestID: HeaderRequestID, Deadline: HeaderDeadline, Instance: HeaderInstance, Workspace: HeaderWorkspace,
		Priority: "X-Priority", Tokens: HeaderTokens, LastEvent: HeaderLastEvent, CopyTo: HeaderCopyTo,
		CopyFrom: HeaderCopyFrom, Key: "Authorization", KeyScheme: "Bearer ", Signature: HeaderSignature,
		NotRun: HeaderNotRun, Load: HeaderLoad, InstanceID: HeaderInstance, RateLimit: HeaderRateLimit, Rejections: HeaderRejections, Leaving: HeaderLeaving, FirstAttempt: HeaderFirstAttempt, ReadLoad: parseLoad,
	}}
}

// parseLoad parses "requests" or "requests,percent". The second figure is how long work takes
// now; 100: as usual.
func parseLoad(value string) (upstream.Load, bool) {
	requests, percent, stated := strings.Cut(value, ",")
	n, err := strconv.Atoi(requests)
	if err != nil || n < 0 {
		return upstream.Load{}, false
	}
	out := upstream.Load{Requests: n}
	if !stated {
		return out, true
	}
	p, err := strconv.ParseUint(percent, 10, 32)
	out.Slowdown = float64(p) / 100
	return out, err == nil
}

// CopyOrder implements Wire.
func (*PlainWire) CopyOrder(requestID, to string) (method, uri string, body []byte) {
	return http.MethodPost, PlainCopyURI + "?run=" + url.QueryEscape(requestID) + "&to=" + url.QueryEscape(to), []byte{}
}

// ReadCopy implements Wire: the body is the copy's name.
func (*PlainWire) ReadCopy(status int, body []byte) string {
	if status != http.StatusOK {
		return ""
	}
	return string(body)
}

// CopyDrop implements Wire.
func (*PlainWire) CopyDrop(name string) (method, uri string) {
	return http.MethodDelete, PlainCopyURI + "?name=" + url.QueryEscape(name)
}

// ReportURI implements Wire.
func (*PlainWire) ReportURI() string { return PlainReportURI }

// ReadReport implements Wire.
func (*PlainWire) ReadReport(body []byte) (Report, error) {
	var r Report
	return r, json.Unmarshal(body, &r)
}

// RetryAfter implements Wire. It rounds up to whole seconds, which RFC 9110 requires.
func (*PlainWire) RetryAfter(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
