package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spindlehitch/internal/process/instance"
)

// watchDiscovery is a fake discovery service with long polling: a call responds at once if its version differs from the current one,
// otherwise at the next change or when its wait time has passed. mu guards the fields below it.
type watchDiscovery struct {
	*httptest.Server
	mu          sync.Mutex
	version     int
	states      map[string]string // state by target address
	lastChanged []string          // addresses listed in the last change
	changed     chan struct{}     // closed and replaced by publish
	stalled     chan struct{}     // closed and replaced by stallOpenWatches
	down        bool              // new calls receive no response
	fullLists   bool              // changes are sent as full lists
}

func newWatchDiscovery(t *testing.T, version int, states map[string]string) *watchDiscovery {
	d := &watchDiscovery{version: version, states: states, changed: make(chan struct{}), stalled: make(chan struct{})}
	d.Server = httptest.NewServer(d)
	t.Cleanup(d.Close)
	t.Cleanup(d.CloseClientConnections)
	return d
}

func (d *watchDiscovery) addr() string { return d.Listener.Addr().String() }

// update runs f with mu held.
func (d *watchDiscovery) update(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

// publish creates the next version; a state of "" drops a target from the list without listing it in the change.
func (d *watchDiscovery) publish(states map[string]string) {
	d.update(func() {
		d.version++
		d.lastChanged = nil
		for addr, s := range states {
			if d.states[addr] = s; s == "" {
				delete(d.states, addr)
			} else {
				d.lastChanged = append(d.lastChanged, addr)
			}
		}
		close(d.changed)
		d.changed = make(chan struct{})
	})
}

// stallOpenWatches makes all calls now waiting for a change hang until their client disconnects; later calls are answered.
func (d *watchDiscovery) stallOpenWatches() {
	d.update(func() { close(d.stalled); d.stalled = make(chan struct{}) })
}

func (d *watchDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	d.mu.Lock()
	stalled, changed, version, down := d.stalled, d.changed, d.version, d.down
	d.mu.Unlock()
	if down {
		<-r.Context().Done()
		return
	}
	if after == version {
		select {
		case <-stalled:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var entries []string
	addEntry := func(addr string) {
		entries = append(entries, fmt.Sprintf(`{"id":%q,"addr":%q,"cell":0,"state":%q}`, addr, addr, d.states[addr]))
	}
	full := d.fullLists || after != d.version-1
	switch {
	case after == d.version: // nothing new
		full = false
	case full:
		for addr := range d.states {
			addEntry(addr)
		}
	default:
		for _, addr := range d.lastChanged {
			addEntry(addr)
		}
	}
	fmt.Fprintf(w, `{"version":%d,"full":%v,"servers":[%s]}`, d.version, full, strings.Join(entries, ","))
}

// targetGroup is the targets of one shard; they record the ids of the requests they receive.
type targetGroup struct {
	mu       sync.Mutex
	received map[string][]string // request ids by target address; guarded by mu
	holding  atomic.Bool         // requests wait for released and are then rejected as not started
	waiting  chan string         // receives the target's address for each waiting request; never closed
	released chan bool           // closed by the test to end the wait
}

func newTargetGroup() *targetGroup {
	return &targetGroup{received: map[string][]string{}, waiting: make(chan string, 64), released: make(chan bool)}
}

// addTarget starts one more target, which is closed when the test ends.
func (g *targetGroup) addTarget(t *testing.T) (addr string) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		g.received[addr] = append(g.received[addr], r.Header.Get("Request-Id"))
		g.mu.Unlock()
		if g.holding.Load() {
			g.waiting <- addr
			<-g.released
			w.Header().Set("Not-Started", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "from the target")
	}))
	addr = s.Listener.Addr().String()
	s.Start()
	t.Cleanup(s.Close)
	return addr
}

func (g *targetGroup) receivedBy(addr string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string{}, g.received[addr]...)
}

