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
func (l *Lessor) PendingEvents(now time.Duration) (events []lease.Event, seen uint64) {
	if l.highestSeenToken > l.lastToken {
		seen = l.highestSeenToken
	}
	dead := l.deadMembers(now)
	for i := range l.config.Tasks {
		events = append(events, l.planTask(now, &l.config.Tasks[i], dead)...)
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
func (l *Lessor) planTask(now time.Duration, t *lease.Task, dead map[string]bool) []lease.Event {
	p := &taskPlan{able: l.ableMembers(now, t, dead), ended: map[int]*leaseState{}}
	for i := range l.leases {
		if state := &l.leases[i]; state.Task == t.Name {
			l.planShard(now, t, dead, state, p)
		}
	}
	if t.Disabled {
		return p.events
	}
	if now < l.startedAt+l.gracePeriod() && len(p.ended) == len(p.shards) {
		return p.events // the member that is heard first would get everything
	}
	l.balance(t, p)
	return p.events
}

// ableMembers returns the members that may be granted shards of a task. Members without progress are among them
// only if there is no other.
func (l *Lessor) ableMembers(now time.Duration, t *lease.Task, dead map[string]bool) []string {
	var able, withoutProgress []string
	for id, m := range l.members {
		switch {
		case !m.tasks[t.Name] || !l.isPrompt(now, id) || dead[id]:
		case now < l.backoffs[backoffKey{t.Name, id}].until:
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
func (l *Lessor) planShard(now time.Duration, t *lease.Task, dead map[string]bool, state *leaseState, p *taskPlan) {
	shard := rebalance.Shard{ID: state.Shard, Holder: state.Holder, Pinned: state.PinnedTo != "" && state.PinnedTo == state.Holder}
	// A lease has ended if its holder released it, or did not renew it in time and will not (step 2). One that
	// its holder does not know has not begun.
	silent := !l.isPrompt(now, state.Holder) || dead[state.Holder]
	over := state.Holder == "" || state.released || now >= state.expiresAt && (state.revoking || silent || state.holderMayKnow && (state.NextHolder != "" || t.Disabled))
	nextIsAble := state.NextHolder != "" && slices.Contains(p.able, state.NextHolder)
	if state.NextHolder != "" {
		p.moving++
		shard.Pinned = true
	}
	if nextIsAble {
		shard.Holder = state.NextHolder
	}
	if !over {
		if slices.Contains(p.able, shard.Holder) { // else it is still held by a member that gets nothing new
			p.shards = append(p.shards, shard)
		}
		return
	}
	p.ended[state.Shard] = state
	if !nextIsAble {
		shard.Holder = ""
	}
	if state.NextHolder == lease.AnyMember {
		shard.Avoid = state.Holder
	}
	if state.Holder != "" && (t.Disabled || len(p.able) == 0) {
		p.add(state, lease.EventRelease, "")
	}
	if shard.Holder != "" && !t.Disabled {
		p.add(state, lease.EventGrant, shard.Holder)
	}
	p.shards = append(p.shards, shard)
}

// add adds an event that revokes the present lease of a shard.
func (p *taskPlan) add(state *leaseState, kind lease.EventKind, member string) {
	state.revoking = true
	p.events = append(p.events, lease.Event{Key: state.Key, ExpectedToken: state.Token, Kind: kind, Member: member})
}

// balance grants the shards that have no holder, and plans a few others to move.
func (l *Lessor) balance(t *lease.Task, p *taskPlan) {
	load := make(map[string]uint16, len(p.able))
	for _, id := range p.able {
		load[id] = l.members[id].openRequests
	}
	given, moved := rebalance.Plan(t.Name, p.shards, p.able, load, max(0, t.MaxMoves-p.moving))
	for _, a := range given {
		if state := p.ended[a.Shard]; state != nil {
			p.add(state, lease.EventGrant, a.Member)
		}
	}
	for _, a := range moved {
		if state := l.lease(lease.Key{Task: t.Name, Shard: a.Shard}); p.ended[a.Shard] == nil && !state.revoking {
			p.events = append(p.events, lease.Event{Key: state.Key, ExpectedToken: state.Token, Kind: lease.EventPlan, Member: a.Member})
		}
	}
}

// Migrate returns the event by which an operator moves a shard to a member, named by id or instance,
// or with AnyMember away from its holder.
func (l *Lessor) Migrate(now time.Duration, key lease.Key, to string) (lease.Event, error) {
	t, state := l.config.Task(key.Task), l.lease(key)
	switch {
	case t == nil:
		return lease.Event{}, lease.ErrUnknownTask
	case state == nil:
		return lease.Event{}, lease.ErrUnknownShard
	case t.Disabled:
		return lease.Event{}, lease.ErrTaskDisabled
	}
	if to == lease.AnyMember {
		if state.Holder == "" {
			return lease.Event{}, lease.ErrNotHeld
		}
		return lease.Event{Key: key, ExpectedToken: state.Token, Kind: lease.EventPlan, Member: to, Pinned: true}, nil
	}
	id := ""
	for _, m := range l.members {
		if (m.ID == to || m.Name == to) && l.isPrompt(now, m.ID) && (id == "" || m.Incarnation > l.members[id].Incarnation) {
			id = m.ID
		}
	}
	switch {
	case id == "":
		return lease.Event{}, lease.ErrUnknownMember
	case !l.members[id].tasks[key.Task]:
		return lease.Event{}, lease.ErrTaskNotSupported
	case id == state.Holder && state.NextHolder == "":
		return lease.Event{}, lease.ErrAlreadyHolder
	}
	return lease.Event{Key: key, ExpectedToken: state.Token, Kind: lease.EventPlan, Member: id, Pinned: true}, nil
}
