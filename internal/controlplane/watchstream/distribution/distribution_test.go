package distribution

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/monotonic"
	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

const fleet = "campus"

// eventually waits up to a minute until done returns true.
func eventually(t *testing.T, done func() bool, what string) {
	t.Helper()
	require.Eventually(t, done, time.Minute, 5*time.Millisecond, what)
}

// fakeAgent replaces the agents: a store that tests put changes into, and its server on the loopback interface.
type fakeAgent struct {
	t           *testing.T
	server      *Server
	addr        string
	http        *httptest.Server
	mu          sync.Mutex
	store       *watchstream.Store
	source      *watchstream.Source
	changed     chan struct{}
	sourceCalls int  // number of WithSource calls
	noLeader    bool // the state is not marked as fresh
}

func newFakeAgent(t *testing.T, o watchstream.SourceOptions) *fakeAgent {
	agent := &fakeAgent{t: t, store: watchstream.NewStore(fleet, watchstream.Limits{}), changed: make(chan struct{})}
	agent.source = watchstream.NewSource(agent.store, o, 1)
	agent.server = NewServer(agent, 0)
	mux := http.NewServeMux()
	agent.server.Routes(mux)
	agent.http = httptest.NewServer(mux)
	agent.addr = agent.http.Listener.Addr().String()
	t.Cleanup(func() { agent.server.Stop(); agent.http.CloseClientConnections(); agent.http.Close() })
	return agent
}

func (agent *fakeAgent) WithSource(do func(time.Duration, *watchstream.Source)) (<-chan struct{}, bool) {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	now := monotonic.Now()
	if !agent.noLeader {
		agent.source.MarkFresh(now)
	}
	agent.sourceCalls++
	do(now, agent.source)
	return agent.changed, true
}

func (agent *fakeAgent) put(puts ...watchstream.Put) uint64 {
	agent.t.Helper()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	v, err := agent.store.Apply(watchstream.Change{Fleet: fleet, Epoch: "first", Puts: puts})
	require.NoError(agent.t, err)
	close(agent.changed)
	agent.changed = make(chan struct{})
	return v
}

// cursors returns the cursors of the source's readers by name.
func (agent *fakeAgent) cursors() map[string]watchstream.Cursor {
	m := map[string]watchstream.Cursor{}
	agent.WithSource(func(now time.Duration, s *watchstream.Source) {
		for _, c := range s.BuildReport(now, "book", "").Readers {
			m[c.Name] = c
		}
	})
	return m
}

func target(i, state int) watchstream.Put {
	id := "t-" + strconv.Itoa(i)
	return watchstream.Put{Kind: watchstream.Targets, Key: id, Value: fmt.Appendf(nil, `{"id":%q,"addr":"127.0.0.1:%d","cell":%d,"state":"SERVING"}`, id, 1000+state, i)}
}

func targets(n int) (list []watchstream.Put) {
	for i := range n {
		list = append(list, target(i, 0))
	}
	return list
}

func layer(scope, text string) watchstream.Put {
	return watchstream.Put{Kind: watchstream.Config, Key: scope, Value: json.RawMessage(text)}
}

// testFollower is a running follower that records its updates in order.
type testFollower struct {
	*Follower
	t            *testing.T
	stop         func()
	mu           sync.Mutex
	updates      []Update
	rejectUpdate func(Update) error
}

// startFollower starts a follower. It is stopped at the end of the test, or by stop.
func startFollower(t *testing.T, opt FollowerOptions) *testFollower {
	t.Helper()
	h := &testFollower{t: t}
	if opt.Fleet == "" {
		opt.Fleet = fleet
	}
	if opt.Region == "" {
		opt.Region = "north"
	}
	opt.OnChange = h.onChange
	f, err := NewFollower(opt)
	require.NoError(t, err)
	h.Follower = f
	ctx, end := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	var once sync.Once
	h.stop = func() { once.Do(func() { end(); <-ended }) }
	t.Cleanup(h.stop)
	return h
}

