package lessor

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/registry"
)

// world is a register and a keeper with so many members, all of which have claimed.
func world(tb testing.TB, members, shards int, runs ...string) (*registry.Registry, *Lessor, []uint64) {
	tb.Helper()
	r := &registry.Registry{}
	if err := r.SetQuotaConfig(1, quota.Config{MaxSessions: 2000}); err != nil {
		tb.Fatal(err)
	}
	if err := r.SetLeaseConfig(2, lease.Config{Tasks: []lease.Task{{Name: "t", Kind: lease.EndpointProbe, Shards: shards, MaxPauseMs: 100}}}); err != nil {
		tb.Fatal(err)
	}
	for i := range members {
		id := fmt.Sprintf("member-%04d", i)
		if _, err := r.Join(uint64(3+i), quota.Member{ID: id, Name: fmt.Sprint("n", i), Weight: 1}); err != nil {
			tb.Fatal(err)
		}
	}
	l := New(0, r)
	seq := make([]uint64, members)
	for i := range members {
		claim(tb, l, time.Minute, i, seq, lease.RenewalRequest{Tasks: runs})
	}
	return r, l, seq
}

func claim(tb testing.TB, l *Lessor, now time.Duration, i int, seq []uint64, req lease.RenewalRequest) lease.RenewalResponse {
	tb.Helper()
	seq[i]++
	req.Seq = seq[i]
	resp, err := l.Renew(now, fmt.Sprintf("member-%04d", i), req)
	if err != nil {
		tb.Fatal(err)
	}
	return resp
}

// settle has the log take what the keeper wants, until it wants nothing more.
func settle(r *registry.Registry, l *Lessor, now time.Duration) {
	for index := uint64(10_000); ; index++ {
		orders, seen := l.PendingEvents(now)
		if len(orders) == 0 && seen == 0 {
			return
		}
		r.ApplyEvents(index+r.LastToken, seen, orders)
		l.Update(now, r)
	}
}

// TestSeen has a member report a token that a place has shown, of a group of agents before this one: the next grant is greater. One that no
// place can have shown changes nothing.
func TestSeen(t *testing.T) {
	r, l, seq := world(t, 1, 1, "t")
	settle(r, l, time.Minute)
	for seen, wanted := range map[uint64]bool{1 << 40: true, 1 << 63: false} {
		claim(t, l, time.Minute, 0, seq, lease.RenewalRequest{Tasks: []string{"t"}, HighestToken: seen, Released: []lease.Ref{{Key: lease.Key{Task: "t"}, Token: r.Leases[0].Token}}})
		settle(r, l, time.Minute)
		if got := r.Leases[0].Token > seen; got != wanted || r.Leases[0].Token > 1<<41 {
			t.Errorf("token %d after a place had shown %d", r.Leases[0].Token, seen)
		}
	}
}

// TestMoves has operators' moves refused, each for its reason, and a moved shard stay where it was moved to.
func TestMoves(t *testing.T) {
	r, k, seq := world(t, 3, 6, "t")
	now := time.Minute
	settle(r, k, now)
	key := lease.Key{Task: "t", Shard: 0}
	holder := r.Lease(key).Holder
	to := "n0"
	if holder == "member-0000" {
		to = "n1"
	}
	claim(t, k, now, 2, seq, lease.RenewalRequest{}) // it does the task no more
	for _, c := range []struct {
		key lease.Key
		to  string
		err error
	}{{lease.Key{Task: "u"}, to, lease.ErrUnknownTask}, {lease.Key{Task: "t", Shard: 6}, to, lease.ErrUnknownShard}, {key, "n7", lease.ErrUnknownMember},
		{key, holder, lease.ErrAlreadyHolder}, {key, "n2", lease.ErrTaskNotSupported}, {key, to, nil}} {
		e, err := k.Migrate(now, c.key, c.to)
		if !errors.Is(err, c.err) {
			t.Errorf("%v to %s: %v, wanted %v", c.key, c.to, err, c.err)
		}
		if err == nil {
			r.ApplyEvents(50_000, 0, []lease.Event{e})
			k.Update(now, r)
		}
	}
	before := r.Lease(key).Token
	settle(r, k, now)
	if r.Lease(key).Token != before {
		t.Fatal("granted on before it was given back")
	}
	for i := range 3 {
		c := lease.RenewalRequest{Tasks: []string{"t"}}
		for _, l := range r.Leases {
			if l.Holder == fmt.Sprintf("member-%04d", i) {
				c.Released = append(c.Released, lease.Ref{Key: l.Key, Token: l.Token})
			}
		}
		if i < 2 {
			claim(t, k, now, i, seq, c)
		}
	}
	for range 5 {
		settle(r, k, now)
	}
	if l := r.Lease(key); l.PinnedTo == "" || l.Holder != l.PinnedTo || l.Holder == holder {
		t.Errorf("moved to %s: %+v", to, l)
	}
}

