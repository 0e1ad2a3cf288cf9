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

// Stock counts connections at targets (internal/controlplane/quota/quotasession).
type Stock interface {
	Open(target string) bool
	Close(target string)
}

// Probe tries targets that are avoided, for the whole fleet. A target can't check a token: each try is looked at just before it is made, and
// carries the lease for the target's log.
type Probe struct {
	Stock  Stock         // of connections; nil: none is kept
	Dial   time.Duration // a connection is there within
	Within time.Duration // and an answer

	mu    sync.Mutex
	addrs map[string]string
	r     *Runner
}

// For is the runner that is told what was found.
func (p *Probe) For(r *Runner) { p.r = r }

// Listed takes over where targets are.
func (p *Probe) Listed(addrs map[string]string, whole bool) {
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

// Act implements Job: each target of the shard that somebody avoids is tried once, one after the other.
func (p *Probe) Act(ctx context.Context, a *Act) error {
	for _, target := range p.r.targets(a) {
		p.mu.Lock()
		addr := p.addrs[target]
		p.mu.Unlock()
		if addr == "" {
			continue // not on this member's list: it is gone, or not there yet
		}
		if p.Stock != nil && !p.Stock.Open(target) {
			continue // the fleet has no connection left there
		}
		if !a.Good() {
			if p.Stock != nil {
				p.Stock.Close(target)
			}
			return errOver
		}
		failpoint.Hit("probe.checked")
		began := monotone.Now()
		well := p.try(ctx, a, addr)
		if p.Stock != nil {
			p.Stock.Close(target)
		}
		if ctx.Err() != nil {
			return errOver // the act's end, not the target's silence
		}
		p.r.take(lease.Result{Task: a.Key.Task, Target: target, Token: a.Token, Well: well, TookUs: (monotone.Now() - began).Microseconds()})
	}
	return nil
}

// try asks a target for its health, on a connection of its own, and tells whether it answered 200 in time.
func (p *Probe) try(ctx context.Context, a *Act, addr string) bool {
	ctx, done := context.WithTimeout(ctx, p.Within)
	defer done()
	t := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: p.Dial}).DialContext}
	defer t.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+a.Task.Path, nil)
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
