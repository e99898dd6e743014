package inventory

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against memory that grows with what the platform sends.
func TestResponsesAreBounded(t *testing.T) {
	tests := []struct {
		name               string
		headBytes, padding int
		ok                 bool
	}{
		{"usual", 0, 0, true},
		{"long", 32 << 10, 1 << 20, true},
		{"far too large a head", 1 << 20, 0, false},
		{"far too large a list", 0, maxListBytes, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Padding", strings.Repeat("a", tt.headBytes))
				fmt.Fprint(w, strings.Repeat(" ", tt.padding), "{}")
			}))
			defer s.Close()
			if err := NewReader(s.URL, zerolog.Nop()).read(t.Context()); (err == nil) != tt.ok {
				t.Errorf("got error %v, want success: %t", err, tt.ok)
			}
		})
	}
}

// Guards against a list that is lost for as long as one odd row stands in it.
func TestOddRowsHideNoOther(t *testing.T) {
	deep := func(n int) string { return strings.Repeat(`[{"a":`, n) + "1" + strings.Repeat("}]", n) }
	digits := strings.Repeat("9", 5000)
	odd := []string{
		"null", "7", `"x"`, "[]", "{}", "1e400", digits, "NaN", "{\xff}", "", deep(10_000), deep(100_000),
		`{"id":1,"name":1}`, `{"id":"","name":""}`, `{"id":[],"name":{}}`, `{"id":null,"name":null}`, `{"id":"a\u0000","name":"a\n"}`,
		`{"id":"` + digits + `","name":"` + digits + `"}`, `{"id":"x","name":"x","leaving":"yes"}`, `{"id":"x","name":"x","leaving":1e400}`,
		`{"id":"x","name":"x","zone":7}`, `{"id":"vm1","name":"e1"}`,
		`{"id":"vm1","name":"x","kind":"toaster","address":"10.0.0.9:80"}`,
	}
	for _, addr := range []string{"10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:65536", "10.0.0.9:99999", "10.0.0.9:http", "10.0.0.9:" + digits, "10.0.0.9", ":80", "vm:80", "[fe80::1%x]:80", "0.0.0.0:80", "[::]:80", "224.0.0.1:80"} {
		odd = append(odd, fmt.Sprintf(`{"id":"x","name":"x","peer":%[1]q,"address":%[1]q,"kind":"engine"}`, addr))
	}
	const vm, backend = `{"id":"vm%[1]d","zone":"z","peer":"10.0.0.%[1]d:80","callers":"10.0.0.%[1]d:81"}`, `{"name":"e%[1]d","kind":"engine","address":"10.0.1.%[1]d:80","models":["m"],"leaving":true}`
	rows := func(row, odd string) string {
		return fmt.Sprintf(row, 1) + "," + odd + "," + fmt.Sprintf(row, 2) + "," + odd
	}
	for _, entry := range odd {
		t.Run(entry[:min(len(entry), 40)], func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintf(w, `{"vms":[%s],"backends":[%s]}`, rows(vm, entry), rows(backend, entry))
			}))
			defer s.Close()
			r := NewReader(s.URL, zerolog.Nop())
			began := time.Now()
			if err := r.read(t.Context()); err != nil {
				t.Fatalf("the list is not read: %v", err)
			}
			list, _, _ := r.List()
			if len(list.VMs) != 2 || list.VMs[1].ID != "vm2" || len(list.Backends) != 2 || list.Backends[0].Name != "e1" || list.Backends[1].Address != "10.0.1.2:80" {
				t.Errorf("got %d VMs and %d backend servers, want the two good ones of each", len(list.VMs), len(list.Backends))
			}
			if took := time.Since(began); took > 5*time.Second {
				t.Errorf("the list is read in %v, want less than 5 s", took)
			}
		})
	}
}

// Guards against a part of the list that is taken for the whole: servers would be dropped.
func TestTruncatedListIsRefused(t *testing.T) {
	whole := `{"vms":[{"id":"vm1"}],"backends":[{"name":"e1"}]}`
	for n := range len(whole) {
		if list, _, err := decode([]byte(whole[:n])); err == nil {
			t.Errorf("got %+v and no error from %q", list, whole[:n])
		}
	}
}
