package instance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/controlplane/watchstream/targetmerge"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/process/config"
)

func entryOf(id, state string, started int64) targetlist.Entry {
	cell := 0
	return targetlist.Entry{ID: id, Addr: "127.0.0.1:1", Shard: &cell, State: state, StartedMs: started}
}

func recordOf(version uint64, id, state string, started int64) watchstream.Record {
	return watchstream.Record{Kind: watchstream.Targets, Key: id, Version: version, Value: fmt.Appendf(nil, `{"id":%q,"addr":"127.0.0.1:1","cell":0,"state":%q,"started_ms":%d}`, id, state, started)}
}

// startMerger starts a merger that runs until the test ends.
func startMerger(t *testing.T, publish func(*targetlist.List)) *targetMerger {
	m := newTargetMerger(publish)
	require.NoError(t, m.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, m.Stop(context.Background())) })
	return m
}

// TestTargetMerger has both sources send lists at the same time: the listener gets one list after the other, first a full one, and has applied
// a list of the feed when applyFeed returns.
func TestTargetMerger(t *testing.T) {
	view := map[string]targetlist.Entry{}
	lists := 0        // without a lock: only the merger's goroutine calls publish
	var mu sync.Mutex // guards view, which this test reads too
	m := startMerger(t, func(l *targetlist.List) {
		if l.Full != (lists == 0) {
			t.Errorf("list %d: full is %v", lists, l.Full)
		}
		lists++
		mu.Lock()
		defer mu.Unlock()
		for _, e := range l.Targets {
			view[e.ID] = e
		}
	})
	var sources sync.WaitGroup
	sources.Go(func() {
		for i := range 200 {
			m.putDiscovery(&targetlist.List{Targets: targetlist.Entries{entryOf(fmt.Sprint("t", i), "SERVING", 1)}})
		}
	})
	sources.Go(func() {
		for i := range 200 {
			id := fmt.Sprint("t", i)
			m.applyFeed(&targetlist.List{Targets: targetlist.Entries{entryOf(id, "DRAINING", 1)}}, false)
			mu.Lock()
			if view[id].State != "DRAINING" {
				t.Errorf("%s is draining in the feed, but %q at the listener", id, view[id].State)
			}
			mu.Unlock()
		}
	})
	sources.Wait()
	m.applyFeed(&targetlist.List{}, false) // when it returns, all earlier updates have been applied
	for id, e := range view {
		require.Equal(t, "DRAINING", e.State, id)
	}
	require.Len(t, view, 200)
}

// TestFeedStream passes a process's feed to two instances, one of which subscribes later.
func TestFeedStream(t *testing.T) {
	s := &feedStream{log: discardLog, targets: map[string]targetlist.Entry{}}
	type received map[string]string
	one, two := received{}, received{}
	recordInto := func(into received) func(*targetlist.List) {
		return func(l *targetlist.List) {
			into[""] += "."
			for _, e := range l.Targets {
				into[e.ID] = e.State
			}
		}
	}
	a, b := startMerger(t, recordInto(one)), startMerger(t, recordInto(two))
	s.subscribe(a)
	require.NoError(t, s.onUpdate(distribution.Update{Full: true}))
	require.Empty(t, one, "an empty feed published a list")
	require.NoError(t, s.onUpdate(distribution.Update{Position: watchstream.Position{Targets: 2, Config: 2}, Full: true, Records: []watchstream.Record{recordOf(1, "a", "SERVING", 5), recordOf(2, "b", "SERVING", 5)}}))
	require.Equal(t, received{"": ".", "a": "SERVING", "b": "SERVING"}, one)
	invalid := recordOf(4, "b", "SLEEPING", 6)
	require.NoError(t, s.onUpdate(distribution.Update{Position: watchstream.Position{Targets: 4, Config: 2}, Records: []watchstream.Record{recordOf(3, "a", "DRAINING", 5), invalid}}))
	require.Equal(t, received{"": "..", "a": "DRAINING", "b": "SERVING"}, one)
	s.subscribe(b)
	require.Equal(t, received{"": ".", "a": "DRAINING", "b": "SERVING"}, two)
	s.unsubscribe(a)
	require.NoError(t, s.onUpdate(distribution.Update{Position: watchstream.Position{Targets: 5, Config: 2}, Records: []watchstream.Record{{Kind: watchstream.Targets, Key: "a", Version: 5, Deleted: true}}}))
	require.Equal(t, "DRAINING", one["a"])
	require.Equal(t, "DELETED", two["a"])
	// A full update with an invalid entry: the previous entry of that target stays.
	require.NoError(t, s.onUpdate(distribution.Update{Position: watchstream.Position{Targets: 6, Config: 2}, Full: true, Records: []watchstream.Record{invalid}}))
	require.Equal(t, "SERVING", two["b"])
	require.EqualValues(t, 2, s.badTargets)
}