// TestReloadWithDrains drains targets in every way an initiator can learn of it: in the first list after a reload moves it away from an
// unavailable discovery service, in a change soon after, in a full list, in a full list without some targets, after all watches stalled or
// were reset, and after a discovery outage. Requests are sent throughout. Every request must be served, and none sent after a list is in
// force may reach a target that the list drains or no longer has.
func TestReloadWithDrains(t *testing.T) {
	group := newTargetGroup()
	first, second := group.addTarget(t), group.addTarget(t)
	oldDiscovery := newWatchDiscovery(t, 7, map[string]string{first: "SERVING", second: "SERVING"})
	newDiscovery := newWatchDiscovery(t, 2, map[string]string{first: "DRAINING", second: "SERVING", group.addTarget(t): "SERVING"})
	f := &fixture{listen: freeAddr(t), discovery: oldDiscovery.addr()}
	control := freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(discovery string) {
		f.discovery = discovery
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(f.config(), `"settings":`, fmt.Sprintf(`"control":%q,"settings":`, control), 1)), 0o600))
	}
	writeConfig(oldDiscovery.addr())
	getenv := func(name string) string { return map[string]string{"PROXY_CONFIG": path}[name] }
	cfg, op, err := instance.Load(getenv, "")
	require.NoError(t, err)
	hup := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- instance.Serve(ctx, cfg, op, instance.Options{Log: discardLog, Changes: instance.ReloadOnSignal(hup, getenv, cfg.Discovery, "", discardLog)})
	}()
	waitReady(t, "http://"+f.listen+"/-/ready")

	// Requests are sent throughout; their ids carry the round.
	var round atomic.Int64
	var clients sync.WaitGroup
	var stopped atomic.Bool
	defer stopped.Store(true)
	served := make([]atomic.Int64, 16) // by round
	for range 6 {
		clients.Go(func() {
			for !stopped.Load() {
				r := round.Load()
				status, body := f.getWithID(fmt.Sprintf("round%d-%d", r, f.requestCount.Add(1)))
				assert.Equal(t, 200, status, body)
				served[r].Add(1)
			}
		})
	}
	// checkRouting waits until a list with this number of targets is in force, begins a new round, and checks that no request of the round
	// reaches an excluded target.
	checkRouting := func(targets int, excluded ...string) {
		t.Helper()
		waitTargetCount(t, control, targets)
		r := round.Add(1)
		require.Eventually(t, func() bool { return served[r].Load() >= 60 }, time.Minute, time.Millisecond)
		for _, addr := range excluded {
			for _, id := range group.receivedBy(addr) {
				require.False(t, strings.HasPrefix(id, fmt.Sprintf("round%d-", r)), "%s reached a draining or removed target", id)
			}
		}
	}
	checkRouting(2)
	// A reload during an outage moves to a discovery service whose list already drains first.
	oldDiscovery.update(func() { oldDiscovery.down = true })
	oldDiscovery.stallOpenWatches()
	writeConfig(newDiscovery.addr())
	hup <- syscall.SIGHUP
	checkRouting(3, first)
	// A change soon after the move.
	third, fourth := group.addTarget(t), group.addTarget(t)
	newDiscovery.publish(map[string]string{second: "DRAINING", third: "SERVING", fourth: "SERVING"})
	checkRouting(5, first, second)
	// A full list.
	newDiscovery.update(func() { newDiscovery.fullLists = true })
	fifth := group.addTarget(t)
	newDiscovery.publish(map[string]string{third: "DRAINING", fifth: "SERVING"})
	checkRouting(6, first, second, third)
	// A full list without first and second.
	newDiscovery.publish(map[string]string{first: "", second: "", fourth: "DRAINING"})
	checkRouting(4, first, second, third, fourth)
	newDiscovery.update(func() { newDiscovery.fullLists = false })
	// All watches stall right before the change.
	sixth := group.addTarget(t)
	newDiscovery.stallOpenWatches()
	newDiscovery.publish(map[string]string{fifth: "DRAINING", sixth: "SERVING"})
	checkRouting(5, third, fourth, fifth)
	// All connections are reset before the change.
	seventh := group.addTarget(t)
	newDiscovery.CloseClientConnections()
	newDiscovery.publish(map[string]string{sixth: "DRAINING", seventh: "SERVING"})
	checkRouting(6, third, fourth, fifth, sixth)
	// A change during an outage, received when discovery is available again.
	eighth := group.addTarget(t)
	newDiscovery.update(func() { newDiscovery.down = true })
	newDiscovery.stallOpenWatches()
	newDiscovery.publish(map[string]string{seventh: "DRAINING", eighth: "SERVING"})
	newDiscovery.update(func() { newDiscovery.down = false })
	checkRouting(7, third, fourth, fifth, sixth, seventh)
	stopped.Store(true)
	clients.Wait()
	cancel()
	require.NoError(t, <-serveErr)
}

