package watchstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMergeLayers checks that layers are merged in order of scope, and that an error names the layer that cannot be.
func TestMergeLayers(t *testing.T) {
	config := func(key, value string) Record {
		return Record{Kind: Config, Key: key, Version: 3, Value: []byte(value)}
	}
	merged, err := MergeLayers(nil)
	require.NoError(t, err)
	require.JSONEq(t, `{}`, string(merged))
	merged, err = MergeLayers([]Record{config("instance/n", `{"a":4}`), config("zone/z", `{"a":3,"d":{"x":null}}`), {Kind: Config, Key: "region/r", Deleted: true}, config("shared", `{"a":1,"b":1,"d":{"x":1,"y":1}}`),
		{Kind: Targets, Key: "shared", Value: []byte(`{"a":9}`)}})
	require.NoError(t, err)
	require.JSONEq(t, `{"a":4,"b":1,"d":{"y":1}}`, string(merged))
	for _, invalid := range [][]Record{{config("shared", `{`)}, {config("shared", `{}`), config("region/r", `[`)}, {config("zone/a", `{}`), config("zone/b", `{}`)}} {
		_, err = MergeLayers(invalid)
		var e *LayerError
		require.ErrorAs(t, err, &e)
		require.Equal(t, uint64(3), e.Version)
	}
}

// TestDeltaHasEachKeyOnce checks that the delta to a lagging reader depends on the number of changed keys and not on the
// number of changes, and that a lagging reader delays no other.
func TestDeltaHasEachKeyOnce(t *testing.T) {
	now := time.Duration(0)
	log := NewStore(fleetName, Limits{})
	s := NewSource(log, SourceOptions{}, 1)
	apply(t, log, change(target("a", "x")))
	slow, quick := NewReplica(fleetName, Scope{Name: "slow"}, 1, Limits{}), NewReplica(fleetName, Scope{Name: "quick"}, 1, Limits{})
	exchange(t, &now, s, slow)
	exchange(t, &now, s, quick)
	for i := range 10_000 {
		apply(t, log, change(target(fmt.Sprint("t", i%10), fmt.Sprint("127.0.0.1:", i)), layer("shared", fmt.Sprintf(`{"i":%d}`, i))))
		if i%100 == 0 {
			now += time.Second
			require.Equal(t, 1, exchange(t, &now, s, quick))
		}
	}
	require.NoError(t, s.Subscribe(now, slow.SubscribeRequest()))
	d, _ := s.NextDelta(now, "slow")
	require.Len(t, d.Records, 11)
	require.Equal(t, Position{10_001, 10_001}, d.To)
}

// TestTargetsFirst checks that a reader that has spent its bytes on a large configuration still receives changes of
// targets at once.
func TestTargetsFirst(t *testing.T) {
	now := time.Duration(0)
	log := NewStore(fleetName, Limits{})
	s := NewSource(log, SourceOptions{ReaderRate: 1000, ReaderBurst: 4000}, 1)
	r := NewReplica(fleetName, Scope{Name: "n1"}, 1, Limits{})
	apply(t, log, change(layer("shared", fmt.Sprintf(`{"x":"%060000d"}`, 1))))
	exchange(t, &now, s, r)
	require.Equal(t, uint64(1), r.Applied().Min())
	for i := range 5 {
		now += time.Second
		apply(t, log, change(layer("shared", fmt.Sprintf(`{"x":"%060000d"}`, i)), target("a", fmt.Sprint("127.0.0.1:", i))))
		require.NoError(t, s.Subscribe(now, r.SubscribeRequest()))
		d, _ := s.NextDelta(now, "n1")
		require.NotNil(t, d)
		require.Equal(t, []string{"a"}, keys(d.Records))
		_, err := r.ApplyDelta(d)
		require.NoError(t, err)
		require.Equal(t, Position{uint64(i) + 2, 1}, r.Consistent().Position)
	}
	// The configuration follows once the rate allows its bytes: over the whole time no more than the rate allows, plus
	// one configuration.
	now += time.Second
	require.NoError(t, s.Subscribe(now, r.SubscribeRequest()))
	_, wait := s.NextDelta(now, "n1")
	require.Greater(t, wait, 100*time.Second)
	require.Less(t, wait, 130*time.Second)
	now += wait
	d, _ := s.NextDelta(now, "n1")
	require.Equal(t, []string{"shared"}, keys(d.Records))
}

