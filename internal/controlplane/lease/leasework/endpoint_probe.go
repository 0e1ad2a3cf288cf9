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

// ConnectionQuota counts connections at targets against the fleet's quota (package quotasession).
type ConnectionQuota interface {
	Open(target string) bool
	Close(target string)
}

// EndpointProbe probes ejected targets on behalf of the fleet. A target cannot check a fencing token,
// so each probe is checked right before it is made, and carries the lease for the target's log.
type EndpointProbe struct {
	Connections   ConnectionQuota // nil: no quota applies
	DialTimeout   time.Duration
	AnswerTimeout time.Duration // including the connection

	mu     sync.Mutex
	addrs  map[string]string
	runner *Runner
}

// SetRunner sets the runner that gets the results.
func (p *EndpointProbe) SetRunner(r *Runner) { p.runner = r }

// SetTargets updates the addresses of the targets; an empty address removes a target. full replaces
// all.
func (p *EndpointProbe) SetTargets(addrs map[string]string, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if full || p.addrs == nil {
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

// Run implements Job: each ejected target of the shard is probed once, one after the other.
func (p *EndpointProbe) Run(ctx context.Context, op *Operation) error {
	for _, target := range p.runner.targetsOf(op) {
		p.mu.Lock()
		addr := p.addrs[target]
		p.mu.Unlock()
		if addr == "" {
			continue // not on this instance's list: it is gone, or not known yet
		}
		if p.Connections != nil && !p.Connections.Open(target) {
			continue // the quota allows no further connection there
		}
		if !op.MayProceed() {
			if p.Connections != nil {
				p.Connections.Close(target)
			}
			return errExpired
		}
		failpoint.Hit("probe.checked")
		began := monotone.Now()
		well := p.probe(ctx, op, addr)
		if p.Connections != nil {
			p.Connections.Close(target)
		}
		if ctx.Err() != nil {
			return errExpired // the operation ended, which says nothing about the target
		}
		p.runner.addResult(lease.ProbeResult{Task: op.Key.Task, Target: target, Token: op.Token, Healthy: well, LatencyUs: (monotone.Now() - began).Microseconds()})
	}
	return nil
}

// probe asks a target for its health on a connection of its own, and reports whether it answered 200
// in time.
func (p *EndpointProbe) probe(ctx context.Context, op *Operation, addr string) bool {
	ctx, done := context.WithTimeout(ctx, p.AnswerTimeout)
	defer done()
	t := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: p.DialTimeout}).DialContext}
	defer t.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+op.Task.ProbePath, nil)
	if err != nil {
		return false
	}
	req.Header.Set("Fleet-Lease", fmt.Sprintf("%s/%d/%d", op.Key.Task, op.Shard, op.Token))
	resp, err := t.RoundTrip(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
