// Package quotasession is an instance's edge of the fleet: it keeps a seat at the agents by renewals, and answers the module and the
// targets' pools from the holder, on the clock that counts sleep. All decisions are the holder's (internal/controlplane/quota/quotaclient).
package quotasession

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/cactus/go-statsd-client/v5/statsd"
	"github.com/cenkalti/backoff/v5"

	"spindlehitch"
	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/quotaclient"
	"spindlehitch/internal/process/monotone"
)

// Options set up an instance's part in the fleet.
type Options struct {
	Name           string
	Addr           string // where it takes clients: two processes at one address are an upgrade
	Agents         []string
	FallbackAgents func() []string // agents that others know, where none of these answers; nil: nobody knows any
	Weight         float64
	Governed       []quota.Resource // nothing of these is used before the fleet's budgets are known
	Log            *slog.Logger
	LeaseWorker    LeaseWorker // nil: the instance runs no tasks
	AccountsAddr   string      // where it tells its latency accounts; empty: nowhere
}

// LeaseWorker is what an instance does for the whole fleet (internal/controlplane/lease/leasework): its claims go with the renewals of its seat.
type LeaseWorker interface {
	BeginRenewal(now time.Duration) *lease.RenewalRequest
	AcceptRenewal(now time.Duration, a *lease.RenewalResponse)
	DropAll()                       // the seat is lost
	Stop(within time.Duration) bool // gives everything back; whether nothing is done any more
}

// Session is an instance's. All of it is safe for concurrent use.
type Session struct {
	opt      Options
	agents   agent.Client
	onChange func() // told when parts have changed
	wake     chan struct{}

	mu       sync.Mutex
	client   *quotaclient.Client
	renewNow bool   // the next renewal is due at once
	status   string // why there is no seat, or nothing beyond the floor; empty: there is
	counts   struct{ renewed, failed, lapsed, denied int64 }
}

// New returns one that has no seat yet; Run gets it one.
func New(opt Options) *Session {
	return &Session{opt: opt, agents: agent.Client{Addrs: opt.Agents, FallbackAddrs: opt.FallbackAgents}, client: quotaclient.New(opt.Governed), status: "JOINING",
		wake: make(chan struct{}, 1), onChange: func() {}}
}

// ReachableAgent is an agent that has answered lately; empty: none has.
func (r *Session) ReachableAgent() string { return r.agents.LastAnswered(agentFreshness) }

// OnChange has f called whenever parts have changed. It must be called before Run, and f must not wait.
func (r *Session) OnChange(f func()) { r.onChange = f }

func toReservation(d spindlehitch.Draw) quota.Reservation {
	use := [...]quota.Resource{spindlehitch.ColdWork: quota.ColdWork, spindlehitch.Repeats: quota.Retries,
		spindlehitch.Connections: quota.Connections, spindlehitch.AllWork: quota.AllWork}[d.Use]
	return quota.Reservation{Resource: use, Target: d.Node, Plan: d.Plan, Class: d.Class, Units: d.Units}
}

// Wait implements spindlehitch.Ration.
func (r *Session) Wait(d spindlehitch.Draw) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait, governed := r.client.Wait(monotone.Now(), toReservation(d))
	if wait > 0 {
		r.counts.denied++
		r.wakeRenewal()
	}
	return wait, governed
}

// wakeRenewal has a renewal sent early, where the holder wants one. Its caller holds mu.
func (r *Session) wakeRenewal() {
	if r.client.HasUnmetDemand() {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// RenewNow has the next renewal sent at once.
func (r *Session) RenewNow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renewNow = true
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Take implements spindlehitch.Ration. The permit is good while the part that it is from lasts.
func (r *Session) Take(draws []spindlehitch.Draw) spindlehitch.Permit {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]quota.Reservation, len(draws))
	for i, d := range draws {
		all[i] = toReservation(d)
	}
	return permit{r, r.client.Reserve(monotone.Now(), all...)}
}

type permit struct {
	session *Session
	until   time.Duration
}

// Good implements spindlehitch.Permit.
func (p permit) Good() bool {
	good := monotone.Now() < p.until
	if !good {
		p.session.mu.Lock()
		p.session.counts.lapsed++
		p.session.mu.Unlock()
	}
	return good
}

