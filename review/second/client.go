package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	front, method, path, attempt string
	body                         string
	deadline                     time.Duration
	last                         int    // id of the last event that the client has; 0: none
	resumes                      string // the attempt that brought the first event
	prompt                       string // the parts of the prompt of a stream, as ID:TOKENS entries
}

// answer is what the client got.
type answer struct {
	status     int
	signed     bool
	retryAfter time.Duration
	body       string
	err        error
	took       time.Duration
}

// dialer opens the connections of clients.
type dialer func(ctx context.Context, network, addr string) (net.Conn, error)

func (q *request) send(ctx context.Context, dial dialer) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.front+q.path, strings.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	r.Host = host
	r.Header.Set(headerAttempt, q.attempt)
	r.Header.Set(headerDeadline, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Token "+apiKey)
	r.Header.Set("Accept-Encoding", "identity")
	if q.prompt != "" {
		r.Header.Set(names["model"], "m")
		r.Header.Set(names["tokens"], "1200,1000")
		r.Header.Set(names["prompt"], q.prompt)
	}
	if q.last > 0 {
		r.Header.Set(headerLast, strconv.Itoa(q.last))
		r.Header.Set(headerResumes, q.resumes)
	}
	t := &http.Transport{DisableKeepAlives: false, DisableCompression: true, DialContext: dial}
	return (&http.Client{Transport: t}).Do(r)
}

// do sends a call and returns its answer.
func (q *request) do() answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	resp, err := q.send(ctx, nil)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a := answerOf(resp)
	a.body, a.err, a.took = string(body), err, time.Since(began)
	return a
}

func answerOf(resp *http.Response) answer {
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return answer{status: resp.StatusCode, signed: resp.Header.Get(headerSignature) != "", retryAfter: time.Duration(seconds * float64(time.Second))}
}

// event is an event of a stream.
type event struct {
	id   int
	data string
}

// follow sends the request of a stream and passes its events to take until it ends. It returns the
// answer, whose err is nil only if the stream is complete.
func (q *request) follow(ctx context.Context, dial dialer, take func(event)) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, q.deadline)
	defer cancel()
	resp, err := q.send(ctx, dial)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer resp.Body.Close()
	a := answerOf(resp)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		a.body, a.err, a.took = string(text), fmt.Errorf("status %d", resp.StatusCode), time.Since(began)
		return a
	}
	lines := bufio.NewReader(resp.Body)
	var e event
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				a.err = err
			}
			a.took = time.Since(began)
			return a
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			e.id, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			e.data = line[len("data: "):]
		case line == "":
			take(e)
			e = event{}
		}
	}
}
