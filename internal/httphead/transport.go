package httphead

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is an http.Transport that takes no response with an invalid head, interim head or trailer.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport over t, which must have a DialContext.
func NewTransport(t *http.Transport) Transport {
	t.DialContext = noteHeads(t.DialContext)
	return Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var h *heads
	resp, err := t.Transport.RoundTrip(r.WithContext(traceHeads(r.Context(), &h)))
	if err != nil {
		return nil, err
	}
	if err := check(resp, h); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = CheckTrailer(resp)
	return resp, nil
}

// traceHeads sets the heads of a response, and ends the request if an interim one is invalid.
func traceHeads(ctx context.Context, h **heads) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				*h = c.expect()
			}
		},
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return CheckNames(http.Header(header)) },
	})
}

func check(resp *http.Response, h *heads) error {
	if h != nil {
		if err := h.checkCoding(); err != nil {
			return err
		}
	}
	return CheckResponse(resp)
}
