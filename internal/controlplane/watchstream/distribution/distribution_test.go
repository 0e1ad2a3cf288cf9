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
	"spindlehitch/internal/process/monotone"
	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

const fleet = "campus"

// eventually waits for what comes when it comes.
func eventually(t *testing.T, done func() bool, what string) {
	t.Helper()
	require.Eventually(t, done, time.Minute, 5*time.Millisecond, what)
}

// book stands in for the agents: a store that changes are put into, and a server of it on the loopback.
type book struct {
	t       *testing.T
	server  *Server
	addr    string
	http    *httptest.Server
	mu      sync.Mutex
	store   *watchstream.Store
	source  *watchstream.Source
	changed chan struct{}
	looks   int  // how often the source was asked
	deaf    bool // it hears of no leader
}

func newBook(t *testing.T, o watchstream.SourceOptions) *book {
	b := &book{t: t, store: watchstream.NewStore(fleet, watchstream.Limits{}), changed: make(chan struct{})}
	b.source = watchstream.NewSource(b.store, o, 1)
	b.server = NewServer(b, 0)
	mux := http.NewServeMux()
	b.server.Routes(mux)
	b.http = httptest.NewServer(mux)
	b.addr = b.http.Listener.Addr().String()
	t.Cleanup(func() { b.server.Stop(); b.http.CloseClientConnections(); b.http.Close() })
	return b
}

func (b *book) WithSource(do func(time.Duration, *watchstream.Source)) (<-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := monotone.Now()
	if !b.deaf {
		b.source.MarkFresh(now)
	}
	b.looks++
	do(now, b.source)
	return b.changed, true
}

func (b *book) put(puts ...watchstream.Put) uint64 {
	b.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	v, err := b.store.Apply(watchstream.Change{Fleet: fleet, Epoch: "first", Puts: puts})
	require.NoError(b.t, err)
	close(b.changed)
	b.changed = make(chan struct{})
	return v
}

// has tells what the source knows to be in force at its readers.
func (b *book) has() map[string]watchstream.Cursor {
	m := map[string]watchstream.Cursor{}
	b.WithSource(func(now time.Duration, s *watchstream.Source) {
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

// heard is what a follower was told, in order.
type heard struct {
	*Follower
	t    *testing.T
	stop func()
	mu   sync.Mutex
	list []Update
	down func(Update) error
}

// follow starts a follower. It is ended with the test, or by stop.
func follow(t *testing.T, opt FollowerOptions) *heard {
	t.Helper()
	h := &heard{t: t}
	if opt.Fleet == "" {
		opt.Fleet = fleet
	}
	if opt.Region == "" {
		opt.Region = "north"
	}
	opt.OnChange = h.take
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

func (h *heard) take(u Update) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.list); n > 0 {
		last := h.list[n-1].Position
		assert.True(h.t, u.Position.Targets >= last.Targets && u.Position.Config >= last.Config, "from %v to %v", last, u.Position)
	}
	h.list = append(h.list, u)
	if h.down != nil {
		return h.down(u)
	}
	return nil
}

func (h *heard) told() []Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Update(nil), h.list...)
}

// at waits until a version is in force whole.
func (h *heard) at(v uint64) {
	h.t.Helper()
	eventually(h.t, func() bool { return h.State().Applied.Min() >= v }, fmt.Sprintf("%s has %d", h.opt.Name, v))
}

func to(addrs ...string) (list []watchstream.Relay) {
	for i, a := range addrs {
		list = append(list, watchstream.Relay{ID: "r" + strconv.Itoa(i), Region: "north", Addr: a})
	}
	return list
}

