package proof

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"spindlehitch/internal/fleet"
	"spindlehitch/internal/fleet/giver"
	"spindlehitch/internal/fleet/holder"
)

func four(seats int) fleet.Doc {
	d := fleet.Doc{Version: 1, Seats: seats, Budgets: []fleet.Budget{
		{Name: "work", Use: fleet.Work, Whole: 1e5, Burst: 1e5, Least: 1, LeastBurst: 1}, {Name: "repeats", Use: fleet.Repeat, Whole: 1e4, Burst: 1e4, Least: 1, LeastBurst: 1},
		{Name: "cold", Use: fleet.Cold, Per: fleet.PerTarget, Whole: 1e4, Burst: 1e4, Least: 1, LeastBurst: 1},
		{Name: "conns", Use: fleet.Connection, Per: fleet.PerTarget, Kind: "stock", Whole: 5000, Least: 1, LingerMs: 3000}}}
	if err := d.Check(); err != nil {
		panic(err)
	}
	return d
}

// BenchmarkTake is what a send costs at an instance: the questions and the draw, under four budgets.
func BenchmarkTake(b *testing.B) {
	h := holder.New(fleet.Uses)
	h.Seat(time.Hour, "m", four(2000))
	r := h.Renew(time.Hour)
	h.Accept(time.Hour, fleet.Answer{ID: "m", Seq: r.Seq, Grants: []fleet.Grant{{Key: fleet.Key{Budget: "work"}, Amount: fleet.Amount{Rate: 1e4, Burst: 1e4}}}})
	b.ReportAllocs()
	now := time.Hour
	for b.Loop() {
		now += 100 * time.Microsecond
		d := fleet.Draw{Use: fleet.Work, Target: "t1", Plan: "p", Class: "c", Units: 1}
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
			var members []fleet.Member
			var holders []*holder.Holder
			for i := range n {
				id := fmt.Sprintf("member-%04d", i)
				members = append(members, fleet.Member{ID: id, Name: id, Weight: 1})
				h := holder.New(fleet.Uses)
				h.Seat(time.Hour, id, doc)
				for k := range 8 {
					h.Open(time.Hour, fmt.Sprint("target-", k))
				}
				holders = append(holders, h)
			}
			now := time.Hour + time.Minute
			g := giver.New(time.Hour, doc, members)
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
