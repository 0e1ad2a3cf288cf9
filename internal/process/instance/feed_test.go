package instance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/watchstream"
	edge "spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/controlplane/watchstream/targetmerge"
	"spindlehitch/internal/datapath/listing"
)

func entryOf(id, state string, started int64) listing.Entry {
	cell := 0
	return listing.Entry{ID: id, Addr: "127.0.0.1:1", Shard: &cell, State: state, StartedMs: started}
}

func recordOf(version uint64, id, state string, started int64) watchstream.Record {
	return watchstream.Record{Kind: watchstream.Targets, Key: id, Version: version, Value: fmt.Appendf(nil, `{"id":%q,"addr":"127.0.0.1:1","cell":0,"state":%q,"started_ms":%d}`, id, state, started)}
}

// started is a joint that runs until the test ends, and what is told of it.
func started(t *testing.T, tell func(*listing.List)) *joint {
	j := newJoint(tell)
	require.NoError(t, j.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, j.Stop(context.Background())) })
	return j
}

// TestJoint has both sources tell at once: those who listen hear one list after the other, first a whole one, and the feed's word has been
// heard by all when hear returns.
func TestJoint(t *testing.T) {
	view := map[string]listing.Entry{} // with no lock: it is one goroutine's
	told := 0
	var mu sync.Mutex // for the looks of this test
	j := started(t, func(l *listing.List) {
		if l.Full != (told == 0) {
			t.Errorf("list %d: full is %v", told, l.Full)
		}
		told++
		mu.Lock()
		defer mu.Unlock()
		for _, e := range l.Targets {
			view[e.ID] = e
		}
	})
	var both sync.WaitGroup
	both.Go(func() {
		for i := range 200 {
			j.discovered(&listing.List{Targets: listing.Entries{entryOf(fmt.Sprint("t", i), "SERVING", 1)}})
		}
	})
	both.Go(func() {
		for i := range 200 {
			id := fmt.Sprint("t", i)
			j.hear(&listing.List{Targets: listing.Entries{entryOf(id, "DRAINING", 1)}}, false)
			mu.Lock()
			if view[id].State != "DRAINING" {
				t.Errorf("%s drains by the feed, and is %q where it is listened to", id, view[id].State)
			}
			mu.Unlock()
		}
	})
	both.Wait()
	j.hear(&listing.List{}, false) // all before it is heard
	for id, e := range view {
		require.Equal(t, "DRAINING", e.State, id)
	}
	require.Len(t, view, 200)
}

// TestStream has a process's feed tell two instances, one of which comes later.
func TestStream(t *testing.T) {
	s := &stream{log: quiet, list: map[string]listing.Entry{}}
	type heardBy map[string]string
	one, two := heardBy{}, heardBy{}
	note := func(by heardBy) func(*listing.List) {
		return func(l *listing.List) {
			by[""] += "."
			for _, e := range l.Targets {
				by[e.ID] = e.State
			}
		}
	}
	a, b := started(t, note(one)), started(t, note(two))
	s.join(a)
	require.NoError(t, s.changed(edge.Update{Full: true}))
	require.Empty(t, one, "a feed that knows nothing has told no list")
	require.NoError(t, s.changed(edge.Update{Position: watchstream.Position{Targets: 2, Config: 2}, Full: true, Records: []watchstream.Record{recordOf(1, "a", "SERVING", 5), recordOf(2, "b", "SERVING", 5)}}))
	require.Equal(t, heardBy{"": ".", "a": "SERVING", "b": "SERVING"}, one)
	bad := recordOf(4, "b", "SLEEPING", 6)
	require.NoError(t, s.changed(edge.Update{Position: watchstream.Position{Targets: 4, Config: 2}, Records: []watchstream.Record{recordOf(3, "a", "DRAINING", 5), bad}}))
	require.Equal(t, heardBy{"": "..", "a": "DRAINING", "b": "SERVING"}, one)
	s.join(b)
	require.Equal(t, heardBy{"": ".", "a": "DRAINING", "b": "SERVING"}, two)
	s.leave(a)
	require.NoError(t, s.changed(edge.Update{Position: watchstream.Position{Targets: 5, Config: 2}, Records: []watchstream.Record{{Kind: watchstream.Targets, Key: "a", Version: 5, Deleted: true}}}))
	require.Equal(t, "DRAINING", one["a"])
	require.Equal(t, "DELETED", two["a"])
	// A whole with an entry that can't be read: what was known of that target stays.
	require.NoError(t, s.changed(edge.Update{Position: watchstream.Position{Targets: 6, Config: 2}, Full: true, Records: []watchstream.Record{bad}}))
	require.Equal(t, "SERVING", two["b"])
	require.EqualValues(t, 2, s.doubts)
}

