package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/controlplane/watchstream/distribution"
)

const testFleet = "campus"

func sharedConfig(text string) watchstream.Put {
	return watchstream.Put{Kind: watchstream.Config, Key: "shared", Value: json.RawMessage(text)}
}

func targetAt(i, port int) watchstream.Put {
	id := fmt.Sprint("t-", i)
	return watchstream.Put{Kind: watchstream.Targets, Key: id, Value: fmt.Appendf(nil, `{"id":%q,"addr":"127.0.0.1:%d","cell":%d,"state":"SERVING"}`, id, port, i)}
}

func changeOf(puts ...watchstream.Put) watchstream.Change {
	return watchstream.Change{Fleet: testFleet, Puts: puts}
}

// putChange makes a change of the stream, and retries until there is a leader.
func (g *testGroup) putChange(c watchstream.Change) (v uint64) {
	g.t.Helper()
	g.eventually("a change is acknowledged", func() bool {
		var err error
		v, err = g.PutChange(context.Background(), c)
		var rejected *RejectedError
		require.False(g.t, errors.As(err, &rejected), "%v", err)
		return err == nil
	})
	return v
}

// startRelay runs a relay until the test ends, and returns its address.
func (g *testGroup) startRelay(id string, agents ...string) string {
	g.t.Helper()
	r, err := distribution.NewRelay(distribution.RelayOptions{ID: id, Fleet: testFleet, Region: "north", Agents: agents, Report: (&Client{Addrs: g.Addrs}).SendReport,
		Source: watchstream.SourceOptions{AdmitRate: 1000, AdmitBurst: 1000}})
	require.NoError(g.t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(g.t, err)
	g.runInBackground(r.Run)
	go func() { _ = r.Serve(l) }()
	return l.Addr().String()
}

// runInBackground runs a function until the test ends, then cancels its context and waits for its return.
func (g *testGroup) runInBackground(run func(context.Context)) {
	ctx, end := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { run(ctx) })
	g.t.Cleanup(func() { end(); work.Wait() })
}

func (g *testGroup) startFollower(name string, relays ...string) *distribution.Follower {
	g.t.Helper()
	var list []watchstream.Relay
	for i, addr := range relays {
		list = append(list, watchstream.Relay{ID: fmt.Sprint("relay-", i), Region: "north", Addr: addr})
	}
	f, err := distribution.NewFollower(distribution.FollowerOptions{Fleet: testFleet, Name: name, Region: "north", Relays: list})
	require.NoError(g.t, err)
	g.runInBackground(f.Run)
	return f
}

// TestStreamReachesAllFollowers sends changes from the log through relays to followers, and stops the leader in between. Every follower must
// apply each change and be counted for it; none may be counted twice, before, during and after the election.
func TestStreamReachesAllFollowers(t *testing.T) {
	const followers = 6
	g := newTestGroup(t)
	v := g.putChange(changeOf(targetAt(0, 1), targetAt(1, 1), sharedConfig(`{"a":1}`)))
	require.Equal(t, uint64(1), v)
	relays := []string{g.startRelay("relay-0", g.Addrs...), g.startRelay("relay-1", g.Addrs[2], g.Addrs[1], g.Addrs[0])}
	var readers []*distribution.Follower
	for i := range followers {
		readers = append(readers, g.startFollower(fmt.Sprint("i", i), relays...))
	}
	inForce := func(v uint64) (s StreamStatus) {
		t.Helper()
		for _, f := range readers {
			g.eventually("the follower has applied the version", func() bool { return f.State().Applied.Min() >= v })
		}
		g.eventually("all followers are counted", func() bool {
			var err error
			s, err = g.StreamStatus(context.Background(), v)
			if err != nil || !s.Leads {
				return false
			}
			require.LessOrEqual(t, s.Readers, followers)
			require.LessOrEqual(t, s.Applied, s.Readers)
			return s.Applied == followers
		})
		return s
	}
	s := inForce(v)
	require.Equal(t, testFleet, s.Fleet)
	require.Equal(t, 2, s.Targets)
	require.Equal(t, 1, s.ConfigLayers)
	require.GreaterOrEqual(t, s.SinceMs, int64(0))
	require.Len(t, s.Relays, 2)
	restarted := g.leader()
	g.stop(restarted)
	v = g.putChange(changeOf(targetAt(0, 2), sharedConfig(`{"a":2}`)))
	require.Equal(t, uint64(2), v)
	inForce(v)
	g.start(restarted)
	v = g.putChange(changeOf(targetAt(1, 2)))
	inForce(v)
	// The restarted agent has the stream from its log and serves followers directly, as a relay does.
	direct := g.startFollower("direct", g.Addrs[restarted])
	g.eventually("the follower has applied the version from the agent", func() bool { return direct.State().Applied.Min() == v })
	g.eventually("the direct follower is counted too", func() bool {
		s, err := g.StreamStatus(context.Background(), 0)
		return err == nil && s.Applied == followers+1 && s.Readers == followers+1
	})
}

