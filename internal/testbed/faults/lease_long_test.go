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

// steps of an act that processes are stopped at.
var steps = []string{"act.begun", "act.opened", "act.checked", "act.taken", "place.link", "place.linked", "act.ending"}

// TestLeasesScheduled plays faults at random, by a seed, and has members stop inside acts for longer than leases all the time, by aims. By
// hand it goes on for as long as SPINDLEHITCH_FAULTS says (such as 10m), with twenty members and thirty shards; SPINDLEHITCH_SEED
// is another seed.
func TestLeasesScheduled(t *testing.T) {
	t.Parallel()
	length, members, shards, seed := 15*time.Second, 5, 8, uint64(1)
	if d, err := time.ParseDuration(os.Getenv("SPINDLEHITCH_FAULTS")); err == nil {
		length, members, shards = d, 20, 30
	}
	seed = seedOf(seed)
	d := newDrill(t, members, shards, 1.0005, 0, 0.9995)
	// What is paused is paused inside an act here.
	plan := slices.DeleteFunc(Schedule(seed, members, 3, length, 8*time.Second/time.Duration(members)), func(e Event) bool { return e.What == "pause" })
	if path := os.Getenv("SPINDLEHITCH_RECORD"); path != "" {
		if b, err := Record(plan); err != nil || os.WriteFile(path, b, 0o644) != nil {
			t.Fatal("the schedule can't be written")
		}
	}
	rng := rand.New(rand.NewPCG(seed, 21))
	inside := 0
	ctx, stop := context.WithCancel(t.Context())
	var aiming sync.WaitGroup
	aiming.Go(func() {
		for ctx.Err() == nil {
			n, step := d.all[rng.IntN(members)], steps[rng.IntN(len(steps))]
			n.Aim(step, "stop")
			for end := time.Now().Add(2 * time.Second); !n.Struck(step) && time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
			}
			if n.Unaim(step) || !n.Struck(step) {
				continue // it held nothing, or was dead
			}
			time.Sleep(leaseFor + time.Duration(rng.Float64()*float64(leaseFor)))
			if n.Stopped() {
				inside++ // for all of that time
			}
			n.Resume()
		}
	})
	counts := d.Play(plan, d.all, d.agents)
	stop()
	aiming.Wait()
	d.even("once all faults have ended every shard is held, evenly", members)
	seen := d.judge()
	t.Logf("seed %d, %v, %d members, %d shards: %v, %d pauses inside an act for longer than a lease, no overlap", seed, length, members, shards, counts, inside)
	if inside < int(length/(8*time.Second)) {
		t.Errorf("only %d pauses fell inside an act", inside)
	}
	if seen.Tokens < shards {
		t.Errorf("%d tokens for %d shards", seen.Tokens, shards)
	}
}

// TestMeasureLeases measures what docs/leases-operators.md tells: gaps after a kill, a cut, a leave and an orderly hand-over, and how many
// shards move; by hand, with SPINDLEHITCH_FAULTS set.
func TestMeasureLeases(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_FAULTS") == "" {
		t.Skip("by hand")
	}
	d := newDrill(t, 20, 30)
	tokens := func() map[int]uint64 {
		all := map[int]uint64{}
		for _, l := range d.leases() {
			all[l.Shard] = l.Token
		}
		return all
	}
	// gap is, over what moved, from a moment to the first call under the new token.
	round := func(what string, n *Instance, do func()) {
		d.even("before "+what, len(d.all))
		time.Sleep(time.Second)
		had, mine := tokens(), 0
		for _, l := range d.leases() {
			if n != nil && l.HolderName == n.Name {
				mine++
			}
		}
		from := time.Since(d.witness.began)
		do()
		after := time.Since(d.witness.began)
		time.Sleep(4 * leaseFor)
		moved := 0
		var gaps []float64
		for shard, token := range tokens() {
			if token == had[shard] {
				continue
			}
			moved++
			first := time.Duration(0)
			d.witness.mu.Lock()
			for _, c := range d.witness.calls {
				if c.Shard == shard && c.Token > had[shard] && (first == 0 || c.call < first) {
					first = c.call
				}
			}
			d.witness.mu.Unlock()
			if n == nil {
				from = after
			}
			gaps = append(gaps, (first-from).Seconds()/leaseFor.Seconds())
		}
		slices.Sort(gaps)
		t.Logf("%s: %d shards of the one, %d moved, the next act after %.3f leases", what, mine, moved, gaps)
	}
	for i := range 3 {
		n := d.all[3*i]
		round("a kill", n, n.Kill)
		n.Restart()
		n = d.all[3*i+1]
		round("a cut", n, func() { n.CutOff(true, true) })
		n.Heal()
		n = d.all[3*i+2]
		round("a leave in order, from its end on", nil, func() { n.Stop(20 * time.Second) })
		n.Restart()
		round("a release", nil, func() { d.run("lease", "release", "drill", fmt.Sprint(i)) })
	}
	d.judge()
}

