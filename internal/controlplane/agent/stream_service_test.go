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
	edge "spindlehitch/internal/controlplane/watchstream/distribution"
)

const campus = "campus"

func shared(text string) watchstream.Put {
	return watchstream.Put{Kind: watchstream.Config, Key: "shared", Value: json.RawMessage(text)}
}

func targetAt(i, port int) watchstream.Put {
	id := fmt.Sprint("t-", i)
	return watchstream.Put{Kind: watchstream.Targets, Key: id, Value: fmt.Appendf(nil, `{"id":%q,"addr":"127.0.0.1:%d","cell":%d,"state":"SERVING"}`, id, port, i)}
}

func changeOf(puts ...watchstream.Put) watchstream.Change {
	return watchstream.Change{Fleet: campus, Puts: puts}
}

// putChange has a change made, as soon as there is a leader for it.
func (g *three) putChange(c watchstream.Change) (v uint64) {
	g.t.Helper()
	g.until("a change is made", func() bool {
		var err error
		v, err = g.PutChange(context.Background(), c)
		var rejected *RejectedError
		require.False(g.t, errors.As(err, &rejected), "%v", err)
		return err == nil
	})
	return v
}

// relay runs a relay until the test ends.
func (g *three) relay(id string, agents ...string) string {
	g.t.Helper()
	r, err := edge.NewRelay(edge.RelayOptions{ID: id, Fleet: campus, Region: "north", Agents: agents, Report: (&Client{Addrs: g.Addrs}).SendReport,
		Source: watchstream.SourceOptions{AdmitRate: 1000, AdmitBurst: 1000}})
	require.NoError(g.t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(g.t, err)
	g.background(r.Run)
	go func() { _ = r.Serve(l) }()
	return l.Addr().String()
}

// background runs something until the test ends, and waits for its end.
func (g *three) background(run func(context.Context)) {
	ctx, end := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { run(ctx) })
	g.t.Cleanup(func() { end(); work.Wait() })
}

func (g *three) follower(name string, relays ...string) *edge.Follower {
	g.t.Helper()
	var list []watchstream.Relay
	for i, addr := range relays {
		list = append(list, watchstream.Relay{ID: fmt.Sprint("relay-", i), Region: "north", Addr: addr})
	}
	f, err := edge.NewFollower(edge.FollowerOptions{Fleet: campus, Name: name, Region: "north", Relays: list})
	require.NoError(g.t, err)
	g.background(f.Run)
	return f
}

// TestFeedToAll carries changes from the log over relays to followers, and has the leader lost in the midst: each change is in force at all,
// and known to be; nobody is counted twice, before, during and after.
func TestFeedToAll(t *testing.T) {
	const n = 6
	g := newThree(t)
	v := g.putChange(changeOf(targetAt(0, 1), targetAt(1, 1), shared(`{"a":1}`)))
	require.Equal(t, uint64(1), v)
	relays := []string{g.relay("relay-0", g.Addrs...), g.relay("relay-1", g.Addrs[2], g.Addrs[1], g.Addrs[0])}
	var all []*edge.Follower
	for i := range n {
		all = append(all, g.follower(fmt.Sprint("i", i), relays...))
	}
	inForce := func(v uint64) (s StreamStatus) {
		t.Helper()
		for _, f := range all {
			g.until("it has the version", func() bool { return f.State().Applied.Min() >= v })
		}
		g.until("it is known", func() bool {
			var err error
			s, err = g.StreamStatus(context.Background(), v)
			if err != nil || !s.Leads {
				return false
			}
			require.LessOrEqual(t, s.Readers, n)
			require.LessOrEqual(t, s.Applied, s.Readers)
			return s.Applied == n
		})
		return s
	}
	s := inForce(v)
	require.Equal(t, campus, s.Fleet)
	require.Equal(t, 2, s.Targets)
	require.Equal(t, 1, s.ConfigLayers)
	require.GreaterOrEqual(t, s.SinceMs, int64(0))
	require.Len(t, s.Relays, 2)
	lost := g.leader()
	g.stop(lost)
	v = g.putChange(changeOf(targetAt(0, 2), shared(`{"a":2}`)))
	require.Equal(t, uint64(2), v)
	inForce(v)
	g.start(lost)
	v = g.putChange(changeOf(targetAt(1, 2)))
	inForce(v)
	// The agent that was away has the stream from its log, and serves it: an agent is a source like a relay is.
	direct := g.follower("direct", g.Addrs[lost])
	g.until("from the agent itself", func() bool { return direct.State().Applied.Min() == v })
	g.until("counted with the others", func() bool {
		s, err := g.StreamStatus(context.Background(), 0)
		return err == nil && s.Applied == n+1 && s.Readers == n+1
	})
}