// TestPartialLists starts an instance from a feed that arrives in parts: no list is published before the feed is complete, but its entries for
// targets that discovery lists take effect at once.
func TestPartialLists(t *testing.T) {
	for _, withDiscovery := range []bool{false, true} {
		s := &feedStream{log: discardLog, targets: map[string]targetlist.Entry{}}
		var lists []string
		var first *targetlist.List
		m := startMerger(t, func(l *targetlist.List) {
			if lists = append(lists, fmt.Sprint(l.Full, len(l.Targets))); first == nil {
				first = l
			}
		})
		s.subscribe(m)
		require.NoError(t, s.onUpdate(distribution.Update{Records: []watchstream.Record{recordOf(1, "a", "DRAINING", 5)}}))
		if withDiscovery {
			m.updates.Put(targetUpdate{source: targetmerge.Discovery, list: &targetlist.List{Full: true, Targets: targetlist.Entries{entryOf("a", "SERVING", 5)}}})
		}
		require.NoError(t, s.onUpdate(distribution.Update{Records: []watchstream.Record{recordOf(2, "b", "SERVING", 5)}}))
		require.NoError(t, s.onUpdate(distribution.Update{Position: watchstream.Position{Targets: 3}, Records: []watchstream.Record{recordOf(3, "c", "SERVING", 5)}}))
		if withDiscovery {
			require.Equal(t, []string{"true 1", "false 1", "false 1"}, lists)
			require.Equal(t, "DRAINING", first.Targets[0].State, "the first list already has the feed's state")
		} else {
			require.Equal(t, []string{"true 3"}, lists)
		}
	}
}

// TestLayeredConfig offers configurations merged from layers: a valid one is stored, the same one isn't offered again, an invalid one changes
// nothing, and the next start begins with the last one in force.
func TestLayeredConfig(t *testing.T) {
	dir := t.TempDir()
	newLayered := func(name string, validate func(json.RawMessage) error) (*layeredConfig, *[]string) {
		offers, done := make(chan configOffer), make(chan struct{})
		ctx, stop := context.WithCancel(t.Context())
		offered := &[]string{}
		go func() {
			defer close(done)
			for {
				select {
				case <-ctx.Done():
					return
				case o := <-offers:
					*offered = append(*offered, fmt.Sprint(o.Version, " ", string(o.Config)))
					o.result <- validate(o.Config)
				}
			}
		}()
		t.Cleanup(func() { stop(); <-done })
		return &layeredConfig{name: name, fleet: "campus", dir: dir, log: discardLog, sourceCtx: ctx, offers: offers}, offered
	}
	layer := func(key, value string) watchstream.Record {
		return watchstream.Record{Kind: watchstream.Config, Key: key, Version: 1, Value: json.RawMessage(value)}
	}
	bad := errors.New("settings.peersTotal: required")
	requirePeers := func(c json.RawMessage) error {
		var x struct{ Peers int }
		if _ = json.Unmarshal(c, &x); x.Peers == 0 {
			return bad
		}
		return nil
	}
	l, offered := newLayered("n1", requirePeers)
	l.restoreLast()
	require.Empty(t, *offered, "nothing is stored yet")
	require.NoError(t, l.applyLayers([]watchstream.Record{layer("instance/n1", `{"listen":"here"}`), layer("shared", `{"peers":3,"listen":"there"}`)}, 7))
	require.NoError(t, l.applyLayers([]watchstream.Record{layer("shared", `{"peers":3,"listen":"there"}`), layer("instance/n1", `{"listen":"here"}`)}, 8))
	require.Len(t, *offered, 1)
	require.Contains(t, (*offered)[0], "7 ")
	require.JSONEq(t, `{"name":"n1","peers":3,"listen":"here"}`, (*offered)[0][2:])
	require.ErrorIs(t, l.applyLayers([]watchstream.Record{layer("shared", `{"peers":0}`)}, 9), bad)
	require.Error(t, l.applyLayers(nil, 10), "no layers")

	restarted, offered := newLayered("n1", requirePeers)
	restarted.restoreLast()
	require.Len(t, *offered, 1)
	require.JSONEq(t, `{"name":"n1","peers":3,"listen":"here"}`, (*offered)[0][2:])
	require.NoError(t, restarted.applyLayers([]watchstream.Record{layer("shared", `{"peers":3,"listen":"here"}`)}, 11))
	require.Len(t, *offered, 1, "the same configuration was offered again")

	other, offered := newLayered("n2", requirePeers)
	other.restoreLast()
	require.Empty(t, *offered, "the stored configuration belongs to another instance")
	require.NoError(t, os.WriteFile(filepath.Join(dir, lastConfigFile), []byte(`{"name":"n1"`), 0o600))
	corrupt, offered := newLayered("n1", requirePeers)
	corrupt.restoreLast()
	require.Empty(t, *offered)
}

