package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/process/monotonic"
)

var discardLog = slog.New(slog.DiscardHandler)

// testSettings returns the smallest settings of a scheduler.
func testSettings(t *testing.T) policy.Settings {
	t.Helper()
	var o config.PlatformSettings
	require.NoError(t, json.Unmarshal([]byte(`{"peersTotal":1,"tickUs":2000,"classes":[{"name":"position-read","promiseUs":5000000,"deadlineUs":20000000,"effect":"pure","worth":3}],
 "contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8},"limits":{"sendCap":3}}`), &o))
	s, err := o.PolicySettings()
	require.NoError(t, err)
	return s
}

func target(id string, cell int, turn int64, state string) targetlist.Entry {
	return targetlist.Entry{ID: id, Addr: "127.0.0.1:9", Zone: "z", Shard: &cell, State: state, StartedMs: turn}
}

// testSource serves a store of the watch stream. mu guards its fields.
type testSource struct {
	mu      sync.Mutex
	store   *watchstream.Store
	source  *watchstream.Source
	changed chan struct{}
}

// WithSource implements distribution.Origin.
func (s *testSource) WithSource(f func(time.Duration, *watchstream.Source)) (<-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := monotonic.Now()
	s.source.MarkFresh(now)
	f(now, s.source)
	return s.changed, true
}

func (s *testSource) put(t *testing.T, puts ...watchstream.Put) uint64 {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	v, err := s.store.Apply(watchstream.Change{Fleet: "f", Epoch: "e", Puts: puts})
	require.NoError(t, err)
	close(s.changed)
	s.changed = make(chan struct{})
	return v
}

func put(e targetlist.Entry) watchstream.Put {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return watchstream.Put{Kind: watchstream.Targets, Key: e.ID, Value: text}
}

func newSource(t *testing.T) (s *testSource, addr string) {
	t.Helper()
	s = &testSource{store: watchstream.NewStore("f", watchstream.Limits{}), changed: make(chan struct{})}
	s.source = watchstream.NewSource(s.store, watchstream.SourceOptions{}, 1)
	mux := http.NewServeMux()
	server := distribution.NewServer(s, 0)
	server.Routes(mux)
	front := httptest.NewServer(mux)
	t.Cleanup(func() {
		server.Stop()
		front.Close()
	})
	return s, strings.TrimPrefix(front.URL, "http://")
}

func waitVersion(t *testing.T, in *Initiator, stream Stream, v uint64) {
	t.Helper()
	require.Eventually(t, func() bool { in.Poll(); return in.Checker.Version(stream) >= v }, time.Minute, 5*time.Millisecond, "%s %d", stream, v)
}

// TestWatchStream has a hollow initiator with a policy and a copy on disk follow changes, stop, and start again.
func TestWatchStream(t *testing.T) {
	s, addr := newSource(t)
	s.put(t, put(target("a", 0, 0, stateServing)), put(target("b", 1, 0, stateServing)))
	s.put(t, watchstream.Put{Kind: watchstream.Config, Key: "shared", Value: []byte(`{"limits":{"sockets":100}}`)})
	module := testSettings(t)
	in := New(Options{Name: "h1", Region: "r", Zone: "z", Policy: &module, Log: discardLog,
		WatchStream: &distribution.FollowerOptions{Fleet: "f", Name: "h1", Region: "r", Zone: "z", Dir: t.TempDir(), Relays: []watchstream.Relay{{ID: "r1", Region: "r", Addr: addr}}}})
	require.NoError(t, in.Start())
	waitVersion(t, in, Targets, 1)
	waitVersion(t, in, Config, 2)
	waitVersion(t, in, Targets, s.put(t, put(target("a", 0, 1, "DRAINING"))))
	waitVersion(t, in, Targets, s.put(t, put(target("a", 0, 2, stateServing)), put(target("b", 1, 1, "DRAINING"))))
	in.Stop(true)
	require.False(t, in.Running())
	read, written, _ := in.StreamTotals()
	require.Positive(t, read)
	require.Positive(t, written)
	in.Checker.RecordRestart(true)
	v := s.put(t, put(target("b", 1, 2, stateServing)))
	require.NoError(t, in.Start())
	waitVersion(t, in, Targets, v)
	in.Stop(false)
	n, what := in.Checker.Violations()
	require.Zero(t, n, what)
}

