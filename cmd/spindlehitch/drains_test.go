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

// pusher is discovery: an agent that answers at once with what it has, or as soon as there is news. It changes as a test says.
type pusher struct {
	*httptest.Server
	mu      sync.Mutex
	version int
	states  map[string]string // by address
	lately  []string          // the addresses that the last change is about
	changed chan struct{}     // closed with the next change
	cut     chan struct{}     // closed when what is open falls silent
	down    bool              // what comes now is never answered
	whole   bool              // changes are told by the whole list
}

func newPusher(t *testing.T, version int, states map[string]string) *pusher {
	p := &pusher{version: version, states: states, changed: make(chan struct{}), cut: make(chan struct{})}
	p.Server = httptest.NewServer(p)
	t.Cleanup(p.Close)
	t.Cleanup(p.CloseClientConnections)
	return p
}

func (p *pusher) addr() string { return p.Listener.Addr().String() }

func (p *pusher) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// change is the next version; a state of "" takes a target off the list without a word.
func (p *pusher) change(states map[string]string) {
	p.set(func() {
		p.version++
		p.lately = nil
		for addr, s := range states {
			if p.states[addr] = s; s == "" {
				delete(p.states, addr)
			} else {
				p.lately = append(p.lately, addr)
			}
		}
		close(p.changed)
		p.changed = make(chan struct{})
	})
}

// silence has all open calls fall silent; those that come after are answered.
func (p *pusher) silence() {
	p.set(func() { close(p.cut); p.cut = make(chan struct{}) })
}

func (p *pusher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	p.mu.Lock()
	cut, changed, version, down := p.cut, p.changed, p.version, p.down
	p.mu.Unlock()
	if down {
		<-r.Context().Done()
		return
	}
	if after == version {
		select {
		case <-cut:
			<-r.Context().Done()
			return
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var entries []string
	entry := func(addr string) {
		entries = append(entries, fmt.Sprintf(`{"id":%q,"addr":%q,"cell":0,"state":%q}`, addr, addr, p.states[addr]))
	}
	full := p.whole || after != p.version-1
	switch {
	case after == p.version: // nothing new
		full = false
	case full:
		for addr := range p.states {
			entry(addr)
		}
	default:
		for _, addr := range p.lately {
			entry(addr)
		}
	}
	fmt.Fprintf(w, `{"version":%d,"full":%v,"servers":[%s]}`, p.version, full, strings.Join(entries, ","))
}

// cell is targets of one shard, which note whose requests came to them.
type cell struct {
	mu    sync.Mutex
	came  map[string][]string // request ids by target
	held  atomic.Bool         // requests wait, and are then told that they were not started
	waits chan string         // the targets at which they do
	free  chan bool
}

func newCell() *cell {
	return &cell{came: map[string][]string{}, waits: make(chan string, 64), free: make(chan bool)}
}

// target is one more of them.
func (c *cell) target(t *testing.T) (addr string) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.came[addr] = append(c.came[addr], r.Header.Get("Request-Id"))
		c.mu.Unlock()
		if c.held.Load() {
			c.waits <- addr
			<-c.free
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

func (c *cell) at(addr string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.came[addr]...)
}

// TestReloadWithDrains has targets drain in every way in which an initiator may come to hear of it: with a new configuration that takes it
// out of an outage, right after that, by a whole list in place of a change, by one that leaves a target out, after all watches
// fell silent or were reset, and when discovery returns. Requests go on all the while. None that is asked for once the list is
// in force comes to a target that drains in it, or that is gone, and each is served.
func TestReloadWithDrains(t *testing.T) {
	c := newCell()
	first, second := c.target(t), c.target(t)
	old := newPusher(t, 7, map[string]string{first: "SERVING", second: "SERVING"})
	next := newPusher(t, 2, map[string]string{first: "DRAINING", second: "SERVING", c.target(t): "SERVING"})
	w := &world{listen: freeAddr(t), discovery: old.addr()}
	control := freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	put := func(discovery string) {
		w.discovery = discovery
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(w.config(), `"settings":`, fmt.Sprintf(`"control":%q,"settings":`, control), 1)), 0o600))
	}
	put(old.addr())
	getenv := func(name string) string { return map[string]string{"PROXY_CONFIG": path}[name] }
	cfg, op, err := instance.Load(getenv, "")
	require.NoError(t, err)
	hup := make(chan os.Signal, 1)
	stop, leave := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- instance.Serve(stop, cfg, op, instance.Options{Log: quiet, Changes: instance.ReloadOnSignal(hup, getenv, cfg.Discovery, "", quiet)})
	}()
	ready(t, "http://"+w.listen+"/-/ready")

	// Requests go on; each round's have a name of their own.
	var round atomic.Int64
	var asked sync.WaitGroup
	var over atomic.Bool
	defer over.Store(true)
	served := make([]atomic.Int64, 16) // by round
	for range 6 {
		asked.Go(func() {
			for !over.Load() {
				r := round.Load()
				status, body := w.askAs(fmt.Sprintf("round%d-%d", r, w.asked.Add(1)))
				assert.Equal(t, 200, status, body)
				served[r].Add(1)
			}
		})
	}
	// in checks that the list is in force, that its number of targets tells, and what then comes.
	in := func(targets int, none ...string) {
		t.Helper()
		inForce(t, control, targets)
		r := round.Add(1)
		require.Eventually(t, func() bool { return served[r].Load() >= 60 }, time.Minute, time.Millisecond)
		for _, addr := range none {
			for _, id := range c.at(addr) {
				require.False(t, strings.HasPrefix(id, fmt.Sprintf("round%d-", r)), "%s came to a target that drains or is gone", id)
			}
		}
	}
	in(2)
	// Moved out of an outage, to where it drains already.
	old.set(func() { old.down = true })
	old.silence()
	put(next.addr())
	hup <- syscall.SIGHUP
	in(3, first)
	// Soon after.
	third, fourth := c.target(t), c.target(t)
	next.change(map[string]string{second: "DRAINING", third: "SERVING", fourth: "SERVING"})
	in(5, first, second)
	// By the whole list.
	next.set(func() { next.whole = true })
	fifth := c.target(t)
	next.change(map[string]string{third: "DRAINING", fifth: "SERVING"})
	in(6, first, second, third)
	// And by what is left out there.
	next.change(map[string]string{first: "", second: "", fourth: "DRAINING"})
	in(4, first, second, third, fourth)
	next.set(func() { next.whole = false })
	// All watches fall silent, and it drains right after.
	sixth := c.target(t)
	next.silence()
	next.change(map[string]string{fifth: "DRAINING", sixth: "SERVING"})
	in(5, third, fourth, fifth)
	// They are reset some time before.
	seventh := c.target(t)
	next.CloseClientConnections()
	next.change(map[string]string{sixth: "DRAINING", seventh: "SERVING"})
	in(6, third, fourth, fifth, sixth)
	// In an outage, told at the return.
	eighth := c.target(t)
	next.set(func() { next.down = true })
	next.silence()
	next.change(map[string]string{seventh: "DRAINING", eighth: "SERVING"})
	next.set(func() { next.down = false })
	in(7, third, fourth, fifth, sixth, seventh)
	over.Store(true)
	asked.Wait()
	leave()
	require.NoError(t, <-ended)
}

