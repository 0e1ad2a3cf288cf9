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
	"spindlehitch/internal/process/monotone"
	"spindlehitch/internal/testbed/ports"
)

// relayed is a relay on the loopback that can be stopped and started again at its address.
type relayed struct {
	*Relay
	t    *testing.T
	opt  RelayOptions
	addr string
	kill func() // as by SIGKILL: connections are cut
	stop func()
}

func relayAt(t *testing.T, addr string, opt RelayOptions) *relayed {
	t.Helper()
	opt.Fleet, opt.Region = fleet, "north"
	r, err := NewRelay(opt)
	require.NoError(t, err)
	if addr == "127.0.0.1:0" { // where it may be started again
		free, err := ports.Free(1)
		require.NoError(t, err)
		addr = free[0]
	}
	l, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	x := &relayed{Relay: r, t: t, opt: opt, addr: l.Addr().String()}
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

// count stands in for the agents' leader.
type count struct {
	mu    sync.Mutex
	tally *watchstream.AckTracker
	gone  bool
}

func newCount() *count {
	c := &count{}
	c.renew()
	return c
}

// renew is a change of leader: the new one knows nothing.
func (c *count) renew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally = watchstream.NewAckTracker(fleet, watchstream.AckTrackerOptions{})
	c.tally.NoteCommit(monotone.Now(), "first", 1)
}

func (c *count) report(_ context.Context, r watchstream.Report) (watchstream.ReportResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return watchstream.ReportResponse{}, fmt.Errorf("no leader at the moment")
	}
	return c.tally.AddReport(monotone.Now(), r)
}

func (c *count) status(v uint64) watchstream.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally.Status(monotone.Now(), v)
}

// TestRelayKilled kills one of three relays: its followers go to the others and miss nothing, and nobody counts twice, with a change of
// leader in the midst.
func TestRelayKilled(t *testing.T) {
	const n = 12
	b, c := newBook(t, watchstream.SourceOptions{}), newCount()
	v := b.put(append(targets(50), layer("shared", `{"a":1}`))...)
	var relays []*relayed
	var addrs []string
	for i := range 3 {
		relays = append(relays, relayAt(t, "127.0.0.1:0", RelayOptions{ID: fmt.Sprint("relay", i), Agents: []string{b.addr}, Report: c.report,
			Source: watchstream.SourceOptions{AdmitRate: 1000, AdmitBurst: 1000}}))
		addrs = append(addrs, relays[i].addr)
	}
	var all []*heard
	for i := range n {
		all = append(all, follow(t, FollowerOptions{Name: fmt.Sprint("i", i), Relays: to(addrs...)}))
	}
	settled := func(v uint64) {
		t.Helper()
		for _, f := range all {
			f.at(v)
		}
		eventually(t, func() bool {
			s := c.status(v)
			require.LessOrEqual(t, s.Readers, n)
			require.LessOrEqual(t, s.Applied, n)
			return s.Applied == n
		}, "all count")
	}
	settled(v)
	lost := -1
	for i, r := range relays {
		if r.State().Readers > 0 {
			lost = i
		}
	}
	require.GreaterOrEqual(t, lost, 0)
	c.mu.Lock()
	c.gone = true
	c.mu.Unlock()
	relays[lost].kill()
	v = b.put(target(1, 1), layer("region/north", `{"a":2}`))
	c.renew()
	c.mu.Lock()
	c.gone = false
	c.mu.Unlock()
	settled(v)
	moves := uint64(0)
	for _, f := range all {
		moves += f.State().Switches
	}
	require.NotZero(t, moves)
	require.Equal(t, n, c.status(v).Readers, "the new leader has asked for all, each once")
}

