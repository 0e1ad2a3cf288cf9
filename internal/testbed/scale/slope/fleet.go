package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/lessor"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/allocator"
	"spindlehitch/internal/controlplane/quota/quotaclient"
	"spindlehitch/internal/controlplane/registry"
	"spindlehitch/internal/observability/accounts"
)

// used is how many targets each member of a probe holds connections to, beside the fleet's own wholes.
const used = 8

var memberSizes = []float64{100, 232, 538, 1250, 2900}

// budgets is a set of four, for so many members.
func budgets(seats int) (quota.Config, error) {
	n := float64(seats)
	d := quota.Config{Version: 1, MaxSessions: seats, Budgets: []quota.Budget{
		{Name: "work", Resource: quota.AllWork, Capacity: 100 * n, Burst: 100 * n, FloorRate: 1, FloorBurst: 1},
		{Name: "repeats", Resource: quota.Retries, Capacity: 10 * n, Burst: 10 * n, FloorRate: 1, FloorBurst: 1},
		{Name: "cold", Resource: quota.ColdWork, Scope: quota.PerTarget, Capacity: 10 * n, Burst: 10 * n, FloorRate: 1, FloorBurst: 1},
		{Name: "conns", Resource: quota.Connections, Scope: quota.PerTarget, Kind: "stock", Capacity: 3 * n, FloorRate: 1, LingerMs: 3000}}}
	return d, d.Validate()
}

func member(i int) quota.Member {
	id := fmt.Sprintf("member-%05d", i)
	return quota.Member{ID: id, Name: id, Addr: fmt.Sprintf("10.0.%d.%d:8080", i>>8, i&255), Weight: 1, Incarnation: uint64(i + 1)}
}

// seated is a holder with a seat and connections to some targets.
func seated(now time.Duration, id string, doc quota.Config) *quotaclient.Client {
	h := quotaclient.New(quota.Resources)
	h.Register(now, id, doc)
	for k := range used {
		h.OpenConnection(now, target(k))
	}
	return h
}

