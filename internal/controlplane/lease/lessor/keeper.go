// Package lessor is the leading agent's side of leases for fleet-wide tasks: until when each shard may be acted on by its holder, who is
// to have it next, and what a claim is answered. One keeper lasts for one term of one leader. It does no I/O; time is passed in,
// and equal inputs give equal outputs. docs/leases.md argues for its safety; the numbers in the comments here are that page's steps.
package lessor

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/rebalance"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/registry"
)

const (
	maxDeadInstances    = 64      // instances that one member holds dead
	deadQuorum          = 3       // members whose word on another is planned by
	maxBackoffDoublings = 4       // how often a back-off doubles
	maxPlausibleToken   = 1 << 60 // no place has been shown one like it: what says so is damaged
)

// Lessor is the book of one term.
type Lessor struct {
	startedAt        time.Duration
	quotaConfig      quota.Config
	config           lease.Config
	lastToken        uint64 // the newest that the log has given
	highestSeenToken uint64 // the newest that a place has been shown, as a member said
	members          map[string]member
	registered       []quota.Member // as the log had them last
	leases           []leaseState
	backoffs         map[backoffKey]backoff
}

type member struct {
	quota.Member
	lastSeq          uint64
	lastHeardAt      time.Duration // the last claim; of one that is only known from the log, when this keeper began
	tasks            map[string]bool
	openRequests     uint16   // requests open at it
	deadInstances    []string // whom it holds dead or gone
	reportedThisTerm bool     // it has told this keeper what it runs
}

// leaseState is one shard.
type leaseState struct {
	lease.Lease
	expiresAt      time.Duration      // its holder may act until then, by this clock
	holderMayKnow  bool               // an answer with it may have gone out, from this keeper or one before
	released       bool               // its holder gave it back
	revoking       bool               // it is being given on: nothing is renewed any more
	grantSeenAt    time.Duration      // when this keeper first saw the token
	holderStatus   lease.HolderStatus // as its holder said last
	lastProgressAt time.Duration      // when its holder last ended an act
}

type backoffKey struct{ task, memberID string }

// backoff is a member that held a shard and did nothing.
type backoff struct {
	until    time.Duration
	failures int
}

// New begins a term. The register is what the log has, all of it up to the term's beginning.
func New(now time.Duration, r *registry.Registry) *Lessor {
	k := &Lessor{startedAt: now, members: map[string]member{}, backoffs: map[backoffKey]backoff{}}
	k.Update(now, r)
	return k
}

// leaseTTL is how long, at the keeper, a lease lasts whose claim has just come, and whatever its holder does in one act at a place that can't
// check a token (5).
func (k *Lessor) leaseTTL(t *lease.Task) time.Duration {
	return k.quotaConfig.MaxOnOtherClock(t.TTL() + t.MaxPause())
}

// Update takes over what the log says.
func (k *Lessor) Update(now time.Duration, r *registry.Registry) {
	tasked := k.config.Version != r.LeaseConfig.Version
	k.quotaConfig, k.config, k.lastToken = r.QuotaConfig, r.LeaseConfig, max(k.lastToken, r.LastToken)
	joined, left := quota.DiffMembers(k.registered, r.Members)
	k.registered = append(k.registered[:0], r.Members...)
	for _, m := range left {
		delete(k.members, m.ID)
	}
	for _, m := range joined {
		k.members[m.ID] = member{Member: m, lastHeardAt: now}
	}
	if len(left) > 0 || tasked {
		maps.DeleteFunc(k.backoffs, func(b backoffKey, _ backoff) bool { return !k.IsMember(b.memberID) || k.config.Task(b.task) == nil })
	}
	if slices.EqualFunc(k.leases, r.Leases, func(x leaseState, l lease.Lease) bool { return x.Lease == l }) {
		return
	}
	rows := make([]leaseState, 0, len(r.Leases))
	for _, l := range r.Leases {
		x := leaseState{Lease: l, grantSeenAt: now, lastProgressAt: now}
		had := k.lease(l.Key)
		switch {
		case had != nil && had.Token == l.Token && had.Holder == l.Holder:
			x = *had
			x.Lease = l
		case l.Holder == "":
			x.expiresAt = now // whoever held it gave it back, or left
		case had == nil:
			// From before this term: it may have been renewed just before (6).
			x.expiresAt, x.holderMayKnow = now+k.leaseTTL(k.config.Task(l.Task)), true
		default:
			x.expiresAt = now // granted in this term: its holder has not been told yet
		}
		rows = append(rows, x)
	}
	k.leases = rows
}