// TestRelayCopy starts a relay that has an old copy: it serves that at once, with its age, and is brought up by what differs. A torn copy is
// passed over.
func TestRelayCopy(t *testing.T) {
	b := newBook(t, watchstream.SourceOptions{})
	v := b.put(append(targets(200), layer("shared", `{"a":1}`), layer("zone/far", `{"a":2}`))...)
	dir := t.TempDir()
	opt := RelayOptions{ID: "relay", Agents: []string{b.addr}, Dir: dir}
	r := relayAt(t, "127.0.0.1:0", opt)
	eventually(t, func() bool { return r.State().Follower.Applied.Min() == v }, "up to date")
	r.stop()
	later := b.put(target(5, 1), watchstream.Put{Kind: watchstream.Targets, Key: "t-6", Deleted: true})
	alone := opt
	alone.Agents = []string{"127.0.0.1:1"}
	r = relayAt(t, "127.0.0.1:0", alone)
	f := follow(t, FollowerOptions{Name: "i1", Relays: to(r.addr)})
	f.at(v)
	require.Len(t, f.Records(watchstream.Targets), 200)
	require.Greater(t, f.State().AgeMs, int64(1), "it has heard of no agent")
	f.stop()
	r.stop()
	r = relayAt(t, "127.0.0.1:0", opt)
	eventually(t, func() bool { return r.State().Follower.Applied.Min() == later }, "brought up")
	require.Equal(t, uint64(2), r.State().Follower.Records, "what differs, and no more")
	require.Equal(t, 199, r.State().Targets)
	r.stop()
	path := filepath.Join(dir, snapshotName)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, text[:len(text)/2], 0o600))
	r = relayAt(t, "127.0.0.1:0", opt)
	eventually(t, func() bool { return r.State().Follower.Applied.Min() == later }, "from nothing")
	require.Equal(t, uint64(1), r.State().Follower.SnapshotsUnusable)
	require.Equal(t, uint64(202), r.State().Follower.Records, "199 targets, two layers, and a tombstone")
}

// gate lets connections through until it is shut; then it cuts those there are and takes none.
type gate struct {
	mu   sync.Mutex
	shut bool
	open map[net.Conn]bool
}

func (g *gate) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		c.Close()
		return nil, fmt.Errorf("the way is cut")
	}
	g.open[c] = true
	return c, nil
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut = shut; shut {
		for c := range g.open {
			c.Close()
		}
		clear(g.open)
	}
}

// TestRelayCut cuts a relay off from all agents: it goes on serving what it has, readers hear how old that is, and once it hears again it
// and they are brought up.
func TestRelayCut(t *testing.T) {
	b := newBook(t, watchstream.SourceOptions{})
	v := b.put(append(targets(20), layer("shared", `{"a":1}`))...)
	g := &gate{open: map[net.Conn]bool{}}
	r := relayAt(t, "127.0.0.1:0", RelayOptions{ID: "relay", Agents: []string{b.addr}, Dial: g.dial})
	f := follow(t, FollowerOptions{Name: "i1", Relays: to(r.addr)})
	f.at(v)
	g.set(true)
	later := b.put(target(1, 1))
	// A poll that is answered tells an age of some two seconds at most while the relay hears.
	eventually(t, func() bool { return f.State().AgeMs > 4000 }, "its age is told")
	late := follow(t, FollowerOptions{Name: "i2", Relays: to(r.addr)})
	late.at(v)
	eventually(t, func() bool { return late.State().AgeMs > 4000 }, "to who came later too")
	require.Less(t, f.State().Position.Targets, later)
	g.set(false)
	f.at(later)
	late.at(later)
	eventually(t, func() bool { return f.State().AgeMs < 4000 }, "it hears again")
}

// homed names a reader whose home is the first of these relays.
func homed(relays []watchstream.Relay) string {
	for i := 0; ; i++ {
		if name := fmt.Sprint("i", i); watchstream.RankRelays(relays, "north", name)[0] == relays[0] {
			return name
		}
	}
}

