package memory

import (
	"testing"
	"testing/synctest"
	"time"
)

// begin adds an answer of the given size and returns it with the times that it was ended.
func begin(a *Account, suspect bool, bytes int) (m *Answer, ended *int) {
	ended = new(int)
	m = a.BeginAnswer(suspect, func() { *ended++ })
	m.Add(bytes)
	return m, ended
}

// Guards against sound answers that give way to those without an end, and against more ends than
// needed.
func TestVictims(t *testing.T) {
	type held struct {
		suspect bool
		bytes   int
	}
	tests := map[string]struct {
		held []held // one each second
		want int    // index of the one that is ended
	}{
		"the largest":              {[]held{{false, 40}, {false, 45}, {false, 30}}, 1},
		"the oldest of equal ones": {[]held{{false, 40}, {false, 40}, {false, 30}}, 0},
		"the one that grows":       {[]held{{false, 30}, {false, 30}, {false, 50}}, 2},
		"a suspect one first":      {[]held{{false, 80}, {true, 10}, {false, 15}}, 1},
	}
	for name, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			a := NewAccountOf(100)
			var ends []*int
			for _, h := range tt.held {
				_, ended := begin(a, h.suspect, h.bytes)
				ends = append(ends, ended)
				time.Sleep(time.Second)
			}
			for i, n := range ends {
				if want := map[bool]int{true: 1}[i == tt.want]; *n != want {
					t.Errorf("%s: answer %d was ended %d times, want %d", name, i, *n, want)
				}
			}
		})
	}
}

// Guards against an answer that grows on after its memory went to others.
func TestEndedAnswerHoldsNothing(t *testing.T) {
	a := NewAccountOf(100)
	m, ended := begin(a, false, 101)
	if m.Add(10) || *ended != 1 || a.Usage() != (Usage{Ended: 1}) {
		t.Errorf("an answer over the limit was ended %d times, usage %+v, want once and nothing held", *ended, a.Usage())
	}
	if !m.Close() || m.OnEnd(func() {}) {
		t.Error("the answer does not report that it was ended")
	}
}

// Guards against requests that take the memory of answers that run, and against answers that
// take the part of requests.
func TestRequestsHaveAPart(t *testing.T) {
	a := NewAccountOf(60)
	_, ended := begin(a, false, 50)
	r := a.BeginRequest()
	if !r.Add(20) || r.Add(11) || *ended != 1 {
		t.Errorf("the answer was ended %d times, want 20 bytes of a request accepted, 11 more refused, and the answer ended", *ended)
	}
	r.Close()
	r.Close()
	if u := a.Usage(); u.Bytes != 0 || u.RequestBytes != 0 {
		t.Errorf("got usage %+v after the request, want nothing", u)
	}
}

// Guards against an account that a small VM cannot afford, and one in which a large answer does
// not fit twice.
func TestSizeOfTheAccount(t *testing.T) {
	for _, mb := range []int64{88, 112, 134, 284} {
		a := NewAccount(mb << 20)
		if int64(a.limit) > mb<<20/4 || 2*a.LargestAnswer() > int64(a.limit) {
			t.Errorf("%d MB: account of %d bytes, answers of up to %d", mb, a.limit, a.LargestAnswer())
		}
	}
}

// Guards against ordinary requests that are refused while bodies that do not come hold the part of
// requests: the largest body that is not whole gives way to a smaller one.
func TestBodiesThatAreReadGiveWay(t *testing.T) {
	a := NewAccountOf(200) // 100 bytes of requests
	ended := map[string]int{}
	begin := func(name string, bytes int) *Request {
		r := a.BeginRequest()
		r.GiveWay(func() { ended[name]++ })
		if !r.Add(bytes) {
			t.Fatalf("%s of %d bytes is refused", name, bytes)
		}
		return r
	}
	large, whole := begin("large", 50), begin("whole", 30)
	whole.Whole()
	small := begin("small", 15)
	if !small.Add(10) || ended["large"] != 1 || !large.Ended() {
		t.Errorf("ended %v, want the large body once", ended)
	}
	if large.Add(1) {
		t.Error("a body that gave way grows")
	}
	if second := a.BeginRequest(); second.Add(60) || ended["small"] != 0 {
		t.Errorf("ended %v, want no body to give way to a larger one", ended)
	}
	for _, r := range []*Request{large, whole, small} {
		r.Close()
	}
	if u := a.Usage(); u.Bytes != 0 || u.RequestBytes != 0 {
		t.Errorf("got usage %+v after the requests, want nothing", u)
	}
}
