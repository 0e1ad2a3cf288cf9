package lessor

import (
	"slices"
	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/rebalance"
	"time"
)

// PendingEvents returns the changes that the log should get now: shards whose lease was released or
// has expired are granted on, and a few others are planned to move for balance. An event whose fate is
// unknown is returned again; once applied, it has no effect a second time (step 4).
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

// planTask returns the events of one task.
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
		able = spare // nobody else can run the task
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
		// A lease has ended if its holder released it, or did not renew it in time and will not (step 2). One that
		// its holder does not know has not begun.
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
			continue // still held by a member that gets nothing new
		}
		shards = append(shards, s)
	}
	if t.Disabled {
		return orders
	}
	if now < k.startedAt+k.gracePeriod() && len(ended) == len(shards) {
		return orders // the member that is heard first would get everything
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
