package distribution

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/monotonic"
	"spindlehitch/internal/testbed/ports"
)

// testRelay is a running relay on the loopback interface that can be stopped and restarted at its address.
type testRelay struct {
	*Relay
	t    *testing.T
	opt  RelayOptions
	addr string
	kill func() // closes all connections, as SIGKILL would
	stop func()
}

func startRelay(t *testing.T, addr string, opt RelayOptions) *testRelay {
	t.Helper()
	opt.Fleet, opt.Region = fleet, "north"
	r, err := NewRelay(opt)
	require.NoError(t, err)
	if addr == "127.0.0.1:0" { // a free port at which the relay can be restarted
		free, err := ports.Free(1)
		require.NoError(t, err)
		addr = free[0]
	}
	l, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	x := &testRelay{Relay: r, t: t, opt: opt, addr: l.Addr().String()}
	ctx, end := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { r.Run(ctx) })
	work.Go(func() {
		if err := r.Serve(l); err != nil {
			t.Error(err)
		}
	})
	var once sync.Once
	x.stop = func() { once.Do(func() { end(); work.Wait() }) }
	x.kill = func() { r.httpServer.Close(); x.stop() }
	t.Cleanup(x.stop)
	return x
}

// fakeLeader replaces the agents' leader.
type fakeLeader struct {
	mu          sync.Mutex
	tracker     *watchstream.AckTracker
	unavailable bool
}

func newFakeLeader() *fakeLeader {
	l := &fakeLeader{}
	l.replace()
	return l
}

// replace simulates a change of leader: the new one has an empty tracker.
func (l *fakeLeader) replace() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker = watchstream.NewAckTracker(fleet, watchstream.AckTrackerOptions{})
	l.tracker.NoteCommit(monotonic.Now(), "first", 1)
}

func (l *fakeLeader) report(_ context.Context, r watchstream.Report) (watchstream.ReportResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return watchstream.ReportResponse{}, fmt.Errorf("no leader")
	}
	return l.tracker.AddReport(monotonic.Now(), r)
}

func (l *fakeLeader) status(v uint64) watchstream.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Status(monotonic.Now(), v)
}

// TestRelayKilled kills one of three relays while the leader changes. Its followers switch to the others and miss no change,
// and no follower is counted twice.
func TestRelayKilled(t *testing.T) {
	const n = 12
	agent, leader := newFakeAgent(t, watchstream.SourceOptions{}), newFakeLeader()
	v := agent.put(append(targets(50), layer("shared", `{"a":1}`))...)
	var relays []*testRelay
	var addrs []string
	for i := range 3 {
		relays = append(relays, startRelay(t, "127.0.0.1:0", RelayOptions{ID: fmt.Sprint("relay", i), Agents: []string{agent.addr}, Report: leader.report,
			Source: watchstream.SourceOptions{AdmitRate: 1000, AdmitBurst: 1000}}))
		addrs = append(addrs, relays[i].addr)
	}
	var all []*testFollower
	for i := range n {
		all = append(all, startFollower(t, FollowerOptions{Name: fmt.Sprint("i", i), Relays: relaysAt(addrs...)}))
	}
	settled := func(v uint64) {
		t.Helper()
		for _, f := range all {
			f.waitApplied(v)
		}
		eventually(t, func() bool {
			s := leader.status(v)
			require.LessOrEqual(t, s.Readers, n)
			require.LessOrEqual(t, s.Applied, n)
			return s.Applied == n
		}, "all followers are counted")
	}
	settled(v)
	killed := -1
	for i, r := range relays {
		if r.State().Readers > 0 {
			killed = i
		}
	}
	require.GreaterOrEqual(t, killed, 0)
	leader.mu.Lock()
	leader.unavailable = true
	leader.mu.Unlock()
	relays[killed].kill()
	v = agent.put(target(1, 1), layer("region/north", `{"a":2}`))
	leader.replace()
	leader.mu.Lock()
	leader.unavailable = false
	leader.mu.Unlock()
	settled(v)
	switches := uint64(0)
	for _, f := range all {
		switches += f.State().Switches
	}
	require.NotZero(t, switches)
	require.Equal(t, n, leader.status(v).Readers, "the new leader has received each follower once")
}

