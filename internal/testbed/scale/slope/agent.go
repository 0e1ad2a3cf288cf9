package slope

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/quota/quotaclient"
	"spindlehitch/internal/process/monotonic"
)

// configuration is one of so many bytes that passes for an instance's.
func configuration(name string, bytes int) []byte {
	head := fmt.Sprintf(`{"name":%q,"settings":"`, name)
	return []byte(head + strings.Repeat("s", max(0, bytes-len(head)-2)) + `"}`)
}

func instance(i int) string { return fmt.Sprintf("instance-%05d", i) }

// usual is what an instance's configuration takes in these probes.
const usual = 2000

func agentProbes() []Probe { //nolint:gocognit // to be split with its package, see docs/left.md
	quiet := slog.New(slog.DiscardHandler)
	return []Probe{{
		About: "internal/controlplane/agent: a group of three, each a process; configurations of 2,000 bytes put 16 at a time, each of another instance",
		Gives: []Gives{{Name: "agent.change.time", Unit: "us", Of: "changes, 16 at a time", Per: "change", Rough: true},
			{Name: "agent.change.cpu", Unit: "us", Of: "the leader", Per: "change", Rough: true},
			{Name: "agent.change.follower", Unit: "us", Of: "a follower", Per: "change", Rough: true},
			{Name: "agent.change.disk", Unit: "B", Of: "an agent's folder", Per: "change", Rough: true},
			{Name: "agent.memory", Unit: "B", Of: "a follower's heap", Per: "instance", Rough: true}},
		Sizes: []float64{200, 400, 800, 1600, 3200}, Short: []float64{20, 40, 80, 160}, Turns: 3,
		Run: func(ctx context.Context, size int) ([]float64, error) {
			g, err := newGroup(ctx)
			if err != nil {
				return nil, err
			}
			defer g.stop()
			if err := g.put(ctx, 16, usual, 16); err != nil { // connections are made
				return nil, err
			}
			leader, follower, err := g.roles(ctx)
			if err != nil {
				return nil, err
			}
			before, err := g.look()
			if err != nil {
				return nil, err
			}
			disk := g.disk(follower)
			began := time.Now()
			if err := g.put(ctx, size, usual, 16); err != nil {
				return nil, err
			}
			took := time.Since(began)
			after, err := g.look()
			if err != nil {
				return nil, err
			}
			return []float64{float64(took.Microseconds()), after[leader].CPU - before[leader].CPU, after[follower].CPU - before[follower].CPU,
				float64(g.disk(follower) - disk), after[follower].Heap - before[follower].Heap}, nil
		},
	}, {
		About: "internal/controlplane/agent: one change of a configuration of that size, in the log of the group and at whoever asks for it",
		Gives: []Gives{{Name: "agent.entry", Unit: "B", Of: "an entry of the log", Per: "byte of configuration", Exact: true},
			{Name: "agent.answer", Unit: "B", Of: "an answer to an instance, HTTP's head included", Per: "byte of configuration", Exact: true}},
		Sizes: []float64{500, 1000, 2000, 8000, 32_000}, Short: []float64{500, 1000, 2000, 4000}, Beside: true,
		Run: func(ctx context.Context, size int) ([]float64, error) {
			g, err := newGroup(ctx)
			if err != nil {
				return nil, err
			}
			defer g.stop()
			const changes = 8
			if err := g.put(ctx, changes, size, 1); err != nil {
				return nil, err
			}
			leader, _, err := g.roles(ctx)
			if err != nil {
				return nil, err
			}
			before, err := g.look()
			if err != nil {
				return nil, err
			}
			for i := range changes {
				resp, err := http.Get("http://" + g.Addrs[leader] + "/v1/instances/" + instance(i) + "?stale")
				if err != nil {
					return nil, err
				}
				resp.Body.Close()
			}
			after, err := g.look()
			if err != nil {
				return nil, err
			}
			entry, err := g.entries(changes)
			return []float64{entry / changes, (after[leader].Out - before[leader].Out) / changes}, err
		},
	}, {
		About: "internal/controlplane/agent: instances that follow their configurations at one agent of three, each agent a process: 4 s without a change, then 60 changes of another instance's",
		Gives: []Gives{{Name: "agent.follow.wire", Unit: "B/s", Of: "watches without a change, both ways", Per: "instance", Rough: true},
			{Name: "agent.follow.cpu", Unit: "us/s", Of: "the agent, watches without a change", Per: "instance", Rough: true},
			{Name: "agent.follow.memory", Unit: "B", Of: "the agent's heap", Per: "instance", Rough: true},
			{Name: "agent.wake.cpu", Unit: "us", Of: "the agent, a change that concerns none of them", Per: "instance", Rough: true},
			{Name: "follower.cpu", Unit: "us/s", Of: "the instances, watches without a change", Per: "instance", Rough: true},
			{Name: "agent.follow.connections", Unit: "connections", Of: "watches, at the agent named first", Per: "instance", Rough: true}},
		Sizes: []float64{50, 100, 200, 400, 800}, Short: []float64{4, 8, 16, 32},
		Run: func(ctx context.Context, size int) ([]float64, error) {
			g, err := newGroup(ctx)
			if err != nil {
				return nil, err
			}
			defer g.stop()
			if err := g.put(ctx, size, usual, 16); err != nil {
				return nil, err
			}
			before, err := g.look()
			if err != nil {
				return nil, err
			}
			http.DefaultTransport.(*http.Transport).CloseIdleConnections() // those that the changes were put on
			watch, stop := context.WithCancel(ctx)
			var all sync.WaitGroup
			defer all.Wait()
			defer stop()
			var told atomic.Int64
			for i := range size {
				c := agent.Client{Addrs: g.Addrs}
				all.Go(func() { c.FollowConfig(watch, instance(i), quiet, func(agent.Entry) { told.Add(1) }) })
			}
			if err := until(ctx, "a configuration known to all", func() bool { return told.Load() >= int64(size) }); err != nil {
				return nil, err
			}
			if err := pause(ctx, 500*time.Millisecond); err != nil {
				return nil, err
			}
			began, own := time.Now(), cpu()
			from, err := g.look()
			if err != nil {
				return nil, err
			}
			if err := pause(ctx, idleFor); err != nil {
				return nil, err
			}
			to, err := g.look()
			if err != nil {
				return nil, err
			}
			lasted, mine := time.Since(began).Seconds(), float64((cpu() - own).Microseconds())
			idle := (to[0].CPU - from[0].CPU) / lasted
			const changes = 60
			began = time.Now()
			for range changes {
				if _, err := g.PutConfig(ctx, "another", configuration("another", usual), ""); err != nil {
					return nil, err
				}
			}
			end, err := g.look()
			if err != nil {
				return nil, err
			}
			woken := max(0, end[0].CPU-to[0].CPU-idle*time.Since(began).Seconds()) / changes
			return []float64{(to[0].In + to[0].Out - from[0].In - from[0].Out) / lasted, idle, max(0, from[0].Heap-before[0].Heap), woken, mine / lasted,
				to[0].Conns - before[0].Conns}, nil
		},
	}, {
		About: "internal/controlplane/agent: members that renew once a second with four budgets and connections to eight targets each, at a group of three processes, for 4 s, after their joins",
		Gives: []Gives{{Name: "leader.cpu", Unit: "us/s", Of: "the leader", Per: "member", Rough: true},
			{Name: "leader.wire", Unit: "B/s", Of: "renewals and answers at the leader, both ways", Per: "member", Rough: true},
			{Name: "leader.follower", Unit: "us/s", Of: "a follower", Per: "member", Rough: true},
			{Name: "renewer.cpu", Unit: "us/s", Of: "the members, their loops and HTTP", Per: "member", Rough: true},
			{Name: "leader.join", Unit: "us", Of: "the leader, joins", Per: "member", Rough: true},
			{Name: "leader.joins", Unit: "us", Of: "joins, 16 at a time", Per: "member", Rough: true}},
		Sizes: []float64{50, 100, 200, 400, 800}, Short: []float64{4, 8, 16, 32},
		Run: renewals,
	}}
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func renewals(ctx context.Context, size int) ([]float64, error) {
	g, err := newGroup(ctx)
	if err != nil {
		return nil, err
	}
	defer g.stop()
	doc, err := budgets(size)
	if err != nil {
		return nil, err
	}
	doc.Version = 0
	if doc, err = g.SetQuotaConfig(ctx, doc); err != nil {
		return nil, err
	}
	leader, follower, err := g.roles(ctx)
	if err != nil {
		return nil, err
	}
	before, err := g.look()
	if err != nil {
		return nil, err
	}
	clients := make([]agent.Client, size)
	holders := make([]*quotaclient.Client, size)
	began := time.Now()
	if err := atOnce(size, 16, func(i int) error {
		clients[i].Addrs = g.Addrs
		m, d, err := clients[i].Join(ctx, member(i))
		if err == nil {
			holders[i] = seated(monotonic.Now(), m.ID, d)
		}
		return err
	}); err != nil {
		return nil, err
	}
	joined := time.Since(began)
	from, err := g.look()
	if err != nil {
		return nil, err
	}
	if doc.Version == 0 {
		return nil, fmt.Errorf("the budgets have no version")
	}
	// A round before what is measured: connections are made, parts are out.
	var failed atomic.Int64
	round := func(last time.Duration) {
		end := time.Now().Add(last)
		var all sync.WaitGroup
		for i := range size {
			all.Go(func() {
				for next := time.Now().Add(time.Duration(i) * time.Second / time.Duration(size)); next.Before(end); next = next.Add(time.Second) {
					if pause(ctx, time.Until(next)) != nil {
						return
					}
					call, done := context.WithTimeout(ctx, 5*time.Second)
					a, _, err := clients[i].Renew(call, holders[i].BeginRenewal(monotonic.Now()), nil)
					done()
					if err != nil {
						failed.Add(1)
						continue
					}
					holders[i].AcceptRenewal(monotonic.Now(), a)
				}
			})
		}
		all.Wait()
	}
	round(1500 * time.Millisecond)
	warm, err := g.look()
	if err != nil {
		return nil, err
	}
	start, own := time.Now(), cpu()
	round(idleFor)
	lasted, mine := time.Since(start).Seconds(), float64((cpu() - own).Microseconds())
	to, err := g.look()
	if err != nil {
		return nil, err
	}
	if n := failed.Load(); n > int64(size)/10 {
		return nil, fmt.Errorf("%d renewals of %d members failed", n, size)
	}
	return []float64{(to[leader].CPU - warm[leader].CPU) / lasted, (to[leader].In + to[leader].Out - warm[leader].In - warm[leader].Out) / lasted,
		(to[follower].CPU - warm[follower].CPU) / lasted, mine / lasted, from[leader].CPU - before[leader].CPU, float64(joined.Microseconds())}, nil
}

// atOnce does something for each of n, so many at a time, and returns the first error.
func atOnce(n, most int, do func(i int) error) error {
	var next atomic.Int64
	errs := make(chan error, most)
	for range most {
		go func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= n {
					errs <- nil
					return
				}
				if err := do(i); err != nil {
					errs <- err
					return
				}
			}
		}()
	}
	var first error
	for range most {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}
