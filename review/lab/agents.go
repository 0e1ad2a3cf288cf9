//go:build review

package lab

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Link passes connections on from one process to another. While it is cut, nothing passes and nothing is told: open connections stay
// open and silent, new ones never come up.
type Link struct {
	Addr string
	to   string

	mu   sync.Mutex
	cut  chan struct{} // closed when the link passes again; nil: it passes
	lose bool          // answers are dropped
}

// NewLink starts a link to an address.
func (l *Lab) NewLink(to string) *Link {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.Must(err, "link")
	k := &Link{Addr: ln.Addr().String(), to: to}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go k.pass(c)
		}
	}()
	return k
}

func (k *Link) pass(c net.Conn) {
	defer c.Close()
	k.wait()
	o, err := net.DialTimeout("tcp", k.to, time.Second)
	if err != nil {
		return
	}
	defer o.Close()
	done := make(chan struct{}, 2)
	copyTo := func(dst, src net.Conn) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, 32<<10)
		for {
			n, err := src.Read(b)
			k.wait()
			if n > 0 && !(src == o && k.losesReplies()) {
				if _, werr := dst.Write(b[:n]); werr != nil {
					return
				}
			}
			if err != nil {
				if err == io.EOF {
					_ = dst.(*net.TCPConn).CloseWrite()
				}
				return
			}
		}
	}
	go copyTo(o, c)
	go copyTo(c, o)
	<-done
	<-done
}

// wait waits while the link is cut.
func (k *Link) wait() {
	k.mu.Lock()
	cut := k.cut
	k.mu.Unlock()
	if cut != nil {
		<-cut
	}
}

// LoseReplies has the link drop what comes back, or pass it again.
func (k *Link) LoseReplies(lose bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lose = lose
}

func (k *Link) losesReplies() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lose
}

// SetCut cuts the link or has it pass again.
func (k *Link) SetCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case cut && k.cut == nil:
		k.cut = make(chan struct{})
	case !cut && k.cut != nil:
		close(k.cut)
		k.cut = nil
	}
}

// Agents are a group of agents whose ways to each other can be cut.
type Agents struct {
	lab   *Lab
	Procs []*Proc
	API   []string // where operators and instances call them
	Files []string
	links map[[2]int][]*Link // between two agents, for both directions
}

// StartAgents starts a group of n agents, with a folder each.
func (l *Lab) StartAgents(n int) *Agents {
	a := &Agents{lab: l, links: map[[2]int][]*Link{}}
	var raft []string
	for range n {
		raft, a.API = append(raft, l.FreeAddr()), append(a.API, l.FreeAddr())
	}
	for i := range n {
		text := fmt.Sprintf("[agent]\nid = \"agent-%d\"\ndir = \"%s/agent-%d.data\"\n", i+1, l.Dir, i+1)
		for j := range n {
			r, api := raft[j], a.API[j]
			if j != i {
				pair := [2]int{min(i, j), max(i, j)}
				rl, al := l.NewLink(r), l.NewLink(api)
				a.links[pair] = append(a.links[pair], rl, al)
				r, api = rl.Addr, al.Addr
			}
			text += fmt.Sprintf("\n[[agent.peer]]\nid = \"agent-%d\"\nraft = \"%s\"\napi = \"%s\"\n", j+1, r, api)
		}
		a.Files = append(a.Files, l.File(fmt.Sprintf("agent-%d.toml", i+1), text))
	}
	for i := range n {
		a.Procs = append(a.Procs, nil)
		a.Start(i)
	}
	l.Must(Wait(15*time.Second, func() bool {
		out, err := l.Run("bin/spindlehitch config list --agents " + a.List())
		return err == nil && !strings.Contains(out, "rror")
	}), "agents lead")
	return a
}

// Start starts one agent, for the first time or again.
func (a *Agents) Start(i int) {
	a.Procs[i] = a.lab.Start(fmt.Sprintf("agent-%d", i+1), "exec bin/spindlehitch agent --operator "+a.Files[i])
}

// List returns the agents' addresses, the one with this index first.
func (a *Agents) List(first ...int) string {
	f := 0
	if len(first) > 0 {
		f = first[0]
	}
	return strings.Join(append(append([]string(nil), a.API[f:]...), a.API[:f]...), ",")
}

// Isolate cuts an agent off from the others, or connects it again. Operators and instances still reach it.
func (a *Agents) Isolate(i int, cut bool) {
	a.lab.Note("agent-%d cut off from the other agents: %v", i+1, cut)
	for pair, links := range a.links {
		if pair[0] == i || pair[1] == i {
			for _, k := range links {
				k.SetCut(cut)
			}
		}
	}
}