// inForce waits until so many targets are listed, which the module and the targets' actors know by then.
func inForce(t *testing.T, control string, targets int) {
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

// askAs is ask under a name.
func (w *world) askAs(id string) (int, string) {
	c, err := net.Dial("tcp", w.listen)
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

// TestDrainWhileLeaving has the watch fall silent and targets drain once the initiator has been told to end, with a request open: the list is
// watched for as long as anything is answered. A target that turns the request away hands it on to none that drains by then.
func TestDrainWhileLeaving(t *testing.T) {
	c := newCell()
	one, two := c.target(t), c.target(t)
	p := newPusher(t, 7, map[string]string{one: "SERVING", two: "SERVING"})
	w := &world{listen: freeAddr(t), discovery: p.addr()}
	control := freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(w.config(), `"settings":`, fmt.Sprintf(`"control":%q,"settings":`, control), 1)), 0o600))
	cfg, op, err := instance.Load(func(name string) string { return map[string]string{"PROXY_CONFIG": path}[name] }, "")
	require.NoError(t, err)
	stop, leave := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- instance.Serve(stop, cfg, op, instance.Options{Log: quiet}) }()
	ready(t, "http://"+w.listen+"/-/ready")
	c.held.Store(true)
	release := sync.OnceFunc(func() { c.held.Store(false); close(c.free) })
	defer release()
	answer := make(chan string, 1)
	go func() {
		status, body := w.askAs("open")
		answer <- fmt.Sprint(status, " ", body)
	}()
	at := <-c.waits
	other := one
	if at == one {
		other = two
	}
	leave()
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + control + "/v1/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode != http.StatusOK
	}, time.Minute, time.Millisecond)
	third := c.target(t)
	p.silence()
	p.change(map[string]string{other: "DRAINING", third: "SERVING"})
	inForce(t, control, 3)
	release()
	require.Equal(t, "200 from the target", <-answer)
	require.Empty(t, c.at(other), "sent to a target that drains")
	require.NotEmpty(t, append(c.at(third), c.at(at)[1:]...))
	require.NoError(t, <-ended)
}
