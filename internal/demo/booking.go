package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/standin"
)

const bookingTimeout = 5 * time.Second

// booking is the answer that a caller received to one booking.
type booking struct {
	Status int
	Text   string
	Ran    result.Ran // as reported with an error; empty for a success
}

func (b booking) String() string { return fmt.Sprintf("%d %s", b.Status, b.Text) }

// bookings books three jobs. The first connection is good, the second breaks after the
// service has run the job, and the third breaks before. Each booking is sent twice.
func (s *system) bookings(ctx context.Context) Scene {
	scene := Scene{Name: "booking", What: "three jobs booked, two over a breaking connection, each sent twice"}
	cases := []struct {
		key  string
		at   standin.BreakPoint
		runs int
		ran  result.Ran
	}{
		{"job-1", standin.BreakNever, 1, ""},
		{"job-2", standin.BreakAfter, 1, result.RanUnknown},
		{"job-3", standin.BreakBefore, 0, result.RanUnknown},
	}
	var err error
	for _, c := range cases {
		s.Services[0].BreakNextCall(c.at)
		first, again, failure := s.bookTwice(ctx, c.key)
		runs := s.Services[0].Runs(c.key)
		scene.ServiceRuns += runs
		scene.ServiceAnswer += fmt.Sprintf("     %s: ran %d times, answered %.90s\n", c.key, runs, first)
		if failure == nil && (runs != c.runs || first != again || first.Ran != c.ran) {
			failure = fmt.Errorf("%s ran %d times and was answered %q, then %q", c.key, runs, first, again)
		}
		err = errors.Join(err, failure)
	}
	scene.OK, scene.Check = err == nil, "none ran twice, and the resend got the first answer"
	if err != nil {
		scene.Check = err.Error()
	}
	return scene
}

// bookTwice sends a booking to one VM and the same booking to another VM.
func (s *system) bookTwice(ctx context.Context, key string) (first, again booking, err error) {
	addrs := s.Addresses()[1:] // the first VM was killed in an earlier scene
	first, err = s.book(ctx, addrs[0], key)
	if err != nil {
		return first, again, err
	}
	again, err = s.book(ctx, addrs[len(addrs)-1], key)
	return first, again, err
}

func (s *system) book(ctx context.Context, addr, key string) (booking, error) {
	ctx, cancel := context.WithTimeout(ctx, bookingTimeout)
	defer cancel()
	body := bytes.NewReader([]byte(`{"unit":44,"day":"2027-01-12"}`))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/services/dispatch/bookings", body)
	if err != nil {
		return booking{}, err
	}
	r.Header.Set("Authorization", "Bearer "+demoKey)
	r.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return booking{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return booking{}, err
	}
	out := booking{Status: resp.StatusCode, Text: string(bytes.TrimSpace(data))}
	var coded result.Error
	if resp.StatusCode >= http.StatusBadRequest && json.Unmarshal(data, &coded) == nil {
		out.Ran = coded.Ran
	}
	return out, nil
}