// TestCheckerSeesSends checks that the checker sees what the policy sends: once a target's drain is applied the policy sends
// nothing to it, and a drain that is hidden from the policy leads to violations.
func TestCheckerSeesSends(t *testing.T) {
	j := NewChecker("h1")
	m, err := newPolicyLoop(testSettings(t), 1, j)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	go m.run(ctx)
	defer func() { stop(); <-m.ended }()
	v := int64(1)
	require.True(t, m.applyAndWait(&targetlist.List{Version: &v, Full: true, Targets: targetlist.Entries{target("a", 0, 0, stateServing), target("b", 1, 0, stateServing)}}))
	require.True(t, m.applyAndWait(&targetlist.List{Version: &v, Targets: targetlist.Entries{target("a", 0, 1, "DRAINING"), target("b", 1, 1, stateServing)}}))
	require.True(t, m.applyAndWait(&targetlist.List{Version: &v, Targets: targetlist.Entries{target("b", 1, 2, stateServing)}}))
	n, what := j.Violations()
	require.Zero(t, n, what)
	j.RecordTargets([]targetlist.Entry{target("b", 1, 3, "DRAINING")}) // not passed to the policy
	require.True(t, m.applyAndWait(&targetlist.List{Version: &v, Targets: targetlist.Entries{{ID: "b", Addr: "127.0.0.1:9", Shard: new(int), State: stateServing, Zone: "z", StartedMs: 2}}}))
	n, what = j.Violations()
	require.Positive(t, n, what)
}

// TestDiscovery has a hollow initiator take its list from discovery and its configuration from an agent.
func TestDiscovery(t *testing.T) {
	changed := make(chan struct{})
	found := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch after := r.URL.Query().Get("after"); after {
		case "":
			fmt.Fprint(w, `{"version":1,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:9","cell":0,"state":"SERVING"}]}`)
		case "1":
			<-changed
			fmt.Fprint(w, `{"version":2,"full":false,"servers":[{"id":"a","addr":"127.0.0.1:9","cell":0,"state":"DRAINING","started_ms":1}]}`)
		default:
			<-r.Context().Done()
		}
	}))
	defer found.Close()
	agents := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "0" {
			fmt.Fprint(w, `{"name":"h1","version":7,"config":{}}`)
			return
		}
		<-r.Context().Done()
	}))
	defer agents.Close()
	at := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	in := New(Options{Name: "h1", Discovery: at(found), Agents: []string{at(agents)}, Log: discardLog})
	require.NoError(t, in.Start())
	defer in.Stop(true)
	waitVersion(t, in, Targets, 1)
	waitVersion(t, in, Config, 7)
	close(changed)
	waitVersion(t, in, Targets, 2)
	n, what := in.Checker.Violations()
	require.Zero(t, n, what)
}

// TestNeverReadingClient checks that a source accepts the pipelined requests of a client that never reads.
func TestNeverReadingClient(t *testing.T) {
	s, addr := newSource(t)
	s.put(t, put(target("a", 0, 0, stateServing)))
	in := New(Options{Name: "h1", Region: "r", Zone: "z", Log: discardLog, WatchStream: &distribution.FollowerOptions{Fleet: "f", Relays: []watchstream.Relay{{ID: "r0", Region: "q", Addr: "127.0.0.1:9"}, {ID: "r1", Region: "r", Addr: addr}}}})
	to, request, err := in.PipelinedRequests("deaf-1")
	require.NoError(t, err)
	require.Equal(t, addr, to)
	c, err := net.Dial("tcp", to)
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write(request)
	require.NoError(t, err)
	require.Eventually(t, func() (heard bool) {
		s.WithSource(func(_ time.Duration, src *watchstream.Source) { heard = src.ReaderCount() == 1 })
		return heard
	}, time.Minute, 5*time.Millisecond)
}
