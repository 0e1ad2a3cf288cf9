package watchstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestApplyRejectsInvalidChanges checks that an invalid change is rejected with an error that names the field, and
// changes nothing.
func TestApplyRejectsInvalidChanges(t *testing.T) {
	tooMany := change()
	for i := range MaxPuts + 1 {
		tooMany.Puts = append(tooMany.Puts, deletion(fmt.Sprint("t", i)))
	}
	tooLarge := change()
	for i := range MaxChangeBytes/MaxTargetBytes + 1 {
		tooLarge.Puts = append(tooLarge.Puts, Put{Kind: Targets, Key: fmt.Sprint("t", i), Value: fmt.Appendf(nil, `{"x":%q}`, strings.Repeat("x", MaxTargetBytes-8))})
	}
	modified := func(c Change, change func(*Change)) Change {
		change(&c)
		return c
	}
	wrongIf := uint64(7)
	good := change(target("a", "127.0.0.1:1"))
	for _, c := range []struct {
		name string
		Change
		want string
	}{
		{"no fleet", Change{Epoch: "e", Puts: good.Puts}, "fleet"},
		{"another fleet", modified(good, func(c *Change) { c.Fleet = "g" }), "foreign"},
		{"no epoch", modified(good, func(c *Change) { c.Epoch = "" }), "epoch: it is missing"},
		{"no puts", change(), "puts: it is empty"},
		{"too many puts", tooMany, "puts: 4097 of them"},
		{"too large", tooLarge, "the change is over 262144 bytes"},
		{"conflicting version", modified(good, func(c *Change) { c.IfVersion = &wrongIf }), "for version 7 and the log is at 0"},
		{"replaces itself", modified(good, func(c *Change) { c.Replaces = "e1" }), "replaces: \"e1\" is this history itself"},
		{"unknown kind", change(Put{Kind: 7, Key: "a"}), "puts[0].kind"},
		{"no key", change(target("a", "x"), target("", "x")), "puts[1].key: it is missing"},
		{"key too long", change(target(strings.Repeat("k", MaxKeyBytes+1), "x")), "puts[0].key: over 128 bytes"},
		{"duplicate key", change(target("a", "x"), deletion("a")), "puts[1].key: puts[0] has \"a\" too"},
		{"unknown scope", change(layer("cell/7", `{}`)), "puts[0].key: \"cell/7\" is no scope"},
		{"scope without a name", change(layer("zone/", `{}`)), "puts[0].key"},
		{"deletion with a value", change(Put{Kind: Targets, Key: "a", Deleted: true, Value: []byte(`{}`)}), "puts[0].value: there is one beside gone"},
		{"no value", change(Put{Kind: Targets, Key: "a"}), "puts[0].value"},
		{"truncated value", change(layer("shared", `{"x":`)), "puts[0].value: it is not JSON"},
		{"value is a list", change(layer("shared", `[1]`)), "puts[0].value: it is no JSON object"},
		{"value too long", change(layer("shared", `{"x":"`+strings.Repeat("x", MaxConfigBytes)+`"}`)), "puts[0].value: 65544 bytes"},
	} {
		s := NewStore(fleetName, Limits{})
		_, err := s.Apply(c.Change)
		require.ErrorContains(t, err, c.want, c.name)
		require.Zero(t, s.Head(), c.name)
		require.Empty(t, s.Epoch(), c.name)
	}
	s := NewStore(fleetName, Limits{Targets: 2, Scopes: 1})
	apply(t, s, change(target("a", "x"), target("b", "x"), layer("shared", `{}`)))
	_, err := s.Apply(change(target("c", "x")))
	require.ErrorContains(t, err, "there would be 3 targets: 2 at most")
	_, err = s.Apply(change(layer("zone/z", `{}`)))
	require.ErrorContains(t, err, "there would be 2 layers")
	apply(t, s, change(deletion("a"), target("c", "x"), layer("shared", `{"x":1}`)))
	require.Equal(t, uint64(2), s.Head())
}

