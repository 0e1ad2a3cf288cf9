package registry

import (
	"slices"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
)

// SetTasks takes a checked set of tasks over at the log's index, its new version; an error changes nothing. Shards come and go with it.
func (r *Register) SetTasks(index uint64, d lease.Doc) error {
	if r.Doc.Version == 0 {
		return quota.NoBudgets
	}
	if err := d.Check(&r.Doc); err != nil {
		return err
	}
	held := func(task string) bool {
		return slices.ContainsFunc(r.Leases, func(l lease.Lease) bool { return l.Task == task && l.Holder != "" })
	}
	if err := d.Follows(&r.Tasks, held); err != nil {
		return err
	}
	d.Version = index
	r.Tasks = d
	var all []lease.Lease
	for i := range d.Tasks {
		for shard := range d.Tasks[i].Shards {
			k := lease.Key{Task: d.Tasks[i].Name, Shard: shard}
			l := lease.Lease{Key: k, Changed: index}
			if had := r.Lease(k); had != nil {
				l = *had
			}
			all = append(all, l)
		}
	}
	slices.SortFunc(all, func(a, b lease.Lease) int { return lease.Compare(a.Key, b.Key) })
	r.Leases = all
	return nil
}

// Lease returns the lease of that name, or nil.
func (r *Register) Lease(k lease.Key) *lease.Lease {
	at, there := slices.BinarySearchFunc(r.Leases, k, func(l lease.Lease, k lease.Key) int { return lease.Compare(l.Key, k) })
	if !there {
		return nil
	}
	return &r.Leases[at]
}

// Order carries out orders at the log's index and returns those that were not void (4). seen is a token that a place has been shown: the
// next is greater.
func (r *Register) Order(index, seen uint64, orders []lease.Order) (done []lease.Order) {
	r.Token = max(r.Token, seen)
	for _, o := range orders {
		l := r.Lease(o.Key)
		if l == nil || l.Token != o.Over {
			continue
		}
		member := r.find(o.To) >= 0
		switch o.Do {
		case lease.Grant:
			if !member {
				continue
			}
			r.Token = max(r.Token+1, index) // (3)
			pin := ""
			if l.Pin == o.To {
				pin = o.To
			}
			*l = lease.Lease{Key: l.Key, Token: r.Token, Holder: o.To, Pin: pin}
		case lease.Plan:
			if !member && o.To != lease.Anyone {
				continue
			}
			l.Next = o.To
			if o.Pin {
				l.Pin = ""
				if member {
					l.Pin = o.To
				}
			}
		case lease.Free:
			l.Holder, l.Next = "", ""
		}
		l.Changed = index
		done = append(done, o)
	}
	return done
}

// vacate frees what members held that have left: they said that they do nothing any more, or their seats outlasted their leases.
func (r *Register) vacate(ids []string) {
	for i := range r.Leases {
		l := &r.Leases[i]
		for _, of := range []*string{&l.Holder, &l.Next, &l.Pin} {
			if *of != "" && slices.Contains(ids, *of) {
				*of = ""
			}
		}
		if l.Holder == "" {
			l.Next = ""
		}
	}
}

// ChangedFor is the index of the last change of a lease that a member has; 0: it has none.
func (r *Register) ChangedFor(id string) (index uint64) {
	for i := range r.Leases {
		if r.Leases[i].Holder == id {
			index = max(index, r.Leases[i].Changed)
		}
	}
	return index
}
