package forward

import (
	"slices"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/recovery"
)

// The failure pattern is the silence of sound servers. For a second or so they answer no probe
// and are judged dead, and the contents that ran there are blamed. Two such silences would have
// a harmless content sent one at a time for hours, or refused.
//
// A death that rests on silence is therefore doubtful. The contents are blamed at once, since one
// that crashes its servers must not reach the next. The death is withdrawn when the server
// answers again soon, or when this VM proves to be cut off from all servers of the service. A
// server that has crashed may be back as soon, but it has broken its connections, or refuses new
// ones meanwhile: then the death is certain.

// maxSoundSilence is how long after its death a server that answers was only silent. One that
// crashed without breaking a connection takes longer to start again.
const maxSoundSilence = 2 * time.Second

// doubtfulDeathTime is how long a doubtful death is remembered. VMs tell each other of it
// meanwhile.
const doubtfulDeathTime = 5 * time.Second

// doubtfulDeath is the death of a server, under a content, that is not certain.
type doubtfulDeath struct {
	run   *contentRun
	at    time.Time
	alive bool // the server has answered since
}

// confirmDeath records that the death of a server is certain.
func (s *SuspectContents) confirmDeath(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirm(server)
}

// confirm is confirmDeath and needs s.mu.
func (s *SuspectContents) confirm(server string) {
	s.doubtful = slices.DeleteFunc(s.doubtful, func(d doubtfulDeath) bool { return d.run.server.ID == server && !d.alive })
}

// withdraw takes back the doubtful deaths of a server that answers, and reports whether other VMs
// must know at once. It needs s.mu.
func (s *SuspectContents) withdraw(server string, now time.Time) (urgent bool) {
	if len(s.doubtful) == 0 {
		return false
	}
	s.doubtful = slices.DeleteFunc(s.doubtful, func(d doubtfulDeath) bool { return now.Sub(d.at) > doubtfulDeathTime })
	digests := map[uint64]bool{}
	for i := range s.doubtful {
		d := &s.doubtful[i]
		if d.run.server.ID != server || d.alive || now.Sub(d.at) > maxSoundSilence {
			continue
		}
		d.alive = true
		s.runs.restore(d.run)
		digests[d.run.digest] = true
	}
	for digest := range digests {
		urgent = s.withdrawFrom(digest, now) || urgent
	}
	return urgent
}

// withdrawFrom takes back the deaths under a content whose servers answer. It needs s.mu.
func (s *SuspectContents) withdrawFrom(digest uint64, now time.Time) (urgent bool) {
	before, _ := s.contents.Standing(digest, now)
	deaths := s.contents.Withdraw(digest, func(d recovery.ContentDeath) bool { return s.isWithdrawn(digest, d.Server) }, now)
	if deaths == 0 {
		return false
	}
	s.observed[digest] = now
	s.log.Info().Uint64("digest", digest).Int("deaths", deaths).Msg("content cleared: its servers were only silent")
	return before >= recovery.ContentOnTrial
}

// isWithdrawn reports whether a server that was taken for dead under a content has answered since.
// It needs s.mu.
func (s *SuspectContents) isWithdrawn(digest uint64, server string) bool {
	known := false
	for _, d := range s.doubtful {
		if d.run.digest != digest || d.run.server.ID != server {
			continue
		}
		if !d.alive {
			return false
		}
		known = true
	}
	return known
}

// doubtEnds returns when the deaths under a content will be certain; zero: they are.
func (s *SuspectContents) doubtEnds(digest uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, ends := time.Now(), time.Time{}
	for _, d := range s.doubtful {
		certain := d.at.Add(maxSoundSilence)
		if d.run.digest == digest && !d.alive && now.Before(certain) && certain.After(ends) {
			ends = certain
		}
	}
	return ends
}

// WithdrawSilences takes back the doubtful deaths of a service's servers. This VM is cut off from
// them, and other VMs reach them: their silence says nothing of the contents that ran there.
func (s *SuspectContents) WithdrawSilences(service string) {
	s.mu.Lock()
	now, urgent, digests := time.Now(), false, map[uint64]bool{}
	for i := range s.doubtful {
		d := &s.doubtful[i]
		if d.run.server.Service == service && !d.alive && now.Sub(d.at) <= doubtfulDeathTime {
			d.alive = true
			digests[d.run.digest] = true
		}
	}
	for digest := range digests {
		urgent = s.withdrawFrom(digest, now) || urgent
	}
	s.mu.Unlock()
	if urgent && s.Changed != nil {
		s.Changed()
	}
}