// TestPieces has a feed bring up an instance that has nothing, in pieces: they are no list before all of them are there, but what they say of
// targets that discovery lists goes at once.
func TestPieces(t *testing.T) {
	for _, discovered := range []bool{false, true} {
		s := &stream{log: quiet, list: map[string]listing.Entry{}}
		var told []string
		var first *listing.List
		j := started(t, func(l *listing.List) {
			if told = append(told, fmt.Sprint(l.Full, len(l.Targets))); first == nil {
				first = l
			}
		})
		s.join(j)
		require.NoError(t, s.changed(edge.Update{Records: []watchstream.Record{recordOf(1, "a", "DRAINING", 5)}}))
		if discovered {
			j.box.Put(news{from: targetmerge.Discovery, list: &listing.List{Full: true, Targets: listing.Entries{entryOf("a", "SERVING", 5)}}})
		}
		require.NoError(t, s.changed(edge.Update{Records: []watchstream.Record{recordOf(2, "b", "SERVING", 5)}}))
		require.NoError(t, s.changed(edge.Update{Position: watchstream.Position{Targets: 3}, Records: []watchstream.Record{recordOf(3, "c", "SERVING", 5)}}))
		if discovered {
			require.Equal(t, []string{"true 1", "false 1", "false 1"}, told)
			require.Equal(t, "DRAINING", first.Targets[0].State, "it drains by the feed from the first")
		} else {
			require.Equal(t, []string{"true 3"}, told)
		}
	}
}

// TestLayered offers configurations of layers: one that can be served is kept, the same again is not offered, one that can't be served leaves
// what was; the next start begins with the last in force.
func TestLayered(t *testing.T) {
	dir := t.TempDir()
	begin := func(name string, refuses func(json.RawMessage) error) (*layered, *[]string) {
		offers, ends := make(chan offer), make(chan struct{})
		ctx, stop := context.WithCancel(t.Context())
		offered := &[]string{}
		go func() {
			defer close(ends)
			for {
				select {
				case <-ctx.Done():
					return
				case o := <-offers:
					*offered = append(*offered, fmt.Sprint(o.Version, " ", string(o.Config)))
					o.answer <- refuses(o.Config)
				}
			}
		}()
		t.Cleanup(func() { stop(); <-ends })
		return &layered{name: name, fleet: "campus", dir: dir, log: quiet, watch: ctx, offers: offers}, offered
	}
	layer := func(key, value string) watchstream.Record {
		return watchstream.Record{Kind: watchstream.Config, Key: key, Version: 1, Value: json.RawMessage(value)}
	}
	bad := errors.New("settings.peersTotal: required")
	refuses := func(c json.RawMessage) error {
		var x struct{ Peers int }
		if _ = json.Unmarshal(c, &x); x.Peers == 0 {
			return bad
		}
		return nil
	}
	l, offered := begin("n1", refuses)
	l.last()
	require.Empty(t, *offered, "nothing is kept yet")
	require.NoError(t, l.take([]watchstream.Record{layer("instance/n1", `{"listen":"here"}`), layer("shared", `{"peers":3,"listen":"there"}`)}, 7))
	require.NoError(t, l.take([]watchstream.Record{layer("shared", `{"peers":3,"listen":"there"}`), layer("instance/n1", `{"listen":"here"}`)}, 8))
	require.Len(t, *offered, 1)
	require.Contains(t, (*offered)[0], "7 ")
	require.JSONEq(t, `{"name":"n1","peers":3,"listen":"here"}`, (*offered)[0][2:])
	require.ErrorIs(t, l.take([]watchstream.Record{layer("shared", `{"peers":0}`)}, 9), bad)
	require.Error(t, l.take(nil, 10), "no layer is left")

	again, offered := begin("n1", refuses)
	again.last()
	require.Len(t, *offered, 1)
	require.JSONEq(t, `{"name":"n1","peers":3,"listen":"here"}`, (*offered)[0][2:])
	require.NoError(t, again.take([]watchstream.Record{layer("shared", `{"peers":3,"listen":"here"}`)}, 11))
	require.Len(t, *offered, 1, "that is what it serves")

	other, offered := begin("n2", refuses)
	other.last()
	require.Empty(t, *offered, "it is another's")
	require.NoError(t, os.WriteFile(filepath.Join(dir, lastName), []byte(`{"name":"n1"`), 0o600))
	torn, offered := begin("n1", refuses)
	torn.last()
	require.Empty(t, *offered)
}

