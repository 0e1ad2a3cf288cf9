package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"spindlehitch/internal/process/config"
	"spindlehitch/internal/testbed/ports"
)

var discardLog = slog.New(slog.DiscardHandler)

func validateJSON(_ string, b []byte) error {
	if !json.Valid(b) {
		return errors.New("name: required field is missing")
	}
	return nil
}

// freeAddrs returns loopback addresses with unused ports.
func freeAddrs(t *testing.T, n int) []string {
	t.Helper()
	addrs, err := ports.Free(n)
	if err != nil {
		t.Fatal(err)
	}
	return addrs
}

// testGroup is a group of agents on the loopback, usually three, and a client of them. Each agent keeps its folder when it is stopped
// and started again.
type testGroup struct {
	t      *testing.T
	peers  []config.Peer
	dirs   []string
	agents []*Agent
	Client
}

func newTestGroup(t *testing.T) *testGroup {
	t.Helper()
	g := &testGroup{t: t, agents: make([]*Agent, 3)}
	addrs := freeAddrs(t, 6)
	for i := range 3 {
		g.peers = append(g.peers, config.Peer{ID: fmt.Sprint("agent-", i), Raft: addrs[i], API: addrs[3+i]})
		g.dirs = append(g.dirs, t.TempDir())
		g.Addrs = append(g.Addrs, addrs[3+i])
	}
	for i := range 3 {
		g.start(i)
	}
	t.Cleanup(func() {
		for i, a := range g.agents {
			if a != nil {
				g.stop(i)
			}
		}
	})
	return g
}

func (g *testGroup) start(i int) {
	g.t.Helper()
	a, err := Start(Options{ID: g.peers[i].ID, Dir: g.dirs[i], Peers: g.peers, ValidateConfig: validateJSON, Log: discardLog, ElectionTimeout: 500 * time.Millisecond})
	if err != nil {
		g.t.Fatal(err)
	}
	l, err := net.Listen("tcp", g.peers[i].API)
	if err != nil {
		g.t.Fatal(err)
	}
	go func() { _ = a.Serve(l) }()
	g.agents[i] = a
}

func (g *testGroup) stop(i int) {
	g.t.Helper()
	if err := g.agents[i].Stop(); err != nil {
		g.t.Error(err)
	}
	g.agents[i] = nil
}

// eventually waits until a condition holds, for instance until an election has ended.
func (g *testGroup) eventually(condition string, done func() bool) {
	g.t.Helper()
	require.Eventually(g.t, done, time.Minute, 20*time.Millisecond, condition)
}

func (g *testGroup) leader() int {
	index := -1
	g.eventually("a leader", func() bool {
		for i, a := range g.agents {
			if a != nil && a.raft.State() == raft.Leader {
				index = i
			}
		}
		return index >= 0
	})
	return index
}

func (g *testGroup) putConfig(name, text, ifVersion string) Entry {
	g.t.Helper()
	var e Entry
	g.eventually("put of "+name, func() bool {
		var err error
		e, err = g.PutConfig(context.Background(), name, []byte(text), ifVersion)
		return err == nil
	})
	return e
}

