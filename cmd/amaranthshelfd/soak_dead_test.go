package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"time"
)

// logResolution is that of the times of log lines.
const logResolution = time.Millisecond

// routerLogLine holds the fields of a router's log line that checkDeadServers uses.
type routerLogLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Server  string    `json:"server"`
	Request string    `json:"request"`
	Sent    string    `json:"sent"`
	HeldMS  float64   `json:"held"`
}

// checkDeadServers fails the test if a call ended with an unknown outcome at a server that its
// router had judged dead before the call came, and not heard since.
func (s *soakSystem) checkDeadServers() {
	for _, p := range s.processes[soakControls:] {
		text, err := os.ReadFile(filepath.Join(s.dir, p.name+".log"))
		if err != nil {
			s.t.Error(err)
			continue
		}
		dead := map[string]time.Time{}
		lines := bufio.NewScanner(bytes.NewReader(text))
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var l routerLogLine
			if json.Unmarshal(lines.Bytes(), &l) != nil {
				continue // a line that a killed process left incomplete
			}
			switch l.Message {
			case "started":
				clear(dead)
			case "server judged dead":
				dead[l.Server] = l.Time
			case "server judged dead answers again":
				delete(dead, l.Server)
			case "call sent":
				s.checkCallSent(p.name, &l, dead)
			}
		}
		if err := lines.Err(); err != nil {
			s.t.Error(err)
		}
	}
}

func (s *soakSystem) checkCallSent(router string, l *routerLogLine, dead map[string]time.Time) {
	at, isDead := dead[l.Server]
	arrived := l.Time.Add(-time.Duration(l.HeldMS * float64(time.Millisecond)))
	if isDead && l.Sent == "unknown" && arrived.After(at.Add(logResolution)) {
		s.t.Errorf("%s sent call %s to %s %v after it had judged the server dead, and its outcome is unknown", router, l.Request, l.Server, arrived.Sub(at))
	}
}