// TestAdmission has a thousand new readers subscribe at once. They are given different retry times, and all are admitted
// within the time that the rate allows.
func TestAdmission(t *testing.T) {
	log := NewStore(fleetName, Limits{})
	apply(t, log, change(target("a", "x")))
	s := NewSource(log, SourceOptions{AdmitRate: 50, AdmitBurst: 20}, 1)
	retryAt := map[int]time.Duration{}
	for i := range 1000 {
		retryAt[i] = 0
	}
	admitted, maxBurst := 0, 0
	for now := time.Duration(0); len(retryAt) > 0; now += 10 * time.Millisecond {
		require.Less(t, now, 30*time.Second)
		before := admitted
		for i := range 1000 {
			if at, waits := retryAt[i]; !waits || at > now {
				continue
			}
			err := s.Subscribe(now, SubscribeRequest{Fleet: fleetName, Scope: Scope{Name: fmt.Sprint("n", i)}, Generation: 1, Seq: 1})
			if busy := (*BusyError)(nil); errors.As(err, &busy) {
				require.Positive(t, busy.RetryAfter)
				retryAt[i] = now + busy.RetryAfter
				continue
			}
			require.NoError(t, err)
			delete(retryAt, i)
			admitted++
		}
		if now > 0 {
			maxBurst = max(maxBurst, admitted-before)
		}
		require.LessOrEqual(t, float64(admitted), 20+50*now.Seconds()+0.001)
	}
	t.Logf("most readers admitted at one time after the first: %d", maxBurst)
	require.LessOrEqual(t, maxBurst, 5)
	// Known readers are served at any time; new ones only up to MaxReaders.
	full := NewSource(log, SourceOptions{MaxReaders: 1}, 1)
	require.NoError(t, full.Subscribe(0, SubscribeRequest{Fleet: fleetName, Scope: Scope{Name: "a"}, Generation: 1, Seq: 1}))
	require.ErrorContains(t, full.Subscribe(0, SubscribeRequest{Fleet: fleetName, Scope: Scope{Name: "b"}, Generation: 1, Seq: 1}), "busy")
	require.NoError(t, full.Subscribe(0, SubscribeRequest{Fleet: fleetName, Scope: Scope{Name: "a"}, Generation: 1, Seq: 2}))
	require.NoError(t, full.Subscribe(DefaultSourceOptions.ForgetAfter, SubscribeRequest{Fleet: fleetName, Scope: Scope{Name: "b"}, Generation: 1, Seq: 1}))
	require.Equal(t, 1, full.ReaderCount())
}

// TestNewEpochNeedsReplaces has the agents lose their log and start a new one. Relays and readers keep their state and
// reject the new epoch until an operator's change replaces the old one.
func TestNewEpochNeedsReplaces(t *testing.T) {
	now := time.Duration(0)
	log := NewStore(fleetName, Limits{})
	relay := NewReplica(fleetName, Scope{Name: "relay/1", All: true}, 1, Limits{})
	relaySource := NewSource(relay.Store(), SourceOptions{}, 1)
	r := NewReplica(fleetName, Scope{Name: "n1", Region: "r1"}, 1, Limits{})
	apply(t, log, change(target("a", "x"), target("b", "x"), layer("shared", `{"x":1}`)))
	exchange(t, &now, NewSource(log, SourceOptions{}, 1), relay)
	exchange(t, &now, relaySource, r)

	empty := NewStore(fleetName, Limits{})
	agent := NewSource(empty, SourceOptions{}, 2)
	require.ErrorContains(t, agent.Subscribe(now, relay.SubscribeRequest()), "unready")
	_, err := empty.Apply(Change{Fleet: fleetName, Epoch: "e2", Puts: []Put{target("b", "x"), target("c", "x")}})
	require.NoError(t, err)
	require.ErrorContains(t, agent.Subscribe(now, relay.SubscribeRequest()), `epoch "e1", and "e2" doesn't say`)
	require.Equal(t, []string{"a", "b"}, keys(r.Records(Targets)))

	_, err = empty.Apply(Change{Fleet: fleetName, Replaces: "e1"})
	require.NoError(t, err)
	exchange(t, &now, agent, relay)
	now += time.Second
	require.NoError(t, relaySource.Subscribe(now, r.SubscribeRequest()))
	d, _ := relaySource.NextDelta(now, "n1")
	changed, err := r.ApplyDelta(d)
	require.NoError(t, err)
	deleted := map[string]bool{}
	for _, x := range changed {
		deleted[x.Key] = x.Deleted
	}
	require.Equal(t, map[string]bool{"a": true, "c": false, "shared": true}, deleted) // b is unchanged
	require.Equal(t, Watermark{"e1", Position{1, 1}}, r.Applied())
	r.MarkApplied(r.Consistent())
	require.Equal(t, Watermark{"e2", Position{2, 2}}, r.Applied())
	// A late delta of the old epoch is rejected.
	_, err = r.ApplyDelta(&Delta{Fleet: fleetName, Epoch: "e1", Replaces: []string{"e2"}, Scope: r.Scope(), To: Position{9, 9}, Head: Position{9, 9}})
	require.ErrorContains(t, err, "(epoch)")
}