// TestApplyDeltaRejectsInvalidDeltas checks that each kind of invalid delta is rejected, counted by its reason, and
// changes nothing.
func TestApplyDeltaRejectsInvalidDeltas(t *testing.T) {
	scope := Scope{Name: "n1", Region: "r1", Zone: "z1"}
	log := NewStore(fleetName, Limits{})
	apply(t, log, change(target("a", "127.0.0.1:1"), layer("shared", `{}`)))
	r := NewReplica(fleetName, scope, 1, Limits{})
	now := idleWait
	exchange(t, &now, NewSource(log, SourceOptions{}, 1), r)
	good := func() *Delta {
		return &Delta{Fleet: fleetName, Epoch: "e1", Scope: scope, From: Position{1, 1}, To: Position{2, 2}, Head: Position{2, 2}, Records: []Record{
			{Kind: Targets, Key: "b", Version: 2, Value: []byte(`{}`)}, {Kind: Config, Key: "zone/z1", Version: 2, Value: []byte(`{}`)}}}
	}
	before := fmt.Sprintf("%+v", r.Store().Snapshot())
	for _, c := range []struct {
		want   Reason
		change func(d *Delta)
	}{
		{ReasonForeignFleet, func(d *Delta) { d.Fleet = "g" }},
		{ReasonEpoch, func(d *Delta) { d.Epoch = "e2" }},
		{ReasonEpoch, func(d *Delta) { d.Epoch, d.Replaces = "e2", []string{"e0"} }},
		{ReasonMalformed, func(d *Delta) { d.Epoch = "" }},
		{ReasonMisdirected, func(d *Delta) { d.Scope.Region = "r2" }},
		{ReasonMisdirected, func(d *Delta) { d.Scope.Name = "n2" }},
		{ReasonGap, func(d *Delta) { d.From = Position{2, 2}; d.Records = nil }},
		{ReasonGap, func(d *Delta) { d.From = Position{} }},
		{ReasonBehind, func(d *Delta) { d.Head = Position{0, 1} }},
		{ReasonBehind, func(d *Delta) { d.To, d.Head, d.Records = Position{1, 1}, Position{1, 0}, nil }},
		{ReasonOversize, func(d *Delta) {
			for i := range MaxDeltaBytes / MaxConfigBytes {
				d.Records = append(d.Records, Record{Key: fmt.Sprint("x", i), Version: 2, Value: make([]byte, MaxConfigBytes)})
			}
		}},
		{ReasonDisorder, func(d *Delta) { d.Records[0], d.Records[1] = d.Records[1], d.Records[0] }},
		{ReasonDisorder, func(d *Delta) { d.Records[0].Version = 3 }},
		{ReasonDisorder, func(d *Delta) { d.Records[0].Version = 1 }},
		{ReasonDisorder, func(d *Delta) { d.To.Targets = 1; d.Records = d.Records[1:] }},
		{ReasonDisorder, func(d *Delta) { d.To.Targets = 3 }},
		{ReasonDisorder, func(d *Delta) { d.Head.Config = 3 }},
		{ReasonDisorder, func(d *Delta) { d.WantDigests = true }},
		{ReasonDisorder, func(d *Delta) { d.Buckets = []Bucket{{Index: 1}} }},
		{ReasonDisorder, func(d *Delta) {
			d.Records, d.To, d.Range = nil, Position{2, 1}, &BucketRange{2, 0, DefaultLimits.Buckets + 1}
		}},
		{ReasonDisorder, func(d *Delta) {
			d.Records, d.To, d.Range, d.Buckets = nil, Position{1, 1}, &BucketRange{2, 0, 1}, []Bucket{{0, 0, nil, []Record{{Key: "a", Version: 1, Value: []byte(`{}`)}}}}
		}},
		{ReasonDisorder, func(d *Delta) {
			d.Records, d.To, d.Range, d.Buckets = nil, Position{1, 1}, &BucketRange{2, 0, 1}, []Bucket{{Index: 0, Digest: 7}}
		}},
		{ReasonDisorder, func(d *Delta) {
			d.Records, d.To, d.Range, d.Buckets = nil, Position{1, 1}, &BucketRange{2, 0, 1}, []Bucket{{Index: 0, Unchanged: []string{"unknown"}}}
		}},
		{ReasonGap, func(d *Delta) {
			d.Records, d.To, d.Range = nil, Position{2, 1}, &BucketRange{2, 5, DefaultLimits.Buckets}
		}},
		{ReasonOutOfScope, func(d *Delta) { d.Records[1].Key = "zone/z2" }},
		{ReasonOutOfScope, func(d *Delta) { d.Records[1].Key = "instance/n2" }},
		{ReasonMalformed, func(d *Delta) { d.Records[1].Key = "cell/1" }},
		{ReasonMalformed, func(d *Delta) { d.Records[0].Value = []byte(`{"id":`) }},
		{ReasonMalformed, func(d *Delta) { d.Records[0].Kind = 9 }},
		{ReasonMalformed, func(d *Delta) { d.Records[0].Key = "" }},
	} {
		d := good()
		c.change(d)
		rejections := r.Rejections()[c.want]
		_, err := r.ApplyDelta(d)
		var refusal *RejectedError
		require.True(t, errors.As(err, &refusal), "%+v", d)
		require.Equal(t, c.want, refusal.Reason, refusal.Why)
		require.Equal(t, rejections+1, r.Rejections()[c.want])
		require.Equal(t, before, fmt.Sprintf("%+v", r.Store().Snapshot()))
	}
	changed, err := r.ApplyDelta(good())
	require.NoError(t, err)
	require.Len(t, changed, 2)
}