func (k *Lessor) lease(key lease.Key) *leaseState {
	at, there := slices.BinarySearchFunc(k.leases, key, func(r leaseState, key lease.Key) int { return lease.CompareKeys(r.Key, key) })
	if !there {
		return nil
	}
	return &k.leases[at]
}

// isLive tells whether a member has been heard lately enough to be given something.
func (k *Lessor) isLive(now time.Duration, id string) bool {
	m, known := k.members[id]
	return known && now < m.lastHeardAt+k.quotaConfig.MaxOnOtherClock(k.quotaConfig.AllocationTTL())
}

// isPrompt tells whether a member has renewed as it should: two renewals were not lost.
func (k *Lessor) isPrompt(now time.Duration, id string) bool {
	m, known := k.members[id]
	return known && m.reportedThisTerm && now < m.lastHeardAt+k.gracePeriod()
}

// deadMembers are the members that enough others hold dead, and that have missed a renewal. Nothing is given to them, and what they held
// goes on when its time is over; nothing ends sooner by anybody's word, be it wrong (2).
func (k *Lessor) deadMembers(now time.Duration) map[string]bool {
	words, prompt := map[string]int{}, 0
	for id, m := range k.members {
		if k.isPrompt(now, id) {
			prompt++
			for _, name := range m.deadInstances {
				if name != m.Name {
					words[name]++
				}
			}
		}
	}
	if len(words) == 0 {
		return nil
	}
	dead := map[string]bool{}
	for id, m := range k.members {
		dead[id] = words[m.Name] >= max(2, min(deadQuorum, prompt-1)) && now >= m.lastHeardAt+k.quotaConfig.MaxOnOtherClock(k.quotaConfig.RenewInterval())
	}
	return dead
}

// gracePeriod is how long after its beginning a keeper waits until it has heard whoever lives.
func (k *Lessor) gracePeriod() time.Duration {
	return k.quotaConfig.MaxOnOtherClock(5 * k.quotaConfig.RenewInterval() / 2)
}

// Renew notes what a member says and decides what it has from now on. The answer may only go out once a majority has confirmed, after
// this call, that no later term has begun (7).
func (k *Lessor) Renew(now time.Duration, id string, c lease.RenewalRequest) (lease.RenewalResponse, error) {
	m, known := k.members[id]
	switch {
	case !known:
		return lease.RenewalResponse{}, quota.ErrUnknownMember
	case c.Seq <= m.lastSeq:
		return lease.RenewalResponse{}, quota.ErrStaleRenewal
	}
	m.lastSeq, m.lastHeardAt, m.reportedThisTerm = c.Seq, now, true
	m.openRequests = c.OpenRequests
	m.deadInstances = slices.Clone(c.DeadInstances[:min(len(c.DeadInstances), maxDeadInstances)])
	m.tasks = make(map[string]bool, len(c.Tasks))
	for _, t := range c.Tasks {
		if k.config.Task(t) != nil {
			m.tasks[t] = true
		}
	}
	k.members[id] = m
	if c.HighestToken < maxPlausibleToken {
		k.highestSeenToken = max(k.highestSeenToken, c.HighestToken)
	}
	a := lease.RenewalResponse{Seq: c.Seq}
	if c.ConfigVersion != k.config.Version {
		doc := k.config
		a.Config = &doc
	}
	for _, b := range c.Released {
		if x := k.lease(b.Key); x != nil && x.Holder == id && x.Token == b.Token { // (8)
			x.released, x.expiresAt = true, now
		}
	}
	for _, h := range c.Held {
		if x := k.lease(h.Key); x != nil && x.Holder == id && x.Token == h.Token {
			if h.Completed > x.holderStatus.Completed {
				x.lastProgressAt = now
				if b := (backoffKey{h.Task, id}); now >= k.backoffs[b].until {
					delete(k.backoffs, b)
				}
			}
			x.holderStatus = h
		}
	}
	for i := range k.leases {
		x := &k.leases[i]
		if x.Holder != id || x.released || x.revoking {
			continue
		}
		t := k.config.Task(x.Task)
		b := lease.Ref{Key: x.Key, Token: x.Token}
		if x.NextHolder != "" || t.Disabled || !m.tasks[x.Task] {
			a.Recalled = append(a.Recalled, b) // what it has lasts until its end; nothing is renewed (9)
			continue
		}
		if x.holderMayKnow && now-x.lastProgressAt >= k.quotaConfig.MaxOnOtherClock(t.ProgressTimeout()) {
			k.backOff(now, t, id)
			x.revoking = true // it ends by itself (10)
			continue
		}
		x.expiresAt, x.holderMayKnow = now+k.leaseTTL(t), true
		a.Leases = append(a.Leases, b)
	}
	return a, nil
}