// TestRejectedConfig checks that after a rejected configuration the last valid one stays acknowledged, until a valid
// change of the configuration is applied.
func TestRejectedConfig(t *testing.T) {
	now := time.Duration(0)
	log := NewStore(fleetName, Limits{})
	s := NewSource(log, SourceOptions{}, 1)
	r := NewReplica(fleetName, Scope{Name: "n1"}, 1, Limits{})
	apply(t, log, change(layer("shared", `{}`)))
	exchange(t, &now, s, r)
	apply(t, log, change(layer("shared", `{"bad":1}`), target("a", "x")))
	now += time.Second
	require.NoError(t, s.Subscribe(now, r.SubscribeRequest()))
	d, _ := s.NextDelta(now, "n1")
	_, err := r.ApplyDelta(d)
	require.NoError(t, err)
	r.RejectConfig(r.Consistent().Config, "bad: unknown field")
	r.MarkApplied(r.Consistent())
	require.Equal(t, Position{2, 1}, r.Applied().Position)
	apply(t, log, change(target("b", "x")))
	now += time.Second
	exchange(t, &now, s, r)
	require.Equal(t, Position{3, 1}, r.Applied().Position)
	require.Equal(t, &Rejection{2, "bad: unknown field"}, r.SubscribeRequest().Rejection)
	apply(t, log, change(layer("shared", `{"good":1}`)))
	now += time.Second
	exchange(t, &now, s, r)
	require.Equal(t, Position{4, 4}, r.Applied().Position)
	require.Nil(t, r.SubscribeRequest().Rejection)
}

