package faults

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/lease/lessee"
	terms "spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/process/monotonic"
)

// operationSteps are the failpoints in an operation at which processes are stopped.
var operationSteps = []string{"act.begun", "act.opened", "act.checked", "act.taken", "place.link", "place.linked", "act.ending"}

// TestLeasesScheduled runs random faults by a seed, and all the while stops members inside operations for longer than
// their lease, through failpoints. Operations on one shard must not overlap. In manual runs SPINDLEHITCH_FAULTS sets
// the length (such as 10m), with twenty members and thirty shards, and SPINDLEHITCH_SEED another seed.
func TestLeasesScheduled(t *testing.T) {
	t.Parallel()
	length, members, shards, seed := 15*time.Second, 5, 8, uint64(1)
	if d, err := time.ParseDuration(os.Getenv("SPINDLEHITCH_FAULTS")); err == nil {
		length, members, shards = d, 20, 30
	}
	seed = seedFromEnv(seed)
	d := newLeaseFleet(t, members, shards, 1.0005, 0, 0.9995)
	// Members are paused inside operations only, by failpoints.
	plan := slices.DeleteFunc(Schedule(seed, members, 3, length, 8*time.Second/time.Duration(members)), func(e Fault) bool { return e.Kind == "pause" })
	if path := os.Getenv("SPINDLEHITCH_RECORD"); path != "" {
		if b, err := EncodeSchedule(plan); err != nil || os.WriteFile(path, b, 0o644) != nil {
			t.Fatal("failed to write the schedule")
		}
	}
	rng := rand.New(rand.NewPCG(seed, 21))
	pausesInside := 0
	ctx, stop := context.WithCancel(t.Context())
	var failpointsRunning sync.WaitGroup
	failpointsRunning.Go(func() {
		for ctx.Err() == nil {
			n, step := d.instances[rng.IntN(members)], operationSteps[rng.IntN(len(operationSteps))]
			n.ArmFailpoint(step, "stop")
			for end := time.Now().Add(2 * time.Second); !n.FailpointHit(step) && time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
			}
			if n.DisarmFailpoint(step) || !n.FailpointHit(step) {
				continue // it held no shard or was dead
			}
			time.Sleep(leaseTTL + time.Duration(rng.Float64()*float64(leaseTTL)))
			if n.Stopped() {
				pausesInside++ // it was stopped for all of that time
			}
			n.Resume()
		}
	})
	counts := d.RunSchedule(plan, d.instances, d.agents)
	stop()
	failpointsRunning.Wait()
	d.waitBalanced("all shards to be held evenly after the faults", members)
	summary := d.checkWitness()
	t.Logf("seed %d, %v, %d members, %d shards: %v, %d pauses inside an operation for longer than a lease", seed, length, members, shards, counts, pausesInside)
	if pausesInside < int(length/(8*time.Second)) {
		t.Errorf("only %d pauses were inside an operation", pausesInside)
	}
	if summary.Tokens < shards {
		t.Errorf("%d tokens for %d shards", summary.Tokens, shards)
	}
}

// TestMeasureLeases measures the figures in docs/leases-operators.md: gaps after a kill, a cut, a shutdown and a
// release, and how many shards move. Manual only, with SPINDLEHITCH_FAULTS set.
func TestMeasureLeases(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_FAULTS") == "" {
		t.Skip("manual only: set SPINDLEHITCH_FAULTS")
	}
	d := newLeaseFleet(t, 20, 30)
	tokens := func() map[int]uint64 {
		all := map[int]uint64{}
		for _, l := range d.leases() {
			all[l.Shard] = l.Token
		}
		return all
	}
	// The gap of a moved shard is the time from a moment to the first call under the new token.
	measure := func(what string, n *Instance, do func()) {
		d.waitBalanced("balance before "+what, len(d.instances))
		time.Sleep(time.Second)
		tokensBefore, heldCount := tokens(), 0
		for _, l := range d.leases() {
			if n != nil && l.HolderName == n.Name {
				heldCount++
			}
		}
		from := time.Since(d.witness.began)
		do()
		after := time.Since(d.witness.began)
		time.Sleep(4 * leaseTTL)
		moved := 0
		var gaps []float64
		for shard, token := range tokens() {
			if token == tokensBefore[shard] {
				continue
			}
			moved++
			first := time.Duration(0)
			d.witness.mu.Lock()
			for _, c := range d.witness.calls {
				if c.Shard == shard && c.Token > tokensBefore[shard] && (first == 0 || c.call < first) {
					first = c.call
				}
			}
			d.witness.mu.Unlock()
			if n == nil {
				from = after
			}
			gaps = append(gaps, (first-from).Seconds()/leaseTTL.Seconds())
		}
		slices.Sort(gaps)
		t.Logf("%s: %d shards held by the member, %d moved, the next operation after %.3f lease durations", what, heldCount, moved, gaps)
	}
	for i := range 3 {
		n := d.instances[3*i]
		measure("a kill", n, n.Kill)
		n.Restart()
		n = d.instances[3*i+1]
		measure("a cut", n, func() { n.DropAgentTraffic(true, true) })
		n.Heal()
		n = d.instances[3*i+2]
		measure("a shutdown, from its end on", nil, func() { n.Stop(20 * time.Second) })
		n.Restart()
		measure("a release", nil, func() { d.mustRun("lease", "release", "drill", fmt.Sprint(i)) })
	}
	d.checkWitness()
}

