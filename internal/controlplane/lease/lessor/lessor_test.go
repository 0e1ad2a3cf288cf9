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

// newTestLessor returns a registry and a lessor with that many members, each of which has renewed once, and their renewals'
// sequence numbers.
func newTestLessor(tb testing.TB, members, shards int, tasks ...string) (*registry.Registry, *Lessor, []uint64) {
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
		renew(tb, l, time.Minute, i, seq, lease.RenewalRequest{Tasks: tasks})
	}
	return r, l, seq
}

// renew sends the next renewal of member i.
func renew(tb testing.TB, l *Lessor, now time.Duration, i int, seq []uint64, req lease.RenewalRequest) lease.RenewalResponse {
	tb.Helper()
	seq[i]++
	req.Seq = seq[i]
	resp, err := l.Renew(now, fmt.Sprintf("member-%04d", i), req)
	if err != nil {
		tb.Fatal(err)
	}
	return resp
}

// applyPendingEvents applies the lessor's pending events to the registry until there are none.
func applyPendingEvents(r *registry.Registry, l *Lessor, now time.Duration) {
	for index := uint64(10_000); ; index++ {
		events, seenToken := l.PendingEvents(now)
		if len(events) == 0 && seenToken == 0 {
			return
		}
		r.ApplyEvents(index+r.LastToken, seenToken, events)
		l.Update(now, r)
	}
}

// TestReportedToken has a member report a token that a guarded resource has seen, as after the agents lost their log. The next grant
// must get a greater token. An implausibly large token must be ignored.
func TestReportedToken(t *testing.T) {
	r, l, seq := newTestLessor(t, 1, 1, "t")
	applyPendingEvents(r, l, time.Minute)
	for reported, counted := range map[uint64]bool{1 << 40: true, 1 << 63: false} {
		renew(t, l, time.Minute, 0, seq, lease.RenewalRequest{Tasks: []string{"t"}, HighestToken: reported, Released: []lease.Ref{{Key: lease.Key{Task: "t"}, Token: r.Leases[0].Token}}})
		applyPendingEvents(r, l, time.Minute)
		if got := r.Leases[0].Token > reported; got != counted || r.Leases[0].Token > 1<<41 {
			t.Errorf("granted token %d after token %d was reported", r.Leases[0].Token, reported)
		}
	}
}

// TestMigrate checks the reason for which each invalid migration is rejected, and that a migrated shard is granted only after its
// release and then stays at its new holder.
func TestMigrate(t *testing.T) {
	r, l, seq := newTestLessor(t, 3, 6, "t")
	now := time.Minute
	applyPendingEvents(r, l, now)
	key := lease.Key{Task: "t", Shard: 0}
	holder := r.Lease(key).Holder
	to := "n0"
	if holder == "member-0000" {
		to = "n1"
	}
	renew(t, l, now, 2, seq, lease.RenewalRequest{}) // it no longer runs the task
	for _, c := range []struct {
		key lease.Key
		to  string
		err error
	}{{lease.Key{Task: "u"}, to, lease.ErrUnknownTask}, {lease.Key{Task: "t", Shard: 6}, to, lease.ErrUnknownShard}, {key, "n7", lease.ErrUnknownMember},
		{key, holder, lease.ErrAlreadyHolder}, {key, "n2", lease.ErrTaskNotSupported}, {key, to, nil}} {
		e, err := l.Migrate(now, c.key, c.to)
		if !errors.Is(err, c.err) {
			t.Errorf("%v to %s: %v, want %v", c.key, c.to, err, c.err)
		}
		if err == nil {
			r.ApplyEvents(50_000, 0, []lease.Event{e})
			l.Update(now, r)
		}
	}
	before := r.Lease(key).Token
	applyPendingEvents(r, l, now)
	if r.Lease(key).Token != before {
		t.Fatal("granted to the next holder before it was released")
	}
	for i := range 3 {
		c := lease.RenewalRequest{Tasks: []string{"t"}}
		for _, granted := range r.Leases {
			if granted.Holder == fmt.Sprintf("member-%04d", i) {
				c.Released = append(c.Released, lease.Ref{Key: granted.Key, Token: granted.Token})
			}
		}
		if i < 2 {
			renew(t, l, now, i, seq, c)
		}
	}
	for range 5 {
		applyPendingEvents(r, l, now)
	}
	if granted := r.Lease(key); granted.PinnedTo == "" || granted.Holder != granted.PinnedTo || granted.Holder == holder {
		t.Errorf("after the migration to %s: %+v", to, granted)
	}
}

