package inventory

import (
	"net/http"
	"testing"

	"github.com/rs/zerolog"

	"github.com/amaranthshelf/amaranthshelf/internal/standin/rawserver"
)

// Guards against a part of the list that counts as the whole, so that VMs and servers would be dropped.
func TestBrokenAnswersAreNoLists(t *testing.T) {
	var answer rawserver.Answer
	addr := rawserver.Start(t, func(*http.Request) rawserver.Answer { return answer })
	whole := 0
	for _, answer = range rawserver.BrokenAnswers(`{"vms":[{"id":"vm1"},{"id":"vm2"}],"backends":[{"name":"e1"},{"name":"e2"}]}`) {
		r := NewReader("http://"+addr, zerolog.Nop())
		err := r.read(t.Context())
		switch list, _, _ := r.List(); {
		case err != nil:
		case len(list.VMs) != 2 || len(list.Backends) != 2:
			t.Errorf("got %+v without error from %q, %s", list, answer.Text, answer.End)
		case answer.End == rawserver.InOrder:
			whole++
		}
	}
	if whole != 2 {
		t.Errorf("got %d whole lists that end in good order, want 2", whole)
	}
}