func fleetProbes() []Probe { //nolint:gocognit // to be split with its package, see docs/left.md
	return []Probe{{
		About: "internal/controlplane/quota/allocator: renewals of members with four budgets and connections to eight targets each; the join of one more; its heap",
		Gives: []Gives{{Name: "giver.renew", Unit: "us", Of: "one renewal", Per: "member"},
			{Name: "giver.join", Unit: "us", Of: "one join", Per: "member"},
			{Name: "giver.memory", Unit: "B", Of: "the giver's book", Per: "member", Rough: true},
			{Name: "giver.renewals.wire", Unit: "B", Of: "a renewal of each and its answer, as JSON", Per: "member", Exact: true}},
		Sizes: memberSizes, Short: []float64{100, 232, 538, 1250}, Turns: 3,
		Run: func(_ context.Context, size int) ([]float64, error) {
			doc, err := budgets(size + 1)
			if err != nil {
				return nil, err
			}
			all := make([]quota.Member, size)
			holders := make([]*quotaclient.Client, size)
			now := time.Hour
			for i := range all {
				all[i] = member(i)
				holders[i] = seated(now, all[i].ID, doc)
			}
			now += time.Minute
			wire := 0
			i := 0
			var g *allocator.Allocator
			renew := func() {
				now += time.Second / time.Duration(size)
				r := holders[i%size].BeginRenewal(now)
				var a quota.RenewalResponse
				if a, err = g.Renew(now, r); err != nil {
					return
				}
				holders[i%size].AcceptRenewal(now, a)
				if i/size == 1 { // the second round: parts are out
					asked, _ := json.Marshal(r)
					told, _ := json.Marshal(a)
					wire += len(asked) + len(told)
				}
				i++
			}
			before := heap()
			g = allocator.New(time.Hour, doc, all)
			for range 2 * size {
				renew()
			}
			held := max(0, heap()-before)
			cost := quickest(3, 100*time.Millisecond, func() {
				for range size {
					renew()
				}
			}) / float64(size)
			if err != nil {
				return nil, err
			}
			more := append(all[:size:size], member(size))
			join := quickest(3, 50*time.Millisecond, func() {
				g.Update(now, doc, more)
				g.Update(now, doc, all)
			}) / 2
			return []float64{cost, join, held, float64(wire)}, nil
		},
	}, {
		About: "internal/controlplane/quota/quotaclient and giver: a renewal and its answer, as JSON, by targets that the member has connections to; 1,024 keys are the most that one member names",
		Gives: []Gives{{Name: "renewal.wire", Unit: "B", Of: "a renewal and its answer", Per: "target used", Exact: true}},
		Sizes: []float64{8, 32, 128, 512, 1000}, Short: []float64{8, 16, 32, 64},
		Run: func(_ context.Context, size int) ([]float64, error) {
			doc, err := budgets(10)
			if err != nil {
				return nil, err
			}
			now, m := time.Hour, member(0)
			h := seated(now, m.ID, doc)
			for k := used; k < size; k++ {
				h.OpenConnection(now, target(k))
			}
			g := allocator.New(now, doc, []quota.Member{m})
			now += time.Minute
			wire := 0
			for range 2 {
				now += time.Second
				r := h.BeginRenewal(now)
				a, err := g.Renew(now, r)
				if err != nil {
					return nil, err
				}
				h.AcceptRenewal(now, a)
				asked, _ := json.Marshal(r)
				told, _ := json.Marshal(a)
				wire = len(asked) + len(told)
			}
			return []float64{float64(wire)}, nil
		},
	}, {
		About: "internal/controlplane/lease/lessor: claims of 100 members that hold all shards of up to four tasks between them; what the log is asked to change, with nothing to do",
		Gives: []Gives{{Name: "keeper.claim", Unit: "us", Of: "one claim", Per: "shard"}, {Name: "keeper.orders", Unit: "us", Of: "a look for orders, 100 members", Per: "shard"}},
		Sizes: []float64{100, 250, 625, 1560, 3900}, Short: []float64{100, 250, 625, 1560}, Turns: 3,
		Run: func(_ context.Context, size int) ([]float64, error) {
			k, now, claims, err := kept(100, size)
			if err != nil {
				return nil, err
			}
			i := 0
			claim := quickest(5, 100*time.Millisecond, func() {
				for range 100 {
					c := &claims[i%100]
					c.Seq++
					if _, e := k.Renew(now, member(i%100).ID, *c); e != nil {
						err = e
					}
					i++
				}
			}) / 100
			orders := quickest(5, 100*time.Millisecond, func() { k.PendingEvents(now) })
			return []float64{claim, orders}, err
		},
	}, {
		About: "internal/controlplane/lease/lessor: a look for orders with 1,000 shards, with nothing to do; four a second and one after each change of the log",
		Gives: []Gives{{Name: "keeper.looks", Unit: "us", Of: "a look for orders, 1,000 shards", Per: "member"}},
		Sizes: memberSizes, Short: []float64{100, 232, 538, 1250}, Turns: 3,
		Run: func(_ context.Context, size int) ([]float64, error) {
			k, now, _, err := kept(size, 1000)
			if err != nil {
				return nil, err
			}
			return []float64{quickest(3, 200*time.Millisecond, func() { k.PendingEvents(now) })}, nil
		},
	}, {
		About: "internal/controlplane/registry: the copy of what the log says of the fleet that the leader makes after each change of the log and four times a second, with a snapshot's text",
		Gives: []Gives{{Name: "register.copy", Unit: "us", Of: "a copy", Per: "member"}, {Name: "register.text", Unit: "B", Of: "its part of a snapshot", Per: "member", Exact: true}},
		Sizes: memberSizes, Short: []float64{100, 232, 538, 1250}, Turns: 3,
		Run: func(_ context.Context, size int) ([]float64, error) {
			doc, err := budgets(size)
			if err != nil {
				return nil, err
			}
			r := registry.Registry{QuotaConfig: doc}
			for i := range size {
				r.Members = append(r.Members, member(i))
			}
			t, err := json.Marshal(r)
			return []float64{quickest(5, 50*time.Millisecond, func() { r.Clone() }), float64(len(t))}, err
		},
	}, {
		About: "internal/observability/accounts: what an instance tells of a window, as JSON, with so many volumes used",
		Gives: []Gives{{Name: "accounts.report", Unit: "B", Of: "an instance's accounts of a window", Per: "volume", Exact: true}, {Name: "accounts.memory", Unit: "B", Of: "an instance's book", Per: "volume", Rough: true}},
		Sizes: []float64{64, 256, 1024, 4096}, Short: []float64{32, 64, 128, 256},
		Run: func(_ context.Context, size int) ([]float64, error) {
			before := heap()
			b := accounts.New(accounts.Options{MaxVolumes: 4096, MaxPairs: 4096, MaxOpen: 64})
			m, err := newModule(64)
			if err != nil {
				return nil, err
			}
			at := time.Minute
			for i := range size * 20 {
				at += time.Millisecond
				id, node := fmt.Sprint("r", i), target(m.rng.IntN(64))
				b.Arrive(at, request(id, i%size))
				b.Release(at+200*time.Microsecond, id, node, 50*time.Microsecond, true)
				b.AttemptStarted(at+250*time.Microsecond, id)
				b.Served(id)
				b.AttemptEnded(at+time.Duration(500+m.rng.IntN(5000))*time.Microsecond, id, true)
				b.End(at+6*time.Millisecond, id)
				at += 6 * time.Millisecond
			}
			held := max(0, heap()-before)
			day := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
			t, err := json.Marshal(b.Snapshot("instance-00001", day, day.Add(time.Minute)))
			runtime.KeepAlive(b)
			return []float64{float64(len(t)), held}, err
		}}}
}