// backOff keeps a member that did nothing from the task's shards for a while: twice as long each time up to a bound, and not as long as
// another that was barred at the same moment.
func (k *Lessor) backOff(now time.Duration, t *lease.Task, id string) {
	b := k.backoffs[backoffKey{t.Name, id}]
	wait := t.ProgressTimeout() << min(b.failures, maxBackoffDoublings)
	wait += time.Duration(float64(wait) / 2 * float64(xxhash.Sum64String(id)%1024) / 1024)
	k.backoffs[backoffKey{t.Name, id}] = backoff{now + wait, b.failures + 1}
}

// PendingEvents is what the log is asked to change now: shards whose holder gave them back or whose lease has ended go on, and a few more are
// planned to move for evenness' sake. An order whose fate is not known is asked for again; made once, it is void after that (4).
func (k *Lessor) PendingEvents(now time.Duration) (orders []lease.Event, seen uint64) {
	if k.highestSeenToken > k.lastToken {
		seen = k.highestSeenToken
	}
	dead := k.deadMembers(now)
	for i := range k.config.Tasks {
		orders = append(orders, k.planTask(now, &k.config.Tasks[i], dead)...)
	}
	return orders, seen
}

func (k *Lessor) planTask(now time.Duration, t *lease.Task, dead map[string]bool) (orders []lease.Event) {
	var able, spare []string
	for id, m := range k.members {
		switch {
		case !m.tasks[t.Name] || !k.isPrompt(now, id) || dead[id]:
		case now < k.backoffs[backoffKey{t.Name, id}].until:
			spare = append(spare, id)
		default:
			able = append(able, id)
		}
	}
	if len(able) == 0 {
		able = spare // one that did nothing may do something again; nobody else can
	}
	var shards []rebalance.Shard
	ended := map[int]*leaseState{}
	moving := 0
	for i := range k.leases {
		x := &k.leases[i]
		if x.Task != t.Name {
			continue
		}
		s := rebalance.Shard{ID: x.Shard, Holder: x.Holder, Pinned: x.PinnedTo != "" && x.PinnedTo == x.Holder}
		// A lease has ended when its holder gave it back, or has not renewed it in time and is not about to (2). One that its holder was
		// never told of has not begun.
		silent := !k.isPrompt(now, x.Holder) || dead[x.Holder]
		over := x.Holder == "" || x.released || now >= x.expiresAt && (x.revoking || silent || x.holderMayKnow && (x.NextHolder != "" || t.Disabled))
		if x.NextHolder != "" {
			moving++
			if s.Pinned = true; slices.Contains(able, x.NextHolder) {
				s.Holder = x.NextHolder
			}
		}
		if over {
			ended[x.Shard] = x
			if x.NextHolder == "" || !slices.Contains(able, x.NextHolder) {
				s.Holder = ""
			}
			if x.NextHolder == lease.AnyMember {
				s.Avoid = x.Holder
			}
			switch {
			case !t.Disabled && len(able) > 0:
			case x.Holder != "":
				x.revoking = true
				orders = append(orders, lease.Event{Key: x.Key, ExpectedToken: x.Token, Kind: lease.EventRelease})
			}
			if s.Holder != "" && !t.Disabled {
				x.revoking = true
				orders = append(orders, lease.Event{Key: x.Key, ExpectedToken: x.Token, Kind: lease.EventGrant, Member: s.Holder})
			}
		} else if !slices.Contains(able, s.Holder) {
			continue // it is held still, by one that nothing more is given to
		}
		shards = append(shards, s)
	}
	if t.Disabled {
		return orders
	}
	if now < k.startedAt+k.gracePeriod() && len(ended) == len(shards) {
		return orders // whoever is heard first would get all
	}
	load := make(map[string]uint16, len(able))
	for _, id := range able {
		load[id] = k.members[id].openRequests
	}
	given, moved := rebalance.Plan(t.Name, shards, able, load, max(0, t.MaxMoves-moving))
	for _, m := range given {
		if x := ended[m.Shard]; x != nil {
			x.revoking = true
			orders = append(orders, lease.Event{Key: x.Key, ExpectedToken: x.Token, Kind: lease.EventGrant, Member: m.Member})
		}
	}
	for _, m := range moved {
		if x := k.lease(lease.Key{Task: t.Name, Shard: m.Shard}); ended[m.Shard] == nil && !x.revoking {
			orders = append(orders, lease.Event{Key: x.Key, ExpectedToken: x.Token, Kind: lease.EventPlan, Member: m.Member})
		}
	}
	return orders
}