// TestRelayCutAlone cuts one of two relays off from the agents: it answers still, and its readers hear what is new from the other, soon. Once it
// hears again they come back.
func TestRelayCutAlone(t *testing.T) {
	b := newBook(t, watchstream.SourceOptions{})
	v := b.put(append(targets(20), layer("shared", `{"a":1}`))...)
	g := &gate{open: map[net.Conn]bool{}}
	cut := relayAt(t, "127.0.0.1:0", RelayOptions{ID: "cut", Agents: []string{b.addr}, Dial: g.dial})
	other := relayAt(t, "127.0.0.1:0", RelayOptions{ID: "other", Agents: []string{b.addr}})
	relays := []watchstream.Relay{{ID: "cut", Region: "north", Addr: cut.addr}, {ID: "other", Region: "north", Addr: other.addr}}
	f := follow(t, FollowerOptions{Name: homed(relays), Relays: relays, Selection: watchstream.RelaySelectorOptions{HomeRetryMin: time.Second, HomeRetryMax: 2 * time.Second}})
	f.at(v)
	require.Equal(t, "cut", f.State().Relay)
	g.set(true)
	began := time.Now()
	later := b.put(target(1, 1))
	f.at(later)
	t.Logf("in force after %v", time.Since(began).Round(time.Millisecond))
	require.Equal(t, "other", f.State().Relay)
	for i := range 3 { // home is tried meanwhile, and has nothing newer
		f.at(b.put(target(1, 2+i)))
		time.Sleep(time.Second)
	}
	require.LessOrEqual(t, f.State().AgeMs, int64(4000))
	g.set(false)
	eventually(t, func() bool { return f.State().Relay == "cut" }, "it is back")
	f.at(b.put(target(2, 9)))
}

// TestHome has a reader's home not answer for a while: it goes to the other relay, and home once that answers again.
func TestHome(t *testing.T) {
	b := newBook(t, watchstream.SourceOptions{})
	v := b.put(targets(3)...)
	home := relayAt(t, "127.0.0.1:0", RelayOptions{ID: "home", Agents: []string{b.addr}})
	other := relayAt(t, "127.0.0.1:0", RelayOptions{ID: "other", Agents: []string{b.addr}})
	relays := []watchstream.Relay{{ID: "home", Region: "north", Addr: home.addr}, {ID: "other", Region: "north", Addr: other.addr}}
	f := follow(t, FollowerOptions{Name: homed(relays), Relays: relays, Selection: watchstream.RelaySelectorOptions{HomeRetryMin: time.Second, HomeRetryMax: 2 * time.Second}})
	f.at(v)
	require.Equal(t, "home", f.State().Relay)
	home.kill()
	f.at(b.put(target(1, 1)))
	require.Equal(t, "other", f.State().Relay)
	relayAt(t, home.addr, home.opt)
	eventually(t, func() bool { return f.State().Relay == "home" }, "it is home")
	f.at(b.put(target(1, 2)))
}

// TestAnotherFleet has a relay of another fleet and a follower of ours: nothing is taken, and it is counted.
func TestAnotherFleet(t *testing.T) {
	b := newBook(t, watchstream.SourceOptions{})
	b.put(target(0, 0))
	f := follow(t, FollowerOptions{Fleet: "other", Name: "i1", Relays: to(b.addr)})
	eventually(t, func() bool { return f.State().Rejected[string(watchstream.ReasonForeignFleet)] > 1 }, "refused")
	require.Empty(t, f.told())
	require.Zero(t, f.State().Position)
	require.Zero(t, f.State().Records)
}

// TestRelayBounds has a relay be asked for more than it takes: readers over its number hear when to come again.
func TestRelayBounds(t *testing.T) {
	b := newBook(t, watchstream.SourceOptions{})
	v := b.put(target(0, 0))
	r := relayAt(t, "127.0.0.1:0", RelayOptions{ID: "relay", Agents: []string{b.addr}, Source: watchstream.SourceOptions{MaxReaders: 2}})
	first, second := follow(t, FollowerOptions{Name: "i1", Relays: to(r.addr)}), follow(t, FollowerOptions{Name: "i2", Relays: to(r.addr)})
	first.at(v)
	second.at(v)
	third := follow(t, FollowerOptions{Name: "i3", Relays: to(r.addr)})
	eventually(t, func() bool { return third.State().Busy > 0 }, "turned away")
	require.Equal(t, 2, r.State().Readers)
	resp, err := http.Get("http://" + r.addr + "/v1/feed")
	require.NoError(t, err)
	defer resp.Body.Close()
	var text bytes.Buffer
	_, err = text.ReadFrom(resp.Body)
	require.NoError(t, err)
	require.Contains(t, text.String(), `"readers":2`)
	// Connections beyond one for each reader and some more are closed at once.
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
