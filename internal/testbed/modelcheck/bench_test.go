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

// fourBudgets returns a configuration with four budgets for so many sessions.
func fourBudgets(sessions int) quota.Config {
	c := quota.Config{Version: 1, MaxSessions: sessions, Budgets: []quota.Budget{
		{Name: "work", Resource: quota.AllWork, Capacity: 1e5, Burst: 1e5, FloorRate: 1, FloorBurst: 1}, {Name: "repeats", Resource: quota.Retries, Capacity: 1e4, Burst: 1e4, FloorRate: 1, FloorBurst: 1},
		{Name: "cold", Resource: quota.ColdWork, Scope: quota.PerTarget, Capacity: 1e4, Burst: 1e4, FloorRate: 1, FloorBurst: 1},
		{Name: "conns", Resource: quota.Connections, Scope: quota.PerTarget, Kind: "stock", Capacity: 5000, FloorRate: 1, LingerMs: 3000}}}
	if err := c.Validate(); err != nil {
		panic(err)
	}
	return c
}

// BenchmarkTake measures what quota checks add to a send at an instance: Wait and Reserve under four budgets.
func BenchmarkTake(b *testing.B) {
	c := quotaclient.New(quota.Resources)
	c.Register(time.Hour, "m", fourBudgets(2000))
	req := c.BeginRenewal(time.Hour)
	c.AcceptRenewal(time.Hour, quota.RenewalResponse{ID: "m", Seq: req.Seq, Allocations: []quota.Allocation{{Key: quota.Key{Budget: "work"}, Amount: quota.Amount{Rate: 1e4, Burst: 1e4}}}})
	b.ReportAllocs()
	now := time.Hour
	for b.Loop() {
		now += 100 * time.Microsecond
		r := quota.Reservation{Resource: quota.AllWork, Target: "t1", Plan: "p", Class: "c", Units: 1}
		if wait, _ := c.Wait(now, r); wait == 0 {
			c.Reserve(now, r)
		}
	}
}

// BenchmarkRenew measures what one renewal costs the leader, by the number of members, with eight targets each.
func BenchmarkRenew(b *testing.B) {
	for _, n := range []int{20, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			doc := fourBudgets(2000)
			var members []quota.Member
			var holders []*quotaclient.Client
			for i := range n {
				id := fmt.Sprintf("member-%04d", i)
				members = append(members, quota.Member{ID: id, Name: id, Weight: 1})
				c := quotaclient.New(quota.Resources)
				c.Register(time.Hour, id, doc)
				for k := range 8 {
					c.OpenConnection(time.Hour, fmt.Sprint("target-", k))
				}
				holders = append(holders, c)
			}
			now := time.Hour + time.Minute
			a := allocator.New(time.Hour, doc, members)
			size, answer := 0, 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Second / time.Duration(n)
				req := holders[i%n].BeginRenewal(now)
				resp, err := a.Renew(now, req)
				if err != nil {
					b.Fatal(err)
				}
				holders[i%n].AcceptRenewal(now, resp)
				if i == n {
					text, _ := json.Marshal(req)
					size = len(text)
					text, _ = json.Marshal(resp)
					answer = len(text)
				}
			}
			b.ReportMetric(float64(size), "B/renewal")
			b.ReportMetric(float64(answer), "B/answer")
		})
	}
}
