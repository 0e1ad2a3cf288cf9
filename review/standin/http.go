//go:build review

package standin

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

// Settings are the settings of a small deployment, with the names and figures of the operators' pages.
func Settings(initiators int, plans ...string) string {
	var contracts []map[string]any
	for _, name := range plans {
		contracts = append(contracts, map[string]any{"ceilingRate": 0.0, "limitBurst": 0.0, "name": name, "parts": 3.0, "pays": 0.9, "reservation": 130.0, "tolerance": 0.0, "usualRate": 130.0})
	}
	text, _ := json.Marshal(contracts)
	return fmt.Sprintf(`{"classes": [
 {"deadlineUs": 750000, "effect": "pure", "group": "all", "lateWorth": 0.1, "name": "position-read", "promiseUs": 150000, "streaming": false, "windowUs": 5000000, "worth": 3.0},
 {"deadlineUs": 1200000, "effect": "side_effect", "group": "all", "lateWorth": 0.1, "name": "event-write", "promiseUs": 200000, "streaming": false, "windowUs": 5000000, "worth": 2.0},
 {"deadlineUs": 2500000, "effect": "pure", "group": "all", "lateWorth": 0.2, "name": "history-export", "promiseUs": 750000, "streaming": false, "windowUs": 5000000, "worth": 1.0}],
 "clients": {"marksRetry": false}, "contracts": %s, "domainType": "stores",
 "extra": {"coldBears": 41.0, "countsOthers": false, "fairWorth": 0.4, "idleWorth": 0.05, "largest": 8, "meanUnits": 2.13, "meteringUs": 500000, "nShards": 2, "writes": [false, true, false]},
 "goal": {"whole": 0.75, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.15}, "index": 0, "kinds": ["node-std", "node-slow"],
 "limits": {"cancelling": true, "connIdleUs": 30000000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 300000, "dialTimeoutUs": 250000, "maxRetryAfterUs": 1000000, "mostHeld": 20000, "parallelTries": false, "peers": false, "probes": true, "retryAfter": true, "sendCap": 3, "streamsPerConn": 100},
 "localities": ["pavillon-a", "pavillon-b"], "myZone": "pavillon-b", "peersTotal": %d,
 "prices": {"connection": 0.0, "crossZone": 0.0, "handshake": 0.0, "lateFail": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.008, "probe": 0.0086, "registryMode": 0.0, "waste": 0.039},
 "registryMode": "pushed", "report": {"fields": ["concurrent"], "how": "answers"},
 "rules": {"answerSlackUs": 8000, "askWithinUs": 10000000, "coldShare": 0.18, "drainGraceUs": 2000000, "fallUs": 3000000, "tipMultiple": 4.0, "warmWithinUs": 17000000},
 "stage": 0, "tickUs": 2000, "tiers": ["tracker-store"], "weightKind": "nominal"}`, text, initiators)
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

// Discovery is the agent on the initiator's machine that has discovery's list.
type Discovery struct {
	Addr    string
	mu      sync.Mutex
	version int
	entries []Entry
}

// Discovery starts a discovery service with these targets.
func (c *Case) Discovery(entries ...Entry) *Discovery {
	d := &Discovery{version: 41, entries: entries}
	l, err := net.Listen("tcp", c.FreeAddrs(1)[0])
	c.Must(err)
	d.Addr = l.Addr().String()
	go func() { _ = http.Serve(l, d) }()
	return d
}

// ServeHTTP serves GET /api/targets. The list does not change, so a watch is answered with no entries once its wait is over.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	version, entries := d.version, d.entries
	d.mu.Unlock()
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	watch := err == nil && after == version
	if watch {
		ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(min(ms, 60_000)) * time.Millisecond):
		}
		entries = []Entry{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"version": version, "full": !watch, "servers": entries})
}

// Request is one request of a client.
type Request struct {
	Method, Class, Key, ID, Plan, Volume string
	Units, Shard, TimeoutMs              int
	Body                                 string
}

// Conn is a client's connection.
type Conn struct {
	net.Conn
	in *bufio.Reader
}

// Dial opens a client's connection.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c, bufio.NewReader(c)}, nil
}

// Do sends a request and reads the answer; a status of 0 means that there was none, and an error with another status that it was cut off.
func (c *Conn) Do(q Request) (status int, body string, err error) {
	head := fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %s\r\nTier: %s\r\nRequest-Timeout-Ms: %d\r\nIO-Info: volume=%s,units=%d,shard=%d,hosts=1\r\n",
		q.Method, q.Class, q.Key, q.ID, q.Plan, q.TimeoutMs, q.Volume, q.Units, q.Shard)
	if q.Method == "PUT" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	if _, err := io.WriteString(c, head+"\r\n"+q.Body); err != nil {
		return 0, "", err
	}
	c.SetReadDeadline(time.Now().Add(time.Duration(q.TimeoutMs)*time.Millisecond + 500*time.Millisecond))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// StatusOf returns the status of a GET on a new connection; 0 without an answer.
func StatusOf(url string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
