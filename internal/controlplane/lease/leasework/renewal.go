package leasework

import (
	"spindlehitch/internal/controlplane/lease"
	"time"
)

// SetEjected notes which targets are avoided here.
func (r *Runner) SetEjected(targets []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ejected = targets[:min(len(targets), lease.MaxTargets)]
}

// BeginRenewal begins a claim, with a renewal that is begun at that moment.
func (r *Runner) BeginRenewal(now time.Duration) *lease.RenewalRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.lessee.BeginRenewal(now)
	r.renewalStartedAt = now
	c.Ejected = r.ejected
	if r.opt.OpenRequests != nil {
		c.OpenRequests = r.opt.OpenRequests()
	}
	if r.opt.DeadInstances != nil {
		c.DeadInstances = r.opt.DeadInstances()
	}
	for i, x := range r.results {
		x.AgeMs = (now - r.resultTimes[i]).Milliseconds()
		c.Results = append(c.Results, x)
	}
	r.results, r.resultTimes = nil, nil // told once; the next round brings newer ones
	return &c
}

// AcceptRenewal takes the answer to the claim sent last.
func (r *Runner) AcceptRenewal(now time.Duration, a *lease.RenewalResponse) {
	r.mu.Lock()
	if !r.lessee.AcceptRenewal(now, *a) {
		r.mu.Unlock()
		return
	}
	r.probeTargets = a.ProbeTargets
	hurry := r.lessee.NeedsRenewal()
	r.mu.Unlock()
	if len(a.ProbeResults) > 0 {
		r.onResults(a.ProbeResults, now-r.renewalStartedAt)
	}
	if hurry {
		r.opt.RenewNow()
	}
	r.wakeUp()
}

// DropAll gives everything up: the seat is lost.
func (r *Runner) DropAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lessee.DropAll()
	r.probeTargets, r.results, r.resultTimes = nil, nil, nil
}

// Stop gives everything back, and tells whether all acts have ended within that time: then nothing is done any more.
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
