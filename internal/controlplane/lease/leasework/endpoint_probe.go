package leasework

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/process/failpoint"
	"spindlehitch/internal/process/monotone"
)

// ConnectionQuota counts connections at targets (internal/controlplane/quota/quotasession).
type ConnectionQuota interface {
	Open(target string) bool
	Close(target string)
}

// EndpointProbe tries targets that are avoided, for the whole fleet. A target can't check a token: each try is looked at just before it is made, and
// carries the lease for the target's log.
type EndpointProbe struct {
	Connections   ConnectionQuota // of connections; nil: none is kept
	DialTimeout   time.Duration   // a connection is there within
	AnswerTimeout time.Duration   // and an answer

	mu     sync.Mutex
	addrs  map[string]string
	runner *Runner
}

// Attach is the runner that is told what was found.
func (p *EndpointProbe) Attach(r *Runner) { p.runner = r }

// SetTargets takes over where targets are.
func (p *EndpointProbe) SetTargets(addrs map[string]string, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if whole || p.addrs == nil {
		p.addrs = map[string]string{}
	}
	for id, addr := range addrs {
		if addr == "" {
			delete(p.addrs, id)
			continue
		}
		p.addrs[id] = addr
	}
}

// Run implements Job: each target of the shard that somebody avoids is tried once, one after the other.
func (p *EndpointProbe) Run(ctx context.Context, a *Operation) error {
	for _, target := range p.runner.targetsOf(a) {
		p.mu.Lock()
		addr := p.addrs[target]
		p.mu.Unlock()
		if addr == "" {
			continue // not on this member's list: it is gone, or not there yet
		}
		if p.Connections != nil && !p.Connections.Open(target) {
			continue // the fleet has no connection left there
		}
		if !a.MayProceed() {
			if p.Connections != nil {
				p.Connections.Close(target)
			}
			return errExpired
		}
		failpoint.Hit("probe.checked")
		began := monotone.Now()
		well := p.probe(ctx, a, addr)
		if p.Connections != nil {
			p.Connections.Close(target)
		}
		if ctx.Err() != nil {
			return errExpired // the act's end, not the target's silence
		}
		p.runner.addResult(lease.ProbeResult{Task: a.Key.Task, Target: target, Token: a.Token, Healthy: well, LatencyUs: (monotone.Now() - began).Microseconds()})
	}
	return nil
}

// probe asks a target for its health, on a connection of its own, and tells whether it answered 200 in time.
func (p *EndpointProbe) probe(ctx context.Context, a *Operation, addr string) bool {
	ctx, done := context.WithTimeout(ctx, p.AnswerTimeout)
	defer done()
	t := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: p.DialTimeout}).DialContext}
	defer t.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+a.Task.ProbePath, nil)
	if err != nil {
		return false
	}
	req.Header.Set("Fleet-Lease", fmt.Sprintf("%s/%d/%d", a.Key.Task, a.Shard, a.Token))
	resp, err := t.RoundTrip(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