// BenchmarkClaim is what a claim costs the leader, of so many members with three shards each.
func BenchmarkClaim(b *testing.B) {
	for _, n := range []int{20, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, k, seq := world(b, n, min(3*n, lease.MaxShards), "t")
			settle(r, k, time.Minute)
			held := map[string][]lease.HolderStatus{}
			for _, l := range r.Leases {
				held[l.Holder] = append(held[l.Holder], lease.HolderStatus{Key: l.Key, Token: l.Token, Completed: 1})
			}
			size, answer := 0, 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				req := lease.RenewalRequest{ConfigVersion: r.LeaseConfig.Version, Tasks: []string{"t"}, Held: held[fmt.Sprintf("member-%04d", i%n)]}
				resp := claim(b, k, time.Minute, i%n, seq, req)
				if i == n {
					text, _ := json.Marshal(req)
					size = len(text)
					text, _ = json.Marshal(resp)
					answer = len(text)
				}
			}
			b.ReportMetric(float64(size), "B/claim")
			b.ReportMetric(float64(answer), "B/award")
		})
	}
}

// TestVerdicts has members hold another dead: by the word of three, once it has missed a renewal, nothing more is given to it; by two, or
// while it renews, all goes on. What it holds is not touched before its time, whoever says what.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name    string
		judges  int
		renews  bool
		planned bool // the shards go to others once their time is over, though the member may only be late
	}{{"nobody", 0, false, false}, {"two", 2, false, false}, {"three", 3, false, true}, {"three, and it renews", 3, true, false}} {
		r, k, seq := world(t, 5, 5, "t")
		settle(r, k, time.Minute)
		held := func() (n int) {
			for _, l := range r.Leases {
				if l.Holder == "member-0000" {
					n++
				}
			}
			return n
		}
		if held() != 1 {
			t.Fatalf("%d shards of five", held())
		}
		claim(t, k, time.Minute, 0, seq, lease.RenewalRequest{Tasks: []string{"t"}}) // it is told of its shard
		until := k.lease(lease.Key{Task: "t", Shard: shardOf(r, "member-0000")}).expiresAt
		now := time.Minute + k.quotaConfig.MaxOnOtherClock(k.quotaConfig.RenewInterval())
		for i := 1; i < 5; i++ {
			x := lease.RenewalRequest{Tasks: []string{"t"}}
			if i <= c.judges {
				x.DeadInstances = []string{"n0"}
			}
			claim(t, k, now, i, seq, x)
		}
		if c.renews {
			claim(t, k, now, 0, seq, lease.RenewalRequest{Tasks: []string{"t"}})
		}
		if settle(r, k, now); held() != 1 {
			t.Errorf("%s: a shard went on before its time", c.name)
		}
		if dead := k.deadMembers(now)["member-0000"]; dead != c.planned {
			t.Errorf("%s: held dead %v, want %v", c.name, dead, c.planned)
		}
		if c.planned {
			for i := 1; i < 5; i++ {
				claim(t, k, until, i, seq, lease.RenewalRequest{Tasks: []string{"t"}, DeadInstances: []string{"n0"}})
			}
			if settle(r, k, until); held() != 0 {
				t.Errorf("%s: its shard did not go on when its time was over", c.name)
			}
		}
	}
}

func shardOf(r *registry.Registry, id string) int {
	for _, l := range r.Leases {
		if l.Holder == id {
			return l.Shard
		}
	}
	return -1
}