// TestStatusAfterSnapshot guards against a leader that has restarted from a snapshot and does not know the stream's epoch: it would treat
// every reader as one of another epoch until the next change.
func TestStatusAfterSnapshot(t *testing.T) {
	g := newTestGroup(t)
	v := g.putChange(changeOf(targetAt(0, 1)))
	f := g.startFollower("i0", g.startRelay("relay-0", g.Addrs...))
	g.eventually("the follower has applied the version", func() bool { return f.State().Applied.Min() >= v })
	// All agents must have the change before the first one stops: an agent learns of the commit only while there is a quorum.
	for _, a := range g.agents {
		g.eventually("the agent has applied the change", func() bool { _, ok := a.stream.replicaStatus(); return ok })
	}
	for i, a := range g.agents {
		require.NoError(t, a.raft.Snapshot().Error())
		g.stop(i)
	}
	for i := range g.agents {
		g.start(i)
	}
	var s StreamStatus
	g.eventually("the reader is counted for the version", func() bool {
		var err error
		s, err = g.StreamStatus(context.Background(), v)
		return err == nil && s.Leads && s.Applied == 1
	})
	require.NotEmpty(t, s.Epoch)
	require.Equal(t, int64(-1), s.SinceMs, "the commit time is unknown after a restart from a snapshot")
}

// TestRejectedStreamChanges checks which changes, status requests and reports are rejected, and that a rejected change leaves the stream
// unchanged.
func TestRejectedStreamChanges(t *testing.T) {
	g := newTestGroup(t)
	ctx := context.Background()
	g.eventually("the stream has no change", func() bool {
		_, err := g.StreamStatus(ctx, 0)
		return errors.Is(err, ErrNotFound)
	})
	zero, five := uint64(0), uint64(5)
	require.Equal(t, uint64(1), g.putChange(watchstream.Change{Fleet: testFleet, IfVersion: &zero, Puts: []watchstream.Put{sharedConfig(`{"a":1}`)}}))
	for _, c := range []struct {
		c      watchstream.Change
		status int
		want   string
	}{
		{watchstream.Change{Fleet: "other", Puts: []watchstream.Put{sharedConfig("{}")}}, http.StatusConflict, "foreign"},
		{watchstream.Change{Fleet: testFleet, IfVersion: &zero, Puts: []watchstream.Put{sharedConfig("{}")}}, http.StatusConflict, "at 1"},
		{watchstream.Change{Fleet: testFleet, IfVersion: &five, Puts: []watchstream.Put{sharedConfig("{}")}}, http.StatusConflict, "version 5"},
		{watchstream.Change{Fleet: testFleet}, http.StatusUnprocessableEntity, "puts"},
		{watchstream.Change{Puts: []watchstream.Put{sharedConfig("{}")}}, http.StatusUnprocessableEntity, "fleet"},
		{changeOf(sharedConfig("{}"), sharedConfig("{}")), http.StatusUnprocessableEntity, "puts[1].key"},
		{changeOf(sharedConfig("7")), http.StatusUnprocessableEntity, "puts[0].value"},
		{changeOf(watchstream.Put{Kind: watchstream.Targets, Key: "t", Value: json.RawMessage(`{"x":"` + strings.Repeat("x", watchstream.MaxTargetBytes) + `"}`)}),
			http.StatusUnprocessableEntity, "puts[0].value"},
	} {
		_, err := g.PutChange(ctx, c.c)
		var rejected *RejectedError
		require.ErrorAs(t, err, &rejected, c.want)
		require.Equal(t, c.status, rejected.Status, rejected.Text)
		require.Contains(t, rejected.Text, c.want)
	}
	for _, path := range []string{"/v1/feed/versions/0", "/v1/feed/versions/x", "/v1/feed/versions/2", "/v1/feed/records?kind=odd"} {
		_, err := g.callAny(ctx, call{method: http.MethodGet, path: path})
		var rejected *RejectedError
		require.ErrorAs(t, err, &rejected, path)
		require.Equal(t, http.StatusUnprocessableEntity, rejected.Status, path)
	}
	for _, body := range []string{"", "nonsense", `{"relay":7}`, `{"relay":"r","base":2}`, `{"fleet":"other","relay":"r","whole":true}`} {
		_, err := g.callAny(ctx, call{method: http.MethodPost, path: "/v1/feed/report", body: []byte(body)})
		var rejected *RejectedError
		require.ErrorAs(t, err, &rejected, body)
		require.Less(t, rejected.Status, 500, body)
	}
	s, err := g.StreamStatus(ctx, 0)
	require.NoError(t, err)
	require.Equal(t, uint64(1), s.Head)
	require.Zero(t, s.Readers)
}

