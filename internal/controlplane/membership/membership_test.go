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

func newTestNode(t testing.TB, known int) *Node {
	t.Helper()
	set := DefaultConfig
	set.FleetID = 7
	n := New(set, 1, info("self"), nil, 0, rand.New(rand.NewPCG(1, 1)))
	var all []Record
	for i := range known {
		all = append(all, Record{ID: uint64(i + 2), Incarnation: 1, Info: info(fmt.Sprint("n", i))})
	}
	n.Preload(0, all, SharedInfos(all))
	return n
}

// TestLateTick runs the tick that ends a probe late. Up to half a probe timeout the probe fails as usual. A longer delay does not count
// against the probed member, since its answer may still be queued. Beyond PauseThreshold it is a pause, which discards the probe and
// raises the member's own incarnation.
func TestLateTick(t *testing.T) {
	for _, c := range []struct {
		late   time.Duration
		failed uint64
		pauses uint64
		inc    uint32
	}{{0, 1, 0, 1}, {100 * time.Millisecond, 1, 0, 1}, {700 * time.Millisecond, 0, 0, 1}, {1900 * time.Millisecond, 0, 0, 1}, {2100 * time.Millisecond, 0, 1, 2}} {
		n := newTestNode(t, 5)
		at := n.NextTick()
		n.Tick(at) // sends a ping
		at = n.NextTick()
		n.Tick(at) // asks helpers
		at = n.NextTick() + c.late
		n.Tick(at)
		require.Equal(t, c.failed, n.Counts.Failed, "%v late", c.late)
		require.Equal(t, c.pauses, n.Counts.Pauses, "%v late", c.late)
		require.Equal(t, c.inc, n.Self().Incarnation, "%v late", c.late)
	}
}

// TestMessageSizeBounded fills a view to its bounds, with names of the greatest length, and checks that no message that the member sends
// exceeds its bound.
func TestMessageSizeBounded(t *testing.T) {
	n := newTestNode(t, 0)
	long := strings.Repeat("x", MaxTextBytes)
	var all []Record
	for i := range 4000 {
		r := Record{ID: uint64(i + 2), Incarnation: 1, Info: Info{long[:60] + fmt.Sprintf("%04d", i), long, long}}
		all = append(all, r)
	}
	for i := range all {
		n.mergeRecord(0, &all[i])
		n.mergeReachability(0, Reachability{Observer: uint64(i + 2), From: 5, To: uint64(i + 3), State: LinkDown, Seq: 1})
	}
	require.LessOrEqual(t, len(n.broadcasts), maxBroadcasts)
	require.LessOrEqual(t, len(n.reachability), maxReachRecords)
	var sent []Outgoing
	for now := time.Duration(0); now < 30*time.Second; now = n.NextTick() {
		sent = append(sent, n.Tick(now)...)
	}
	for _, k := range []MessageKind{Ping, SyncRequest, PingRequest} {
		msg := &Message{Version: Version, FleetID: 7, Kind: k, From: all[0], Nonce: 9, Subject: all[1], Digests: make([]uint64, DigestBuckets)}
		sent = append(sent, n.Receive(30*time.Second, msg, Datagram)...)
	}
	require.Greater(t, len(sent), 40)
	for _, s := range sent {
		require.NoError(t, s.Validate())
		b, err := cbor.Marshal(s.Message)
		require.NoError(t, err)
		require.LessOrEqual(t, len(b), MaxMessageBytes+300, s.Kind.String())
	}
}

// TestUnverifiedMessagesChangeNothing feeds a member valid messages with random content that echo none of its nonces: they add no member,
// end none, and each causes a bounded number of replies (step 2).
func TestUnverifiedMessagesChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newTestNode(&testing.B{}, 3)
		digest, inc := n.AliveDigest(), n.Self().Incarnation
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			record := func(name string) Record {
				return Record{ID: rapid.Uint64Range(1, 6).Draw(t, name), Incarnation: rapid.Uint32().Draw(t, "inc"), Status: Status(rapid.IntRange(0, 3).Draw(t, "status")),
					Info: info("g"), Reporter: rapid.Uint64().Draw(t, "by")}
			}
			msg := &Message{Version: Version, FleetID: 7, Kind: MessageKind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind")), From: record("from"), To: rapid.Uint64Range(0, 2).Draw(t, "to"),
				Nonce: rapid.Uint64().Draw(t, "nonce"), Echo: rapid.Uint64().Draw(t, "echo"), Subject: record("about"), Records: []Record{record("record")},
				Reachability: []Reachability{{Observer: 9, From: 8, To: 7, State: LinkDown, Seq: 1}}}
			if rapid.Bool().Draw(t, "you") {
				msg.Opinion = &Opinion{Incarnation: rapid.Uint32Range(2, 1<<30).Draw(t, "you inc"), Status: Suspect}
			}
			if err := msg.Validate(); err != nil {
				t.Fatal(err)
			}
			if out := n.Receive(time.Second, msg, Datagram); len(out) > maxSyncPages+2 {
				t.Fatalf("%d messages in reply to one", len(out))
			}
		}
		if n.AliveDigest() != digest || n.Self().Incarnation != inc || n.Size() != 4 || len(n.reachability) > 0 {
			t.Fatalf("unverified messages changed the view: %s", n.DebugString(time.Second, formatID))
		}
	})
}

// TestViewStates checks the states that a View shows: paused, slow, cut off, suspected and left members, and names that two members have.
func TestViewStates(t *testing.T) {
	n := newTestNode(t, 0)
	for i := range 8 {
		n.mergeRecord(0, &Record{ID: uint64(10 + i), Incarnation: 1, Info: Info{Name: fmt.Sprint("n", i), Addr: "a:1", Zone: []string{"a", "b"}[i%2]}})
	}
	n.mergeRecord(0, &Record{ID: 10, Incarnation: 2, Info: info("n0"), PausedMs: 5000})
	n.mergeRecord(0, &Record{ID: 30, Incarnation: 1, Info: info("n1")})
	n.mergeRecord(0, &Record{ID: 12, Incarnation: 1, Status: Suspect, Reporter: 13, Info: info("n2")})
	n.lookup(13).health = slowThreshold
	n.mergeRecord(0, &Record{ID: 14, Incarnation: 1, Status: Left, Info: info("n4")})
	for i := range 3 {
		n.mergeReachability(0, Reachability{Observer: uint64(15 + i), From: uint64(15 + i), To: uint64(16 - i%2), State: LinkDown, Seq: 1})
	}
	v := n.View(time.Second)
	states := map[string]State{}
	for _, s := range v.Members {
		if s.ID != formatID(30) {
			states[s.Name] = s.State
		}
	}
	require.Equal(t, map[string]State{"self": StateAlive, "n0": StatePaused, "n1": StateAlive, "n2": StateSuspect, "n3": StateSlow, "n4": StateLeft, "n5": states["n5"], "n6": StateUnreachable, "n7": StateAlive}, states)
	require.Equal(t, []string{"n1"}, v.DuplicateNames)
	require.Len(t, n.EndedInstances(5), 1)
	require.Equal(t, "n4", n.EndedInstances(5)[0].Name)
	require.Empty(t, Diff(v, v))
	w := newTestNode(t, 0).View(0)
	w.Members[0].ID = "other"
	require.NotEmpty(t, Diff(v, w))
}