// TestRelaySnapshot restarts a relay with an old snapshot: it serves the old state at once, with its age, and catches up with
// the differences only. A damaged snapshot is ignored.
func TestRelaySnapshot(t *testing.T) {
	agent := newFakeAgent(t, watchstream.SourceOptions{})
	v := agent.put(append(targets(200), layer("shared", `{"a":1}`), layer("zone/far", `{"a":2}`))...)
	dir := t.TempDir()
	opt := RelayOptions{ID: "relay", Agents: []string{agent.addr}, Dir: dir}
	r := startRelay(t, "127.0.0.1:0", opt)
	eventually(t, func() bool { return r.State().Follower.Applied.Min() == v }, "up to date")
	r.stop()
	later := agent.put(target(5, 1), watchstream.Put{Kind: watchstream.Targets, Key: "t-6", Deleted: true})
	isolated := opt
	isolated.Agents = []string{"127.0.0.1:1"}
	r = startRelay(t, "127.0.0.1:0", isolated)
	f := startFollower(t, FollowerOptions{Name: "i1", Relays: relaysAt(r.addr)})
	f.waitApplied(v)
	require.Len(t, f.Records(watchstream.Targets), 200)
	require.Greater(t, f.State().AgeMs, int64(1), "the relay has reached no agent")
	f.stop()
	r.stop()
	r = startRelay(t, "127.0.0.1:0", opt)
	eventually(t, func() bool { return r.State().Follower.Applied.Min() == later }, "caught up")
	require.Equal(t, uint64(2), r.State().Follower.Records, "only the differences are sent")
	require.Equal(t, 199, r.State().Targets)
	r.stop()
	path := filepath.Join(dir, snapshotName)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, text[:len(text)/2], 0o600))
	r = startRelay(t, "127.0.0.1:0", opt)
	eventually(t, func() bool { return r.State().Follower.Applied.Min() == later }, "caught up without a snapshot")
	require.Equal(t, uint64(1), r.State().Follower.SnapshotsUnusable)
	require.Equal(t, uint64(202), r.State().Follower.Records, "199 targets, two layers, and a tombstone")
}

