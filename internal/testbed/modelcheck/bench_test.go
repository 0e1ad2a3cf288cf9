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

func four(seats int) quota.Doc {
	d := quota.Doc{Version: 1, Seats: seats, Budgets: []quota.Budget{
		{Name: "work", Use: quota.Work, Whole: 1e5, Burst: 1e5, Least: 1, LeastBurst: 1}, {Name: "repeats", Use: quota.Repeat, Whole: 1e4, Burst: 1e4, Least: 1, LeastBurst: 1},
		{Name: "cold", Use: quota.Cold, Per: quota.PerTarget, Whole: 1e4, Burst: 1e4, Least: 1, LeastBurst: 1},
		{Name: "conns", Use: quota.Connection, Per: quota.PerTarget, Kind: "stock", Whole: 5000, Least: 1, LingerMs: 3000}}}
	if err := d.Check(); err != nil {
		panic(err)
	}
	return d
}

// BenchmarkTake is what a send costs at an instance: the questions and the draw, under four budgets.
func BenchmarkTake(b *testing.B) {
	h := quotaclient.New(quota.Uses)
	h.Seat(time.Hour, "m", four(2000))
	r := h.Renew(time.Hour)
	h.Accept(time.Hour, quota.Answer{ID: "m", Seq: r.Seq, Grants: []quota.Grant{{Key: quota.Key{Budget: "work"}, Amount: quota.Amount{Rate: 1e4, Burst: 1e4}}}})
	b.ReportAllocs()
	now := time.Hour
	for b.Loop() {
		now += 100 * time.Microsecond
		d := quota.Draw{Use: quota.Work, Target: "t1", Plan: "p", Class: "c", Units: 1}
		if wait, _ := h.Wait(now, d); wait == 0 {
			h.Take(now, d)
		}
	}
}

// BenchmarkRenew is what one renewal costs the leader, of so many members with eight targets each.
func BenchmarkRenew(b *testing.B) {
	for _, n := range []int{20, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			doc := four(2000)
			var members []quota.Member
			var holders []*quotaclient.Holder
			for i := range n {
				id := fmt.Sprintf("member-%04d", i)
				members = append(members, quota.Member{ID: id, Name: id, Weight: 1})
				h := quotaclient.New(quota.Uses)
				h.Seat(time.Hour, id, doc)
				for k := range 8 {
					h.Open(time.Hour, fmt.Sprint("target-", k))
				}
				holders = append(holders, h)
			}
			now := time.Hour + time.Minute
			g := allocator.New(time.Hour, doc, members)
			size, answer := 0, 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Second / time.Duration(n)
				r := holders[i%n].Renew(now)
				a, err := g.Renew(now, r)
				if err != nil {
					b.Fatal(err)
				}
				holders[i%n].Accept(now, a)
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
