package modelcheck

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/allocator"
	"spindlehitch/internal/controlplane/quota/quotaclient"
)

func four(seats int) quota.Config {
	d := quota.Config{Version: 1, MaxSessions: seats, Budgets: []quota.Budget{
		{Name: "work", Resource: quota.AllWork, Capacity: 1e5, Burst: 1e5, FloorRate: 1, FloorBurst: 1}, {Name: "repeats", Resource: quota.Retries, Capacity: 1e4, Burst: 1e4, FloorRate: 1, FloorBurst: 1},
		{Name: "cold", Resource: quota.ColdWork, Scope: quota.PerTarget, Capacity: 1e4, Burst: 1e4, FloorRate: 1, FloorBurst: 1},
		{Name: "conns", Resource: quota.Connections, Scope: quota.PerTarget, Kind: "stock", Capacity: 5000, FloorRate: 1, LingerMs: 3000}}}
	if err := d.Validate(); err != nil {
		panic(err)
	}
	return d
}

// BenchmarkTake is what a send costs at an instance: the questions and the draw, under four budgets.
func BenchmarkTake(b *testing.B) {
	h := quotaclient.New(quota.Resources)
	h.Register(time.Hour, "m", four(2000))
	r := h.BeginRenewal(time.Hour)
	h.AcceptRenewal(time.Hour, quota.RenewalResponse{ID: "m", Seq: r.Seq, Allocations: []quota.Allocation{{Key: quota.Key{Budget: "work"}, Amount: quota.Amount{Rate: 1e4, Burst: 1e4}}}})
	b.ReportAllocs()
	now := time.Hour
	for b.Loop() {
		now += 100 * time.Microsecond
		d := quota.Reservation{Resource: quota.AllWork, Target: "t1", Plan: "p", Class: "c", Units: 1}
		if wait, _ := h.Wait(now, d); wait == 0 {
			h.Reserve(now, d)
		}
	}
}

// BenchmarkRenew is what one renewal costs the leader, of so many members with eight targets each.
func BenchmarkRenew(b *testing.B) {
	for _, n := range []int{20, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			doc := four(2000)
			var members []quota.Member
			var holders []*quotaclient.Client
			for i := range n {
				id := fmt.Sprintf("member-%04d", i)
				members = append(members, quota.Member{ID: id, Name: id, Weight: 1})
				h := quotaclient.New(quota.Resources)
				h.Register(time.Hour, id, doc)
				for k := range 8 {
					h.OpenConnection(time.Hour, fmt.Sprint("target-", k))
				}
				holders = append(holders, h)
			}
			now := time.Hour + time.Minute
			g := allocator.New(time.Hour, doc, members)
			size, answer := 0, 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Second / time.Duration(n)
				r := holders[i%n].BeginRenewal(now)
				a, err := g.Renew(now, r)
				if err != nil {
					b.Fatal(err)
				}
				holders[i%n].AcceptRenewal(now, a)
				if i == n {
					text, _ := json.Marshal(r)
					size = len(text)
					text, _ = json.Marshal(a)
					answer = len(text)
				}
			}
			b.ReportMetric(float64(size), "B/renewal")
			b.ReportMetric(float64(answer), "B/answer")
		})
	}
}
