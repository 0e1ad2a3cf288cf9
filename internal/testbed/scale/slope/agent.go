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

// paddedConfig returns a configuration padded to a size in bytes.
func paddedConfig(name string, bytes int) []byte {
	head := fmt.Sprintf(`{"name":%q,"settings":"`, name)
	return []byte(head + strings.Repeat("s", max(0, bytes-len(head)-2)) + `"}`)
}

func instanceName(i int) string { return fmt.Sprintf("instance-%05d", i) }

// sampleConfigBytes is the size of an instance's configuration in these probes.
const sampleConfigBytes = 2000

func agentProbes() []Probe { //nolint:gocognit // to be split with its package, see docs/left.md
	quiet := slog.New(slog.DiscardHandler)
	return []Probe{{
		Description: "internal/controlplane/agent: a group of three, each a process; configurations of 2,000 bytes put 16 at a time, each of another instance",
		Metrics: []Metric{{Name: "agent.change.time", Unit: "us", Subject: "changes, 16 at a time", Per: "change", Noisy: true},
			{Name: "agent.change.cpu", Unit: "us", Subject: "the leader", Per: "change", Noisy: true},
			{Name: "agent.change.follower", Unit: "us", Subject: "a follower", Per: "change", Noisy: true},
			{Name: "agent.change.disk", Unit: "B", Subject: "an agent's folder", Per: "change", Noisy: true},
			{Name: "agent.memory", Unit: "B", Subject: "a follower's heap", Per: "instance", Noisy: true}},
		Sizes: []float64{200, 400, 800, 1600, 3200}, ShortSizes: []float64{20, 40, 80, 160}, Repeats: 3,
		Run: func(ctx context.Context, size int) ([]float64, error) {
			g, err := newAgentGroup(ctx)
			if err != nil {
				return nil, err
			}
			defer g.cleanup()
			if err := g.putConfigs(ctx, 16, sampleConfigBytes, 16); err != nil { // opens the connections
				return nil, err
			}
			leader, follower, err := g.roles(ctx)
			if err != nil {
				return nil, err
			}
			before, err := g.usage()
			if err != nil {
				return nil, err
			}
			disk := g.diskUsage(follower)
			began := time.Now()
			if err := g.putConfigs(ctx, size, sampleConfigBytes, 16); err != nil {
				return nil, err
			}
			took := time.Since(began)
			after, err := g.usage()
			if err != nil {
				return nil, err
			}
			return []float64{float64(took.Microseconds()), after[leader].CPU - before[leader].CPU, after[follower].CPU - before[follower].CPU,
				float64(g.diskUsage(follower) - disk), after[follower].Heap - before[follower].Heap}, nil
		},
	}, {
		Description: "internal/controlplane/agent: one change of a configuration of that size, in the log of the group and at whoever asks for it",
		Metrics: []Metric{{Name: "agent.entry", Unit: "B", Subject: "an entry of the log", Per: "byte of configuration", Exact: true},
			{Name: "agent.answer", Unit: "B", Subject: "an answer to an instance, HTTP's head included", Per: "byte of configuration", Exact: true}},
		Sizes: []float64{500, 1000, 2000, 8000, 32_000}, ShortSizes: []float64{500, 1000, 2000, 4000}, Concurrent: true,
		Run: func(ctx context.Context, size int) ([]float64, error) {
			g, err := newAgentGroup(ctx)
			if err != nil {
				return nil, err
			}
			defer g.cleanup()
			const changes = 8
			if err := g.putConfigs(ctx, changes, size, 1); err != nil {
				return nil, err
			}
			leader, _, err := g.roles(ctx)
			if err != nil {
				return nil, err
			}
			before, err := g.usage()
			if err != nil {
				return nil, err
			}
			for i := range changes {
				resp, err := http.Get("http://" + g.Addrs[leader] + "/v1/instances/" + instanceName(i) + "?stale")
				if err != nil {
					return nil, err
				}
				resp.Body.Close()
			}
			after, err := g.usage()
			if err != nil {
				return nil, err
			}
			entry, err := g.entryBytes(changes)
			return []float64{entry / changes, (after[leader].Out - before[leader].Out) / changes}, err
		},
	}, {
		Description: "internal/controlplane/agent: instances that follow their configurations at one agent of three, each agent a process: 4 s without a change, then 60 changes of another instance's",
		Metrics: []Metric{{Name: "agent.follow.wire", Unit: "B/s", Subject: "watches without a change, both ways", Per: "instance", Noisy: true},
			{Name: "agent.follow.cpu", Unit: "us/s", Subject: "the agent, watches without a change", Per: "instance", Noisy: true},
			{Name: "agent.follow.memory", Unit: "B", Subject: "the agent's heap", Per: "instance", Noisy: true},
			{Name: "agent.wake.cpu", Unit: "us", Subject: "the agent, a change that concerns none of them", Per: "instance", Noisy: true},
			{Name: "follower.cpu", Unit: "us/s", Subject: "the instances, watches without a change", Per: "instance", Noisy: true},
			{Name: "agent.follow.connections", Unit: "connections", Subject: "watches, at the agent named first", Per: "instance", Noisy: true}},
		Sizes: []float64{50, 100, 200, 400, 800}, ShortSizes: []float64{4, 8, 16, 32},
		Run: func(ctx context.Context, size int) ([]float64, error) {
			g, err := newAgentGroup(ctx)
			if err != nil {
				return nil, err
			}
			defer g.cleanup()
			if err := g.putConfigs(ctx, size, sampleConfigBytes, 16); err != nil {
				return nil, err
			}
			before, err := g.usage()
			if err != nil {
				return nil, err
			}
			http.DefaultTransport.(*http.Transport).CloseIdleConnections() // those that PutConfig opened
			watch, stop := context.WithCancel(ctx)
			var all sync.WaitGroup
			defer all.Wait()
			defer stop()
			var notified atomic.Int64
			for i := range size {
				c := agent.Client{Addrs: g.Addrs}
				all.Go(func() { c.FollowConfig(watch, instanceName(i), quiet, func(agent.Entry) { notified.Add(1) }) })
			}
			if err := waitUntil(ctx, "a configuration at all instances", func() bool { return notified.Load() >= int64(size) }); err != nil {
				return nil, err
			}
			if err := sleep(ctx, 500*time.Millisecond); err != nil {
				return nil, err
			}
			phaseStart, ownBefore := time.Now(), cpuTime()
			from, err := g.usage()
			if err != nil {
				return nil, err
			}
			if err := sleep(ctx, idlePeriod); err != nil {
				return nil, err
			}
			to, err := g.usage()
			if err != nil {
				return nil, err
			}
			seconds, ownMicros := time.Since(phaseStart).Seconds(), float64((cpuTime() - ownBefore).Microseconds())
			idle := (to[0].CPU - from[0].CPU) / seconds
			const changes = 60
			phaseStart = time.Now()
			for range changes {
				if _, err := g.PutConfig(ctx, "another", paddedConfig("another", sampleConfigBytes), ""); err != nil {
					return nil, err
				}
			}
			end, err := g.usage()
			if err != nil {
				return nil, err
			}
			wakeMicros := max(0, end[0].CPU-to[0].CPU-idle*time.Since(phaseStart).Seconds()) / changes
			return []float64{(to[0].In + to[0].Out - from[0].In - from[0].Out) / seconds, idle, max(0, from[0].Heap-before[0].Heap), wakeMicros, ownMicros / seconds,
				to[0].Conns - before[0].Conns}, nil
		},
	}, {
		Description: "internal/controlplane/agent: members that renew once a second with four budgets and connections to eight targets each, at a group of three processes, for 4 s, after their joins",
		Metrics: []Metric{{Name: "leader.cpu", Unit: "us/s", Subject: "the leader", Per: "member", Noisy: true},
			{Name: "leader.wire", Unit: "B/s", Subject: "renewals and answers at the leader, both ways", Per: "member", Noisy: true},
			{Name: "leader.follower", Unit: "us/s", Subject: "a follower", Per: "member", Noisy: true},
			{Name: "renewer.cpu", Unit: "us/s", Subject: "the members, their loops and HTTP", Per: "member", Noisy: true},
			{Name: "leader.join", Unit: "us", Subject: "the leader, joins", Per: "member", Noisy: true},
			{Name: "leader.joins", Unit: "us", Subject: "joins, 16 at a time", Per: "member", Noisy: true}},
		Sizes: []float64{50, 100, 200, 400, 800}, ShortSizes: []float64{4, 8, 16, 32},
		Run: measureRenewals,
	}}
}