// TestStreamRecordPages reads more records than fit into two pages, a single record, and a kind without records.
func TestStreamRecordPages(t *testing.T) {
	g := newTestGroup(t)
	ctx := context.Background()
	const n = 2*maxPageRecords + 7
	for from := 0; from < n; from += 300 {
		var c watchstream.Change
		for i := from; i < min(from+300, n); i++ {
			c.Puts = append(c.Puts, targetAt(i, 1))
		}
		g.putChange(changeOf(c.Puts...))
	}
	all, err := g.Records(ctx, watchstream.Targets, "")
	require.NoError(t, err)
	require.Len(t, all, n)
	one, err := g.Records(ctx, watchstream.Targets, "t-9")
	require.NoError(t, err)
	require.Len(t, one, 1)
	none, err := g.Records(ctx, watchstream.Config, "")
	require.NoError(t, err)
	require.Empty(t, none)
}

// TestStreamStatusWithoutLeader checks the status without a leader: an agent returns its newest version, and no readers.
func TestStreamStatusWithoutLeader(t *testing.T) {
	g := newTestGroup(t)
	v := g.putChange(changeOf(sharedConfig(`{"a":1}`)))
	lead := g.leader()
	for i := range 3 {
		if i != lead {
			g.stop(i)
		}
	}
	s, err := g.StreamStatus(context.Background(), v)
	require.NoError(t, err)
	require.False(t, s.Leads)
	require.Equal(t, v, s.Head)
	require.Zero(t, s.Readers)
	require.Equal(t, int64(-1), s.SinceMs)
}

// TestRepeatedStreamChangeAppliedOnce applies a conditional change repeatedly with one request id, as when the client retries because the
// first response was lost: it must be applied once, also if a snapshot is restored in between.
func TestRepeatedStreamChangeAppliedOnce(t *testing.T) {
	text := []byte(`{"id":"x","feed":{"fleet":"campus","epoch":"e","if":0,"puts":[{"kind":"config","key":"shared","value":{"a":1}}]}}`)
	s := newStore()
	for i := range 2 {
		e, ok := s.Apply(&raft.Log{Index: uint64(4 + i), Data: text}).(Entry)
		require.True(t, ok)
		require.Equal(t, uint64(1), e.Version)
	}
	require.Equal(t, uint64(1), s.stream.store.Head())
	other := restoreFromSnapshot(t, s)
	e, ok := other.Apply(&raft.Log{Index: 9, Data: text}).(Entry)
	require.True(t, ok)
	require.Equal(t, uint64(1), e.Version)
	require.Equal(t, uint64(1), other.stream.store.Head())
	require.Len(t, other.entries, 0, "a stream change must not write an instance's configuration")
}

func restoreFromSnapshot(t *testing.T, s *store) *store {
	t.Helper()
	snap, err := s.Snapshot()
	require.NoError(t, err)
	var data memorySink
	require.NoError(t, snap.Persist(&data))
	copied := newStore()
	require.NoError(t, copied.Restore(io.NopCloser(&data)))
	return copied
}

