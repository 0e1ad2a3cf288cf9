package registry

import (
	"slices"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
)

// SetLeaseConfig replaces the set of tasks; its version is the log index. Leases are added and removed
// with their shards. On an error nothing is changed.
func (r *Registry) SetLeaseConfig(index uint64, c lease.Config) error {
	if r.QuotaConfig.Version == 0 {
		return quota.ErrNoBudgets
	}
	if err := c.Validate(&r.QuotaConfig); err != nil {
		return err
	}
	held := func(task string) bool {
		return slices.ContainsFunc(r.Leases, func(l lease.Lease) bool { return l.Task == task && l.Holder != "" })
	}
	if err := c.ValidateChange(&r.LeaseConfig, held); err != nil {
		return err
	}
	c.Version = index
	r.LeaseConfig = c
	var all []lease.Lease
	for i := range c.Tasks {
		for shard := range c.Tasks[i].Shards {
			k := lease.Key{Task: c.Tasks[i].Name, Shard: shard}
			l := lease.Lease{Key: k, ChangedIndex: index}
			if existing := r.Lease(k); existing != nil {
				l = *existing
			}
			all = append(all, l)
		}
	}
	slices.SortFunc(all, func(a, b lease.Lease) int { return lease.CompareKeys(a.Key, b.Key) })
	r.Leases = all
	return nil
}

// Lease returns the lease of that key, or nil.
func (r *Registry) Lease(k lease.Key) *lease.Lease {
	at, found := slices.BinarySearchFunc(r.Leases, k, func(l lease.Lease, k lease.Key) int { return lease.CompareKeys(l.Key, k) })
	if !found {
		return nil
	}
	return &r.Leases[at]
}

// ApplyEvents applies events and returns those that had an effect (package lease, step 4). seenToken is
// the newest token that a guarded resource has seen; the next grant gets a greater one.
func (r *Registry) ApplyEvents(index, seenToken uint64, events []lease.Event) (applied []lease.Event) {
	r.LastToken = max(r.LastToken, seenToken)
	for _, e := range events {
		l := r.Lease(e.Key)
		if l == nil || l.Token != e.ExpectedToken {
			continue
		}
		registered := r.memberIndex(e.Member) >= 0
		switch e.Kind {
		case lease.EventGrant:
			if !registered {
				continue
			}
			r.LastToken = max(r.LastToken+1, index) // step 3
			pin := ""
			if l.PinnedTo == e.Member {
				pin = e.Member
			}
			*l = lease.Lease{Key: l.Key, Token: r.LastToken, Holder: e.Member, PinnedTo: pin}
		case lease.EventPlan:
			if !registered && e.Member != lease.AnyMember {
				continue
			}
			l.NextHolder = e.Member
			if e.Pinned {
				l.PinnedTo = ""
				if registered {
					l.PinnedTo = e.Member
				}
			}
		case lease.EventRelease:
			l.Holder, l.NextHolder = "", ""
		}
		l.ChangedIndex = index
		applied = append(applied, e)
	}
	return applied
}

// releaseLeases releases the leases of removed members. These have left and stopped using them, or
// their sessions lasted longer than their leases.
func (r *Registry) releaseLeases(ids []string) {
	for i := range r.Leases {
		l := &r.Leases[i]
		for _, memberID := range []*string{&l.Holder, &l.NextHolder, &l.PinnedTo} {
			if *memberID != "" && slices.Contains(ids, *memberID) {
				*memberID = ""
			}
		}
		if l.Holder == "" {
			l.NextHolder = ""
		}
	}
}

// LastChangeFor returns the log index of the last change of any lease that the member holds; 0: it
// holds none.
func (r *Registry) LastChangeFor(id string) (index uint64) {
	for i := range r.Leases {
		if r.Leases[i].Holder == id {
			index = max(index, r.Leases[i].ChangedIndex)
		}
	}
	return index
}