// sleep waits for d and returns an error if ctx ends before.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// measureRenewals measures joins, and then renewals of all members once a second for idlePeriod.
func measureRenewals(ctx context.Context, size int) ([]float64, error) {
	g, err := newAgentGroup(ctx)
	if err != nil {
		return nil, err
	}
	defer g.cleanup()
	doc, err := quotaConfig(size)
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
	before, err := g.usage()
	if err != nil {
		return nil, err
	}
	clients := make([]agent.Client, size)
	quotaClients := make([]*quotaclient.Client, size)
	began := time.Now()
	if err := parallel(size, 16, func(i int) error {
		clients[i].Addrs = g.Addrs
		m, d, err := clients[i].Join(ctx, quotaMember(i))
		if err == nil {
			quotaClients[i] = newQuotaClient(monotonic.Now(), m.ID, d)
		}
		return err
	}); err != nil {
		return nil, err
	}
	joined := time.Since(began)
	from, err := g.usage()
	if err != nil {
		return nil, err
	}
	if doc.Version == 0 {
		return nil, fmt.Errorf("quota configuration has no version")
	}
	// A round before the measurement opens the connections and grants the allocations.
	var failed atomic.Int64
	round := func(duration time.Duration) {
		end := time.Now().Add(duration)
		var all sync.WaitGroup
		for i := range size {
			all.Go(func() {
				for next := time.Now().Add(time.Duration(i) * time.Second / time.Duration(size)); next.Before(end); next = next.Add(time.Second) {
					if sleep(ctx, time.Until(next)) != nil {
						return
					}
					call, done := context.WithTimeout(ctx, 5*time.Second)
					a, _, err := clients[i].Renew(call, quotaClients[i].BeginRenewal(monotonic.Now()), nil)
					done()
					if err != nil {
						failed.Add(1)
						continue
					}
					quotaClients[i].AcceptRenewal(monotonic.Now(), a)
				}
			})
		}
		all.Wait()
	}
	round(1500 * time.Millisecond)
	warm, err := g.usage()
	if err != nil {
		return nil, err
	}
	start, ownBefore := time.Now(), cpuTime()
	round(idlePeriod)
	seconds, ownMicros := time.Since(start).Seconds(), float64((cpuTime() - ownBefore).Microseconds())
	to, err := g.usage()
	if err != nil {
		return nil, err
	}
	if n := failed.Load(); n > int64(size)/10 {
		return nil, fmt.Errorf("%d renewals of %d members failed", n, size)
	}
	return []float64{(to[leader].CPU - warm[leader].CPU) / seconds, (to[leader].In + to[leader].Out - warm[leader].In - warm[leader].Out) / seconds,
		(to[follower].CPU - warm[follower].CPU) / seconds, ownMicros / seconds, from[leader].CPU - before[leader].CPU, float64(joined.Microseconds())}, nil
}

// parallel calls do for 0 to n-1, up to most at a time, and returns the first error. A worker stops at its first error.
func parallel(n, most int, do func(i int) error) error {
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