// TestStreamSnapshot restores the stream from a snapshot, and restores one of format 3, which has no stream. A snapshot with an invalid
// stream must leave the state unchanged.
func TestStreamSnapshot(t *testing.T) {
	s := newStore()
	for i, puts := range [][]watchstream.Put{{targetAt(0, 1), targetAt(1, 1), sharedConfig(`{"a":1}`)}, {{Kind: watchstream.Targets, Key: "t-1", Deleted: true}}, {sharedConfig(`{"a":2}`)}} {
		c := changeOf(puts...)
		c.Epoch = "e"
		data, err := json.Marshal(command{StreamChange: &c})
		require.NoError(t, err)
		_, failed := s.Apply(&raft.Log{Index: uint64(4 + i), Data: data, AppendedAt: time.Now().Add(-time.Minute)}).(error)
		require.False(t, failed)
	}
	require.Len(t, s.stream.commitsSince("", 0), 3)
	require.Len(t, s.stream.commitsSince("e", 2), 1)
	other := restoreFromSnapshot(t, s)
	require.Equal(t, s.stream.store.Snapshot(), other.stream.store.Snapshot())
	require.Empty(t, other.stream.commitsSince("", 0), "commit times are not part of a snapshot")
	again := restoreFromSnapshot(t, other)
	require.Equal(t, s.stream.store.Snapshot(), again.stream.store.Snapshot())
	c := changeOf(sharedConfig(`{"a":3}`))
	v, err := again.stream.apply(&raft.Log{}, c)
	require.NoError(t, err)
	require.Equal(t, uint64(4), v)

	format3 := `{"format":3,"entries":{"n1":{"name":"n1","version":4,"config":{"a":1}}},"fleet":{"doc":{"seats":4}}}`
	require.NoError(t, other.Restore(io.NopCloser(strings.NewReader(format3))))
	require.Nil(t, other.stream.store)
	require.Nil(t, other.stream.snapshot())
	e, found, _ := other.get("n1")
	require.True(t, found)
	require.Equal(t, uint64(4), e.Version)
	invalid := `{"format":4,"entries":{},"fleet":{},"feed":{"fleet":"campus","epoch":"","have":{"targets":1,"config":1},"seen":{"targets":1,"config":1}}}`
	require.Error(t, other.Restore(io.NopCloser(strings.NewReader(invalid))))
	_, found, _ = other.get("n1")
	require.True(t, found, "a rejected snapshot must leave the state unchanged")
}

// TestFirstStreamChangeNeedsAllAgents checks that the stream's first change is rejected while an agent is down, or runs a program without the
// stream, which would lose the change with its next snapshot. Later changes need a majority only.
func TestFirstStreamChangeNeedsAllAgents(t *testing.T) {
	g := newTestGroup(t)
	g.leader()
	stopped := (g.leader() + 1) % 3
	g.stop(stopped)
	lead := g.leader()
	first := changeOf(sharedConfig(`{"a":1}`))
	c := &Client{Addrs: []string{g.peers[lead].API}}
	tryChange := func() error {
		ctx, done := context.WithTimeout(context.Background(), 2*time.Second)
		defer done()
		_, err := c.PutChange(ctx, first)
		return err
	}
	g.eventually("the change is rejected while an agent is down", func() bool {
		err := tryChange()
		require.Error(t, err)
		return strings.Contains(err.Error(), "until all agents are up")
	})
	l, err := net.Listen("tcp", g.peers[stopped].API)
	require.NoError(t, err)
	olderAgent := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"id":"agent-x","state":"Follower","leader":"","applied":7}`)
	})}
	go func() { _ = olderAgent.Serve(l) }()
	g.eventually("the change is rejected because of the older agent", func() bool {
		err := tryChange()
		require.Error(t, err)
		var rejected *RejectedError
		return errors.As(err, &rejected) && strings.Contains(rejected.Text, "from before the feed")
	})
	olderAgent.Close()
	g.start(stopped)
	require.Equal(t, uint64(1), g.putChange(first))
	g.stop(stopped)
	require.Equal(t, uint64(2), g.putChange(changeOf(sharedConfig(`{"a":2}`))))
}