// BenchmarkRenew measures the leader's cost of one lease renewal, with members that hold three shards each.
func BenchmarkRenew(b *testing.B) {
	for _, n := range []int{20, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, l, seq := newTestLessor(b, n, min(3*n, lease.MaxShards), "t")
			applyPendingEvents(r, l, time.Minute)
			held := map[string][]lease.HolderStatus{}
			for _, granted := range r.Leases {
				held[granted.Holder] = append(held[granted.Holder], lease.HolderStatus{Key: granted.Key, Token: granted.Token, Completed: 1})
			}
			requestBytes, responseBytes := 0, 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				req := lease.RenewalRequest{ConfigVersion: r.LeaseConfig.Version, Tasks: []string{"t"}, Held: held[fmt.Sprintf("member-%04d", i%n)]}
				resp := renew(b, l, time.Minute, i%n, seq, req)
				if i == n {
					text, _ := json.Marshal(req)
					requestBytes = len(text)
					text, _ = json.Marshal(resp)
					responseBytes = len(text)
				}
			}
			b.ReportMetric(float64(requestBytes), "B/request")
			b.ReportMetric(float64(responseBytes), "B/response")
		})
	}
}

// TestDeathReports has members report another one as dead. With three reports and a missed renewal, it must be treated as dead and be
// granted no more shards; with two reports, or while it renews, it must not. Its lease must not end before it expires, whatever
// the reports.
func TestDeathReports(t *testing.T) {
	for _, c := range []struct {
		name      string
		reporters int
		renews    bool
		planned   bool // its shard is granted to another member once the lease has expired
	}{{"no reports", 0, false, false}, {"two reports", 2, false, false}, {"three reports", 3, false, true}, {"three reports of a member that renews", 3, true, false}} {
		r, l, seq := newTestLessor(t, 5, 5, "t")
		applyPendingEvents(r, l, time.Minute)
		held := func() (n int) {
			for _, granted := range r.Leases {
				if granted.Holder == "member-0000" {
					n++
				}
			}
			return n
		}
		if held() != 1 {
			t.Fatalf("member-0000 holds %d of five shards, want 1", held())
		}
		renew(t, l, time.Minute, 0, seq, lease.RenewalRequest{Tasks: []string{"t"}}) // delivers the grant of its shard
		until := l.lease(lease.Key{Task: "t", Shard: shardHeldBy(r, "member-0000")}).expiresAt
		now := time.Minute + l.quotaConfig.MaxOnOtherClock(l.quotaConfig.RenewInterval())
		for i := 1; i < 5; i++ {
			req := lease.RenewalRequest{Tasks: []string{"t"}}
			if i <= c.reporters {
				req.DeadInstances = []string{"n0"}
			}
			renew(t, l, now, i, seq, req)
		}
		if c.renews {
			renew(t, l, now, 0, seq, lease.RenewalRequest{Tasks: []string{"t"}})
		}
		if applyPendingEvents(r, l, now); held() != 1 {
			t.Errorf("%s: the shard was granted to another member before the lease expired", c.name)
		}
		if dead := l.deadMembers(now)["member-0000"]; dead != c.planned {
			t.Errorf("%s: treated as dead: %v, want %v", c.name, dead, c.planned)
		}
		if c.planned {
			for i := 1; i < 5; i++ {
				renew(t, l, until, i, seq, lease.RenewalRequest{Tasks: []string{"t"}, DeadInstances: []string{"n0"}})
			}
			if applyPendingEvents(r, l, until); held() != 0 {
				t.Errorf("%s: the shard was not granted to another member after the lease expired", c.name)
			}
		}
	}
}

func shardHeldBy(r *registry.Registry, id string) int {
	for _, l := range r.Leases {
		if l.Holder == id {
			return l.Shard
		}
	}
	return -1
}
