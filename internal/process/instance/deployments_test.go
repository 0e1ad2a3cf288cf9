package instance

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/process/config"
)

// heard keeps all that is said somewhere.
type textBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (h *textBuffer) Write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.text.Write(b)
}

func (h *textBuffer) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.text.String()
}

// deployment is one customer's: a target of its own that keeps what it is sent, and all that the instance says there.
type deployment struct {
	t                 *testing.T
	mark              string // in all that is this customer's alone
	addrs             map[string]string
	output, targetLog textBuffer // by the instance to clients, staff and its log; to the target
	attempts          sync.Map
	openConns         atomic.Int64 // connections at the target
	arrived, unblock  chan struct{}
	releaseHeld       func() // what is held
	client            http.Client
}

// keys that the target does something odd at.
const (
	failsOnceExtent = "00000000000000e0"
	blockedExtent   = "00000000000000b0"
)

// ServeHTTP is the target: it answers with its customer's mark and what it was sent.
func (d *deployment) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(&d.targetLog, "%s %s\n%s\n%v\n", r.Method, r.RequestURI, body, r.Header)
	n, _ := d.attempts.LoadOrStore(r.Header.Get("Request-Id"), new(atomic.Int64))
	switch again := n.(*atomic.Int64).Add(1); {
	case strings.HasSuffix(r.URL.Path, failsOnceExtent) && again == 1:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case strings.HasSuffix(r.URL.Path, blockedExtent):
		close(d.arrived)
		<-d.unblock
	}
	fmt.Fprintf(w, "%s:%s", d.mark, body)
}

// ask sends a request and tells how it was answered.
func (d *deployment) request(method, path, plan, id, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+d.addrs["listen"]+path, strings.NewReader(body))
	require.NoError(d.t, err)
	req.Header = http.Header{"Request-Id": {id}, "Idempotency-Key": {d.mark + "-" + id}, "Tier": {plan}, "Request-Timeout-Ms": {"1500"},
		"Io-Info": {"volume=" + volumeID(d.mark) + ",units=1,shard=0,hosts=1"}}
	resp, err := d.client.Do(req)
	require.NoError(d.t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	require.NoError(d.t, err)
	return resp.StatusCode, string(answer)
}

// served asks for what has to be served, as this customer's target answers it.
func (d *deployment) requireServed(method, path, id, body string) {
	status, answer := d.request(method, path, "shared", id, body)
	fmt.Fprintln(&d.output, answer)
	require.Equal(d.t, http.StatusOK, status, answer)
	require.True(d.t, answer == d.mark+":"+body, "%s answered with %.60q", path, answer)
}