// TestLeaseOperations has members in this process claim, give back, move and look at leases through agents that are hurt, and holds the
// history against a register that is granted under growing tokens.
func TestLeaseOperations(t *testing.T) { //nolint:gocognit // one scenario, told in order
	t.Parallel()
	r := New(t)
	g := r.Agents(3)
	g.Leader()
	for _, args := range [][]string{{"budget", "set", r.File("seats.toml", leaseSeats)},
		{"lease", "set", r.File("tasks.toml", "[[task]]\nname = \"t\"\nkind = \"watch\"\nshards = 2\nlease_ms = 1200\nact_ms = 100\npause_ms = 50\nprogress_ms = 60000\n")}} {
		if out, code, _ := r.Run(append(args, "--agents", g.List())...); code != 0 {
			t.Fatal(out)
		}
	}
	began, length := time.Now(), 10*time.Second
	ctx, stop := context.WithTimeout(t.Context(), length)
	defer stop()
	var mu sync.Mutex
	history := map[int][]porcupine.Operation{}
	note := func(client, shard int, in, out any, call, end time.Duration) {
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
			has := map[int]uint64{}
			before := time.Since(began) // when the claim before the last was begun: what is new was granted after that was decided
			for seq := uint64(1); ctx.Err() == nil; seq++ {
				begun := time.Since(began)
				c := m.BeginRenewal(monotonic.Now())
				call, done := context.WithTimeout(ctx, 400*time.Millisecond)
				_, award, err := client.Renew(call, terms.RenewalRequest{ID: id, Seq: seq}, &c)
				done()
				if err == nil && award != nil && m.AcceptRenewal(monotonic.Now(), *award) {
					for _, h := range m.Status() {
						if has[h.Shard] != h.Token {
							has[h.Shard] = h.Token
							note(i, h.Shard, operation{"grant", h.Token}, nil, before, time.Since(began))
							mu.Lock()
							grants++
							mu.Unlock()
						}
					}
					before = begun
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
						note(10+i, l.Shard, operation{"read", 0}, l.Token, call, time.Since(began))
					}
				}
				if rng.IntN(3) == 0 {
					at, done := context.WithTimeout(ctx, time.Second)
					err := client.MigrateLease(at, lease.Key{Task: "t", Shard: rng.IntN(2)}, fmt.Sprint("member-", rng.IntN(3)))
					done()
					var no *agent.RejectedError
					if err != nil && ctx.Err() == nil && errors.As(err, &no) && no.Status != 422 {
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
			g.Join(leader)
		}
	}
	work.Wait()
	// A grant is of a token greater than any before; who reads what the leader has sees the newest. A grant that nobody was told of may
	// come between.
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(state, in, out any) []any {
			s, o := state.(uint64), in.(operation)
			switch {
			case o.what == "grant" && o.token > s:
				return []any{o.token}
			case o.what == "read" && out.(uint64) >= s:
				return []any{out.(uint64)}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	for shard, h := range history {
		slices.SortFunc(h, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
		if got := porcupine.CheckOperationsTimeout(model.ToModel(), h, time.Minute); got != porcupine.Ok {
			t.Errorf("shard %d: %d grants and looks are not those of one register: %s", shard, len(h), got)
		}
		t.Logf("shard %d: %d grants and looks", shard, len(h))
	}
	if grants < 10 {
		t.Errorf("only %d grants", grants)
	}
}

type operation struct {
	what  string
	token uint64
}