// TestSubscribeRejectsInvalidRequests checks that a source rejects invalid requests and admits no reader for them.
func TestSubscribeRejectsInvalidRequests(t *testing.T) {
	log := NewStore(fleetName, Limits{})
	s := NewSource(log, SourceOptions{}, 1)
	good := func() SubscribeRequest {
		return SubscribeRequest{Fleet: fleetName, Scope: Scope{Name: "n1"}, Generation: 1, Seq: 1}
	}
	require.ErrorContains(t, s.Subscribe(0, good()), "unready")
	apply(t, log, change(target("a", "x")))
	for want, modify := range map[string]func(modify *SubscribeRequest){
		"name":        func(h *SubscribeRequest) { h.Name = "" },
		"fleet":       func(h *SubscribeRequest) { h.Fleet = "" },
		"foreign":     func(h *SubscribeRequest) { h.Fleet = "g" },
		"(epoch)":     func(h *SubscribeRequest) { h.Epoch = "e0" },
		"buckets":     func(h *SubscribeRequest) { h.Digests = make(Digests, 7) },
		"seen":        func(h *SubscribeRequest) { h.Have = Position{3, 3} },
		"digest.at":   func(h *SubscribeRequest) { h.Progress = &DigestProgress{NextBucket: -1} },
		"refused":     func(h *SubscribeRequest) { h.Rejection = &Rejection{1, strings.Repeat("x", MaxReasonBytes+1)} },
		"region":      func(h *SubscribeRequest) { h.Region = strings.Repeat("x", MaxNameBytes) },
		"epoch: over": func(h *SubscribeRequest) { h.Epoch = strings.Repeat("x", MaxNameBytes+1) },
	} {
		bad := good()
		modify(&bad)
		require.ErrorContains(t, s.Subscribe(0, bad), want)
		require.Zero(t, s.ReaderCount())
	}
	require.NoError(t, s.Subscribe(0, good()))
	require.ErrorContains(t, s.Subscribe(0, good()), "stale")
	counts, _ := s.Rejections()
	require.Equal(t, uint64(1), counts[ReasonStale])
}

// TestRestoreRejectsInvalidSnapshots checks that a snapshot that is inconsistent, out of order or of another fleet or
// scope is rejected and changes nothing.
func TestRestoreRejectsInvalidSnapshots(t *testing.T) {
	log := NewStore(fleetName, Limits{})
	apply(t, log, change(target("a", "x"), target("b", "x")))
	apply(t, log, change(deletion("a"), layer("shared", `{}`)))
	b, err := json.Marshal(log.Snapshot())
	require.NoError(t, err)
	for want, modify := range map[string]func(snap *Snapshot){
		"foreign":                         func(snap *Snapshot) { snap.Fleet = "g" },
		"no epoch":                        func(snap *Snapshot) { snap.Epoch = "" },
		"is after the newest head":        func(snap *Snapshot) { snap.Have.Targets = 9 },
		"out of order":                    func(snap *Snapshot) { snap.Records[0], snap.Records[1] = snap.Records[1], snap.Records[0] },
		"duplicate of":                    func(snap *Snapshot) { snap.Records[1].Key = "b" },
		"is outside the snapshot's range": func(snap *Snapshot) { snap.Records[1].Version = 9 },
		"records[0].value":                func(snap *Snapshot) { snap.Records[0].Value = []byte(`{`) },
		"is outside the scope":            func(snap *Snapshot) { snap.Records[2].Key = "region/elsewhere" },
	} {
		var snap Snapshot
		require.NoError(t, json.Unmarshal(b, &snap))
		modify(&snap)
		r := NewReplica(fleetName, Scope{Name: "n1"}, 1, Limits{})
		require.ErrorContains(t, r.Restore(snap), want)
		require.Equal(t, Snapshot{Fleet: fleetName}, r.Store().Snapshot())
	}
	var snap Snapshot
	require.NoError(t, json.Unmarshal(b, &snap))
	r := NewReplica(fleetName, Scope{Name: "n1"}, 1, Limits{})
	require.NoError(t, r.Restore(snap))
	require.Equal(t, log.Snapshot(), r.Store().Snapshot())
	require.Equal(t, log.digests, r.Store().digests)
	require.Equal(t, Watermark{}, r.Applied())
}