// Open counts a connection to a target; false: there may be none more.
func (r *Session) Open(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ok := r.client.OpenConnection(monotone.Now(), target)
	if !ok {
		r.counts.denied++
		r.wakeRenewal()
	}
	return ok
}

// Close counts a connection that has ended.
func (r *Session) Close(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.client.CloseConnection(target)
}

// Over is how many connections to a target are to be closed.
func (r *Session) Over(target string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.client.ExcessConnections(monotone.Now(), target)
}

const (
	agentFreshness         = 5 * time.Second        // an agent that answered is told of to others
	joinRetryMin           = 200 * time.Millisecond // doubled up to
	joinRetryMax           = 5 * time.Second
	connectionCloseTimeout = time.Second // how long connections may take to close before the seat is given back
)

// Run keeps a seat until ctx ends; Leave gives it back.
func (r *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.register(ctx) {
			r.renewUntilLost(ctx)
		}
	}
}

// register asks for a seat until there is one. Each seat is for an id of its own; an answer that was lost is asked for again by the
// same, for as long as its seat could last.
func (r *Session) register(ctx context.Context) bool {
	id := rand.Text()
	waits := backoff.ExponentialBackOff{InitialInterval: joinRetryMin, RandomizationFactor: 0.25, Multiplier: 2, MaxInterval: joinRetryMax}
	for {
		began := monotone.Now()
		m, doc, err := r.agents.Join(ctx, quota.Member{ID: id, Name: r.opt.Name, Addr: r.opt.Addr, Weight: r.opt.Weight, Accounts: r.opt.AccountsAddr})
		if err == nil {
			r.mu.Lock()
			r.client.Register(began, m.ID, doc)
			r.status = ""
			r.mu.Unlock()
			r.opt.Log.Info("joined the fleet", slog.String("reason", "FLEET_JOINED"), slog.String("member", m.ID),
				slog.Uint64("incarnation", m.Incarnation), slog.Uint64("version", doc.Version))
			r.onChange()
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		why := "NO_AGENT"
		var no quota.RejectionError
		if errors.As(err, &no) {
			why = string(no)
		}
		r.mu.Lock()
		again := r.status == why
		r.status = why
		r.mu.Unlock()
		if !again {
			r.opt.Log.Warn("turned away from the fleet", slog.String("reason", "FLEET_"+why), slog.Any("error", err))
		}
		if no == quota.ErrUnknownMember {
			id = rand.Text()
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(waits.NextBackOff()):
		}
	}
}

// watchLeases has a renewal sent whenever the agents' log has changed something for this member's tasks.
func (r *Session) watchLeases(ctx context.Context, id string) {
	var known uint64
	for ctx.Err() == nil {
		index, err := r.agents.WaitLeaseChange(ctx, id, known)
		if err == nil && index > known {
			known = index
			r.RenewNow()
			continue
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(joinRetryMin):
			}
		}
	}
}

