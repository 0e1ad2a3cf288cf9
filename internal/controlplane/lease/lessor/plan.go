package lessor

import (
	"slices"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/rebalance"
)

// PendingEvents returns the changes to append to the log now: shards whose lease was released or has
// expired are granted to other members, and a few others are planned to move for rebalancing. An event
// that may or may not have been applied is returned again; applying it twice has no further effect
// (step 4). seenToken, if not 0, is a token that the next grant must exceed.
func (l *Lessor) PendingEvents(now time.Duration) (events []lease.Event, seenToken uint64) {
	if l.highestSeenToken > l.lastToken {
		seenToken = l.highestSeenToken
	}
	dead := l.deadMembers(now)
	for i := range l.config.Tasks {
		events = append(events, l.planTask(now, &l.config.Tasks[i], dead)...)
	}
	return events, seenToken
}

// taskPlan is the working state while one task is planned.
type taskPlan struct {
	eligible []string            // members that may be granted shards
	shards   []rebalance.Shard   // shards that may be assigned, with their current assignment
	ended    map[int]*leaseState // shards whose lease has ended
	moving   int                 // number of shards with a next holder
	events   []lease.Event
}

// planTask returns the events of one task.
func (l *Lessor) planTask(now time.Duration, t *lease.Task, dead map[string]bool) []lease.Event {
	p := &taskPlan{eligible: l.eligibleMembers(now, t, dead), ended: map[int]*leaseState{}}
	for i := range l.leases {
		if state := &l.leases[i]; state.Task == t.Name {
			l.planShard(now, t, dead, state, p)
		}
	}
	if t.Disabled {
		return p.events
	}
	if now < l.startedAt+l.gracePeriod() && len(p.ended) == len(p.shards) {
		return p.events // wait for all members to renew, or the first one would get every shard
	}
	l.balance(t, p)
	return p.events
}

// eligibleMembers returns the members that may be granted shards of a task. Members that are backed off for lack of
// progress are returned only if there is no other.
func (l *Lessor) eligibleMembers(now time.Duration, t *lease.Task, dead map[string]bool) []string {
	var progressing, withoutProgress []string
	for id, m := range l.members {
		switch {
		case !m.tasks[t.Name] || !l.isLive(now, id) || dead[id]:
		case now < l.backoffs[backoffKey{t.Name, id}].until:
			withoutProgress = append(withoutProgress, id)
		default:
			progressing = append(progressing, id)
		}
	}
	if len(progressing) == 0 {
		return withoutProgress
	}
	return progressing
}

// planShard adds a shard to the plan. If its lease has ended, the shard is granted to its planned next holder, or
// released if no member can run the task.
func (l *Lessor) planShard(now time.Duration, t *lease.Task, dead map[string]bool, state *leaseState, p *taskPlan) {
	shard := rebalance.Shard{ID: state.Shard, Holder: state.Holder, Pinned: state.PinnedTo != "" && state.PinnedTo == state.Holder}
	// A lease has ended if its holder released it, or if it has expired and will not be renewed (step 2). A lease that was
	// never sent to its holder has not begun, so a planned move waits for that.
	unresponsive := !l.isLive(now, state.Holder) || dead[state.Holder]
	leaseEnded := state.Holder == "" || state.released || now >= state.expiresAt && (state.revoking || unresponsive || state.maybeDelivered && (state.NextHolder != "" || t.Disabled))
	nextIsEligible := state.NextHolder != "" && slices.Contains(p.eligible, state.NextHolder)
	if state.NextHolder != "" {
		p.moving++
		shard.Pinned = true
	}
	if nextIsEligible {
		shard.Holder = state.NextHolder
	}
	if !leaseEnded {
		if slices.Contains(p.eligible, shard.Holder) { // else its holder is not eligible, but the lease is still valid
			p.shards = append(p.shards, shard)
		}
		return
	}
	p.ended[state.Shard] = state
	if !nextIsEligible {
		shard.Holder = ""
	}
	if state.NextHolder == lease.AnyMember {
		shard.Avoid = state.Holder
	}
	if state.Holder != "" && (t.Disabled || len(p.eligible) == 0) {
		p.add(state, lease.EventRelease, "")
	}
	if shard.Holder != "" && !t.Disabled {
		p.add(state, lease.EventGrant, shard.Holder)
	}
	p.shards = append(p.shards, shard)
}

// add adds an event that replaces or removes the lease of a shard, which is not renewed from then on.
func (p *taskPlan) add(state *leaseState, kind lease.EventKind, member string) {
	state.revoking = true
	p.events = append(p.events, lease.Event{Key: state.Key, ExpectedToken: state.Token, Kind: kind, Member: member})
}

// balance grants the shards that have no holder, and plans to move a few others.
func (l *Lessor) balance(t *lease.Task, p *taskPlan) {
	load := make(map[string]uint16, len(p.eligible))
	for _, id := range p.eligible {
		load[id] = l.members[id].openRequests
	}
	assigned, moved := rebalance.Plan(t.Name, p.shards, p.eligible, load, max(0, t.MaxMoves-p.moving))
	for _, a := range assigned {
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

// Migrate returns the event by which an operator moves a shard to a member, given by its id or its
// instance's name, or away from its holder if to is AnyMember.
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
		if (m.ID == to || m.Name == to) && l.isLive(now, m.ID) && (id == "" || m.Incarnation > l.members[id].Incarnation) {
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