func (f *testFollower) onChange(u Update) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.updates); n > 0 {
		last := f.updates[n-1].Position
		assert.True(f.t, u.Position.Targets >= last.Targets && u.Position.Config >= last.Config, "from %v to %v", last, u.Position)
	}
	f.updates = append(f.updates, u)
	if f.rejectUpdate != nil {
		return f.rejectUpdate(u)
	}
	return nil
}

func (f *testFollower) received() []Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Update(nil), f.updates...)
}

// waitApplied waits until a version is applied for both kinds.
func (f *testFollower) waitApplied(v uint64) {
	f.t.Helper()
	eventually(f.t, func() bool { return f.State().Applied.Min() >= v }, fmt.Sprintf("%s has %d", f.opt.Name, v))
}

func relaysAt(addrs ...string) (list []watchstream.Relay) {
	for i, a := range addrs {
		list = append(list, watchstream.Relay{ID: "r" + strconv.Itoa(i), Region: "north", Addr: a})
	}
	return list
}

// TestFollowerReceivesDeltas checks that a follower receives all records and then each change once, and acknowledges what
// is applied.
func TestFollowerReceivesDeltas(t *testing.T) {
	agent := newFakeAgent(t, watchstream.SourceOptions{})
	agent.put(append(targets(300), layer("shared", `{"a":1}`), layer("region/south", `{"a":2}`))...)
	f := startFollower(t, FollowerOptions{Name: "i1", Relays: relaysAt(agent.addr)})
	f.waitApplied(1)
	require.Len(t, f.Records(watchstream.Targets), 300)
	require.Len(t, f.Records(watchstream.Config), 1, "layers of other regions are out of scope")
	v := agent.put(target(7, 1), watchstream.Put{Kind: watchstream.Targets, Key: "t-8", Deleted: true}, layer("instance/i1", `{"b":1}`))
	f.waitApplied(v)
	require.Len(t, f.Records(watchstream.Targets), 299)
	require.Len(t, f.Records(watchstream.Config), 2)
	var last []watchstream.Record
	for _, u := range f.received() {
		require.False(t, u.Full)
		for _, r := range u.Records {
			if r.Version == v {
				last = append(last, r)
			}
		}
	}
	require.Len(t, last, 3)
	eventually(t, func() bool { return agent.cursors()["i1"].Applied.Min() == v }, "acknowledged")
	s := f.State()
	require.Equal(t, "r0", s.Relay)
	require.Empty(t, s.Rejected)
	require.Greater(t, s.BytesIn, uint64(3000))
	require.Greater(t, s.BytesOut, uint64(100))
	require.Less(t, s.BytesIn, uint64(300*150), "300 targets are sent compressed")
}

// TestChangeWakesPoll checks that a waiting poll is answered when a change is made, and not only when its wait is over.
func TestChangeWakesPoll(t *testing.T) {
	agent := newFakeAgent(t, watchstream.SourceOptions{CoalesceInterval: time.Nanosecond})
	v := agent.put(target(0, 0))
	r := watchstream.NewReplica(fleet, watchstream.Scope{Name: "i1"}, 1, watchstream.Limits{})
	poll := func() (int, watchstream.Delta, time.Duration) {
		req := r.SubscribeRequest()
		req.WaitMs = maxPollWait.Milliseconds()
		from := time.Now()
		status, body := post(t, agent.addr, mustJSON(t, req), nil)
		var d watchstream.Delta
		if status == http.StatusOK {
			require.NoError(t, json.Unmarshal(body, &d))
			_, err := r.ApplyDelta(&d)
			require.NoError(t, err)
		}
		return status, d, time.Since(from)
	}
	status, _, _ := poll()
	require.Equal(t, http.StatusOK, status)
	// If the machine stalls, a poll may end before the change is made; then the test tries again.
	for try := range 20 {
		agent.mu.Lock()
		looks := agent.sourceCalls
		agent.mu.Unlock()
		go func() {
			for { // once Subscribe and NextDelta were called, the poll waits
				agent.mu.Lock()
				waits := agent.sourceCalls >= looks+2
				agent.mu.Unlock()
				if waits {
					break
				}
				time.Sleep(time.Millisecond)
			}
			agent.put(target(0, try+1))
		}()
		v++
		status, d, took := poll()
		for status == http.StatusNoContent {
			status, d, _ = poll()
			took = maxPollWait
		}
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, v, d.To.Targets)
		if took < maxPollWait/2 {
			return
		}
	}
	t.Error("no poll was woken by a change")
}