// TestAckTracker checks which readers have applied a version, when they did, and why others have not.
func TestAckTracker(t *testing.T) {
	tracker := NewAckTracker(fleetName, AckTrackerOptions{})
	watermark := func(epoch string, v uint64) Watermark { return Watermark{epoch, Position{v, v}} }
	seq := map[string]uint64{}
	report := func(now time.Duration, relay string, full bool, relayVersion uint64, readers ...Cursor) ReportResponse {
		seq[relay]++
		resp, err := tracker.AddReport(now, Report{Fleet: fleetName, Relay: relay, Incarnation: 1, Seq: seq[relay], Base: seq[relay] - 1, UpTo: seq[relay], Full: full, Consistent: watermark("e1", relayVersion), Readers: readers})
		require.NoError(t, err)
		return resp
	}
	const s = time.Second
	tracker.NoteCommit(0, "e1", 1)
	require.True(t, report(s, "a", false, 1).WantFull, "the tracker has no base")
	report(s, "a", true, 1, Cursor{Name: "n1", Applied: watermark("e1", 1), Generation: 1}, Cursor{Name: "n2", Applied: watermark("e1", 1), Generation: 1})
	report(s, "b", true, 1, Cursor{Name: "n3", Applied: watermark("e1", 1), Generation: 1}, Cursor{Name: "n4", Applied: watermark("e0", 9), Epoch: "e0", Generation: 1})
	report(7*s, "a", false, 1, Cursor{Name: "n1", Applied: watermark("e1", 1), Generation: 1})
	tracker.NoteCommit(10*s, "e1", 2)
	report(11*s, "a", false, 2, Cursor{Name: "n1", Applied: watermark("e1", 2), Generation: 1})
	report(12*s, "b", false, 2, Cursor{Name: "n3", Applied: watermark("e1", 2), Generation: 1, LastHeardMs: 100})
	st := tracker.Status(13*s, 2)
	require.Equal(t, [4]int{4, 2, 0, 0}, [4]int{st.Readers, st.Applied, st.Silent, st.Rejected})
	require.Equal(t, [4]int64{3000, 2000, -1, -1}, [4]int64{st.SinceMs, st.HalfMs, st.P99Ms, st.AllMs})
	require.Equal(t, []string{"n4 epoch", "n2 owed"}, laggingCauses(st))
	require.Equal(t, 1, len(tracker.Status(13*s, 1).Lagging))

	// n2 has switched to relay b, and a later report of relay a still has its old cursor: it counts once, in its later
	// generation.
	report(14*s, "b", false, 2, Cursor{Name: "n2", Applied: watermark("e1", 2), Generation: 2}, Cursor{Name: "n4", Applied: watermark("e1", 1), Generation: 2, Rejection: &Rejection{2, "bad"}})
	report(15*s, "a", false, 2, Cursor{Name: "n2", Applied: watermark("e1", 1), Generation: 1, Silent: true, LastHeardMs: 2000})
	st = tracker.Status(15*s, 2)
	require.Equal(t, [4]int{4, 3, 0, 1}, [4]int{st.Readers, st.Applied, st.Silent, st.Rejected})
	require.Equal(t, []string{"n4 refused"}, laggingCauses(st))

	// Readers of a relay that lacks the version are listed with that cause; readers of a relay that sends no report are
	// silent.
	tracker.NoteCommit(16*s, "e1", 3)
	report(16*s+s/2, "a", false, 3)
	report(17*s, "b", false, 2, Cursor{Name: "n4", Applied: watermark("e1", 2), Generation: 2})
	require.Equal(t, []string{"n1 owed", "n2 cut", "n3 cut", "n4 cut"}, laggingCauses(tracker.Status(17*s, 3)))
	st = tracker.Status(26*s+7*s/10, 3)
	require.Equal(t, []string{"n1 silent", "n2 cut", "n3 cut", "n4 cut"}, laggingCauses(st))
	require.Equal(t, 1, st.Silent)
	require.Equal(t, int64(10_200), st.Lagging[0].LastHeardMs)

	// All readers have applied the version, and the times are known.
	report(26*s+8*s/10, "a", false, 3, Cursor{Name: "n1", Applied: watermark("e1", 3), Generation: 1})
	report(27*s, "b", false, 3, Cursor{Name: "n2", Applied: watermark("e1", 3), Generation: 2}, Cursor{Name: "n3", Applied: watermark("e1", 3), Generation: 1}, Cursor{Name: "n4", Applied: watermark("e1", 3), Generation: 2})
	st = tracker.Status(28*s, 3)
	require.Equal(t, [3]int64{11000, 11000, 11000}, [3]int64{st.HalfMs, st.P99Ms, st.AllMs})
	require.Empty(t, st.Lagging)
	require.InDelta(t, 1, st.AppliedShare, 0)

	// Relays that send no report are dropped with their readers; a report of another fleet is rejected.
	st = tracker.Status(28*s+DefaultAckTrackerOptions.ForgetAfter, 3)
	require.Zero(t, st.Readers)
	_, err := tracker.AddReport(28*s, Report{Fleet: "g", Relay: "a", Incarnation: 9, Full: true})
	require.ErrorContains(t, err, "foreign")
	require.Equal(t, uint64(1), tracker.Rejections()[ReasonForeignFleet])
}

func laggingCauses(s Status) (list []string) {
	for _, l := range s.Lagging {
		list = append(list, l.Name+" "+l.Cause)
	}
	return list
}

// TestJSONRoundTrip checks that messages survive encoding and decoding, and that invalid ones are rejected.
func TestJSONRoundTrip(t *testing.T) {
	req := SubscribeRequest{Fleet: "f", Epoch: "e", Scope: Scope{Name: "n", Region: "r", All: true}, Have: Position{1, 2}, Seen: Position{3, 4}, Applied: Watermark{"e", Position{1, 1}}, Generation: 5, Seq: 6,
		Rejection: &Rejection{7, "x"}, Progress: &DigestProgress{8, 9}, Digests: Digests{10, 1 << 63}, WaitMs: 11}
	var h2 SubscribeRequest
	b, err := json.Marshal(req)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(b, &h2))
	require.Equal(t, req, h2)
	d := Delta{Fleet: "f", Epoch: "e", Replaces: []string{"x"}, Scope: req.Scope, To: Position{1, 2}, Head: Position{3, 4}, Records: []Record{{Kind: Config, Key: "shared", Version: 2, Value: []byte(`{}`)}},
		Range: &BucketRange{1, 2, 3}, Buckets: []Bucket{{2, 1 << 63, []string{"b"}, []Record{{Key: "a", Version: 1, Value: []byte(`{}`)}}}}, AgeMs: 4}
	var d2 Delta
	b, err = json.Marshal(d)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(b, &d2))
	require.Equal(t, d, d2)
	require.LessOrEqual(t, len(b), d.Size())
	require.Error(t, json.Unmarshal([]byte(`{"sums":"AAA"}`), &h2))
	require.Error(t, json.Unmarshal([]byte(`{"records":[{"kind":"other"}]}`), &d2))
}
