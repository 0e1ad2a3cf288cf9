//go:build review

package lab

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is a client's request.
type Request struct {
	Class, Plan, Volume string
	Shard               int
	Timeout             time.Duration
	Body                []byte // a write, if there is one
	Key                 string // 16 hex digits; empty: random
}

// Reply is what the client got. Status 0: no whole answer.
type Reply struct {
	ID     string
	Status int
	Body   []byte
	Err    error
	Took   time.Duration
}

// NewID returns a new random id of 16 hex digits.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// NewRequest makes a request as clients send it.
func NewRequest(ctx context.Context, addr string, q Request) (*http.Request, string) {
	method := http.MethodGet
	if q.Body != nil {
		method = http.MethodPut
	}
	key, id := q.Key, NewID()
	if key == "" {
		key = NewID()
	}
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+q.Class+"/"+key, bytes.NewReader(q.Body))
	r.Header.Set("Request-Id", id)
	r.Header.Set("Tier", q.Plan)
	r.Header.Set("Request-Timeout-Ms", fmt.Sprint(q.Timeout.Milliseconds()))
	r.Header.Set("IO-Info", fmt.Sprintf("volume=%s,units=2,shard=%d,hosts=1", q.Volume, q.Shard))
	return r, id
}

// Send sends a request on a connection of its own, and waits half a second longer than its time for the answer.
func (l *Lab) Send(addr string, q Request) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout+500*time.Millisecond)
	defer cancel()
	r, id := NewRequest(ctx, addr, q)
	r.Close = true
	t := http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}
	began := time.Now()
	reply := Reply{ID: id}
	resp, err := t.RoundTrip(r)
	if err == nil {
		reply.Body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			reply.Status = resp.StatusCode
		}
	}
	reply.Err, reply.Took = err, time.Since(began)
	l.Note("client: %s %s to %s, plan %s: status %d, %v, after %v", q.Class, id, addr, q.Plan, reply.Status, err, reply.Took.Round(time.Millisecond))
	return reply
}

// Get fetches a page and returns its status; 0: no answer.
func Get(url string) (status int, body string) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(url)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// WaitReady waits until an initiator answers 200 to /-/ready.
func (l *Lab) WaitReady(addr string, within time.Duration) {
	l.Must(Wait(within, func() bool {
		status, _ := Get("http://" + addr + "/-/ready")
		return status == http.StatusOK
	}), addr+" ready")
	l.Note("%s is ready", addr)
}
