package main

import (
	"errors"
	"net/http"
	"time"
)

// runQuorum replaces a control machine as planned, the new one first, and lets another one lose
// its disk once the new one has had its time.
func runQuorum(s *system, trouble bool) (*verdict, error) {
	if err := s.startAll(3); err != nil {
		return nil, err
	}
	if !s.putAnywhere(1, s.machines, 15*time.Second) {
		return nil, errors.New("the system does not start")
	}
	time.Sleep(2 * time.Second)
	leaving, hit := s.machines[0], s.machines[1]
	successor := s.add()
	successor.seeds = s.seeds()
	if err := successor.start(false); err != nil {
		return nil, err
	}
	successorAt := time.Now()
	if !s.putAnywhere(2, s.machines, 10*time.Second) {
		return nil, errors.New("no change is acknowledged while the successor joins")
	}
	time.Sleep(time.Until(successorAt.Add(catchUp + time.Second)))
	for _, m := range s.machines {
		version, status := m.readBack()
		s.rec.note("%s answers a read with %s, version %d", m, statusText(status), version)
	}
	leaving.stop()
	s.rec.note("%s is removed for good; its successor has run for %.1f s", leaving, time.Since(successorAt).Seconds())
	remaining := s.machines[1:]
	if trouble {
		if err := hit.loseDisk(); err != nil {
			return nil, err
		}
		time.Sleep(2 * time.Second)
		if err := hit.start(false); err != nil {
			return nil, err
		}
	}
	back := time.Now()
	acknowledged := 2
	if s.putAnywhere(3, remaining, 25*time.Second) {
		acknowledged = 3
	}
	time.Sleep(time.Until(back.Add(recoverWithin + contact)))
	return s.readAtEnd(remaining, acknowledged, 10*time.Second), nil
}

// readAtEnd reads the configuration repeatedly at all machines, as the operator does at the end of
// a day.
func (s *system) readAtEnd(machines []*machine, acknowledged int, during time.Duration) *verdict {
	v, came := &verdict{}, false
	for until, round := time.Now().Add(during), 0; time.Now().Before(until); round++ {
		for _, m := range machines {
			version, status := m.readBack()
			if round == 0 || status == http.StatusOK && !came {
				s.rec.note("%s answers a read with %s, version %d", m, statusText(status), version)
			}
			came = came || status == http.StatusOK
			if status == http.StatusOK && version < acknowledged {
				v.breaks("CONFIG: %s read back version %d, but %d was acknowledged", m, version, acknowledged)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !came {
		v.breaks("CONFIG: read back at the end, the configuration does not come: %v of reads at all machines brought no 200; version %d was acknowledged", during, acknowledged)
	}
	return v
}
