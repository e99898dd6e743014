package httphead

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is an http.Transport that takes no response with an invalid head, interim head or trailer.
type Transport struct{ *http.Transport }

// checkInterim ends a request whose interim response is invalid.
var checkInterim = &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
	return CheckNames(http.Header(header))
}}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), checkInterim)))
	if err != nil {
		return nil, err
	}
	if err := Check(resp.StatusCode, resp.Header); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = CheckTrailer(resp)
	return resp, nil
}
