package faults

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"spindlehitch/internal/controlplane/quota/quotasession"
)

// TestScheduled runs random faults by a seed under a budget for all work and one for connections. In manual runs
// SPINDLEHITCH_FAULTS sets the length (such as 10m), with twenty instances, and SPINDLEHITCH_SEED another seed.
func TestScheduled(t *testing.T) {
	length, instances, seed := 15*time.Second, 6, uint64(1)
	if d, err := time.ParseDuration(os.Getenv("SPINDLEHITCH_FAULTS")); err == nil {
		length, instances = d, 20
	}
	seed = seedFromEnv(seed)
	plan := Schedule(seed, instances, 3, length, 6*time.Second/time.Duration(instances))
	if again := Schedule(seed, instances, 3, length, 6*time.Second/time.Duration(instances)); !slices.Equal(plan, again) {
		t.Fatal("the same seed gives two schedules")
	}
	budgets := fmt.Sprintf("seats = %d\nrenew_ms = 300\npart_ms = 1500\nseat_s = 5\n", 4*instances)
	f := newFleet(t, instances, 2, budgets+`[[budget]]
name = "work"
use = "work"
whole = 300
burst = 300
least = 0.5
least_burst = 1
[[budget]]
name = "conns"
use = "connection"
per = "target"
kind = "stock"
whole = 120
least = 1
linger_ms = 2500
`, map[string]float64{"work": 300}, InstanceOptions{}, 1.0005, 0, 0.9995)
	f.setLoad(2.5 * 300 / float64(instances))
	counts := f.RunSchedule(plan, f.instances, f.agents)
	f.WaitFor("the capacity to be used after the faults", func() bool { return f.targets.Monitor.Rate(time.Second)[0] > 0.8*300 })
	worst, conns := f.targets.Monitor.MaxExcess("work"), f.targets.MaxConns()
	var served, lost int64
	for _, n := range f.instances {
		served += n.Served.Load()
		lost += n.Unanswered.Load()
	}
	t.Logf("seed %d, %v, %d instances: %v; largest excess of a window %.1f, limit 300; at most %d connections at a target, limit 120; %d requests served, %d sent to a process that was dead or paused",
		seed, length, instances, counts, worst, conns, served, lost)
	// A process that is paused between the check of its permit and the write sends one request when it resumes.
	if most := 300 + float64(counts["pause"]); worst > most {
		t.Errorf("a window exceeded the rate by %.1f, limit %.0f", worst, most)
	}
	if conns > 120 {
		t.Errorf("%d connections were open at one target, limit 120", conns)
	}
}

// TestMeasure measures the figures in docs/fleet-operators.md for work at a cold target. Manual only, with
// SPINDLEHITCH_FAULTS set.
func TestMeasure(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_FAULTS") == "" {
		t.Skip("manual only: set SPINDLEHITCH_FAULTS")
	}
	rules := `{"coldShare":1,"warmWithinUs":600000000,"fallUs":1000000,"tipMultiple":1,"resendRatio":5,"extraFree":100,"resendSpanUs":1000000}`
	cold := quotaHeader + `[[budget]]
name = "cold"
use = "cold"
per = "target"
whole = 40
burst = 52
least = 0.4
least_burst = 1
`
	for _, fleetWide := range []bool{false, true} {
		var f *fleet
		if fleetWide {
			f = newFleet(t, 10, 1, cold, map[string]float64{"cold": 40}, InstanceOptions{Rules: rules})
		} else {
			r := New(t)
			f = &fleet{Rig: r, targets: r.StartTargets(1, map[string]float64{"cold": 40})}
			for i := range 10 {
				f.instances = append(f.instances, r.StartInstance(fmt.Sprint("n", i), InstanceOptions{Targets: f.targets, Peers: 10, Rules: rules}, 0))
			}
			r.StartLoad(t.Context(), f.instances, 1)
		}
		f.targets.MarkRestarted(f.targets.All[0])
		f.setLoad(20)
		time.Sleep(8 * time.Second)
		all := f.targets.Monitor.Rate(3 * time.Second)[2]
		for _, n := range f.instances[3:] {
			n.Kill()
		}
		time.Sleep(8 * time.Second)
		three := f.targets.Monitor.Rate(3 * time.Second)[2]
		t.Logf("fleet-wide budget %v: ten instances send %.1f requests a second to a cold target, limit 40, the three that remain %.1f", fleetWide, all, three)
	}
}