// TestDelta brings a follower all there is, then what changes: each newest state once, and what is in force is acknowledged.
func TestDelta(t *testing.T) {
	b := newBook(t, watchstream.SourceOptions{})
	b.put(append(targets(300), layer("shared", `{"a":1}`), layer("region/south", `{"a":2}`))...)
	f := follow(t, FollowerOptions{Name: "i1", Relays: to(b.addr)})
	f.at(1)
	require.Len(t, f.Records(watchstream.Targets), 300)
	require.Len(t, f.Records(watchstream.Config), 1, "another region's layer is not its own")
	v := b.put(target(7, 1), watchstream.Put{Kind: watchstream.Targets, Key: "t-8", Deleted: true}, layer("instance/i1", `{"b":1}`))
	f.at(v)
	require.Len(t, f.Records(watchstream.Targets), 299)
	require.Len(t, f.Records(watchstream.Config), 2)
	var last []watchstream.Record
	for _, u := range f.told() {
		require.False(t, u.Full)
		for _, r := range u.Records {
			if r.Version == v {
				last = append(last, r)
			}
		}
	}
	require.Len(t, last, 3)
	eventually(t, func() bool { return b.has()["i1"].Applied.Min() == v }, "acknowledged")
	s := f.State()
	require.Equal(t, "r0", s.Relay)
	require.Empty(t, s.Rejected)
	require.Greater(t, s.BytesIn, uint64(3000))
	require.Greater(t, s.BytesOut, uint64(100))
	require.Less(t, s.BytesIn, uint64(300*150), "300 targets go packed")
}