// TestStatusAfterSnapshot guards against a leader that has restarted from a snapshot, does not know the epoch of the stream, and takes every
// reader for one of another history until the next change is made.
func TestStatusAfterSnapshot(t *testing.T) {
	g := newThree(t)
	v := g.putChange(changeOf(targetAt(0, 1)))
	f := g.follower("i0", g.relay("relay-0", g.Addrs...))
	g.until("it has the version", func() bool { return f.State().Applied.Min() >= v })
	for i, a := range g.agents {
		g.until("all have the change", func() bool { _, ok := a.stream.logStatus(); return ok })
		require.NoError(t, a.raft.Snapshot().Error())
		g.stop(i)
	}
	for i := range g.agents {
		g.start(i)
	}
	var s StreamStatus
	g.until("the reader is known to have the version", func() bool {
		var err error
		s, err = g.StreamStatus(context.Background(), v)
		return err == nil && s.Leads && s.Applied == 1
	})
	require.NotEmpty(t, s.Epoch)
	require.Equal(t, int64(-1), s.SinceMs, "when the version was committed is not known any more")
}

// TestFeedChanges checks what is refused of a change, and that what is refused changes nothing.
func TestFeedChanges(t *testing.T) {
	g := newThree(t)
	ctx := context.Background()
	g.until("nothing is there", func() bool {
		_, err := g.StreamStatus(ctx, 0)
		return errors.Is(err, ErrNotFound)
	})
	zero, five := uint64(0), uint64(5)
	require.Equal(t, uint64(1), g.putChange(watchstream.Change{Fleet: campus, IfVersion: &zero, Puts: []watchstream.Put{shared(`{"a":1}`)}}))
	for _, c := range []struct {
		c      watchstream.Change
		status int
		want   string
	}{
		{watchstream.Change{Fleet: "other", Puts: []watchstream.Put{shared("{}")}}, http.StatusConflict, "foreign"},
		{watchstream.Change{Fleet: campus, IfVersion: &zero, Puts: []watchstream.Put{shared("{}")}}, http.StatusConflict, "at 1"},
		{watchstream.Change{Fleet: campus, IfVersion: &five, Puts: []watchstream.Put{shared("{}")}}, http.StatusConflict, "version 5"},
		{watchstream.Change{Fleet: campus}, http.StatusUnprocessableEntity, "puts"},
		{watchstream.Change{Puts: []watchstream.Put{shared("{}")}}, http.StatusUnprocessableEntity, "fleet"},
		{changeOf(shared("{}"), shared("{}")), http.StatusUnprocessableEntity, "puts[1].key"},
		{changeOf(shared("7")), http.StatusUnprocessableEntity, "puts[0].value"},
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
		_, err := g.do(ctx, call{method: http.MethodGet, path: path})
		var rejected *RejectedError
		require.ErrorAs(t, err, &rejected, path)
		require.Equal(t, http.StatusUnprocessableEntity, rejected.Status, path)
	}
	for _, body := range []string{"", "nonsense", `{"relay":7}`, `{"relay":"r","base":2}`, `{"fleet":"other","relay":"r","whole":true}`} {
		_, err := g.do(ctx, call{method: http.MethodPost, path: "/v1/feed/report", body: []byte(body)})
		var rejected *RejectedError
		require.ErrorAs(t, err, &rejected, body)
		require.Less(t, rejected.Status, 500, body)
	}
	s, err := g.StreamStatus(ctx, 0)
	require.NoError(t, err)
	require.Equal(t, uint64(1), s.Head)
	require.Zero(t, s.Readers)
}