// TestMeasureRepeats measures retries at a target that answers one request in three with an error, with and without a
// fleet-wide budget. Manual only.
func TestMeasureRepeats(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_FAULTS") == "" {
		t.Skip("manual only: set SPINDLEHITCH_FAULTS")
	}
	repeats := quotaHeader + `[[budget]]
name = "repeats"
use = "repeat"
whole = 40
burst = 52
least = 0.4
least_burst = 1
`
	rules := `{"resendRatio":0,"extraFree":4,"resendSpanUs":1000000}` // 40 a second for ten instances
	for _, fleetWide := range []bool{false, true} {
		var f *fleet
		if fleetWide {
			f = newFleet(t, 10, 1, repeats, map[string]float64{"repeat": 40}, InstanceOptions{Rules: rules})
		} else {
			r := New(t)
			f = &fleet{Rig: r, targets: r.StartTargets(1, map[string]float64{"repeat": 40})}
			for i := range 10 {
				f.instances = append(f.instances, r.StartInstance(fmt.Sprint("n", i), InstanceOptions{Targets: f.targets, Peers: 10, Rules: rules}, 0))
			}
			r.StartLoad(t.Context(), f.instances, 1)
		}
		f.setLoad(30)
		time.Sleep(3 * time.Second)
		f.targets.All[0].FailEvery.Store(3)
		time.Sleep(6 * time.Second)
		all := f.targets.Monitor.Rate(3 * time.Second)[1]
		for _, n := range f.instances[3:] {
			n.Kill()
		}
		time.Sleep(6 * time.Second)
		three := f.targets.Monitor.Rate(3 * time.Second)[1]
		f.targets.All[0].FailEvery.Store(0)
		time.Sleep(6 * time.Second)
		var before, served int64
		for _, n := range f.instances[:3] {
			before += n.Served.Load()
		}
		time.Sleep(3 * time.Second)
		for _, n := range f.instances[:3] {
			served += n.Served.Load()
		}
		t.Logf("fleet-wide budget %v: ten instances send %.1f retries a second, limit 40, largest excess of a window %.1f, the three that remain %.1f; 6 s after the errors end they serve %.0f requests a second of 90",
			fleetWide, all, f.targets.Monitor.MaxExcess("repeat"), three, float64(served-before)/3)
	}
}

// TestMoves measures how long, in renewals, it takes until allocations have moved. Manual only.
func TestMoves(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_FAULTS") == "" {
		t.Skip("manual only: set SPINDLEHITCH_FAULTS")
	}
	f := newFleet(t, 5, 1, quotaHeader+workBudget, map[string]float64{"work": workRate}, InstanceOptions{})
	f.setLoad(150)
	allocation := func(n *Instance) float64 {
		for line := range strings.Lines(n.Metrics()) {
			if _, after, found := strings.Cut(line, "fleet.work.part:"); found {
				x, _ := strconv.ParseFloat(strings.TrimSuffix(after, "|g\n"), 64)
				return x
			}
		}
		return 0
	}
	pool := workRate/1.001 - 20 // above the floors
	waitEvenShares := func(what string, of ...*Instance) {
		t.Helper()
		took := f.WaitFor(what, func() bool {
			for _, n := range of {
				if share := 1 + pool/float64(len(of)); allocation(n) < 0.95*share {
					return false
				}
			}
			return true
		})
		t.Logf("%s: %.1f renewals until %d instances have their new allocation", what, took.Seconds()/0.3, len(of))
	}
	for round := range 3 {
		waitEvenShares("all", f.instances...)
		f.instances[4].Stop(30 * time.Second)
		waitEvenShares("a shutdown", f.instances[:4]...)
		f.instances[4].Restart()
		waitEvenShares("a join, from the process's start", f.instances...)
		f.instances[3].Kill()
		waitEvenShares("a kill", f.instances[0], f.instances[1], f.instances[2], f.instances[4])
		f.instances[3].Restart()
		waitEvenShares("all again", f.instances...)
		f.instances[round%3].DropAgentTraffic(true, true)
		waitEvenShares("a cut", slices.Concat(f.instances[:round%3], f.instances[round%3+1:])...)
		f.instances[round%3].Heal()
	}
}

// TestManyMembers measures the cost of the renewals of many idle members at the leader. Manual only.
func TestManyMembers(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_FAULTS") == "" {
		t.Skip("manual only: set SPINDLEHITCH_FAULTS")
	}
	for _, n := range []int{20, 300, 1000} {
		r := New(t)
		g := r.StartAgents(3)
		leader := g.Leader()
		budgets := r.WriteFile("budgets.toml", strings.Replace(strings.Replace("seats = 2000\nrenew_ms = 1000\npart_ms = 4000\nseat_s = 60\n"+workBudget, "whole = 200", "whole = 20000", 1), "burst = 100\n", "burst = 20000\n", 1))
		if out, code, _ := r.Run("budget", "set", budgets, "--agents", g.AddrList()); code != 0 {
			t.Fatal(out)
		}
		link := r.StartLink("members", "leader", g.API[leader])
		ctx, stop := context.WithCancel(t.Context())
		var work sync.WaitGroup
		for i := range n {
			p := quotasession.New(quotasession.Options{Name: fmt.Sprint("m", i), Addr: "127.0.0.1:1", Agents: []string{link.Addr}, Weight: 1, Log: slog.New(slog.DiscardHandler)})
			work.Go(func() {
				time.Sleep(time.Duration(i) * 8 * time.Second / time.Duration(n)) // spread over 8 s, so that they do not all join at once
				p.Run(ctx)
			})
		}
		time.Sleep(14 * time.Second)
		cpu := g.Procs[leader].CPU()
		there, back := link.BytesPassed()
		time.Sleep(5 * time.Second)
		t2, b2 := link.BytesPassed()
		t.Logf("%d members: the leader uses %.3f of a core, %.0f bytes a renewal received, %.0f sent", n, (g.Procs[leader].CPU()-cpu).Seconds()/5,
			float64(t2-there)/5/float64(n), float64(b2-back)/5/float64(n))
		stop()
		work.Wait()
		for _, p := range g.Procs {
			p.Kill()
		}
	}
}