// TestLeaseOperations has members in this process claim, release, move and read leases through faulty agents, and
// checks that the history of each shard is linearizable as a register of growing tokens.
func TestLeaseOperations(t *testing.T) { //nolint:gocognit // one sequential scenario
	t.Parallel()
	r := New(t)
	g := r.StartAgents(3)
	g.Leader()
	for _, args := range [][]string{{"budget", "set", r.WriteFile("seats.toml", leaseQuotaHeader)},
		{"lease", "set", r.WriteFile("tasks.toml", "[[task]]\nname = \"t\"\nkind = \"watch\"\nshards = 2\nlease_ms = 1200\nact_ms = 100\npause_ms = 50\nprogress_ms = 60000\n")}} {
		if out, code, _ := r.Run(append(args, "--agents", g.AddrList())...); code != 0 {
			t.Fatal(out)
		}
	}
	began, length := time.Now(), 10*time.Second
	ctx, stop := context.WithTimeout(t.Context(), length)
	defer stop()
	var mu sync.Mutex
	history := map[int][]porcupine.Operation{}
	record := func(client, shard int, in, out any, call, end time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		history[shard] = append(history[shard], porcupine.Operation{ClientId: client, Input: in, Output: out, Call: int64(call), Return: int64(end)})
	}
	var work sync.WaitGroup
	grants := 0
	for i := range 3 {
		work.Go(func() {
			client := &agent.Client{Addrs: g.API}
			rng := rand.New(rand.NewPCG(uint64(i), 22))
			id := fmt.Sprint("member-", i)
			for {
				if _, _, err := client.Join(ctx, terms.Member{ID: id, Name: id, Weight: 1}); err == nil || ctx.Err() != nil {
					break
				}
			}
			m := lessee.New([]string{"t"})
			tokenOf := map[int]uint64{}
			before := time.Since(began) // start of the claim before the last one: a new lease was granted after that claim was decided
			for seq := uint64(1); ctx.Err() == nil; seq++ {
				renewalStart := time.Since(began)
				c := m.BeginRenewal(monotonic.Now())
				call, done := context.WithTimeout(ctx, 400*time.Millisecond)
				_, award, err := client.Renew(call, terms.RenewalRequest{ID: id, Seq: seq}, &c)
				done()
				if err == nil && award != nil && m.AcceptRenewal(monotonic.Now(), *award) {
					for _, h := range m.Status() {
						if tokenOf[h.Shard] != h.Token {
							tokenOf[h.Shard] = h.Token
							record(i, h.Shard, registerOperation{"grant", h.Token}, nil, before, time.Since(began))
							mu.Lock()
							grants++
							mu.Unlock()
						}
					}
					before = renewalStart
				}
				if held := m.Held(monotonic.Now()); len(held) > 0 && rng.IntN(4) == 0 {
					m.Release(held[rng.IntN(len(held))])
				}
				time.Sleep(time.Duration(rng.IntN(80)) * time.Millisecond)
			}
		})
	}
	for i := range 2 {
		work.Go(func() {
			client := &agent.Client{Addrs: g.API}
			rng := rand.New(rand.NewPCG(uint64(i), 23))
			for ctx.Err() == nil {
				call := time.Since(began)
				at, done := context.WithTimeout(ctx, 2*time.Second)
				v, err := client.Fleet(at)
				done()
				if err == nil && v.Leads {
					for _, l := range v.Leases {
						record(10+i, l.Shard, registerOperation{"read", 0}, l.Token, call, time.Since(began))
					}
				}
				if rng.IntN(3) == 0 {
					at, done := context.WithTimeout(ctx, time.Second)
					err := client.MigrateLease(at, lease.Key{Task: "t", Shard: rng.IntN(2)}, fmt.Sprint("member-", rng.IntN(3)))
					done()
					var rejected *agent.RejectedError
					if err != nil && ctx.Err() == nil && errors.As(err, &rejected) && rejected.Status != 422 {
						t.Error(err)
					}
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	for turn := 0; ctx.Err() == nil; turn++ {
		time.Sleep(1500 * time.Millisecond)
		leader := g.Leader()
		p := g.Procs[leader]
		switch turn % 3 {
		case 0:
			p.Pause()
			time.Sleep(1500 * time.Millisecond)
			p.Resume()
		case 1:
			p.Kill()
			time.Sleep(500 * time.Millisecond)
			p.Restart()
		case 2:
			g.Isolate(leader)
			time.Sleep(1500 * time.Millisecond)
			g.Reconnect(leader)
		}
	}
	work.Wait()
	// A grant must have a greater token than any before. A read from the leader returns the newest token, which may be
	// from a grant whose response was lost.
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(state, in, out any) []any {
			s, o := state.(uint64), in.(registerOperation)
			switch {
			case o.kind == "grant" && o.token > s:
				return []any{o.token}
			case o.kind == "read" && out.(uint64) >= s:
				return []any{out.(uint64)}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	for shard, h := range history {
		slices.SortFunc(h, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
		if got := porcupine.CheckOperationsTimeout(model.ToModel(), h, time.Minute); got != porcupine.Ok {
			t.Errorf("shard %d: %d grants and reads are not linearizable as one register: %s", shard, len(h), got)
		}
		t.Logf("shard %d: %d grants and reads", shard, len(h))
	}
	if grants < 10 {
		t.Errorf("only %d grants", grants)
	}
}

type registerOperation struct {
	kind  string
	token uint64
}