// renewUntilLost renews until the seat is lost or ctx ends.
func (r *Session) renewUntilLost(ctx context.Context) {
	if r.opt.LeaseWorker != nil {
		heeding, stop := context.WithCancel(ctx)
		defer stop()
		r.mu.Lock()
		id := r.client.MemberID()
		r.mu.Unlock()
		go r.watchLeases(heeding, id)
	}
	cut := false
	for ctx.Err() == nil {
		r.mu.Lock()
		due := r.client.NextRenewal() - monotone.Now()
		if r.renewNow {
			due = 0
		}
		r.mu.Unlock()
		if due > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(due):
			case <-r.wake:
				continue // perhaps sooner
			}
		}
		r.mu.Lock()
		if !r.client.Registered(monotone.Now()) {
			r.loseSession("SEAT_ENDED")
			r.mu.Unlock()
			r.onChange()
			return
		}
		began := monotone.Now() // before it goes out: its part's end is reckoned from here
		ren := r.client.BeginRenewal(began)
		within := r.client.RenewTimeout()
		r.renewNow = false
		r.mu.Unlock()
		var claim *lease.RenewalRequest
		if r.opt.LeaseWorker != nil {
			claim = r.opt.LeaseWorker.BeginRenewal(began)
		}
		call, done := context.WithTimeout(ctx, within)
		a, award, err := r.agents.Renew(call, ren, claim)
		done()
		if err == nil && award != nil && r.opt.LeaseWorker != nil {
			r.opt.LeaseWorker.AcceptRenewal(monotone.Now(), award)
		}
		r.mu.Lock()
		switch {
		case errors.Is(err, quota.ErrUnknownMember):
			r.loseSession(err.Error())
			r.mu.Unlock()
			r.onChange()
			return
		case err == nil && r.client.AcceptRenewal(monotone.Now(), a):
			r.counts.renewed++
			if cut {
				cut, r.status = false, ""
				r.opt.Log.Info("heard the agents again", slog.String("reason", "FLEET_HEARD"))
			}
		default:
			r.counts.failed++
			if !cut && monotone.Now() >= r.client.AllocationsEnd() && ctx.Err() == nil {
				cut, r.status = true, "CUT_OFF"
				r.opt.Log.Warn("cut off from the agents: the floor is all there is", slog.String("reason", "FLEET_CUT_OFF"), slog.Any("error", err))
			}
		}
		r.mu.Unlock()
		r.onChange()
	}
}

// loseSession gives the seat up. Its caller holds mu.
func (r *Session) loseSession(why string) {
	r.status = why
	r.client.Unregister()
	if r.opt.LeaseWorker != nil {
		r.opt.LeaseWorker.DropAll()
	}
	r.opt.Log.Warn("seat lost", slog.String("reason", "FLEET_SEAT_LOST"), slog.String("why", why))
}

// Leave uses nothing more, and once no connection is open gives the seat back; where that takes too long it is left to end.
// Run must have ended.
func (r *Session) Leave(ctx context.Context) {
	r.mu.Lock()
	seated, id := r.client.Registered(monotone.Now()), r.client.MemberID()
	r.client.Leave()
	r.mu.Unlock()
	if r.opt.LeaseWorker != nil && !r.opt.LeaseWorker.Stop(connectionCloseTimeout) {
		r.opt.Log.Warn("seat not given back", slog.String("reason", "FLEET_NOT_LEFT"), slog.String("why", "an act is under way"))
		return
	}
	for end := time.Now().Add(connectionCloseTimeout); ; time.Sleep(10 * time.Millisecond) {
		r.mu.Lock()
		out := r.client.OpenConnections()
		r.mu.Unlock()
		if out == 0 {
			break
		}
		if time.Now().After(end) {
			r.opt.Log.Warn("seat not given back", slog.String("reason", "FLEET_NOT_LEFT"), slog.Int("connections", out))
			return
		}
	}
	if !seated {
		return
	}
	if err := r.agents.Leave(ctx, id); err != nil {
		r.opt.Log.Warn("seat not given back", slog.String("reason", "FLEET_NOT_LEFT"), slog.Any("error", err))
		return
	}
	r.opt.Log.Info("left the fleet", slog.String("reason", "FLEET_LEFT"))
}

// Tell tells the numbers of the fleet's budgets.
func (r *Session) Tell(to statsd.ExtendedStatSender) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := monotone.Now()
	seated := int64(0)
	if r.client.Registered(now) {
		seated = 1
	}
	to.Gauge("fleet.seated", seated, 1)
	to.Gauge("fleet.version", int64(r.client.ConfigVersion()), 1)
	to.Inc("fleet.renewals.taken", int64(r.counts.renewed), 1)
	to.Inc("fleet.renewals.failed", int64(r.counts.failed), 1)
	to.Inc("fleet.denied", int64(r.counts.denied), 1)
	to.Inc("fleet.lapsed", int64(r.counts.lapsed), 1)
	for _, x := range r.client.Status(now) {
		name := "fleet." + x.Budget
		if x.Key.Key != "" {
			name += "." + x.Key.Key
		}
		to.GaugeFloat(name+".part", x.Limit.Rate, 1)
		to.GaugeFloat(name+".used", x.InUse+x.UsedRate, 1)
		to.GaugeFloat(name+".ends_s", max(0, (x.GrantedUntil-now).Seconds()), 1)
	}
}