// kept is a keeper all of whose shards are held by members that renew, and the claim of each of them.
func kept(members, shards int) (*lessor.Lessor, time.Duration, []lease.RenewalRequest, error) {
	doc, err := budgets(members)
	if err != nil {
		return nil, 0, nil, err
	}
	r := &registry.Registry{QuotaConfig: doc, LeaseConfig: lease.Config{Version: 1}}
	claims := make([]lease.RenewalRequest, members)
	for i := range members {
		r.Members = append(r.Members, member(i))
		claims[i] = lease.RenewalRequest{Seq: 1, ConfigVersion: 1}
	}
	for n, left := 0, shards; left > 0; n++ {
		t := lease.Task{Name: fmt.Sprint("task-", n), Kind: lease.EndpointProbe, Shards: min(left, lease.MaxShards), MaxPauseMs: 2000, ProgressTimeoutMs: 3_600_000, MaxMoves: lease.MaxShards}
		left -= t.Shards
		r.LeaseConfig.Tasks = append(r.LeaseConfig.Tasks, t)
		for s := range t.Shards {
			i := (left + s) % members
			r.LastToken++
			k := lease.Key{Task: t.Name, Shard: s}
			r.Leases = append(r.Leases, lease.Lease{Key: k, Token: r.LastToken, Holder: member(i).ID})
			claims[i].Held = append(claims[i].Held, lease.HolderStatus{Key: k, Token: r.LastToken, Completed: 1})
		}
	}
	if err := r.LeaseConfig.Validate(&doc); err != nil {
		return nil, 0, nil, err
	}
	now := time.Hour
	k := lessor.New(now, r)
	now += time.Second
	for i := range claims {
		for _, t := range r.LeaseConfig.Tasks {
			claims[i].Tasks = append(claims[i].Tasks, t.Name)
		}
		if _, err := k.Renew(now, member(i).ID, claims[i]); err != nil {
			return nil, 0, nil, err
		}
	}
	return k, now, claims, nil
}
