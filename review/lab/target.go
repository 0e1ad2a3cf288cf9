//go:build review

package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Arrival is a request at a target.
type Arrival struct {
	ID, Path string
	At       time.Time // when its first byte was there
}

// Target is a storage node that speaks HTTP/1.1.
type Target struct {
	lab      *Lab
	ID, Addr string
	Work     time.Duration // of a request
	// Answer writes the answer to a request; nil: 200 and a small body. It returns false if the connection has to end.
	Answer func(w *bufio.Writer, r *http.Request, body []byte) bool

	mu       sync.Mutex // guards the fields below
	draining bool       // turns away what is new
	arrivals []Arrival
}

// NewTarget starts a target.
func (l *Lab) NewTarget(id string) *Target {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.Must(err, "target")
	t := &Target{lab: l, ID: id, Addr: ln.Addr().String(), Work: 5 * time.Millisecond}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go t.serve(c)
		}
	}()
	return t
}

func (t *Target) serve(c net.Conn) {
	defer c.Close()
	in, out := bufio.NewReader(c), bufio.NewWriter(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		at := time.Now()
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.Header.Get("Request-Id") == "" {
			fmt.Fprint(out, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			if out.Flush() != nil {
				return
			}
			continue
		}
		t.mu.Lock()
		t.arrivals = append(t.arrivals, Arrival{r.Header.Get("Request-Id"), r.URL.Path, at})
		draining, answer := t.draining, t.Answer
		t.mu.Unlock()
		t.lab.Note("%s: request %s %s %s, %d bytes, draining: %v", t.ID, r.Header.Get("Request-Id"), r.Method, r.URL.Path, len(body), draining)
		switch {
		case draining:
			fmt.Fprint(out, "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
		case answer != nil:
			if !answer(out, r, body) {
				_ = out.Flush()
				return
			}
		default:
			time.Sleep(t.Work)
			text := "data of " + r.URL.Path + " for " + r.Header.Get("Request-Id")
			fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nServer-Load: concurrent=1\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
		if out.Flush() != nil {
			return
		}
	}
}

// SetDraining sets whether the target turns away what is new.
func (t *Target) SetDraining(d bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = d
}

// Arrivals returns the requests so far.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.arrivals...)
}

// Entry is a target in discovery's list.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// Entry returns the target's entry.
func (t *Target) Entry(cell int, state string) Entry {
	return Entry{t.ID, t.Addr, "pavillon-a", "node-std", cell, state, 1, 0}
}

// Discovery is the agent on the initiators' machine that has discovery's list.
type Discovery struct {
	lab  *Lab
	Addr string

	mu      sync.Mutex // guards the fields below
	version int
	entries []Entry        // the whole list
	changed map[string]int // version of each entry's last change
	silent  bool
	wake    chan struct{} // closed and replaced at each change
}

// NewDiscovery starts a discovery service with a list.
func (l *Lab) NewDiscovery(version int, entries ...Entry) *Discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.Must(err, "discovery")
	d := &Discovery{lab: l, Addr: ln.Addr().String(), version: version, entries: entries, changed: map[string]int{}, wake: make(chan struct{})}
	for _, e := range entries {
		d.changed[e.ID] = version
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.handle)
	go func() { _ = http.Serve(ln, mux) }()
	return d
}

// List returns the whole list as an initiator may have it as `known`.
func (d *Discovery) List() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]any{"version": d.version, "full": true, "servers": append([]Entry(nil), d.entries...)}
}

// Change replaces or adds entries, as the next version. It returns the time from which it counts as told.
func (d *Discovery) Change(entries ...Entry) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, e := range entries {
		found := false
		for i := range d.entries {
			if d.entries[i].ID == e.ID {
				d.entries[i], found = e, true
			}
		}
		if !found {
			d.entries = append(d.entries, e)
		}
		d.changed[e.ID] = d.version
		d.lab.Note("discovery: version %d: %s is %s", d.version, e.ID, e.State)
	}
	close(d.wake)
	d.wake = make(chan struct{})
	return time.Now()
}

// SetSilent has discovery answer nothing, or answer again.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	d.lab.Note("discovery: silent: %v", silent)
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *Discovery) handle(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	incremental := err == nil
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.After(time.Duration(min(waitMs, 60000)) * time.Millisecond)
	over := !incremental
	for {
		d.mu.Lock()
		wake, silent := d.wake, d.silent
		answer := map[string]any{"version": d.version, "full": !incremental}
		servers := []Entry{}
		for _, e := range d.entries {
			if !incremental && e.State != "DELETED" || incremental && d.changed[e.ID] > after {
				servers = append(servers, e)
			}
		}
		answer["servers"] = servers
		d.mu.Unlock()
		if !silent && (over || len(servers) > 0) {
			d.lab.Note("discovery: answered %s", r.URL.RequestURI())
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
		select {
		case <-wake:
		case <-timer:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
