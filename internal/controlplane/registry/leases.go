package registry

import (
	"slices"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
)

// SetLeaseConfig takes over a set of tasks; its version is the log index. Leases are added and removed
// with their shards. An error changes nothing.
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
			if had := r.Lease(k); had != nil {
				l = *had
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
	at, there := slices.BinarySearchFunc(r.Leases, k, func(l lease.Lease, k lease.Key) int { return lease.CompareKeys(l.Key, k) })
	if !there {
		return nil
	}
	return &r.Leases[at]
}

// ApplyEvents applies events and returns those that had an effect (package lease, step 4). seen is a
// token that a guarded resource was shown: the next grant gets a greater one.
func (r *Registry) ApplyEvents(index, seen uint64, orders []lease.Event) (done []lease.Event) {
	r.LastToken = max(r.LastToken, seen)
	for _, e := range orders {
		l := r.Lease(e.Key)
		if l == nil || l.Token != e.ExpectedToken {
			continue
		}
		member := r.memberIndex(e.Member) >= 0
		switch e.Kind {
		case lease.EventGrant:
			if !member {
				continue
			}
			r.LastToken = max(r.LastToken+1, index) // step 3
			pin := ""
			if l.PinnedTo == e.Member {
				pin = e.Member
			}
			*l = lease.Lease{Key: l.Key, Token: r.LastToken, Holder: e.Member, PinnedTo: pin}
		case lease.EventPlan:
			if !member && e.Member != lease.AnyMember {
				continue
			}
			l.NextHolder = e.Member
			if e.Pinned {
				l.PinnedTo = ""
				if member {
					l.PinnedTo = e.Member
				}
			}
		case lease.EventRelease:
			l.Holder, l.NextHolder = "", ""
		}
		l.ChangedIndex = index
		done = append(done, e)
	}
	return done
}

// releaseLeases releases what removed members held: they left and do nothing more, or their sessions
// lasted longer than their leases.
func (r *Registry) releaseLeases(ids []string) {
	for i := range r.Leases {
		l := &r.Leases[i]
		for _, of := range []*string{&l.Holder, &l.NextHolder, &l.PinnedTo} {
			if *of != "" && slices.Contains(ids, *of) {
				*of = ""
			}
		}
		if l.Holder == "" {
			l.NextHolder = ""
		}
	}
}

// LastChangeFor is the log index of the last change of a lease that the member holds; 0: it holds
// none.
func (r *Registry) LastChangeFor(id string) (index uint64) {
	for i := range r.Leases {
		if r.Leases[i].Holder == id {
			index = max(index, r.Leases[i].ChangedIndex)
		}
	}
	return index
}