// Migrate is the order by which an operator has a shard go to a member, by its id or name, or with Anyone be released for whom the
// spread finds.
func (k *Lessor) Migrate(now time.Duration, key lease.Key, to string) (lease.Event, error) {
	t, x := k.config.Task(key.Task), k.lease(key)
	switch {
	case t == nil:
		return lease.Event{}, lease.ErrUnknownTask
	case x == nil:
		return lease.Event{}, lease.ErrUnknownShard
	case t.Disabled:
		return lease.Event{}, lease.ErrTaskDisabled
	}
	if to == lease.AnyMember {
		if x.Holder == "" {
			return lease.Event{}, lease.ErrNotHeld
		}
		return lease.Event{Key: key, ExpectedToken: x.Token, Kind: lease.EventPlan, Member: to, Pinned: true}, nil
	}
	id := ""
	for _, m := range k.members {
		if (m.ID == to || m.Name == to) && k.isPrompt(now, m.ID) && (id == "" || m.Incarnation > k.members[id].Incarnation) {
			id = m.ID
		}
	}
	switch {
	case id == "":
		return lease.Event{}, lease.ErrUnknownMember
	case !k.members[id].tasks[key.Task]:
		return lease.Event{}, lease.ErrTaskNotSupported
	case id == x.Holder && x.NextHolder == "":
		return lease.Event{}, lease.ErrAlreadyHolder
	}
	return lease.Event{Key: key, ExpectedToken: x.Token, Kind: lease.EventPlan, Member: id, Pinned: true}, nil
}

// IsCurrent tells whether a member has a lease under that token, and nobody is about to get it.
func (k *Lessor) IsCurrent(key lease.Key, id string, token uint64) bool {
	x := k.lease(key)
	return x != nil && x.Holder == id && x.Token == token && !x.released && !x.revoking
}

// IsMember tells whether there is such a member.
func (k *Lessor) IsMember(id string) bool {
	_, known := k.members[id]
	return known
}

// Config is the set of tasks gone by.
func (k *Lessor) Config() *lease.Config { return &k.config }

// LeaseStatus is one lease as the keeper sees it.
type LeaseStatus struct {
	lease.Lease
	HolderName string `json:"name,omitempty"` // of the holder's instance
	State      string `json:"state"`          // held, moving, ended, free, off; unsure: not heard by this keeper yet; unknown
	SinceMs    int64  `json:"since_ms"`       // since this keeper saw the token first: at least that long
	UntilMs    int64  `json:"until_ms"`       // until its holder surely acts no more
	ProgressMs int64  `json:"progress_ms"`    // since its holder last ended an act, or since
	Completed  uint64 `json:"acts"`
	Fenced     uint64 `json:"refused"`
	Failed     uint64 `json:"failed"`
}

// Status is every lease, in order.
func (k *Lessor) Status(now time.Duration) []LeaseStatus {
	all := make([]LeaseStatus, 0, len(k.leases))
	for i := range k.leases {
		x := &k.leases[i]
		s := LeaseStatus{Lease: x.Lease, HolderName: k.members[x.Holder].Name, State: "held", SinceMs: (now - x.grantSeenAt).Milliseconds(),
			UntilMs: max(0, (x.expiresAt - now).Milliseconds()), ProgressMs: (now - x.lastProgressAt).Milliseconds(),
			Completed: x.holderStatus.Completed, Fenced: x.holderStatus.Fenced, Failed: x.holderStatus.Failed}
		switch {
		case x.Holder == "" && k.config.Task(x.Task).Disabled:
			s.State = "off"
		case x.Holder == "":
			s.State = "free"
		case x.released || x.holderMayKnow && now >= x.expiresAt:
			s.State = "ended"
		case x.NextHolder != "":
			s.State = "moving"
		case x.holderStatus.Token != x.Token:
			s.State = "unsure"
		}
		all = append(all, s)
	}
	return all
}

// String is the whole state as text: equal states print alike.
func (k *Lessor) String() string {
	b := fmt.Appendf(nil, "%v %d %d %v", k.startedAt, k.lastToken, k.highestSeenToken, k.config)
	for _, id := range slices.Sorted(maps.Keys(k.members)) {
		b = fmt.Appendf(b, "\n%v", k.members[id])
	}
	for i := range k.leases {
		b = fmt.Appendf(b, "\n%+v", k.leases[i])
	}
	for _, x := range slices.SortedFunc(maps.Keys(k.backoffs), func(a, b backoffKey) int {
		return cmp.Or(strings.Compare(a.task, b.task), strings.Compare(a.memberID, b.memberID))
	}) {
		b = fmt.Appendf(b, "\n%v %v", x, k.backoffs[x])
	}
	return string(b)
}
