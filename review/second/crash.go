package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A server answers without a length, and its process is killed while it sends the body.

const (
	bodyHalf    = 400 // bytes
	halfTime    = 400 * time.Millisecond
	crashCalls  = 14 // at a time
	crashRounds = 3
	serverCount = 7
	crashedFor  = 3 * time.Second
	halfSent    = "half of the answer sent"
)

func init() {
	cases["crash"] = crashedServer
	children["engine"] = serveEngine
}

// childSettings are the settings of a server that runs as a process of its own.
type childSettings struct{ ID, Service, Zone string }

// serveEngine runs a server until it is killed. It prints its address, and each attempt of which it has
// sent a half.
func serveEngine(text string) int {
	var c childSettings
	if err := json.Unmarshal([]byte(text), &c); err != nil {
		return exitFailed
	}
	rec := &recorder{began: time.Now(), out: bufio.NewWriter(os.Stderr)}
	e := &engine{ID: c.ID, Service: c.Service, Zone: c.Zone, Slots: 6, Answer: answerWithoutLength}
	if err := (&engines{}).add(rec, e); err != nil {
		return exitFailed
	}
	fmt.Println("address", e.address())
	select {}
}

// wholeBody is the body of the answer to an attempt.
func wholeBody(attempt string) string {
	line := "part of the answer to " + attempt + "; "
	return strings.Repeat(line, 2*bodyHalf/len(line)+1)[:2*bodyHalf]
}

func answerWithoutLength(_ *engine, w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	body := wholeBody(attempt)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n%s: %s\r\n%s: sig\r\n\r\n%s", headerAttempt, attempt, headerSignature, body[:bodyHalf])
	fmt.Println(halfSent, attempt)
	time.Sleep(halfTime)
	_, _ = conn.Write([]byte(body[bodyHalf:]))
	fmt.Println("whole answer sent", attempt)
}

// child is a server that runs as a process of its own.
type child struct {
	row    instance
	cmd    *exec.Cmd
	halves chan string // attempts of which a half was sent
}

func startChild(rec *recorder, id, zone string) (*child, error) {
	settings, err := json.Marshal(childSettings{id, "desk", zone})
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{cmd: exec.Command(self, "engine", string(settings)), halves: make(chan string, 100)}
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := c.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("server %s did not start", id)
	}
	addr := strings.TrimPrefix(lines.Text(), "address ")
	c.row = instance{ID: id, Service: "desk", Addr: addr, Zone: zone, Version: "v1", Slots: 6, State: "ready", Born: time.Now().UnixMilli()}
	rec.note(id, "started at %s", addr)
	go func() {
		for lines.Scan() {
			rec.note(id, "%s", lines.Text())
			if attempt, ok := strings.CutPrefix(lines.Text(), halfSent+" "); ok {
				c.halves <- attempt
			}
		}
	}()
	return c, nil
}

func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

func crashedServer(r *run) (verdict, error) {
	p, err := startPlatform()
	if err != nil {
		return verdict{}, err
	}
	var servers []*child
	defer func() {
		for _, c := range servers {
			c.kill()
		}
	}()
	rows := []instance{}
	for i := range serverCount {
		c, err := startChild(r.record, fmt.Sprint("i-desk", i), zones[i%len(zones)])
		if err != nil {
			return verdict{}, err
		}
		servers, rows = append(servers, c), append(rows, c.row)
	}
	p.set(rows)
	s, err := startSystem(r.record, p, configuration(7, []map[string]any{callService("desk")}, []map[string]any{route("r-parts", "/parts/", "idempotent", "desk", 3000, 1500)}))
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(contactMS * time.Millisecond)
	cut, whole, failed := 0, 0, 0
	for round := range crashRounds {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range crashCalls {
			wg.Go(func() {
				q := &request{front: s.machines[i%machineSum].front, method: http.MethodGet, path: fmt.Sprintf("/parts/%d-%d", round, i), attempt: fmt.Sprintf("c%d-%d", round, i), deadline: 3 * time.Second}
				a := q.do()
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.err != nil || a.status != http.StatusOK:
					failed++
				case a.body != wholeBody(q.attempt):
					cut++
				default:
					whole++
				}
				r.record.note("client", "%s: status %d, signed %t, %d of %d bytes, error %v", q.attempt, a.status, a.signed, len(a.body), 2*bodyHalf, a.err)
			})
		}
		victim := servers[round]
		select {
		case attempt := <-victim.halves:
			if r.trouble {
				time.Sleep(halfTime / 4)
				victim.kill()
				r.record.note(victim.row.ID, "killed while it sent the answer to %s", attempt)
			}
		case <-time.After(2 * time.Second):
			r.record.note("case", "server %s got no request in this round", victim.row.ID)
		}
		wg.Wait()
		time.Sleep(crashedFor)
		if r.trouble {
			c, err := startChild(r.record, fmt.Sprintf("i-desk%d-again", round), victim.row.Zone)
			if err != nil {
				return verdict{}, err
			}
			servers[round], rows[round] = c, c.row
			p.set(append([]instance(nil), rows...))
		}
		time.Sleep(contactMS * time.Millisecond)
	}
	return verdict{cut > 0, fmt.Sprintf("%d successes with a part of the body, %d with the whole body, %d other answers", cut, whole, failed)}, nil
}