// waitTargetCount waits until the metrics report this number of targets; by then the list is in force in the scheduler and in the targets'
// actors.
func waitTargetCount(t *testing.T, control string, targets int) {
	t.Helper()
	require.EventuallyWithT(t, func(t *assert.CollectT) {
		resp, err := http.Get("http://" + control + "/v1/metrics")
		if !assert.NoError(t, err) {
			return
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		assert.NoError(t, err)
		assert.Contains(t, string(text), fmt.Sprintf(".targets:%d|", targets))
	}, time.Minute, time.Millisecond)
}

// getWithID is get with a request id of the caller's.
func (f *fixture) getWithID(id string) (int, string) {
	c, err := net.Dial("tcp", f.listen)
	if err != nil {
		return 0, err.Error()
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /position-read/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nTier: base\r\n"+
		"Request-Timeout-Ms: 20000\r\nIO-Info: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\n\r\n", id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// TestDrainWhileLeaving stalls the watch and drains a target after shutdown has begun, with a request open. The initiator must watch the
// list until the last response: the open request, rejected by its target, must not be retried at the draining target.
func TestDrainWhileLeaving(t *testing.T) {
	group := newTargetGroup()
	one, two := group.addTarget(t), group.addTarget(t)
	discovery := newWatchDiscovery(t, 7, map[string]string{one: "SERVING", two: "SERVING"})
	f := &fixture{listen: freeAddr(t), discovery: discovery.addr()}
	control := freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(f.config(), `"settings":`, fmt.Sprintf(`"control":%q,"settings":`, control), 1)), 0o600))
	cfg, op, err := instance.Load(func(name string) string { return map[string]string{"PROXY_CONFIG": path}[name] }, "")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() { serveErr <- instance.Serve(ctx, cfg, op, instance.Options{Log: discardLog}) }()
	waitReady(t, "http://"+f.listen+"/-/ready")
	group.holding.Store(true)
	releaseAll := sync.OnceFunc(func() { group.holding.Store(false); close(group.released) })
	defer releaseAll()
	response := make(chan string, 1)
	go func() {
		status, body := f.getWithID("open")
		response <- fmt.Sprint(status, " ", body)
	}()
	holder := <-group.waiting
	other := one
	if holder == one {
		other = two
	}
	cancel()
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + control + "/v1/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode != http.StatusOK
	}, time.Minute, time.Millisecond)
	third := group.addTarget(t)
	discovery.stallOpenWatches()
	discovery.publish(map[string]string{other: "DRAINING", third: "SERVING"})
	waitTargetCount(t, control, 3)
	releaseAll()
	require.Equal(t, "200 from the target", <-response)
	require.Empty(t, group.receivedBy(other), "request sent to a draining target")
	require.NotEmpty(t, append(group.receivedBy(third), group.receivedBy(holder)[1:]...))
	require.NoError(t, <-serveErr)
}
