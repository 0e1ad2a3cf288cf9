package watchstream

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBadChanges names the field that can't be used, and nothing is changed.
func TestBadChanges(t *testing.T) {
	wide := change()
	for i := range MostPuts + 1 {
		wide.Puts = append(wide.Puts, gone(fmt.Sprint("t", i)))
	}
	heavy := change()
	for i := range MostChange/MostTargetValue + 1 {
		heavy.Puts = append(heavy.Puts, Put{Kind: Targets, Key: fmt.Sprint("t", i), Value: fmt.Appendf(nil, `{"x":%q}`, strings.Repeat("x", MostTargetValue-8))})
	}
	of := func(c Change, change func(*Change)) Change {
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
		{"another fleet", of(good, func(c *Change) { c.Fleet = "g" }), "foreign"},
		{"no epoch", of(good, func(c *Change) { c.Epoch = "" }), "epoch: it is missing"},
		{"nothing", change(), "puts: it is empty"},
		{"too many", wide, "puts: 4097 of them"},
		{"too large", heavy, "the change is over 262144 bytes"},
		{"over another version", of(good, func(c *Change) { c.If = &wrongIf }), "for version 7 and the log is at 0"},
		{"itself replaced", of(good, func(c *Change) { c.Replaces = "e1" }), "replaces: \"e1\" is this history itself"},
		{"an unknown kind", change(Put{Kind: 7, Key: "a"}), "puts[0].kind"},
		{"no key", change(target("a", "x"), target("", "x")), "puts[1].key: it is missing"},
		{"a long key", change(target(strings.Repeat("k", MostKey+1), "x")), "puts[0].key: over 128 bytes"},
		{"twice the same", change(target("a", "x"), gone("a")), "puts[1].key: puts[0] has \"a\" too"},
		{"an unknown scope", change(layer("cell/7", `{}`)), "puts[0].key: \"cell/7\" is no scope"},
		{"a scope without a name", change(layer("zone/", `{}`)), "puts[0].key"},
		{"gone with a value", change(Put{Kind: Targets, Key: "a", Gone: true, Value: []byte(`{}`)}), "puts[0].value: there is one beside gone"},
		{"no value", change(Put{Kind: Targets, Key: "a"}), "puts[0].value"},
		{"half a value", change(layer("shared", `{"x":`)), "puts[0].value: it is not JSON"},
		{"a list", change(layer("shared", `[1]`)), "puts[0].value: it is no JSON object"},
		{"a long value", change(layer("shared", `{"x":"`+strings.Repeat("x", MostConfigValue)+`"}`)), "puts[0].value: 65544 bytes"},
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
	apply(t, s, change(gone("a"), target("c", "x"), layer("shared", `{"x":1}`)))
	require.Equal(t, uint64(2), s.Head())
}

// TestBadDeltas has each kind of delta that can't be taken be refused, counted by its reason, and change nothing.
func TestBadDeltas(t *testing.T) {
	scope := Scope{Name: "n1", Region: "r1", Zone: "z1"}
	log := NewStore(fleetName, Limits{})
	apply(t, log, change(target("a", "127.0.0.1:1"), layer("shared", `{}`)))
	r := NewReplica(fleetName, scope, 1, Limits{})
	now := pause
	exchange(t, &now, NewSource(log, SourceOptions{}, 1), r)
	good := func() *Delta {
		return &Delta{Fleet: fleetName, Epoch: "e1", For: scope, From: Position{1, 1}, To: Position{2, 2}, Head: Position{2, 2}, Records: []Record{
			{Kind: Targets, Key: "b", Version: 2, Value: []byte(`{}`)}, {Kind: Config, Key: "zone/z1", Version: 2, Value: []byte(`{}`)}}}
	}
	before := fmt.Sprintf("%+v", r.Store().Copy())
	for _, c := range []struct {
		want   Reason
		change func(d *Delta)
	}{
		{Foreign, func(d *Delta) { d.Fleet = "g" }},
		{Epoch, func(d *Delta) { d.Epoch = "e2" }},
		{Epoch, func(d *Delta) { d.Epoch, d.Replaces = "e2", []string{"e0"} }},
		{Malformed, func(d *Delta) { d.Epoch = "" }},
		{Misdirect, func(d *Delta) { d.For.Region = "r2" }},
		{Misdirect, func(d *Delta) { d.For.Name = "n2" }},
		{Gap, func(d *Delta) { d.From = Position{2, 2}; d.Records = nil }},
		{Gap, func(d *Delta) { d.From = Position{} }},
		{Back, func(d *Delta) { d.Head = Position{0, 1} }},
		{Back, func(d *Delta) { d.To, d.Head, d.Records = Position{1, 1}, Position{1, 0}, nil }},
		{Oversize, func(d *Delta) {
			for i := range MostDelta / MostConfigValue {
				d.Records = append(d.Records, Record{Key: fmt.Sprint("x", i), Version: 2, Value: make([]byte, MostConfigValue)})
			}
		}},
		{Disorder, func(d *Delta) { d.Records[0], d.Records[1] = d.Records[1], d.Records[0] }},
		{Disorder, func(d *Delta) { d.Records[0].Version = 3 }},
		{Disorder, func(d *Delta) { d.Records[0].Version = 1 }},
		{Disorder, func(d *Delta) { d.To.Targets = 1; d.Records = d.Records[1:] }},
		{Disorder, func(d *Delta) { d.To.Targets = 3 }},
		{Disorder, func(d *Delta) { d.Head.Config = 3 }},
		{Disorder, func(d *Delta) { d.Ask = true }},
		{Disorder, func(d *Delta) { d.Buckets = []Bucket{{N: 1}} }},
		{Disorder, func(d *Delta) { d.Records, d.To, d.Span = nil, Position{2, 1}, &Span{2, 0, Usual.Buckets + 1} }},
		{Disorder, func(d *Delta) {
			d.Records, d.To, d.Span, d.Buckets = nil, Position{1, 1}, &Span{2, 0, 1}, []Bucket{{0, 0, nil, []Record{{Key: "a", Version: 1, Value: []byte(`{}`)}}}}
		}},
		{Disorder, func(d *Delta) {
			d.Records, d.To, d.Span, d.Buckets = nil, Position{1, 1}, &Span{2, 0, 1}, []Bucket{{N: 0, Sum: 7}}
		}},
		{Disorder, func(d *Delta) {
			d.Records, d.To, d.Span, d.Buckets = nil, Position{1, 1}, &Span{2, 0, 1}, []Bucket{{N: 0, Held: []string{"nobody"}}}
		}},
		{Gap, func(d *Delta) { d.Records, d.To, d.Span = nil, Position{2, 1}, &Span{2, 5, Usual.Buckets} }},
		{OutOf, func(d *Delta) { d.Records[1].Key = "zone/z2" }},
		{OutOf, func(d *Delta) { d.Records[1].Key = "instance/n2" }},
		{Malformed, func(d *Delta) { d.Records[1].Key = "cell/1" }},
		{Malformed, func(d *Delta) { d.Records[0].Value = []byte(`{"id":`) }},
		{Malformed, func(d *Delta) { d.Records[0].Kind = 9 }},
		{Malformed, func(d *Delta) { d.Records[0].Key = "" }},
	} {
		d := good()
		c.change(d)
		counted := r.Counts()[c.want]
		_, err := r.Take(d)
		var refusal *Refusal
		require.True(t, errors.As(err, &refusal), "%+v", d)
		require.Equal(t, c.want, refusal.Reason, refusal.Why)
		require.Equal(t, counted+1, r.Counts()[c.want])
		require.Equal(t, before, fmt.Sprintf("%+v", r.Store().Copy()))
	}
	changed, err := r.Take(good())
	require.NoError(t, err)
	require.Len(t, changed, 2)
}

// TestBadHellos has a source refuse what it can't serve, and know nothing of it.
func TestBadHellos(t *testing.T) {
	log := NewStore(fleetName, Limits{})
	s := NewSource(log, SourceOptions{}, 1)
	good := func() Hello { return Hello{Fleet: fleetName, Scope: Scope{Name: "n1"}, Turn: 1, Seq: 1} }
	require.ErrorContains(t, s.Hear(0, good()), "unready")
	apply(t, log, change(target("a", "x")))
	for want, h := range map[string]func(h *Hello){
		"name":        func(h *Hello) { h.Name = "" },
		"fleet":       func(h *Hello) { h.Fleet = "" },
		"foreign":     func(h *Hello) { h.Fleet = "g" },
		"(epoch)":     func(h *Hello) { h.Epoch = "e0" },
		"buckets":     func(h *Hello) { h.Sums = make(Sums, 7) },
		"seen":        func(h *Hello) { h.Have = Position{3, 3} },
		"digest.at":   func(h *Hello) { h.Digest = &Progress{At: -1} },
		"refused":     func(h *Hello) { h.Refused = &TurnedDown{1, strings.Repeat("x", MostReason+1)} },
		"region":      func(h *Hello) { h.Region = strings.Repeat("x", MostName) },
		"epoch: over": func(h *Hello) { h.Epoch = strings.Repeat("x", MostName+1) },
	} {
		bad := good()
		h(&bad)
		require.ErrorContains(t, s.Hear(0, bad), want)
		require.Zero(t, s.Readers())
	}
	require.NoError(t, s.Hear(0, good()))
	require.ErrorContains(t, s.Hear(0, good()), "stale")
	counts, _ := s.Counts()
	require.Equal(t, uint64(1), counts[Stale])
}

// TestBadCopies has copies that aren't whole, in order or of this fleet and scope be refused, and change nothing.
func TestBadCopies(t *testing.T) {
	log := NewStore(fleetName, Limits{})
	apply(t, log, change(target("a", "x"), target("b", "x")))
	apply(t, log, change(gone("a"), layer("shared", `{}`)))
	b, err := json.Marshal(log.Copy())
	require.NoError(t, err)
	for want, change := range map[string]func(c *Copy){
		"foreign":          func(c *Copy) { c.Fleet = "g" },
		"no epoch":         func(c *Copy) { c.Epoch = "" },
		"further":          func(c *Copy) { c.Have.Targets = 9 },
		"out of order":     func(c *Copy) { c.Records[0], c.Records[1] = c.Records[1], c.Records[0] },
		"in it twice":      func(c *Copy) { c.Records[1].Key = "b" },
		"not within":       func(c *Copy) { c.Records[1].Version = 9 },
		"records[0].value": func(c *Copy) { c.Records[0].Value = []byte(`{`) },
		"is not of":        func(c *Copy) { c.Records[2].Key = "region/elsewhere" },
	} {
		var c Copy
		require.NoError(t, json.Unmarshal(b, &c))
		change(&c)
		r := NewReplica(fleetName, Scope{Name: "n1"}, 1, Limits{})
		require.ErrorContains(t, r.Restore(c), want)
		require.Equal(t, Copy{Fleet: fleetName}, r.Store().Copy())
	}
	var c Copy
	require.NoError(t, json.Unmarshal(b, &c))
	r := NewReplica(fleetName, Scope{Name: "n1"}, 1, Limits{})
	require.NoError(t, r.Restore(c))
	require.Equal(t, log.Copy(), r.Store().Copy())
	require.Equal(t, log.sums, r.Store().sums)
	require.Equal(t, Mark{}, r.InForce())
}
