package main

import (
	"syscall"
	"time"
)

// runFirstStart is a finding beside the three cases. It kills the first control machine 150 ms after
// its first start, before the group is formed, and starts it again.
func runFirstStart(s *system, trouble bool) (*verdict, error) {
	for range 3 {
		s.add()
	}
	for i, m := range s.machines {
		m.seeds = s.seeds()
		if i == 1 && trouble {
			time.Sleep(150 * time.Millisecond)
			s.rec.note("%s is killed", s.machines[0])
			s.machines[0].signal(syscall.SIGKILL)
			s.machines[0].ended(time.Second)
			time.Sleep(100 * time.Millisecond)
		}
		if err := m.start(true); err != nil {
			return nil, err
		}
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		if err := s.machines[0].start(false); err != nil {
			return nil, err
		}
	}
	v := &verdict{}
	if !s.putAnywhere(1, s.machines, 30*time.Second) {
		v.breaks("Fault: no configuration is acknowledged within 30 s, and no request can be served")
	}
	return v, nil
}
