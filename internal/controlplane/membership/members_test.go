package membership

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

func info(name string) Info { return Info{Name: name, Addr: name + ":1"} }

func machine(t testing.TB, known int) *Machine {
	t.Helper()
	set := Usual
	set.Fleet = 7
	m := New(set, 1, info("self"), nil, 0, rand.New(rand.NewPCG(1, 1)))
	var all []Record
	for i := range known {
		all = append(all, Record{Birth: uint64(i + 2), Inc: 1, Info: info(fmt.Sprint("n", i))})
	}
	m.Know(0, all, Shared(all))
	return m
}

// TestLateness has a member look at the clock late while a probe is out: a short lateness costs the one that was asked nothing, since
// its answer may wait unread; a long one is a pause, which voids the probe and is told.
func TestLateness(t *testing.T) {
	for _, c := range []struct {
		late   time.Duration
		failed uint64
		pauses uint64
		inc    uint32
	}{{0, 1, 0, 1}, {100 * time.Millisecond, 1, 0, 1}, {700 * time.Millisecond, 0, 0, 1}, {1900 * time.Millisecond, 0, 0, 1}, {2100 * time.Millisecond, 0, 1, 2}} {
		m := machine(t, 5)
		at := m.Next()
		m.Tick(at) // a probe goes out
		at = m.Next()
		m.Tick(at) // others are asked
		at = m.Next() + c.late
		m.Tick(at)
		require.Equal(t, c.failed, m.Counts.Failed, "%v late", c.late)
		require.Equal(t, c.pauses, m.Counts.Pauses, "%v late", c.late)
		require.Equal(t, c.inc, m.Self().Inc, "%v late", c.late)
	}
}

// TestNoMessageGrows fills a member with all that it may know, under the longest names, and looks at what it sends: no message is larger
// for it.
func TestNoMessageGrows(t *testing.T) {
	m := machine(t, 0)
	long := strings.Repeat("x", MostText)
	var all []Record
	for i := range 4000 {
		r := Record{Birth: uint64(i + 2), Inc: 1, Info: Info{long[:60] + fmt.Sprintf("%04d", i), long, long}}
		all = append(all, r)
	}
	for i := range all {
		m.merge(0, &all[i])
		m.takeLink(0, Link{By: uint64(i + 2), From: 5, To: uint64(i + 3), Kind: Sends, Seq: 1})
	}
	require.LessOrEqual(t, len(m.queue), mostQueue)
	require.LessOrEqual(t, len(m.links), mostLinks)
	var sent []Send
	for now := time.Duration(0); now < 30*time.Second; now = m.Next() {
		sent = append(sent, m.Tick(now)...)
	}
	for _, k := range []Kind{Ping, Compare, Ask} {
		x := &Message{Version: Version, Fleet: 7, Kind: k, From: all[0], Nonce: 9, About: all[1], Digests: make([]uint64, Buckets)}
		sent = append(sent, m.Receive(30*time.Second, x, Datagram)...)
	}
	require.Greater(t, len(sent), 40)
	for _, s := range sent {
		require.NoError(t, s.Check())
		b, err := cbor.Marshal(s.Message)
		require.NoError(t, err)
		require.LessOrEqual(t, len(b), MostBytes+300, s.Kind.String())
	}
}

// TestGarbage feeds a member messages of any content that pass the check: nobody comes of it, nobody dies of it, and it answers each with
// a bounded number of messages.
func TestGarbage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := machine(&testing.B{}, 3)
		digest, inc := m.Digest(), m.Self().Inc
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			record := func(name string) Record {
				return Record{Birth: rapid.Uint64Range(1, 6).Draw(t, name), Inc: rapid.Uint32().Draw(t, "inc"), Status: Status(rapid.IntRange(0, 3).Draw(t, "status")),
					Info: info("g"), By: rapid.Uint64().Draw(t, "by")}
			}
			x := &Message{Version: Version, Fleet: 7, Kind: Kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind")), From: record("from"), To: rapid.Uint64Range(0, 2).Draw(t, "to"),
				Nonce: rapid.Uint64().Draw(t, "nonce"), Echo: rapid.Uint64().Draw(t, "echo"), About: record("about"), Records: []Record{record("record")},
				Links: []Link{{By: 9, From: 8, To: 7, Kind: Sends, Seq: 1}}}
			if rapid.Bool().Draw(t, "you") {
				x.You = &Word{Inc: rapid.Uint32Range(2, 1<<30).Draw(t, "you inc"), Status: Suspect}
			}
			if err := x.Check(); err != nil {
				t.Fatal(err)
			}
			if out := m.Receive(time.Second, x, Datagram); len(out) > mostPages+2 {
				t.Fatalf("%d messages for one", len(out))
			}
		}
		if m.Digest() != digest || m.Self().Inc != inc || m.Size() != 4 || len(m.links) > 0 {
			t.Fatalf("garbage changed the view: %s", m.Print(time.Second, birthText))
		}
	})
}

// TestViews tells states as they are: who is paused, slow, twice there, cut off or suspected, and ways between two zones as one.
func TestViews(t *testing.T) {
	m := machine(t, 0)
	for i := range 8 {
		m.merge(0, &Record{Birth: uint64(10 + i), Inc: 1, Info: Info{Name: fmt.Sprint("n", i), Addr: "a:1", Zone: []string{"a", "b"}[i%2]}})
	}
	m.merge(0, &Record{Birth: 10, Inc: 2, Info: info("n0"), Paused: 5000})
	m.merge(0, &Record{Birth: 30, Inc: 1, Info: info("n1")})
	m.merge(0, &Record{Birth: 12, Inc: 1, Status: Suspect, By: 13, Info: info("n2")})
	m.entry(13).health = slowFrom
	m.merge(0, &Record{Birth: 14, Inc: 1, Status: Left, Info: info("n4")})
	for i := range 3 {
		m.takeLink(0, Link{By: uint64(15 + i), From: uint64(15 + i), To: uint64(16 - i%2), Kind: Sends, Seq: 1})
	}
	v := m.View(time.Second)
	states := map[string]State{}
	for _, s := range v.Members {
		if s.Birth != birthText(30) {
			states[s.Name] = s.State
		}
	}
	require.Equal(t, map[string]State{"self": IsAlive, "n0": IsPaused, "n1": IsAlive, "n2": IsUnsure, "n3": IsSlow, "n4": IsLeft, "n5": states["n5"], "n6": IsCut, "n7": IsAlive}, states)
	require.Equal(t, []string{"n1"}, v.Twice)
	require.Len(t, m.Ended(5), 1)
	require.Equal(t, "n4", m.Ended(5)[0].Name)
	require.Empty(t, Diff(v, v))
	w := machine(t, 0).View(0)
	w.Members[0].Birth = "other"
	require.NotEmpty(t, Diff(v, w))
}
