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

// connectedTargets is the number of targets that each member of a probe holds connections to.
const connectedTargets = 8

var memberSizes = []float64{100, 232, 538, 1250, 2900}

// quotaConfig returns a configuration of four budgets for a number of members.
func quotaConfig(seats int) (quota.Config, error) {
	n := float64(seats)
	d := quota.Config{Version: 1, MaxSessions: seats, Budgets: []quota.Budget{
		{Name: "work", Resource: quota.AllWork, Capacity: 100 * n, Burst: 100 * n, FloorRate: 1, FloorBurst: 1},
		{Name: "repeats", Resource: quota.Retries, Capacity: 10 * n, Burst: 10 * n, FloorRate: 1, FloorBurst: 1},
		{Name: "cold", Resource: quota.ColdWork, Scope: quota.PerTarget, Capacity: 10 * n, Burst: 10 * n, FloorRate: 1, FloorBurst: 1},
		{Name: "conns", Resource: quota.Connections, Scope: quota.PerTarget, Kind: "stock", Capacity: 3 * n, FloorRate: 1, LingerMs: 3000}}}
	return d, d.Validate()
}

func quotaMember(i int) quota.Member {
	id := fmt.Sprintf("member-%05d", i)
	return quota.Member{ID: id, Name: id, Addr: fmt.Sprintf("10.0.%d.%d:8080", i>>8, i&255), Weight: 1, Incarnation: uint64(i + 1)}
}

// newQuotaClient returns a quota client with a session and connections to connectedTargets targets.
func newQuotaClient(now time.Duration, id string, doc quota.Config) *quotaclient.Client {
	h := quotaclient.New(quota.Resources)
	h.Register(now, id, doc)
	for k := range connectedTargets {
		h.OpenConnection(now, targetID(k))
	}
	return h
}