// TestWoken has a poll that waits be answered when a change comes, and not when its time is over.
func TestWoken(t *testing.T) {
	b := newBook(t, watchstream.SourceOptions{CoalesceInterval: time.Nanosecond})
	v := b.put(target(0, 0))
	r := watchstream.NewReplica(fleet, watchstream.Scope{Name: "i1"}, 1, watchstream.Limits{})
	ask := func() (int, watchstream.Delta, time.Duration) {
		req := r.SubscribeRequest()
		req.WaitMs = maxPollWait.Milliseconds()
		from := time.Now()
		status, body := post(t, b.addr, mustJSON(t, req), nil)
		var d watchstream.Delta
		if status == http.StatusOK {
			require.NoError(t, json.Unmarshal(body, &d))
			_, err := r.ApplyDelta(&d)
			require.NoError(t, err)
		}
		return status, d, time.Since(from)
	}
	status, _, _ := ask()
	require.Equal(t, http.StatusOK, status)
	// On a machine that stands still a poll may be over before the change comes: then it is tried again.
	for try := range 20 {
		b.mu.Lock()
		looks := b.looks
		b.mu.Unlock()
		go func() {
			for { // the poll has looked once after it was heard: now it waits
				b.mu.Lock()
				waits := b.looks >= looks+2
				b.mu.Unlock()
				if waits {
					break
				}
				time.Sleep(time.Millisecond)
			}
			b.put(target(0, try+1))
		}()
		v++
		status, d, took := ask()
		for status == http.StatusNoContent {
			status, d, _ = ask()
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

// post sends a body, and returns the answer unpacked.
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

// TestBusy has more followers come than are admitted: they are told when to come again, and all get there.
func TestBusy(t *testing.T) {
	b := newBook(t, watchstream.SourceOptions{AdmitRate: 20, AdmitBurst: 1})
	v := b.put(target(0, 0))
	var all []*heard
	for i := range 8 {
		all = append(all, follow(t, FollowerOptions{Name: fmt.Sprint("i", i), Relays: to(b.addr)}))
	}
	told := uint64(0)
	for _, f := range all {
		f.at(v)
		told += f.State().Busy
	}
	require.NotZero(t, told)
}

// TestTurnedDown has a configuration turned down: the last good one stays in force and targets go on; a later one is taken.
func TestTurnedDown(t *testing.T) {
	b := newBook(t, watchstream.SourceOptions{})
	b.put(target(0, 0), layer("shared", `{"a":1}`))
	f := follow(t, FollowerOptions{Name: "i1", Relays: to(b.addr)})
	f.at(1)
	f.mu.Lock()
	f.down = func(u Update) error {
		for _, r := range u.Records {
			if string(r.Value) == `{"a":"odd"}` {
				return errors.New("a: not a number")
			}
		}
		return nil
	}
	f.mu.Unlock()
	b.put(layer("shared", `{"a":"odd"}`))
	eventually(t, func() bool { return f.State().Rejection != nil }, "turned down")
	v := b.put(target(0, 1))
	eventually(t, func() bool { return f.State().Applied.Targets == v }, "targets go on")
	require.Equal(t, uint64(1), f.State().Applied.Config)
	eventually(t, func() bool {
		r := b.has()["i1"]
		return r.Rejection != nil && r.Rejection.Version == 2 && r.Rejection.Reason == "a: not a number" && r.Applied.Targets == v && r.Applied.Config == 1
	}, "told upward")
	v = b.put(layer("shared", `{"a":2}`))
	f.at(v)
	require.Nil(t, f.State().Rejection)
}

// TestSlowReaders has readers that take nothing of their answers: no other waits for them.
func TestSlowReaders(t *testing.T) {
	b := newBook(t, watchstream.SourceOptions{ReaderRate: 10 << 20, ReaderBurst: 20 << 20, AdmitRate: 1000, AdmitBurst: 1000})
	long := make([]byte, 3000)
	for i := range long {
		long[i] = "0123456789abcdef"[(i*i+i/7)%16]
	}
	for n := range 20 {
		var puts []watchstream.Put
		for i := range 60 {
			id := fmt.Sprintf("t-%d-%d", n, i)
			puts = append(puts, watchstream.Put{Kind: watchstream.Targets, Key: id, Value: fmt.Appendf(nil, `{"id":%q,"x":"%s"}`, id, long)})
		}
		b.put(puts...)
	}
	for i := range 20 {
		c, err := net.Dial("tcp", b.addr)
		require.NoError(t, err)
		defer c.Close()
		body := mustJSON(t, watchstream.SubscribeRequest{Fleet: fleet, Scope: watchstream.Scope{Name: fmt.Sprint("slow", i)}, Generation: 1, Seq: 1})
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", watchPath, len(body), body)
		require.NoError(t, err)
	}
	f := follow(t, FollowerOptions{Name: "i1", Relays: to(b.addr)})
	for range 5 {
		f.at(b.put(target(0, 1)))
	}
}

// TestCopies begins with the copy on disk; one that is torn anywhere, or another fleet's, is passed over and counted.
func TestCopies(t *testing.T) {
	b := newBook(t, watchstream.SourceOptions{})
	v := b.put(append(targets(40), layer("shared", `{"a":1}`))...)
	dir := t.TempDir()
	f := follow(t, FollowerOptions{Name: "i1", Relays: to(b.addr), Dir: dir})
	f.at(v)
	turn := f.replica.Generation()
	f.stop()
	require.Equal(t, uint64(1), f.State().SnapshotsSaved)
	nowhere := to("127.0.0.1:1")
	again := follow(t, FollowerOptions{Name: "i1", Relays: nowhere, Dir: dir, Generation: 1})
	again.at(v)
	require.True(t, again.told()[0].Full)
	require.Len(t, again.told()[0].Records, 41)
	require.Greater(t, again.replica.Generation(), turn, "also by a clock that was set back")
	again.stop()
	v = b.put(target(3, 1))
	on := follow(t, FollowerOptions{Name: "i1", Relays: to(b.addr), Dir: dir})
	on.at(v)
	require.Equal(t, uint64(1), on.State().Records, "what differs, and no more")
	on.stop()

	whole, err := os.ReadFile(filepath.Join(dir, snapshotName))
	require.NoError(t, err)
	starts := func(text []byte, opt FollowerOptions) FollowerState {
		opt.Dir, opt.Relays = t.TempDir(), nowhere
		require.NoError(t, os.WriteFile(filepath.Join(opt.Dir, snapshotName), text, 0o600))
		f, err := NewFollower(opt)
		require.NoError(t, err)
		return f.State()
	}
	mine := FollowerOptions{Fleet: fleet, Name: "i1", Region: "north"}
	require.Zero(t, starts(whole, mine).SnapshotsUnusable)
	rapid.Check(t, func(rt *rapid.T) {
		bent := bytes.Clone(whole[:rapid.IntRange(0, len(whole)).Draw(rt, "cut")])
		if len(bent) == len(whole) {
			bent[rapid.IntRange(0, len(whole)-1).Draw(rt, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(rt, "bit")
		}
		s := starts(bent, mine)
		require.Equal(rt, uint64(1), s.SnapshotsUnusable)
		require.Zero(rt, s.Position)
	})
	for _, other := range []FollowerOptions{{Fleet: "other", Name: "i1", Region: "north"}, {Fleet: fleet, Name: "i1", Region: "south"}} {
		s := starts(whole, other)
		require.Equal(t, uint64(1), s.SnapshotsUnusable, other)
		require.Zero(t, s.Position)
	}
}