// TestServeFromFeedErrors starts without a name or a usable operator's file: a one-line error names what is missing.
func TestServeFromFeedErrors(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "none.toml")
	require.NoError(t, os.WriteFile(empty, nil, 0o600))
	for _, c := range []struct{ name, operator, want string }{
		{"", "../../../deploy/feed.toml", "PROXY_NAME"}, {"n1", "", "--operator"}, {"n1", empty, "feed"}, {"n1", "../../../deploy/nowhere.toml", "nowhere.toml"},
	} {
		err := ServeFromFeed(t.Context(), func(string) string { return c.name }, c.operator, discardLog)
		require.ErrorContains(t, err, c.want)
		require.NotContains(t, err.Error(), "\n")
	}
}

// TestFeedFallsBackToDiscovery runs an instance whose relays can't be reached: it serves with discovery's list, as without a feed, and its
// metrics show the feed's position.
func TestFeedFallsBackToDiscovery(t *testing.T) {
	s := newTestSite(t)
	cfg, op := s.loadConfig(fmt.Sprintf("[feed]\nfleet = \"campus\"\nregion = \"north\"\ndir = %q\n[[feed.relay]]\nid = \"r\"\nregion = \"north\"\naddr = \"127.0.0.1:1\"\n", t.TempDir()))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, cfg, op, Options{Log: discardLog}) }()
	get := func(addr, path string) (int, string) {
		resp, err := http.Get("http://" + addr + path)
		if err != nil {
			return 0, ""
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b)
	}
	require.Eventually(t, func() bool { code, _ := get(cfg.Control, "/v1/readyz"); return code == 200 }, 30*time.Second, 10*time.Millisecond)
	_, page := get(cfg.Control, "/v1/metrics")
	require.Contains(t, page, "edge_proxy.feed.in_force.targets:0|g\n")
	require.Contains(t, page, "edge_proxy.feed.targets:0|g\n")
	cancel()
	require.NoError(t, <-done)
}

// TestYieldedFeedReader guards against a process that goes on asking relays under the name of its successor, and overwrites its snapshot,
// while it still serves clients of before: once it has yielded it calls no relay, and discovery's lists still reach it.
func TestYieldedFeedReader(t *testing.T) {
	var calls atomic.Int64
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(relay.Close)
	lists := make(chan *targetlist.List, 1)
	feed, err := newFeedComponent(&config.Feed{Fleet: "campus", Region: "north", Relays: []config.FeedRelay{{ID: "r", Region: "north", Addr: relay.Listener.Addr().String()}}},
		nil, "n1", discardLog, func(l *targetlist.List) { lists <- l })
	require.NoError(t, err)
	require.NoError(t, feed.Start(t.Context()))
	require.Eventually(t, func() bool { return calls.Load() >= 2 }, 30*time.Second, 10*time.Millisecond)
	require.NoError(t, feed.YieldToSuccessor(t.Context()))
	before := calls.Load()
	feed.putDiscovery(&targetlist.List{Full: true, Targets: targetlist.Entries{entryOf("a", "SERVING", 5)}})
	select {
	case l := <-lists:
		require.Len(t, l.Targets, 1)
	case <-time.After(30 * time.Second):
		t.Fatal("the list of discovery did not come")
	}
	time.Sleep(2 * watchstream.DefaultRelaySelectorOptions.RetryMax) // the longest wait between two calls
	require.Equal(t, before, calls.Load())
	require.NoError(t, feed.Stop(t.Context()))
}

// TestMergeDiscoveryAndFeed merges a short history of the feed with a discovery service that lags behind.
func TestMergeDiscoveryAndFeed(t *testing.T) {
	s := &feedStream{log: discardLog, targets: map[string]targetlist.Entry{}}
	state := map[string]string{}
	m := startMerger(t, func(l *targetlist.List) {
		for _, e := range l.Targets {
			state[e.ID] = fmt.Sprint(e.State, e.StartedMs)
		}
	})
	s.subscribe(m)
	oldList := &targetlist.List{Full: true, Targets: targetlist.Entries{entryOf("a", "SERVING", 5), entryOf("b", "SERVING", 5)}}
	m.updates.Put(targetUpdate{source: targetmerge.Discovery, list: oldList})
	_ = s.onUpdate(distribution.Update{Position: watchstream.Position{Targets: 2, Config: 2}, Records: []watchstream.Record{recordOf(1, "a", "DRAINING", 5), recordOf(2, "b", "SERVING", 6)}})
	m.updates.Put(targetUpdate{source: targetmerge.Discovery, list: oldList})
	m.applyFeed(&targetlist.List{}, false)
	require.Equal(t, map[string]string{"a": "DRAINING5", "b": "SERVING6"}, state)
}