// post sends a body and returns the status and the body of the response.
func post(t *testing.T, addr string, body []byte, head http.Header) (int, []byte) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+watchPath, bytes.NewReader(body))
	require.NoError(t, err)
	for k, v := range head {
		req.Header[k] = v
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, text
}

func mustJSON(t *testing.T, v any) []byte {
	t.Helper()
	text, err := json.Marshal(v)
	require.NoError(t, err)
	return text
}

// TestBusyFollowersRetry starts more followers than are admitted at once: they receive a retry time, and all catch up.
func TestBusyFollowersRetry(t *testing.T) {
	agent := newFakeAgent(t, watchstream.SourceOptions{AdmitRate: 20, AdmitBurst: 1})
	v := agent.put(target(0, 0))
	var all []*testFollower
	for i := range 8 {
		all = append(all, startFollower(t, FollowerOptions{Name: fmt.Sprint("i", i), Relays: relaysAt(agent.addr)}))
	}
	busy := uint64(0)
	for _, f := range all {
		f.waitApplied(v)
		busy += f.State().Busy
	}
	require.NotZero(t, busy)
}

// TestRejectedConfig checks that after a rejected configuration the last valid one stays in force, targets are still
// applied, the rejection is reported to the source, and a later configuration is applied.
func TestRejectedConfig(t *testing.T) {
	agent := newFakeAgent(t, watchstream.SourceOptions{})
	agent.put(target(0, 0), layer("shared", `{"a":1}`))
	f := startFollower(t, FollowerOptions{Name: "i1", Relays: relaysAt(agent.addr)})
	f.waitApplied(1)
	f.mu.Lock()
	f.rejectUpdate = func(u Update) error {
		for _, r := range u.Records {
			if string(r.Value) == `{"a":"invalid"}` {
				return errors.New("a: not a number")
			}
		}
		return nil
	}
	f.mu.Unlock()
	agent.put(layer("shared", `{"a":"invalid"}`))
	eventually(t, func() bool { return f.State().Rejection != nil }, "configuration rejected")
	v := agent.put(target(0, 1))
	eventually(t, func() bool { return f.State().Applied.Targets == v }, "targets are still applied")
	require.Equal(t, uint64(1), f.State().Applied.Config)
	eventually(t, func() bool {
		r := agent.cursors()["i1"]
		return r.Rejection != nil && r.Rejection.Version == 2 && r.Rejection.Reason == "a: not a number" && r.Applied.Targets == v && r.Applied.Config == 1
	}, "rejection reported to the source")
	v = agent.put(layer("shared", `{"a":2}`))
	f.waitApplied(v)
	require.Nil(t, f.State().Rejection)
}