// page keeps what a page for staff says.
func (d *deployment) fetchPage(url string) string {
	resp, err := http.Get("http://" + url)
	require.NoError(d.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(d.t, err)
	_, _ = d.output.Write(text)
	return string(text)
}

func volumeID(mark string) string { return fmt.Sprintf("%016x", mark) }

// deploy runs an instance for one customer while play lasts, and until it has left.
func runDeployment(t *testing.T, mark, limits, settings string, play func(*deployment)) *deployment {
	d := &deployment{t: t, mark: mark, addrs: newTestSite(t).addrs, arrived: make(chan struct{}), unblock: make(chan struct{}),
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	d.releaseHeld = sync.OnceFunc(func() { close(d.unblock) })
	target := httptest.NewUnstartedServer(d)
	target.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			d.openConns.Add(1)
		case http.StateClosed:
			d.openConns.Add(-1)
		}
	}
	target.Start()
	t.Cleanup(target.Close)
	t.Cleanup(d.releaseHeld)
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"version":1,"full":true,"servers":[{"id":"%s-t","addr":%q,"cell":0,"state":"SERVING"}]}`, mark, target.Listener.Addr())
	}))
	t.Cleanup(list.Close)
	cfg, err := config.Parse(fmt.Appendf(nil, `{"name":"%s-n","listen":%q,"control":%q,"discovery":%q,"limits":%s,"settings":%s}`, mark,
		d.addrs["listen"], d.addrs["control"], list.Listener.Addr(), limits, settings), func(string) string { return "" })
	require.NoError(t, err)
	op := &config.OperatorFile{Accounts: &config.Accounts{Listen: d.addrs["accounts"], WindowS: 3600, Keep: 1, Volumes: 16, Pairs: 16, Open: 16, Log: true}}
	stop, leave := context.WithCancel(context.Background())
	defer leave()
	up, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		ended <- Serve(stop, cfg, op, Options{Log: slog.New(slog.NewTextHandler(&d.output, nil)), OnListening: func() { close(up) }})
	}()
	select {
	case <-up:
	case err := <-ended:
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + d.addrs["listen"] + "/-/ready")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil && resp.StatusCode == http.StatusOK
	}, 20*time.Second, 5*time.Millisecond)
	play(d)
	leave()
	require.NoError(t, <-ended)
	return d
}

// TestTwoDeployments runs two customers' instances in one process, one after the other, with names in common that mean other things.
// The second keeps to its own settings, and nothing of the first is told to its target, clients or staff, or stands in its log.
func TestTwoDeployments(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	classes := func(item, other string) string {
		return fmt.Sprintf(`{"peersTotal":1,"tickUs":2000,"classes":[{"name":"item","promiseUs":1500000,"deadlineUs":1500000,"effect":%q,"worth":1},
{"name":%q,"promiseUs":1500000,"deadlineUs":1500000,"effect":"pure","worth":1}],"contracts":[{"name":"shared","usualRate":1000,"reservation":1000,"parts":1,
"pays":1},{"name":"%[2]s-plan","usualRate":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8},"limits":{"sendCap":3,"mostHeld":`, item, other)
	}
	// Larger than what is held whole, so that they pass through the buffers that all share; the second one ends in the middle of one.
	large := func(mark string, n int) string { return strings.Repeat(mark+" ", n/len(mark))[:n] }

	first := runDeployment(t, "firstcus", `{"cores":3,"memory_mb":256,"sockets":1024}`, classes("pure", "firstcus-class")+"100}}", func(d *deployment) {
		d.requireServed("PUT", "/item/0000000000000001", "one", "firstcus body")
		d.requireServed("PUT", "/firstcus-class/0000000000000002", "two", large(d.mark, 200<<10))
		d.requireServed("GET", "/item/"+failsOnceExtent, "same", "") // again, as its class may be
		require.Contains(t, d.fetchPage(d.addrs["control"]+"/v1/metrics"), "replies.firstcus-class.success:1|c")
		require.Contains(t, d.fetchPage(d.addrs["accounts"]+"/accounts"), volumeID("firstcus"))
		require.Equal(t, 3, runtime.GOMAXPROCS(0))
	})
	require.Contains(t, first.output.String()+first.targetLog.String(), "firstcus")

	second := runDeployment(t, "nextcust", `{"cores":1,"memory_mb":96,"sockets":512}`, classes("side_effect", "nextcust-class")+"1}}", func(d *deployment) {
		require.Equal(t, 1, runtime.GOMAXPROCS(0))
		require.EqualValues(t, 96<<20*7/10, debug.SetMemoryLimit(-1))
		d.requireServed("PUT", "/item/0000000000000001", "one", "nextcust body") // a name that may have run at the first
		d.requireServed("PUT", "/nextcust-class/0000000000000002", "two", large(d.mark, 100<<10+77))
		status, answer := d.request("GET", "/item/"+failsOnceExtent, "shared", "same", "")
		require.Equal(t, http.StatusBadGateway, status, "a class that may not run twice")
		fmt.Fprintln(&d.output, answer)
		status, _ = d.request("GET", "/firstcus-class/0000000000000003", "shared", "three", "")
		require.Equal(t, http.StatusNotFound, status, "a class of the other's")
		status, _ = d.request("GET", "/item/0000000000000003", "firstcus-class-plan", "four", "")
		require.Equal(t, http.StatusUnprocessableEntity, status, "a plan of the other's")
		held := make(chan int)
		go func() {
			status, _ := d.request("GET", "/item/"+blockedExtent, "shared", "five", "")
			held <- status
		}()
		<-d.arrived
		status, _ = d.request("GET", "/item/0000000000000004", "shared", "six", "")
		require.Equal(t, http.StatusServiceUnavailable, status, "more than this one may hold")
		d.releaseHeld()
		require.Equal(t, http.StatusOK, <-held)
		n, _ := d.attempts.Load("same")
		require.EqualValues(t, 1, n.(*atomic.Int64).Load())
		require.Contains(t, d.fetchPage(d.addrs["control"]+"/v1/metrics"), "replies.nextcust-class.success:1|c")
		require.Contains(t, d.fetchPage(d.addrs["accounts"]+"/accounts"), volumeID("nextcust"))
	})
	for _, all := range []string{second.output.String(), second.targetLog.String()} {
		require.Contains(t, all, "nextcust")
		require.NotContains(t, all, "firstcus")
		require.NotContains(t, all, volumeID("firstcus"))
	}
	require.NotContains(t, first.targetLog.String(), "nextcust")
	require.Eventually(t, func() bool { return first.openConns.Load()+second.openConns.Load() == 0 }, 20*time.Second, 5*time.Millisecond,
		"connections stay open at the target of an instance that has left")
	for _, id := range []string{"one", "two", "same"} { // held, gone ahead of its request, without a body
		require.Contains(t, second.targetLog.String(), "Idempotency-Key:[nextcust-"+id+"]")
	}
}

// TestOddSettingsAreServed starts with settings that are odd and allowed: one class, keyed without a group, plans that are owed nothing
// and pay nothing, no prices, no bounds, connections that may not rest, and figures that nobody knows.
func TestUnusualSettingsAreServed(t *testing.T) {
	runDeployment(t, "oddcusto", `{}`, `{"peersTotal":1,"prices":{"handshake":0,"newPrice":2},"newFigure":[{}],"classes":[{"name":"item","promiseUs":1500000,
"deadlineUs":1500000,"effect":"token","windowUs":1,"worth":0,"aimStretch":1.5}],"contracts":[{"name":"shared"}],"limits":{"connIdleUs":1}}`, func(d *deployment) {
		for i := range 20 {
			d.requireServed("PUT", "/item/0000000000000001", fmt.Sprint("id", i), "oddcusto body")
		}
	})
}
