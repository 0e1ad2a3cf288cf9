package model

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
)

// smallFleet returns the spec of a fleet with budgets and leases, and random faults of all kinds.
func smallFleet(instances int, length float64) *Spec {
	s := &Spec{Name: "small", LengthS: length,
		Fleet:   Fleet{Instances: instances, Zones: 3, ClockPPM: 500, ColdUnits: 40, RestartS: 0.3},
		Load:    Load{Rate: 40 * float64(instances), Units: 1, ShareSigma: 0.5, MaxTries: 3, HonorRetryAfter: true},
		Targets: Targets{Count: 6, UnitsPerS: 20 * float64(instances), OverloadUnits: 30, WarmUpS: 5, StallMs: 240, StallEveryS: 10},
		Net:     Net{DelayMs: 0.3, JitterMs: 0.4, Loss: 0.01},
		Budgets: &quota.Config{MaxSessions: 10 * instances, RenewIntervalMs: 300, AllocationTTLMs: 1500, SessionTTLS: 6, Budgets: []quota.Budget{
			{Name: "work", Resource: quota.AllWork, Capacity: 30 * float64(instances), Burst: 20 * float64(instances), FloorRate: 0.5, FloorBurst: 1},
			{Name: "cold", Resource: quota.ColdWork, Scope: quota.PerTarget, Capacity: 40, Burst: 100, FloorRate: 0.1, FloorBurst: 1}}},
		Tasks: &lease.Config{Tasks: []lease.Task{{Name: "t", Kind: lease.EndpointProbe, Shards: 6, TTLMs: 1500, OperationTimeoutMs: 300, IntervalMs: 200, MaxPauseMs: 100}}},
	}
	s.Random = &Random{EveryS: 0.4}
	return s
}

// TestRandomFaults runs a fleet with random faults of all kinds: no invariant is violated, and the fleet serves requests.
func TestRandomFaults(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		s := smallFleet(8, 40)
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		r := Run(s, seed, true)
		if r.Violation != nil {
			t.Fatalf("seed %d: %v\n%v", seed, r.Violation, r.Violation.Chain)
		}
		var sum Point
		for _, p := range r.Series {
			sum.Offered, sum.Served, sum.Operations, sum.Grants, sum.Joins, sum.Elections = sum.Offered+p.Offered, sum.Served+p.Served, sum.Operations+p.Operations, sum.Grants+p.Grants, sum.Joins+p.Joins, sum.Elections+p.Elections
		}
		t.Logf("seed %d: %d events in %v; %+v; worst window %.2f, p99 %.3f s", seed, r.Events, time.Since(began), sum, r.WorstWindow, r.P99)
		if sum.Served < 0.4*sum.Offered || sum.Operations < 100 || sum.Joins < 8 || len(r.Series) != 40 {
			t.Errorf("seed %d: %d points, %+v", seed, len(r.Series), sum)
		}
	}
}

// TestDeterministic checks that runs of one seed have equal results, and runs of different seeds don't.
func TestDeterministic(t *testing.T) {
	s := smallFleet(5, 10)
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	text := func(seed uint64) string {
		b, _ := json.Marshal(Run(s, seed, false))
		return string(b)
	}
	if one := text(1); one != text(1) || one == text(2) {
		t.Error("results are not determined by the seed")
	}
}

// TestPlanted plants mistakes in the model that violate invariants. Each must be found, and found again with its chain of
// causes by a run of the same seed; its faults must shrink to few that still cause it.
func TestPlanted(t *testing.T) {
	for _, c := range []struct{ planted, what string }{{"greedy", "budget"}, {"early", "leases"}} {
		s := smallFleet(4, 30)
		s.Load.Rate, s.Fleet.PlantedMistake = 40, c.planted
		if c.planted == "early" {
			s.Random = &Random{EveryS: 0.3, MaxForS: 5, Kinds: []string{"pause"}} // some of them during operations
		}
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		var seed uint64
		var first *ViolationError
		for seed = 1; seed <= 20 && first == nil; seed++ {
			first = Run(s, seed, false).Violation
		}
		seed--
		if first == nil || first.Invariant != c.what {
			t.Fatalf("%s: not found: %v", c.planted, first)
		}
		again := Run(s, seed, true).Violation
		if again == nil || again.Event != first.Event || again.Message != first.Message || len(again.Chain) < 2 {
			t.Errorf("%s: %v, and %v when repeated", c.planted, first, again)
		}
		faults := len(Faults(s, seed))
		less, broken, runs := Shrink(s, seed, 80)
		if broken == nil || broken.Invariant != c.what || len(less.Faults) >= faults/4 {
			t.Errorf("%s: %d faults of %d remain after %d runs: %v", c.planted, len(less.Faults), faults, runs, broken)
		}
		t.Logf("%s: seed %d: %v; %d faults of %d, %d causes", c.planted, seed, broken, len(less.Faults), faults, len(again.Chain))
	}
}

// TestMaxEvents checks that a run that needs too many events is stopped and says so.
func TestMaxEvents(t *testing.T) {
	s := smallFleet(5, 80_000)
	s.MaxMillionEvents = 0.02
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	if r := Run(s, 1, false); r.Events != 20_000 || !strings.Contains(r.Stopped, "max_events: 20000 events at") {
		t.Errorf("%d events, stopped %q", r.Events, r.Stopped)
	}
}

// BenchmarkFleet measures events per second and memory per instance by the size of the fleet.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				s := &Spec{Name: "size", LengthS: 30, Fleet: Fleet{Instances: n, Zones: 3, ClockPPM: 500, ColdUnits: 40}, Load: Load{Rate: 0.2 * float64(n), MaxTries: 1},
					Targets: Targets{Count: max(5, n/20), UnitsPerS: 100}, Net: Net{DelayMs: 0.3, JitterMs: 0.4},
					Budgets: &quota.Config{MaxSessions: n + n/2, RenewIntervalMs: 10_000, AllocationTTLMs: 40_000, SessionTTLS: 3600, Budgets: []quota.Budget{
						{Name: "repeats", Resource: quota.Retries, Capacity: float64(n) / 50, Burst: float64(n), FloorRate: 0.0001, FloorBurst: 0},
						{Name: "cold", Resource: quota.ColdWork, Scope: quota.PerTarget, Capacity: 40, Burst: 100}}}}
				s.Budgets.Budgets[0].FloorRate = 0
				if err := s.Check(); err != nil {
					b.Fatal(err)
				}
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				began := time.Now()
				r := Run(s, 1, false)
				took := time.Since(began)
				runtime.ReadMemStats(&after)
				if r.Violation != nil {
					b.Fatal(r.Violation)
				}
				b.ReportMetric(float64(r.Events)/took.Seconds(), "events/s")
				b.ReportMetric(float64(r.Events), "events")
				b.ReportMetric(float64(after.Sys)/float64(n), "B/instance")
			}
		})
	}
}
