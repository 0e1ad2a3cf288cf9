package leasework

import (
	"time"

	"spindlehitch/internal/controlplane/lease"
)

// SetEjected replaces the targets that this instance has ejected.
func (r *Runner) SetEjected(targets []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ejected = targets[:min(len(targets), lease.MaxTargets)]
}

// BeginRenewal returns the lease part of a session renewal that starts now.
func (r *Runner) BeginRenewal(now time.Duration) *lease.RenewalRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := r.lessee.BeginRenewal(now)
	r.renewalStartedAt = now
	req.Ejected = r.ejected
	if r.opt.OpenRequests != nil {
		req.OpenRequests = r.opt.OpenRequests()
	}
	if r.opt.DeadInstances != nil {
		req.DeadInstances = r.opt.DeadInstances()
	}
	for i, x := range r.results {
		x.AgeMs = (now - r.resultTimes[i]).Milliseconds()
		req.Results = append(req.Results, x)
	}
	r.results, r.resultTimes = nil, nil // reported once; the next probes bring newer ones
	return &req
}

// AcceptRenewal applies the response to the last renewal.
func (r *Runner) AcceptRenewal(now time.Duration, resp *lease.RenewalResponse) {
	r.mu.Lock()
	if !r.lessee.AcceptRenewal(now, *resp) {
		r.mu.Unlock()
		return
	}
	r.probeTargets = resp.ProbeTargets
	renewEarly := r.lessee.NeedsRenewal()
	r.mu.Unlock()
	if len(resp.ProbeResults) > 0 {
		r.onResults(resp.ProbeResults, now-r.renewalStartedAt)
	}
	if renewEarly {
		r.opt.RenewNow()
	}
	r.wakeUp()
}

// DropAll drops all leases, since the session is lost.
func (r *Runner) DropAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lessee.DropAll()
	r.probeTargets, r.results, r.resultTimes = nil, nil, nil
}

// Stop releases all leases, waits for running operations, and reports whether all ended in that time.
func (r *Runner) Stop(within time.Duration) bool {
	r.mu.Lock()
	r.stopped = true
	r.lessee.ReleaseAll()
	r.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		r.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-time.After(within):
		return false
	}
}