// TestLeaderFailover writes, stops the leader, writes through the other two agents, and checks that the stopped
// agent catches up from its folder after a restart. An instance that follows its configuration must receive each
// version once, in order.
func TestLeaderFailover(t *testing.T) {
	g := newTestGroup(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	received := make(chan Entry, 16)
	follower := &Client{Addrs: g.Addrs}
	go follower.FollowConfig(ctx, "n1", discardLog, func(e Entry) { received <- e })
	first := g.putConfig("n1", `{"a":1}`, "")
	g.putConfig("n2", `{"b":1}`, "")
	stoppedLeader := g.leader()
	g.stop(stoppedLeader)
	second := g.putConfig("n1", `{"a":2}`, "")
	if second.Version <= first.Version {
		t.Errorf("version went from %d to %d", first.Version, second.Version)
	}
	e, err := g.GetConfig(ctx, "n1")
	if err != nil || string(e.Config) != `{"a":2}` || e.Version != second.Version {
		t.Errorf("after the leader was stopped: got %+v, %v", e, err)
	}
	g.start(stoppedLeader)
	g.eventually("the restarted agent catches up", func() bool {
		e, found, _ := g.agents[stoppedLeader].store.get("n1")
		return found && string(e.Config) == `{"a":2}`
	})
	if all, err := g.ListConfigs(ctx); err != nil || len(all) != 2 {
		t.Errorf("instances %v, %v", all, err)
	}
	for _, want := range []string{`{"a":1}`, `{"a":2}`} {
		select {
		case e := <-received:
			if string(e.Config) != want {
				t.Errorf("instance received %s, want %s", e.Config, want)
			}
		case <-time.After(time.Minute):
			t.Fatalf("instance did not receive %s", want)
		}
	}
	for _, s := range g.Status(ctx) {
		if !strings.HasPrefix(s.ID, "agent-") || s.Leader == "" {
			t.Errorf("status %+v", s)
		}
	}
}

// TestRejectedWrites checks that two kinds of writes are rejected: a configuration that no instance could start
// with, and a write whose version condition does not hold.
func TestRejectedWrites(t *testing.T) {
	g := newTestGroup(t)
	ctx := context.Background()
	e := g.putConfig("n1", `{"a":1}`, "0")
	if _, err := g.PutConfig(ctx, "n1", []byte(`{"a":2}`), "0"); err == nil || !strings.Contains(err.Error(), "another version") {
		t.Errorf("second write on condition that there is no entry: %v", err)
	}
	if _, err := g.PutConfig(ctx, "n1", []byte("nonsense"), ""); err == nil || !strings.Contains(err.Error(), "required field") {
		t.Errorf("invalid configuration: %v", err)
	}
	g.putConfig("n1", `{"a":3}`, fmt.Sprint(e.Version))
	if _, err := g.PutConfig(ctx, "n1", nil, ""); err != nil {
		t.Errorf("delete: %v", err)
	}
	if _, err := g.GetConfig(ctx, "n1"); !errors.Is(err, ErrNotFound) {
		t.Errorf("get after the delete: %v", err)
	}
}

// TestNoMajority checks that one agent of three acknowledges no write: without a majority the write could be lost.
func TestNoMajority(t *testing.T) {
	g := newTestGroup(t)
	g.putConfig("n1", `{"a":1}`, "")
	lead := g.leader()
	for i := range 3 {
		if i != lead {
			g.stop(i)
		}
	}
	ctx, done := context.WithTimeout(context.Background(), 3*time.Second)
	defer done()
	if e, err := g.PutConfig(ctx, "n1", []byte(`{"a":2}`), ""); err == nil {
		t.Errorf("one agent without a majority acknowledged %+v", e)
	}
}

// TestWaitingReadEndsWithTerm guards against a long poll at the leader that continues after the leader has lost its
// leadership. It must end with 503.
func TestWaitingReadEndsWithTerm(t *testing.T) {
	g := newTestGroup(t)
	entry := g.putConfig("n1", `{"a":1}`, "")
	lead := g.leader()
	statusCode := make(chan int, 1)
	go func() {
		path := fmt.Sprintf("http://%s%s?after=%d&wait_ms=50000", g.peers[lead].API, instancePath("n1"), entry.Version)
		resp, err := http.DefaultTransport.RoundTrip(httptest.NewRequest(http.MethodGet, path, nil))
		if err != nil {
			statusCode <- 0
			return
		}
		resp.Body.Close()
		statusCode <- resp.StatusCode
	}()
	time.Sleep(300 * time.Millisecond) // until the read waits at the leader
	for i := range g.agents {
		if i != lead {
			g.stop(i)
		}
	}
	select {
	case status := <-statusCode:
		require.Equal(t, http.StatusServiceUnavailable, status)
	case <-time.After(30 * time.Second):
		t.Fatal("the read still waits after the agent has lost its leadership")
	}
}

// memorySink is a raft.SnapshotSink in memory.
type memorySink struct{ bytes.Buffer }

func (*memorySink) ID() string    { return "s" }
func (*memorySink) Cancel() error { return nil }
func (*memorySink) Close() error  { return nil }

// TestSnapshot checks that a restored store has the persisted configurations and leases, that snapshots without a
// format number are restored, and that a newer format is rejected.
func TestSnapshot(t *testing.T) {
	s := newStore()
	s.Apply(&raft.Log{Index: 4, Data: []byte(`{"name":"n1","config":{"a":1}}`)})
	for i, text := range []string{`{"set":{"seats":4}}`, `{"join":{"id":"m","name":"m","weight":1}}`,
		`{"tasks":{"tasks":[{"name":"t","kind":"watch","shards":2,"pause_ms":100}]}}`,
		`{"orders":[{"task":"t","shard":1,"over":0,"do":"grant","to":"m"}],"seen":70}`, `{"orders":[{"task":"t","shard":1,"over":0,"do":"free"}]}`} {
		if err, is := s.Apply(&raft.Log{Index: uint64(5 + i), Data: []byte(text)}).(error); is {
			t.Fatal(err)
		}
	}
	snap, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var snapshotData memorySink
	if err := snap.Persist(&snapshotData); err != nil {
		t.Fatal(err)
	}
	restoredStore := newStore()
	if err := restoredStore.Restore(io.NopCloser(&snapshotData)); err != nil {
		t.Fatal(err)
	}
	if r, _ := restoredStore.registry(); r.LastToken != 71 || len(r.Leases) != 2 || r.Leases[1].Token != 71 || r.Leases[1].Holder != "m" || r.LeaseConfig.Task("t").Shards != 2 {
		t.Errorf("restored registry: %+v", r)
	}
	if e, found, _ := restoredStore.get("n1"); !found || e.Version != 4 || string(e.Config) != `{"a":1}` {
		t.Errorf("restored entry: %+v", e)
	}
	// Snapshots of older programs have no format number. An instance may be named like a field of snapshot.
	for _, name := range []string{"n1", "format", "entries", "fleet"} {
		if err := restoredStore.Restore(io.NopCloser(strings.NewReader(`{"` + name + `":{"name":"` + name + `","version":7,"config":{"a":2}}}`))); err != nil {
			t.Fatal(err)
		}
		if e, found, _ := restoredStore.get(name); !found || e.Version != 7 {
			t.Errorf("restored entry from a snapshot without a format: %+v", e)
		}
	}
	if err := restoredStore.Restore(io.NopCloser(strings.NewReader(fmt.Sprintf(`{"format":%d}`, snapshotFormat+1)))); err == nil {
		t.Error("a snapshot with a newer format was restored")
	}
}

// TestRepeatedChangeAppliedOnce applies a conditional change twice with one request id, as when the client retries
// because the first response was lost. Both times the result must be that of the first.
func TestRepeatedChangeAppliedOnce(t *testing.T) {
	s := newStore()
	for i, text := range []string{`{"name":"n1","config":{"a":1},"if":0,"id":"x"}`, `{"name":"n1","config":{"a":1},"if":0,"id":"x"}`} {
		if e, ok := s.Apply(&raft.Log{Index: uint64(4 + i), Data: []byte(text)}).(Entry); !ok || e.Version != 4 {
			t.Errorf("repetition %d: got %+v", i, e)
		}
	}
	if e, _, _ := s.get("n1"); e.Version != 4 {
		t.Errorf("the change was applied twice: %+v", e)
	}
}

// TestFallbackAgents checks that a client calls its fallback agents if none of its configured agents responds, and
// only then.
func TestFallbackAgents(t *testing.T) {
	g := newTestGroup(t)
	g.eventually("a leader", func() bool { return g.leader() >= 0 })
	_, err := g.PutConfig(context.Background(), "n1", []byte("{}"), "")
	require.NoError(t, err)
	fallbackCalls := 0
	withFallback := &Client{Addrs: freeAddrs(t, 2), FallbackAddrs: func() []string { fallbackCalls++; return g.Addrs }}
	e, err := withFallback.GetConfig(context.Background(), "n1")
	require.NoError(t, err)
	require.Equal(t, "n1", e.Name)
	require.Contains(t, g.Addrs, withFallback.LastResponder(time.Minute))
	require.Empty(t, withFallback.LastResponder(0))
	reachable := &Client{Addrs: g.Addrs, FallbackAddrs: func() []string { t.Error("fallback agents were requested"); return nil }}
	_, err = reachable.GetConfig(context.Background(), "n1")
	require.NoError(t, err)
	require.Equal(t, 1, fallbackCalls)
}
