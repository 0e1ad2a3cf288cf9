package faults

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// TrafficMonitor counts what reaches all stand-in targets, independently of how quotas are allocated: by how much any
// window exceeded a rate limit, and how many connections were ever open at one target. mu guards the fields below it.
type TrafficMonitor struct {
	mu       sync.Mutex
	began    time.Time
	limits   map[string]*leakyBucket
	attempts map[string]int // attempts by request ID
	arrivals [][3]int64     // by tenths of a second: all, retries, at cold targets
}

// leakyBucket fills with arrivals and drains at the rate. Its level is the most by which a window that ends now exceeds
// the rate.
type leakyBucket struct {
	rate, level, maxLevel float64
	at                    time.Time
}

func (b *leakyBucket) add(now time.Time, units float64) {
	b.level = max(0, b.level-b.rate*now.Sub(b.at).Seconds()) + units
	b.at, b.maxLevel = now, max(b.maxLevel, b.level)
}

// Targets is the stand-in targets and the discovery service that lists them. mu guards version and changed.
type Targets struct {
	rig       *Rig
	Monitor   *TrafficMonitor
	All       []*Target
	Discovery string
	OnRequest func(t *Target, request string) // called for each request that reaches a target; may be nil; set before any request
	mu        sync.Mutex
	version   int
	changed   chan struct{}
}

// Target is one stand-in target. IDs start with t.
type Target struct {
	ID, Addr       string
	Shard          int
	Started        atomic.Int64 // start time in Unix ms; 0: long ago
	FailEvery      atomic.Int64 // fails every n-th request; 0: none
	ServiceTime    atomic.Int64 // ns for each request
	Unhealthy      atomic.Bool  // health checks fail
	HealthChecks   atomic.Int64 // health checks received
	requests       atomic.Int64 // requests without health checks
	failCandidates atomic.Int64
	openConns      atomic.Int64
	maxConns       atomic.Int64
}

// StartTargets starts n targets, each with a shard of its own. rates are the limits that the monitor holds all of them
// together to, in units a second, under the names work, repeat and cold; cold applies to each target alone.
func (r *Rig) StartTargets(n int, rates map[string]float64) *Targets {
	g := &Targets{rig: r, version: 1, changed: make(chan struct{}),
		Monitor: &TrafficMonitor{began: time.Now(), limits: map[string]*leakyBucket{}, attempts: map[string]int{}}}
	for name, rate := range rates {
		if name == "cold" {
			for i := range n {
				g.Monitor.limits[fmt.Sprint("cold.t", i)] = &leakyBucket{rate: rate}
			}
			continue
		}
		g.Monitor.limits[name] = &leakyBucket{rate: rate}
	}
	for i := range n {
		t := &Target{ID: fmt.Sprint("t", i), Shard: i}
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { g.serve(t, w, q) }))
		s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				n := t.openConns.Add(1)
				for most := t.maxConns.Load(); n > most && !t.maxConns.CompareAndSwap(most, n); most = t.maxConns.Load() {
				}
			case http.StateClosed, http.StateHijacked:
				t.openConns.Add(-1)
			}
		}
		s.Start()
		r.T.Cleanup(s.Close)
		t.Addr = strings.TrimPrefix(s.URL, "http://")
		g.All = append(g.All, t)
	}
	list := httptest.NewServer(http.HandlerFunc(g.serveList))
	r.T.Cleanup(func() {
		list.CloseClientConnections()
		list.Close()
	})
	g.Discovery = strings.TrimPrefix(list.URL, "http://")
	return g
}

func (g *Targets) serveList(w http.ResponseWriter, q *http.Request) {
	g.mu.Lock()
	version, changed := g.version, g.changed
	g.mu.Unlock()
	if q.URL.Query().Get("after") == fmt.Sprint(version) {
		select {
		case <-q.Context().Done():
			return
		case <-changed:
		}
		g.mu.Lock()
		version = g.version
		g.mu.Unlock()
	}
	var all []string
	for _, t := range g.All {
		all = append(all, fmt.Sprintf(`{"id":%q,"addr":%q,"cell":%d,"state":"SERVING","started_ms":%d}`, t.ID, t.Addr, t.Shard, t.Started.Load()))
	}
	fmt.Fprintf(w, `{"version":%d,"full":true,"servers":[%s]}`, version, strings.Join(all, ","))
}

// MarkRestarted publishes that a target has started now: it is cold.
func (g *Targets) MarkRestarted(t *Target) {
	t.Started.Store(time.Now().UnixMilli())
	g.RepublishList()
}

// RepublishList publishes the list again under a new version.
func (g *Targets) RepublishList() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version++
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Targets) serve(t *Target, w http.ResponseWriter, q *http.Request) {
	now, j := time.Now(), g.Monitor
	if q.URL.Path == "/-/healthy" {
		t.HealthChecks.Add(1)
		if t.Unhealthy.Load() {
			http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		}
		return
	}
	t.requests.Add(1)
	if g.OnRequest != nil {
		g.OnRequest(t, q.Header.Get("Request-Id"))
	}
	cold := t.Started.Load() > 0
	j.mu.Lock()
	id := q.Header.Get("Request-Id")
	j.attempts[id]++
	repeat := j.attempts[id] > 1
	at := int(now.Sub(j.began) / (100 * time.Millisecond))
	for len(j.arrivals) <= at {
		j.arrivals = append(j.arrivals, [3]int64{})
	}
	for i, x := range []struct {
		name string
		is   bool
	}{{"work", true}, {"repeat", repeat}, {"cold." + t.ID, cold}} {
		if !x.is {
			continue
		}
		j.arrivals[at][i]++
		if b := j.limits[x.name]; b != nil {
			b.add(now, 1)
		}
	}
	j.mu.Unlock()
	time.Sleep(time.Duration(t.ServiceTime.Load()))
	if n := t.FailEvery.Load(); n > 0 && t.failCandidates.Add(1)%n == 0 {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	fmt.Fprint(w, "done")
}

// MaxExcess returns the most by which any window so far exceeded the limit of that name.
func (j *TrafficMonitor) MaxExcess(name string) float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.limits[name].maxLevel
}

// Rate returns the arrivals a second over the last whole tenths of a second: all, retries, at cold targets.
func (j *TrafficMonitor) Rate(over time.Duration) (rate [3]float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	to := int(time.Since(j.began) / (100 * time.Millisecond))
	from := max(0, to-int(over/(100*time.Millisecond)))
	for at := from; at < min(to, len(j.arrivals)); at++ {
		for i, n := range j.arrivals[at] {
			rate[i] += float64(n) / over.Seconds()
		}
	}
	return rate
}

// MaxConns returns the most connections that were ever open at one target at a time.
func (g *Targets) MaxConns() (most int64) {
	for _, t := range g.All {
		most = max(most, t.maxConns.Load())
	}
	return most
}