// cuttableDialer dials connections. While cut is set, dials fail; setting it closes the open connections.
type cuttableDialer struct {
	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func (d *cuttableDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cut {
		c.Close()
		return nil, fmt.Errorf("connection is cut")
	}
	d.conns[c] = true
	return c, nil
}

func (d *cuttableDialer) setCut(shut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cut = shut; shut {
		for c := range d.conns {
			c.Close()
		}
		clear(d.conns)
	}
}

// TestRelayCutOffFromAgents cuts a relay off from all agents: it continues to serve its state, readers receive the state's
// age, and once the agents are reachable again the relay and its readers catch up.
func TestRelayCutOffFromAgents(t *testing.T) {
	agent := newFakeAgent(t, watchstream.SourceOptions{})
	v := agent.put(append(targets(20), layer("shared", `{"a":1}`))...)
	dialer := &cuttableDialer{conns: map[net.Conn]bool{}}
	r := startRelay(t, "127.0.0.1:0", RelayOptions{ID: "relay", Agents: []string{agent.addr}, Dial: dialer.dial})
	f := startFollower(t, FollowerOptions{Name: "i1", Relays: relaysAt(r.addr)})
	f.waitApplied(v)
	dialer.setCut(true)
	later := agent.put(target(1, 1))
	// While the relay reaches an agent, its answers have an age of about two seconds at most.
	eventually(t, func() bool { return f.State().AgeMs > 4000 }, "the age grows")
	second := startFollower(t, FollowerOptions{Name: "i2", Relays: relaysAt(r.addr)})
	second.waitApplied(v)
	eventually(t, func() bool { return second.State().AgeMs > 4000 }, "the age grows for a later follower too")
	require.Less(t, f.State().Position.Targets, later)
	dialer.setCut(false)
	f.waitApplied(later)
	second.waitApplied(later)
	eventually(t, func() bool { return f.State().AgeMs < 4000 }, "the relay is fresh again")
}

// nameWithHome returns the name of a reader whose home is the first of these relays.
func nameWithHome(relays []watchstream.Relay) string {
	for i := 0; ; i++ {
		if name := fmt.Sprint("i", i); watchstream.RankRelays(relays, "north", name)[0] == relays[0] {
			return name
		}
	}
}

// TestOneRelayCutOffFromAgents cuts one of two relays off from the agents while it still answers: its readers soon receive
// changes from the other relay, and return once it reaches the agents again.
func TestOneRelayCutOffFromAgents(t *testing.T) {
	agent := newFakeAgent(t, watchstream.SourceOptions{})
	v := agent.put(append(targets(20), layer("shared", `{"a":1}`))...)
	dialer := &cuttableDialer{conns: map[net.Conn]bool{}}
	cut := startRelay(t, "127.0.0.1:0", RelayOptions{ID: "cut", Agents: []string{agent.addr}, Dial: dialer.dial})
	other := startRelay(t, "127.0.0.1:0", RelayOptions{ID: "other", Agents: []string{agent.addr}})
	relays := []watchstream.Relay{{ID: "cut", Region: "north", Addr: cut.addr}, {ID: "other", Region: "north", Addr: other.addr}}
	f := startFollower(t, FollowerOptions{Name: nameWithHome(relays), Relays: relays, Selection: watchstream.RelaySelectorOptions{HomeRetryMin: time.Second, HomeRetryMax: 2 * time.Second}})
	f.waitApplied(v)
	require.Equal(t, "cut", f.State().Relay)
	dialer.setCut(true)
	began := time.Now()
	later := agent.put(target(1, 1))
	f.waitApplied(later)
	t.Logf("applied after %v", time.Since(began).Round(time.Millisecond))
	require.Equal(t, "other", f.State().Relay)
	for i := range 3 { // home is retried meanwhile and has no newer state
		f.waitApplied(agent.put(target(1, 2+i)))
		time.Sleep(time.Second)
	}
	require.LessOrEqual(t, f.State().AgeMs, int64(4000))
	dialer.setCut(false)
	eventually(t, func() bool { return f.State().Relay == "cut" }, "returned to the relay")
	f.waitApplied(agent.put(target(2, 9)))
}

// TestReturnToHomeRelay kills a reader's home relay: the reader switches to the other one, and returns once its home answers
// again.
func TestReturnToHomeRelay(t *testing.T) {
	agent := newFakeAgent(t, watchstream.SourceOptions{})
	v := agent.put(targets(3)...)
	home := startRelay(t, "127.0.0.1:0", RelayOptions{ID: "home", Agents: []string{agent.addr}})
	other := startRelay(t, "127.0.0.1:0", RelayOptions{ID: "other", Agents: []string{agent.addr}})
	relays := []watchstream.Relay{{ID: "home", Region: "north", Addr: home.addr}, {ID: "other", Region: "north", Addr: other.addr}}
	f := startFollower(t, FollowerOptions{Name: nameWithHome(relays), Relays: relays, Selection: watchstream.RelaySelectorOptions{HomeRetryMin: time.Second, HomeRetryMax: 2 * time.Second}})
	f.waitApplied(v)
	require.Equal(t, "home", f.State().Relay)
	home.kill()
	f.waitApplied(agent.put(target(1, 1)))
	require.Equal(t, "other", f.State().Relay)
	startRelay(t, home.addr, home.opt)
	eventually(t, func() bool { return f.State().Relay == "home" }, "returned to the home relay")
	f.waitApplied(agent.put(target(1, 2)))
}

// TestForeignFleet has a follower poll the source of another fleet: nothing is applied, and the rejections are counted.
func TestForeignFleet(t *testing.T) {
	agent := newFakeAgent(t, watchstream.SourceOptions{})
	agent.put(target(0, 0))
	f := startFollower(t, FollowerOptions{Fleet: "other", Name: "i1", Relays: relaysAt(agent.addr)})
	eventually(t, func() bool { return f.State().Rejected[string(watchstream.ReasonForeignFleet)] > 1 }, "rejected")
	require.Empty(t, f.received())
	require.Zero(t, f.State().Position)
	require.Zero(t, f.State().Records)
}

// TestRelayLimits checks that readers beyond a relay's limit receive a retry time and connections beyond its limit are
// closed.
func TestRelayLimits(t *testing.T) {
	agent := newFakeAgent(t, watchstream.SourceOptions{})
	v := agent.put(target(0, 0))
	r := startRelay(t, "127.0.0.1:0", RelayOptions{ID: "relay", Agents: []string{agent.addr}, Source: watchstream.SourceOptions{MaxReaders: 2}})
	first, second := startFollower(t, FollowerOptions{Name: "i1", Relays: relaysAt(r.addr)}), startFollower(t, FollowerOptions{Name: "i2", Relays: relaysAt(r.addr)})
	first.waitApplied(v)
	second.waitApplied(v)
	third := startFollower(t, FollowerOptions{Name: "i3", Relays: relaysAt(r.addr)})
	eventually(t, func() bool { return third.State().Busy > 0 }, "rejected as busy")
	require.Equal(t, 2, r.State().Readers)
	resp, err := http.Get("http://" + r.addr + "/v1/feed")
	require.NoError(t, err)
	defer resp.Body.Close()
	var text bytes.Buffer
	_, err = text.ReadFrom(resp.Body)
	require.NoError(t, err)
	require.Contains(t, text.String(), `"readers":2`)
	// Connections beyond one for each reader plus extraConns are closed at once.
	var held []net.Conn
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for range 2 + extraConns {
		c, err := net.Dial("tcp", r.addr)
		require.NoError(t, err)
		held = append(held, c)
	}
	last := held[len(held)-1]
	require.NoError(t, last.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err = last.Read(make([]byte, 1))
	require.Error(t, err)
	eventually(t, func() bool { return r.conns.Load() <= 2+extraConns }, "bounded")
}
