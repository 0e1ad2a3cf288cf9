package lessor

import (
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/rebalance"
)

// PendingEvents returns the changes that the log should get now: shards whose lease was released or
// has expired are granted on, and a few others are planned to move for balance. An event whose fate is
// unknown is returned again; once applied, it has no effect a second time (step 4).
func (k *Lessor) PendingEvents(now time.Duration) (events []lease.Event, seen uint64) {
	if k.highestSeenToken > k.lastToken {
		seen = k.highestSeenToken
	}
	dead := k.deadMembers(now)
	for i := range k.config.Tasks {
		events = append(events, k.planTask(now, &k.config.Tasks[i], dead)...)
	}
	return events, seen
}

// taskPlan is the plan of one task while it is made.
type taskPlan struct {
	able   []string            // members that may be granted shards
	shards []rebalance.Shard   // shards that may be assigned, with their present assignment
	ended  map[int]*leaseState // shards whose lease has ended
	moving int                 // shards that are on their way to another member
	events []lease.Event
}

// planTask returns the events of one task.
func (k *Lessor) planTask(now time.Duration, t *lease.Task, dead map[string]bool) []lease.Event {
	p := &taskPlan{able: k.ableMembers(now, t, dead), ended: map[int]*leaseState{}}
	for i := range k.leases {
		if x := &k.leases[i]; x.Task == t.Name {
			k.planShard(now, t, dead, x, p)
		}
	}
	if t.Disabled {
		return p.events
	}
	if now < k.startedAt+k.gracePeriod() && len(p.ended) == len(p.shards) {
		return p.events // the member that is heard first would get everything
	}
	k.balance(t, p)
	return p.events
}

// ableMembers returns the members that may be granted shards of a task. Members without progress are among them
// only if there is no other.
func (k *Lessor) ableMembers(now time.Duration, t *lease.Task, dead map[string]bool) []string {
	var able, withoutProgress []string
	for id, m := range k.members {
		switch {
		case !m.tasks[t.Name] || !k.isPrompt(now, id) || dead[id]:
		case now < k.backoffs[backoffKey{t.Name, id}].until:
			withoutProgress = append(withoutProgress, id)
		default:
			able = append(able, id)
		}
	}
	if len(able) == 0 {
		return withoutProgress
	}
	return able
}

// planShard adds a shard to the plan. If its lease has ended, it is granted to the member that was planned next, or
// released if no member can run the task.
func (k *Lessor) planShard(now time.Duration, t *lease.Task, dead map[string]bool, x *leaseState, p *taskPlan) {
	s := rebalance.Shard{ID: x.Shard, Holder: x.Holder, Pinned: x.PinnedTo != "" && x.PinnedTo == x.Holder}
	// A lease has ended if its holder released it, or did not renew it in time and will not (step 2). One that
	// its holder does not know has not begun.
	silent := !k.isPrompt(now, x.Holder) || dead[x.Holder]
	over := x.Holder == "" || x.released || now >= x.expiresAt && (x.revoking || silent || x.holderMayKnow && (x.NextHolder != "" || t.Disabled))
	nextIsAble := x.NextHolder != "" && slices.Contains(p.able, x.NextHolder)
	if x.NextHolder != "" {
		p.moving++
		s.Pinned = true
	}
	if nextIsAble {
		s.Holder = x.NextHolder
	}
	if !over {
		if slices.Contains(p.able, s.Holder) { // else it is still held by a member that gets nothing new
			p.shards = append(p.shards, s)
		}
		return
	}
	p.ended[x.Shard] = x
	if !nextIsAble {
		s.Holder = ""
	}
	if x.NextHolder == lease.AnyMember {
		s.Avoid = x.Holder
	}
	if x.Holder != "" && (t.Disabled || len(p.able) == 0) {
		p.add(x, lease.EventRelease, "")
	}
	if s.Holder != "" && !t.Disabled {
		p.add(x, lease.EventGrant, s.Holder)
	}
	p.shards = append(p.shards, s)
}

// add adds an event that revokes the present lease of a shard.
func (p *taskPlan) add(x *leaseState, kind lease.EventKind, member string) {
	x.revoking = true
	p.events = append(p.events, lease.Event{Key: x.Key, ExpectedToken: x.Token, Kind: kind, Member: member})
}

// balance grants the shards that have no holder, and plans a few others to move.
func (k *Lessor) balance(t *lease.Task, p *taskPlan) {
	load := make(map[string]uint16, len(p.able))
	for _, id := range p.able {
		load[id] = k.members[id].openRequests
	}
	given, moved := rebalance.Plan(t.Name, p.shards, p.able, load, max(0, t.MaxMoves-p.moving))
	for _, m := range given {
		if x := p.ended[m.Shard]; x != nil {
			p.add(x, lease.EventGrant, m.Member)
		}
	}
	for _, m := range moved {
		if x := k.lease(lease.Key{Task: t.Name, Shard: m.Shard}); p.ended[m.Shard] == nil && !x.revoking {
			p.events = append(p.events, lease.Event{Key: x.Key, ExpectedToken: x.Token, Kind: lease.EventPlan, Member: m.Member})
		}
	}
}

// Migrate returns the event by which an operator moves a shard to a member, named by id or instance,
// or with AnyMember away from its holder.
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
