package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// proxy passes connections on to an engine. The path of one process to it can be cut: what that
// process sends does not arrive, and it gets nothing.
type proxy struct {
	address, target string

	mu      sync.Mutex
	cut     map[int]bool   // process ids
	changed chan struct{}  // closed with each change of cut
	owners  map[string]int // process ids, by the proxy's own address towards the engine
}

func startProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, cut: map[int]bool{}, changed: make(chan struct{}), owners: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// setCut cuts the path of a process, or joins it again.
func (p *proxy) setCut(pid int, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[pid] = cut
	close(p.changed)
	p.changed = make(chan struct{})
}

// waitOpen waits while the path of a process is cut.
func (p *proxy) waitOpen(pid int) {
	for {
		p.mu.Lock()
		cut, changed := p.cut[pid], p.changed
		p.mu.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

// owner returns the process whose requests the proxy passes on from an address; 0: not known.
func (p *proxy) owner(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owners[address]
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	pid := 0
	if len(candidates()) > 0 {
		if pid = ownerOf(c); pid == 0 {
			return
		}
	}
	p.waitOpen(pid)
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	p.mu.Lock()
	p.owners[up.LocalAddr().String()] = pid
	p.mu.Unlock()
	ended := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			p.waitOpen(pid)
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		ended <- struct{}{}
	}
	go pass(up, c)
	go pass(c, up)
	<-ended
}

// candidates returns the process ids that may own connections. A case that cuts paths sets it.
var candidates = func() []int { return nil }

// ownerOf returns which of the case's own processes opened a connection; 0: none of them.
func ownerOf(c net.Conn) int {
	for range 40 {
		if inode := inodeOf(c); inode != "" {
			for _, pid := range candidates() {
				if ownsSocket(pid, inode) {
					return pid
				}
			}
		}
		time.Sleep(3 * time.Millisecond)
	}
	return 0
}

// inodeOf returns the inode of the far end of a connection over loopback addresses.
func inodeOf(c net.Conn) string {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return ""
	}
	ip := remote.IP.To4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], remote.Port)
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == want {
			return fields[9]
		}
	}
	return ""
}

func ownsSocket(pid int, inode string) bool {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	names, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, name := range names {
		if to, err := os.Readlink(filepath.Join(dir, name.Name())); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
