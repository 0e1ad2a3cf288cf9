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
	"spindlehitch/internal/process/monotonic"
)

// ConnectionQuota counts connections to targets against the fleet's quota (package quotasession).
type ConnectionQuota interface {
	Open(target string) bool
	Close(target string)
}

// EndpointProbe probes ejected targets on behalf of the fleet. A target cannot check a fencing token,
// so the lease is checked right before each probe, and the probe names it for the target's log.
type EndpointProbe struct {
	Connections   ConnectionQuota // nil: no quota applies
	DialTimeout   time.Duration
	AnswerTimeout time.Duration // of a whole probe, including the connect

	mu     sync.Mutex        // guards addrs
	addrs  map[string]string // by target
	runner *Runner           // set before Run
}

// SetRunner sets the runner that gives the targets and gets the results. It must be called before Run.
func (p *EndpointProbe) SetRunner(r *Runner) { p.runner = r }

// SetTargets updates the addresses of the targets; an empty address removes a target. If full is set,
// addrs replaces all of them.
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

// Run implements Job. It probes each ejected target of the shard once, one after the other.
func (p *EndpointProbe) Run(ctx context.Context, op *Operation) error {
	for _, target := range p.runner.targetsOf(op) {
		p.mu.Lock()
		addr := p.addrs[target]
		p.mu.Unlock()
		if addr == "" {
			continue // removed from this instance's list, or not on it yet
		}
		if p.Connections != nil && !p.Connections.Open(target) {
			continue // the quota allows no further connection to it
		}
		if !op.MayProceed() {
			if p.Connections != nil {
				p.Connections.Close(target)
			}
			return errExpired
		}
		failpoint.Hit("probe.checked")
		startedAt := monotonic.Now()
		healthy := p.probe(ctx, op, addr)
		if p.Connections != nil {
			p.Connections.Close(target)
		}
		if ctx.Err() != nil {
			return errExpired // the probe was cut short by the operation's end, so it has no result
		}
		p.runner.addResult(lease.ProbeResult{Task: op.Key.Task, Target: target, Token: op.Token, Healthy: healthy, LatencyUs: (monotonic.Now() - startedAt).Microseconds()})
	}
	return nil
}

// probe sends a health check to a target on a new connection, and reports whether the target answered
// with status 200 in time.
func (p *EndpointProbe) probe(ctx context.Context, op *Operation, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, p.AnswerTimeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: p.DialTimeout}).DialContext}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+op.Task.ProbePath, nil)
	if err != nil {
		return false
	}
	req.Header.Set("Fleet-Lease", fmt.Sprintf("%s/%d/%d", op.Key.Task, op.Shard, op.Token))
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
