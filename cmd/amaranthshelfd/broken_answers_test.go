package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"

	"github.com/amaranthshelf/amaranthshelf/internal/forward"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/rawserver"
	"github.com/amaranthshelf/amaranthshelf/internal/standin/routedengine"
	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Sizes of the test of broken answers.
const (
	brokenTries       = 4         // of each answer, at each router
	brokenUploadBytes = 3_900_000 // more than the sockets hold
)

// brokenAnswer is the answer to the first request of an id. A sound one is delivered.
type brokenAnswer struct {
	name, status, headers, body string
	end                         rawserver.End
	sound                       bool
}

// brokenAnswers returns the answers whose text is body.
func brokenAnswers(body string) []brokenAnswer {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	inner := "HTTP/1.1 200 OK\r\n" + forward.HeaderSignature + ": s\r\n" + length + "\r\n" + body
	return []brokenAnswer{
		{"in good order", "200 OK", "", body, rawserver.InOrder, true},
		{"in good order, then reset", "200 OK", "", body, rawserver.Unread, true},
		{"with a length, reset", "200 OK", length, body, rawserver.Reset, true},
		{"reset", "200 OK", "", body, rawserver.Reset, false},
		{"failure, reset", "400 Bad Request", "", body, rawserver.Reset, false},
		{"no status", "000 OK", "", inner, rawserver.InOrder, false},
		{"blank in a name", "200 OK", "X A: b\r\n" + length, body, rawserver.InOrder, false},
		{"blank behind a name", "200 OK", "Transfer-Encoding : chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), rawserver.InOrder, false},
		{"control byte in a name", "200 OK", "X\x01A: b\r\n" + length, body, rawserver.InOrder, false},
	}
}

// text returns the answer to a request.
func (a *brokenAnswer) text(id string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nConnection: close\r\n%s: s\r\n%s: %s\r\n%s\r\n%s", a.status, forward.HeaderSignature, forward.HeaderRequestID, id, a.headers, a.body)
}

// Texts of the answers of the test.
const (
	voteText   = "counted"
	streamText = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
)

// brokenServers answer the first request of each id with the answer that its path names, and others
// soundly.
type brokenServers struct {
	mu   sync.Mutex
	sent map[string]int // by request id
}

func (b *brokenServers) answer(r *http.Request) rawserver.Answer {
	id, body := r.Header.Get(forward.HeaderRequestID), voteText
	if strings.HasPrefix(r.URL.Path, "/s/") {
		body = streamText
	}
	if r.URL.Path == forward.PlainReportURI {
		body = "{}"
	}
	sound := brokenAnswer{status: "200 OK", headers: fmt.Sprintf("Content-Length: %d\r\n", len(body)), body: body}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent[id]++
	name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	for _, a := range brokenAnswers(body) {
		if a.name == name && b.sent[id] == 1 {
			return rawserver.Answer{Text: a.text(id), End: a.end}
		}
	}
	return rawserver.Answer{Text: sound.text(id)}
}

func (b *brokenServers) sends(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent[id]
}

// Guards against a broken answer that reaches a caller of real routers as a whole one, and against a
// sound one that is lost: servers answer long uploads at once.
func TestBrokenAnswersAtRouters(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	servers := &brokenServers{sent: map[string]int{}}
	s := &soakSystem{t: t, net: routedengine.NewNet(), dir: t.TempDir()}
	w := newSoakClients(t, s)
	for i := range 4 {
		service := []string{"models", "desk"}[i%2]
		s.servers = append(s.servers, &routedengine.Server{Backend: upstream.Backend{ID: fmt.Sprint(service, i), Service: service, Zone: "z0", Slots: 64, Version: "v1", Address: rawserver.Start(t, servers.answer)}})
	}
	s.writeSettings(freePorts(t, 2*soakControls+3*soakRouters))
	t.Cleanup(s.stop)
	for i := range s.processes {
		s.start(i)
	}
	w.putRouteList(t.Context(), 1)
	w.waitAllServe(1)
	elsewhere := 0 // streams that went on at another engine
	for _, path := range []string{"/vote/", "/s/"} {
		for _, a := range brokenAnswers(map[string]string{"/vote/": voteText, "/s/": streamText}[path]) {
			t.Run(path+a.name, func(t *testing.T) {
				for n := range brokenTries * soakRouters {
					if checkBrokenAnswer(t, w, servers, &a, path, n) {
						elsewhere++
					}
				}
			})
		}
	}
	if elsewhere == 0 {
		t.Error("no stream went on at another engine")
	}
}

// checkBrokenAnswer sends a request and checks its answer. It reports whether the request was sent again.
func checkBrokenAnswer(t *testing.T, w *soakClients, servers *brokenServers, a *brokenAnswer, path string, n int) bool {
	t.Helper()
	id := fmt.Sprint(url.PathEscape(path+a.name), n)
	target := "http://" + w.s.callers[n%soakRouters] + path + url.PathEscape(a.name)
	resp, body, err := w.roundTrip(context.Background(), http.MethodPost, target, id, strings.Repeat("x", brokenUploadBytes))
	if err != nil {
		t.Errorf("no answer: %v", err)
		return false
	}
	signed, sends := resp.Header.Get(forward.HeaderSignature) != "", servers.sends(id)
	isUnknown := sends == 1 && resp.StatusCode == http.StatusBadGateway && !signed
	isElsewhere := path == "/s/" && sends == 2 && resp.StatusCode == http.StatusOK && string(body) == streamText
	switch {
	case a.sound && (sends != 1 || string(body) != a.body || !signed):
		t.Errorf("got %d %q after %d sends, want the sound answer", resp.StatusCode, body, sends)
	case !a.sound && !isUnknown && !isElsewhere: // retries are bounded
		t.Errorf("got %d %q after %d sends, want an unknown outcome or the stream of another engine", resp.StatusCode, body, sends)
	}
	return isElsewhere
}