func controlProbes() []Probe { //nolint:gocognit // to be split with its package, see docs/left.md
	return []Probe{{
		Description: "internal/controlplane/quota/allocator: renewals of members with four budgets and connections to eight targets each; the join of one more; its heap",
		Metrics: []Metric{{Name: "giver.renew", Unit: "us", Subject: "one renewal", Per: "member"},
			{Name: "giver.join", Unit: "us", Subject: "one join", Per: "member"},
			{Name: "giver.memory", Unit: "B", Subject: "the giver's book", Per: "member", Noisy: true},
			{Name: "giver.renewals.wire", Unit: "B", Subject: "a renewal of each and its answer, as JSON", Per: "member", Exact: true}},
		Sizes: memberSizes, ShortSizes: []float64{100, 232, 538, 1250}, Repeats: 3,
		Run: func(_ context.Context, size int) ([]float64, error) {
			doc, err := quotaConfig(size + 1)
			if err != nil {
				return nil, err
			}
			all := make([]quota.Member, size)
			quotaClients := make([]*quotaclient.Client, size)
			now := time.Hour
			for i := range all {
				all[i] = quotaMember(i)
				quotaClients[i] = newQuotaClient(now, all[i].ID, doc)
			}
			now += time.Minute
			wire := 0
			i := 0
			var g *allocator.Allocator
			renew := func() {
				now += time.Second / time.Duration(size)
				r := quotaClients[i%size].BeginRenewal(now)
				var a quota.RenewalResponse
				if a, err = g.Renew(now, r); err != nil {
					return
				}
				quotaClients[i%size].AcceptRenewal(now, a)
				if i/size == 1 { // the second round: allocations have been granted
					requestText, _ := json.Marshal(r)
					responseText, _ := json.Marshal(a)
					wire += len(requestText) + len(responseText)
				}
				i++
			}
			before := heapBytes()
			g = allocator.New(time.Hour, doc, all)
			for range 2 * size {
				renew()
			}
			held := max(0, heapBytes()-before)
			cost := minMicros(3, 100*time.Millisecond, func() {
				for range size {
					renew()
				}
			}) / float64(size)
			if err != nil {
				return nil, err
			}
			more := append(all[:size:size], quotaMember(size))
			join := minMicros(3, 50*time.Millisecond, func() {
				g.Update(now, doc, more)
				g.Update(now, doc, all)
			}) / 2
			return []float64{cost, join, held, float64(wire)}, nil
		},
	}, {
		Description: "internal/controlplane/quota/quotaclient and giver: a renewal and its answer, as JSON, by targets that the member has connections to; 1,024 keys are the most that one member names",
		Metrics:     []Metric{{Name: "renewal.wire", Unit: "B", Subject: "a renewal and its answer", Per: "target used", Exact: true}},
		Sizes:       []float64{8, 32, 128, 512, 1000}, ShortSizes: []float64{8, 16, 32, 64},
		Run: func(_ context.Context, size int) ([]float64, error) {
			doc, err := quotaConfig(10)
			if err != nil {
				return nil, err
			}
			now, m := time.Hour, quotaMember(0)
			h := newQuotaClient(now, m.ID, doc)
			for k := connectedTargets; k < size; k++ {
				h.OpenConnection(now, targetID(k))
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
				requestText, _ := json.Marshal(r)
				responseText, _ := json.Marshal(a)
				wire = len(requestText) + len(responseText)
			}
			return []float64{float64(wire)}, nil
		},
	}, {
		Description: "internal/controlplane/lease/lessor: claims of 100 members that hold all shards of up to four tasks between them; what the log is asked to change, with nothing to do",
		Metrics:     []Metric{{Name: "keeper.claim", Unit: "us", Subject: "one claim", Per: "shard"}, {Name: "keeper.orders", Unit: "us", Subject: "a look for orders, 100 members", Per: "shard"}},
		Sizes:       []float64{100, 250, 625, 1560, 3900}, ShortSizes: []float64{100, 250, 625, 1560}, Repeats: 3,
		Run: func(_ context.Context, size int) ([]float64, error) {
			k, now, claims, err := newLessor(100, size)
			if err != nil {
				return nil, err
			}
			i := 0
			claim := minMicros(5, 100*time.Millisecond, func() {
				for range 100 {
					c := &claims[i%100]
					c.Seq++
					if _, e := k.Renew(now, quotaMember(i%100).ID, *c); e != nil {
						err = e
					}
					i++
				}
			}) / 100
			orders := minMicros(5, 100*time.Millisecond, func() { k.PendingEvents(now) })
			return []float64{claim, orders}, err
		},
	}, {
		Description: "internal/controlplane/lease/lessor: a look for orders with 1,000 shards, with nothing to do; four a second and one after each change of the log",
		Metrics:     []Metric{{Name: "keeper.looks", Unit: "us", Subject: "a look for orders, 1,000 shards", Per: "member"}},
		Sizes:       memberSizes, ShortSizes: []float64{100, 232, 538, 1250}, Repeats: 3,
		Run: func(_ context.Context, size int) ([]float64, error) {
			k, now, _, err := newLessor(size, 1000)
			if err != nil {
				return nil, err
			}
			return []float64{minMicros(3, 200*time.Millisecond, func() { k.PendingEvents(now) })}, nil
		},
	}, {
		Description: "internal/controlplane/registry: the copy of what the log says of the fleet that the leader makes after each change of the log and four times a second, with a snapshot's text",
		Metrics:     []Metric{{Name: "register.copy", Unit: "us", Subject: "a copy", Per: "member"}, {Name: "register.text", Unit: "B", Subject: "its part of a snapshot", Per: "member", Exact: true}},
		Sizes:       memberSizes, ShortSizes: []float64{100, 232, 538, 1250}, Repeats: 3,
		Run: func(_ context.Context, size int) ([]float64, error) {
			doc, err := quotaConfig(size)
			if err != nil {
				return nil, err
			}
			r := registry.Registry{QuotaConfig: doc}
			for i := range size {
				r.Members = append(r.Members, quotaMember(i))
			}
			t, err := json.Marshal(r)
			return []float64{minMicros(5, 50*time.Millisecond, func() { r.Clone() }), float64(len(t))}, err
		},
	}, {
		Description: "internal/observability/accounts: what an instance tells of a window, as JSON, with so many volumes used",
		Metrics:     []Metric{{Name: "accounts.report", Unit: "B", Subject: "an instance's accounts of a window", Per: "volume", Exact: true}, {Name: "accounts.memory", Unit: "B", Subject: "an instance's book", Per: "volume", Noisy: true}},
		Sizes:       []float64{64, 256, 1024, 4096}, ShortSizes: []float64{32, 64, 128, 256},
		Run: func(_ context.Context, size int) ([]float64, error) {
			before := heapBytes()
			b := accounts.New(accounts.Options{MaxVolumes: 4096, MaxPairs: 4096, MaxOpen: 64})
			m, err := newSchedulerLoad(64)
			if err != nil {
				return nil, err
			}
			at := time.Minute
			for i := range size * 20 {
				at += time.Millisecond
				id, node := fmt.Sprint("r", i), targetID(m.rng.IntN(64))
				b.Arrive(at, policyRequest(id, i%size))
				b.Release(at+200*time.Microsecond, id, node, 50*time.Microsecond, true)
				b.AttemptStarted(at+250*time.Microsecond, id)
				b.Served(id)
				b.AttemptEnded(at+time.Duration(500+m.rng.IntN(5000))*time.Microsecond, id, true)
				b.End(at+6*time.Millisecond, id)
				at += 6 * time.Millisecond
			}
			held := max(0, heapBytes()-before)
			day := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
			t, err := json.Marshal(b.Snapshot("instance-00001", day, day.Add(time.Minute)))
			runtime.KeepAlive(b)
			return []float64{float64(len(t)), held}, err
		}}}
}

// newLessor returns a lessor whose shards are all leased to members that renew, the current time, and the renewal request of each member.
func newLessor(members, shards int) (*lessor.Lessor, time.Duration, []lease.RenewalRequest, error) {
	doc, err := quotaConfig(members)
	if err != nil {
		return nil, 0, nil, err
	}
	r := &registry.Registry{QuotaConfig: doc, LeaseConfig: lease.Config{Version: 1}}
	claims := make([]lease.RenewalRequest, members)
	for i := range members {
		r.Members = append(r.Members, quotaMember(i))
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
			r.Leases = append(r.Leases, lease.Lease{Key: k, Token: r.LastToken, Holder: quotaMember(i).ID})
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
		if _, err := k.Renew(now, quotaMember(i).ID, claims[i]); err != nil {
			return nil, 0, nil, err
		}
	}
	return k, now, claims, nil
}
