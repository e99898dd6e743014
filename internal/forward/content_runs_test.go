package forward

import (
	"testing"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/upstream"
)

// Guards against harmless content that is blamed for a server that had died before it was
// sent there, and against a death that is blamed on nobody, since the run was given up.
func TestRunsThatMayHaveCausedADeath(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name          string
		prepare       func(c *contentRuns, s *upstream.Server)
		abandonedOnly bool
		after         time.Duration
		blamed        int
	}{
		{"in flight", func(c *contentRuns, s *upstream.Server) { c.begin(s, 7, false) }, false, 0, 1},
		{"in flight, on hearsay", func(c *contentRuns, s *upstream.Server) { c.begin(s, 7, false) }, true, 0, 0},
		{"given up, on hearsay", func(c *contentRuns, s *upstream.Server) { c.abandon(c.begin(s, 7, false), now) }, true, time.Second, 1},
		{"given up long before", func(c *contentRuns, s *upstream.Server) { c.abandon(c.begin(s, 7, false), now) }, false, 3 * time.Second, 0},
		{"answered", func(c *contentRuns, s *upstream.Server) { c.forget(c.begin(s, 7, false)) }, false, 0, 0},
		{"sent after the death", func(c *contentRuns, s *upstream.Server) {
			c.take(s.ID, false, now)
			c.begin(s, 7, false)
		}, false, 0, 0},
		{"sent after the server was heard again", func(c *contentRuns, s *upstream.Server) {
			c.take(s.ID, false, now)
			c.heard(s)
			c.begin(s, 7, false)
		}, false, 0, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, s := newContentRuns(), &upstream.Server{Backend: upstream.Backend{ID: "s"}}
			tt.prepare(&c, s)
			if got := len(c.take("s", tt.abandonedOnly, now.Add(tt.after))); got != tt.blamed {
				t.Errorf("got %d runs blamed, want %d", got, tt.blamed)
			}
		})
	}
}
