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

// Judge counts by itself what reaches all stand-in targets, and knows nothing of parts: of a rate, how far any window went beyond
// it; of connections, how many were ever open at one target.
type TrafficMonitor struct {
	mu       sync.Mutex
	began    time.Time
	limits   map[string]*leakyBucket
	attempts map[string]int // attempts by request
	arrivals [][3]int64     // by tenths of a second: all, repeats, at cold targets
}

// bucket takes what arrives and empties at the rate: its level is the most by which a window that ends now is over it.
type leakyBucket struct {
	rate, level, maxLevel float64
	at                    time.Time
}

func (b *leakyBucket) add(now time.Time, units float64) {
	b.level = max(0, b.level-b.rate*now.Sub(b.at).Seconds()) + units
	b.at, b.maxLevel = now, max(b.maxLevel, b.level)
}

// Targets is the stand-in targets, and the service that lists them.
type Targets struct {
	rig       *Rig
	Monitor   *TrafficMonitor
	All       []*Target
	Discovery string
	OnRequest func(t *Target, request string) // told of each request that reaches a target; nil: nobody asks. Set before any comes
	mu        sync.Mutex
	version   int
	changed   chan struct{}
}

// Target is one stand-in.
type Target struct {
	ID, Addr       string
	Shard          int
	Started        atomic.Int64 // Unix ms; 0: long ago
	FailEvery      atomic.Int64 // answers each so manieth with an error; 0: none
	ServiceTime    atomic.Int64 // ns for each request
	Unhealthy      atomic.Bool  // asked for its health, it says that it is not well
	HealthChecks   atomic.Int64 // how often it was asked for it
	requests       atomic.Int64 // requests, health calls not among them
	failCandidates atomic.Int64
	openConns      atomic.Int64
	maxConns       atomic.Int64
}

// Targets starts n targets, each with a shard of its own. Rates are what the judge holds all of them against, in units a second,
// by the names work, repeat and cold; cold counts for each target alone.
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

// Restarted has the list tell that a target has started at that moment: it is cold.
func (g *Targets) MarkRestarted(t *Target) {
	t.Started.Store(time.Now().UnixMilli())
	g.RepublishList()
}

// Tell has the list told again, as it is.
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
			http.Error(w, "not well", http.StatusServiceUnavailable)
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

// Worst is by how much any window so far was over the rate of that name.
func (j *TrafficMonitor) MaxExcess(name string) float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.limits[name].maxLevel
}

// Rate is what arrived a second, over the last whole tenths of a second: all, repeats, at cold targets.
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

// MostConns is how many connections were ever open at one target at a time.
func (g *Targets) MaxConns() (most int64) {
	for _, t := range g.All {
		most = max(most, t.maxConns.Load())
	}
	return most
}