// TestSlowReadersDelayNoOther has readers that do not read their responses; other readers are not delayed.
func TestSlowReadersDelayNoOther(t *testing.T) {
	agent := newFakeAgent(t, watchstream.SourceOptions{ReaderRate: 10 << 20, ReaderBurst: 20 << 20, AdmitRate: 1000, AdmitBurst: 1000})
	value := make([]byte, 3000)
	for i := range value {
		value[i] = "0123456789abcdef"[(i*i+i/7)%16]
	}
	for n := range 20 {
		var puts []watchstream.Put
		for i := range 60 {
			id := fmt.Sprintf("t-%d-%d", n, i)
			puts = append(puts, watchstream.Put{Kind: watchstream.Targets, Key: id, Value: fmt.Appendf(nil, `{"id":%q,"x":"%s"}`, id, value)})
		}
		agent.put(puts...)
	}
	for i := range 20 {
		c, err := net.Dial("tcp", agent.addr)
		require.NoError(t, err)
		defer c.Close()
		body := mustJSON(t, watchstream.SubscribeRequest{Fleet: fleet, Scope: watchstream.Scope{Name: fmt.Sprint("slow", i)}, Generation: 1, Seq: 1})
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", watchPath, len(body), body)
		require.NoError(t, err)
	}
	f := startFollower(t, FollowerOptions{Name: "i1", Relays: relaysAt(agent.addr)})
	for range 5 {
		f.waitApplied(agent.put(target(0, 1)))
	}
}

// TestFollowerSnapshot starts followers with a snapshot on disk. A truncated or altered snapshot, or one of another fleet or
// scope, is ignored and counted.
func TestFollowerSnapshot(t *testing.T) {
	agent := newFakeAgent(t, watchstream.SourceOptions{})
	v := agent.put(append(targets(40), layer("shared", `{"a":1}`))...)
	dir := t.TempDir()
	f := startFollower(t, FollowerOptions{Name: "i1", Relays: relaysAt(agent.addr), Dir: dir})
	f.waitApplied(v)
	generation := f.replica.Generation()
	f.stop()
	require.Equal(t, uint64(1), f.State().SnapshotsSaved)
	unreachable := relaysAt("127.0.0.1:1")
	offline := startFollower(t, FollowerOptions{Name: "i1", Relays: unreachable, Dir: dir, Generation: 1})
	offline.waitApplied(v)
	require.True(t, offline.received()[0].Full)
	require.Len(t, offline.received()[0].Records, 41)
	require.Greater(t, offline.replica.Generation(), generation, "the generation increases even if the clock was set back")
	offline.stop()
	v = agent.put(target(3, 1))
	resumed := startFollower(t, FollowerOptions{Name: "i1", Relays: relaysAt(agent.addr), Dir: dir})
	resumed.waitApplied(v)
	require.Equal(t, uint64(1), resumed.State().Records, "only the differences are sent")
	resumed.stop()

	file, err := os.ReadFile(filepath.Join(dir, snapshotName))
	require.NoError(t, err)
	startWith := func(text []byte, opt FollowerOptions) FollowerState {
		opt.Dir, opt.Relays = t.TempDir(), unreachable
		require.NoError(t, os.WriteFile(filepath.Join(opt.Dir, snapshotName), text, 0o600))
		f, err := NewFollower(opt)
		require.NoError(t, err)
		return f.State()
	}
	mine := FollowerOptions{Fleet: fleet, Name: "i1", Region: "north"}
	require.Zero(t, startWith(file, mine).SnapshotsUnusable)
	rapid.Check(t, func(rt *rapid.T) {
		damaged := bytes.Clone(file[:rapid.IntRange(0, len(file)).Draw(rt, "cut")])
		if len(damaged) == len(file) {
			damaged[rapid.IntRange(0, len(file)-1).Draw(rt, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(rt, "bit")
		}
		s := startWith(damaged, mine)
		require.Equal(rt, uint64(1), s.SnapshotsUnusable)
		require.Zero(rt, s.Position)
	})
	for _, other := range []FollowerOptions{{Fleet: "other", Name: "i1", Region: "north"}, {Fleet: fleet, Name: "i1", Region: "south"}} {
		s := startWith(file, other)
		require.Equal(t, uint64(1), s.SnapshotsUnusable, other)
		require.Zero(t, s.Position)
	}
}