// TestFeedRecords reads records page by page.
func TestFeedRecords(t *testing.T) {
	g := newThree(t)
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

// TestFeedNoLeader asks where there is no leader: an agent says how far its log goes, and that nothing is known of initiators.
func TestFeedNoLeader(t *testing.T) {
	g := newThree(t)
	v := g.putChange(changeOf(shared(`{"a":1}`)))
	at := g.leader()
	for i := range 3 {
		if i != at {
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

// TestFeedMadeOnce has a change come twice, as when its first answer is lost: it is made once, also under a condition, and also where a
// snapshot lies between.
func TestFeedMadeOnce(t *testing.T) {
	text := []byte(`{"id":"x","feed":{"fleet":"campus","epoch":"e","if":0,"puts":[{"kind":"config","key":"shared","value":{"a":1}}]}}`)
	s := newStore()
	for i := range 2 {
		e, ok := s.Apply(&raft.Log{Index: uint64(4 + i), Data: text}).(Entry)
		require.True(t, ok)
		require.Equal(t, uint64(1), e.Version)
	}
	require.Equal(t, uint64(1), s.stream.store.Head())
	other := restored(t, s)
	e, ok := other.Apply(&raft.Log{Index: 9, Data: text}).(Entry)
	require.True(t, ok)
	require.Equal(t, uint64(1), e.Version)
	require.Equal(t, uint64(1), other.stream.store.Head())
	require.Len(t, other.entries, 0, "a change of the feed is no instance's configuration")
}

func restored(t *testing.T, s *store) *store {
	t.Helper()
	snap, err := s.Snapshot()
	require.NoError(t, err)
	var k sink
	require.NoError(t, snap.Persist(&k))
	other := newStore()
	require.NoError(t, other.Restore(io.NopCloser(&k)))
	return other
}

// TestFeedSnapshot restores the feed from a snapshot, and takes one of format 3, which has none.
func TestFeedSnapshot(t *testing.T) {
	s := newStore()
	for i, puts := range [][]watchstream.Put{{targetAt(0, 1), targetAt(1, 1), shared(`{"a":1}`)}, {{Kind: watchstream.Targets, Key: "t-1", Deleted: true}}, {shared(`{"a":2}`)}} {
		c := changeOf(puts...)
		c.Epoch = "e"
		data, err := json.Marshal(command{StreamChange: &c})
		require.NoError(t, err)
		_, failed := s.Apply(&raft.Log{Index: uint64(4 + i), Data: data, AppendedAt: time.Now().Add(-time.Minute)}).(error)
		require.False(t, failed)
	}
	require.Len(t, s.stream.commitsSince("", 0), 3)
	require.Len(t, s.stream.commitsSince("e", 2), 1)
	other := restored(t, s)
	require.Equal(t, s.stream.store.Snapshot(), other.stream.store.Snapshot())
	require.Empty(t, other.stream.commitsSince("", 0), "when earlier versions came is not known")
	again := restored(t, other)
	require.Equal(t, s.stream.store.Snapshot(), again.stream.store.Snapshot())
	c := changeOf(shared(`{"a":3}`))
	v, err := again.stream.apply(&raft.Log{}, c)
	require.NoError(t, err)
	require.Equal(t, uint64(4), v)

	three := `{"format":3,"entries":{"n1":{"name":"n1","version":4,"config":{"a":1}}},"fleet":{"doc":{"seats":4}}}`
	require.NoError(t, other.Restore(io.NopCloser(strings.NewReader(three))))
	require.Nil(t, other.stream.store)
	require.Nil(t, other.stream.snapshot())
	e, found, _ := other.get("n1")
	require.True(t, found)
	require.Equal(t, uint64(4), e.Version)
	spoilt := `{"format":4,"entries":{},"fleet":{},"feed":{"fleet":"campus","epoch":"","have":{"targets":1,"config":1},"seen":{"targets":1,"config":1}}}`
	require.Error(t, other.Restore(io.NopCloser(strings.NewReader(spoilt))))
	_, found, _ = other.get("n1")
	require.True(t, found, "a snapshot that can't be restored changes nothing")
}

// TestFeedBegins has a group in which one agent is down, or of before the feed: no first change goes into the log until all know it. Later ones
// need a majority.
func TestFeedBegins(t *testing.T) {
	g := newThree(t)
	g.leader()
	old := (g.leader() + 1) % 3
	g.stop(old)
	lead := g.leader()
	first := changeOf(shared(`{"a":1}`))
	c := &Client{Addrs: []string{g.peers[lead].API}}
	ask := func() error {
		ctx, done := context.WithTimeout(context.Background(), 2*time.Second)
		defer done()
		_, err := c.PutChange(ctx, first)
		return err
	}
	g.until("it waits", func() bool {
		err := ask()
		require.Error(t, err)
		return strings.Contains(err.Error(), "until all agents are up")
	})
	l, err := net.Listen("tcp", g.peers[old].API)
	require.NoError(t, err)
	before := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"id":"agent-x","state":"Follower","leader":"","applied":7}`)
	})}
	go func() { _ = before.Serve(l) }()
	g.until("it is refused", func() bool {
		err := ask()
		require.Error(t, err)
		var rejected *RejectedError
		return errors.As(err, &rejected) && strings.Contains(rejected.Text, "from before the feed")
	})
	before.Close()
	g.start(old)
	require.Equal(t, uint64(1), g.putChange(first))
	g.stop(old)
	require.Equal(t, uint64(2), g.putChange(changeOf(shared(`{"a":2}`))))
}