// TestFollowFeedRefused starts with what cannot be followed: one message that names it, and nothing runs.
func TestFollowFeedRefused(t *testing.T) {
	none := filepath.Join(t.TempDir(), "none.toml")
	require.NoError(t, os.WriteFile(none, nil, 0o600))
	for _, c := range []struct{ name, operator, want string }{
		{"", "../../../deploy/feed.toml", "PROXY_NAME"}, {"n1", "", "--operator"}, {"n1", none, "feed"}, {"n1", "../../../deploy/nowhere.toml", "nowhere.toml"},
	} {
		err := FollowFeed(t.Context(), func(string) string { return c.name }, c.operator, quiet)
		require.ErrorContains(t, err, c.want)
		require.NotContains(t, err.Error(), "\n")
	}
}

// TestFeedFallsBack has an instance whose relays are nowhere: it goes by discovery, as without the feed, and says how far the feed is.
func TestFeedFallsBack(t *testing.T) {
	s := newSite(t)
	cfg, op := s.read(fmt.Sprintf("[feed]\nfleet = \"campus\"\nregion = \"north\"\ndir = %q\n[[feed.relay]]\nid = \"r\"\nregion = \"north\"\naddr = \"127.0.0.1:1\"\n", t.TempDir()))
	stop, leave := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Serve(stop, cfg, op, Options{Log: quiet}) }()
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
	leave()
	require.NoError(t, <-ended)
}

// TestBothTell holds the whole way against a small history: discovery that lags and the feed.
func TestBothTell(t *testing.T) {
	s := &stream{log: quiet, list: map[string]listing.Entry{}}
	state := map[string]string{}
	j := started(t, func(l *listing.List) {
		for _, e := range l.Targets {
			state[e.ID] = fmt.Sprint(e.State, e.StartedMs)
		}
	})
	s.join(j)
	old := &listing.List{Full: true, Targets: listing.Entries{entryOf("a", "SERVING", 5), entryOf("b", "SERVING", 5)}}
	j.box.Put(news{from: targetmerge.Discovery, list: old})
	_ = s.changed(edge.Update{Position: watchstream.Position{Targets: 2, Config: 2}, Records: []watchstream.Record{recordOf(1, "a", "DRAINING", 5), recordOf(2, "b", "SERVING", 6)}})
	j.box.Put(news{from: targetmerge.Discovery, list: old})
	j.hear(&listing.List{}, false)
	require.Equal(t, map[string]string{"a": "DRAINING5", "b": "SERVING6"}, state)
}
