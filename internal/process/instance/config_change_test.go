package instance

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/config"
)

// harness is an initiator that is offered configurations, with a target that answers and a discovery service that counts the requests for
// full lists.
type harness struct {
	t               *testing.T
	addr            string
	discoveryServer *httptest.Server
	fullLists       atomic.Int64
	release         chan struct{} // closed to let the target answer reads of extents that start with f
	blocked         chan struct{} // receives one for each such read at the target
	offers          chan configOffer
	done            chan error
	stop            context.CancelFunc
	log             textBuffer
	lastID          atomic.Int64
}

func (h *harness) newDiscovery(target string) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Has("after") {
			<-q.Context().Done()
			return
		}
		h.fullLists.Add(1)
		fmt.Fprintf(w, `{"version":1,"full":true,"servers":[{"id":"t","addr":%q,"cell":0,"state":"SERVING"}]}`, target)
	}))
	h.t.Cleanup(s.Close)
	return s
}

// startHarness starts the initiator; no configuration is offered yet.
func startHarness(t *testing.T) *harness {
	h := &harness{t: t, addr: newTestSite(t).addrs["listen"], release: make(chan struct{}), blocked: make(chan struct{}, 64), offers: make(chan configOffer), done: make(chan error, 1)}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		if strings.Contains(q.URL.Path, "/f") {
			h.blocked <- struct{}{}
			<-h.release
		}
		fmt.Fprint(w, "whole")
	}))
	t.Cleanup(target.Close)
	h.discoveryServer = h.newDiscovery(strings.TrimPrefix(target.URL, "http://"))
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	log := slog.New(slog.NewTextHandler(&h.log, nil))
	go func() {
		h.done <- serveGenerations(ctx, "", log, nil, func(sourceCtx context.Context, offers chan<- configOffer) {
			for {
				select {
				case <-sourceCtx.Done():
					return
				case o := <-h.offers:
					select {
					case offers <- o:
					case <-sourceCtx.Done():
						o.result <- errStopping
					}
				}
			}
		})
	}()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-h.done)
	})
	return h
}

// configText is a configuration, changed by edit.
func (h *harness) configText(edit func(all, settings map[string]any)) []byte {
	all, set := map[string]any{"name": "n1", "listen": h.addr, "discovery": strings.TrimPrefix(h.discoveryServer.URL, "http://")}, map[string]any{}
	require.NoError(h.t, json.Unmarshal([]byte(settings), &set))
	all["settings"] = set
	if edit != nil {
		edit(all, set)
	}
	text, err := json.Marshal(all)
	require.NoError(h.t, err)
	return text
}

// offerConfig offers a configuration and waits for the result.
func (h *harness) offerConfig(edit func(all, settings map[string]any)) error {
	answer := make(chan error, 1)
	h.offers <- configOffer{agent.Entry{Name: "n1", Version: uint64(h.lastID.Add(1)), Config: h.configText(edit)}, answer}
	return <-answer
}

// testClient is a client with one connection.
type testClient struct {
	t       *testing.T
	harness *harness
	conn    net.Conn
	reader  *bufio.Reader
}

func (h *harness) newClient() *testClient {
	c, err := net.Dial("tcp", h.addr)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(time.Minute))
	return &testClient{h.t, h, c, bufio.NewReader(c)}
}

func (c *testClient) write(class, plan, extent string) {
	c.writeWithID(fmt.Sprint("i", c.harness.lastID.Add(1)), class, plan, extent)
}

func (c *testClient) writeWithID(id, class, plan, extent string) {
	fmt.Fprintf(c.conn, "GET /%s/%s HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nTier: %s\r\nRequest-Timeout-Ms: 20000\r\n"+
		"IO-Info: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\n\r\n", class, extent, id, plan)
}

func (c *testClient) read() (int, string, bool) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err.Error(), true
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), resp.Close
}

func (c *testClient) requestStatus(class, plan string) int {
	c.write(class, plan, "0a00000000000001")
	status, _, _ := c.read()
	return status
}

// waitServing waits until a request is served.
func (h *harness) waitServing() {
	require.Eventually(h.t, func() bool { return h.newClient().requestStatus("position-read", "base") == 200 }, 30*time.Second, 20*time.Millisecond)
}

func classSettings(name string, promise, deadline int) map[string]any {
	return map[string]any{"name": name, "promiseUs": promise, "deadlineUs": deadline, "effect": "pure", "worth": 1}
}

func planSettings(name string) map[string]any {
	return map[string]any{"name": name, "usualRate": 1000, "reservation": 1000, "parts": 1, "pays": 1}
}

// withLongDeadlines sets deadlines that are longer than a test.
func withLongDeadlines(all, settings map[string]any) {
	settings["classes"] = []any{classSettings("position-read", 10_000_000, 20_000_000)}
}

// TestApplyConfigKeepsConnections applies other classes and plans while a request is open: no connection is closed, the request ends as it
// would have, the target list isn't requested again, and exactly the classes and plans of the new configuration are admitted.
func TestApplyConfigKeepsConnections(t *testing.T) {
	h := startHarness(t)
	require.NoError(t, h.offerConfig(withLongDeadlines))
	h.waitServing()
	open, idle := h.newClient(), h.newClient()
	require.Equal(t, 200, idle.requestStatus("position-read", "base"))
	open.write("position-read", "base", "f000000000000001")
	<-h.blocked
	require.Equal(t, 404, h.newClient().requestStatus("export", "base"))
	require.Equal(t, 422, h.newClient().requestStatus("position-read", "gold"))

	require.NoError(t, h.offerConfig(func(all, set map[string]any) {
		set["classes"] = []any{classSettings("export", 10_000_000, 20_000_000)}
		set["contracts"] = []any{planSettings("gold")}
	}))
	require.Equal(t, 200, idle.requestStatus("export", "gold"), "on a connection opened before")
	require.Equal(t, 404, h.newClient().requestStatus("position-read", "gold"))
	require.Equal(t, 422, h.newClient().requestStatus("export", "base"))
	close(h.release)
	status, body, _ := open.read()
	require.Equal(t, "200 whole", fmt.Sprint(status, " ", body))
	require.Equal(t, 200, open.requestStatus("export", "gold"))

	for name, bad := range map[string]func(all, set map[string]any){
		"settings.classes": func(_, set map[string]any) { set["classes"] = []any{} },
		"aim":              func(_, set map[string]any) { set["classes"] = []any{classSettings("x", 0, 1)} },
		"name":             func(all, _ map[string]any) { all["name"] = "n2" },
	} {
		require.Error(t, h.offerConfig(bad), name)
	}
	require.Equal(t, 200, idle.requestStatus("export", "gold"), "an invalid configuration changed something")
	require.EqualValues(t, 1, h.fullLists.Load(), "requests for full lists")
	require.Equal(t, 1, strings.Count(h.log.String(), "msg=serving"))
	require.Equal(t, 1, strings.Count(h.log.String(), "started=false"))
}

// TestApplyConfigUnderLoad has clients send request after request, each on one connection, while two hundred configurations are applied: no
// request is lost or rejected, and no connection is closed.
func TestApplyConfigUnderLoad(t *testing.T) {
	h := startHarness(t)
	variant := func(i int) func(all, set map[string]any) {
		return func(all, set map[string]any) {
			withLongDeadlines(all, set)
			set["classes"] = append(set["classes"].([]any), classSettings(fmt.Sprint("class", i), 5_000_000, 10_000_000))
			base := planSettings("base")
			base["usualRate"] = 1000 + i
			set["contracts"] = []any{base, planSettings(fmt.Sprint("plan", i))}
			set["limits"] = map[string]any{"sendCap": 1 + i%3, "mostHeld": 100 + i, "connIdleUs": 1_000_000 + i}
			all["limits"] = map[string]any{"sockets": 512 + i, "memory_mb": 128 + i}
		}
	}
	require.NoError(t, h.offerConfig(variant(0)))
	h.waitServing()
	var clients sync.WaitGroup
	var stopped atomic.Bool
	var requests atomic.Int64
	for range 8 {
		c := h.newClient()
		clients.Go(func() {
			for !stopped.Load() {
				c.write("position-read", "base", "0a00000000000001")
				if status, body, ends := c.read(); status != 200 || body != "whole" || ends {
					t.Errorf("a request while configurations are applied: %d %q, connection closed: %v", status, body, ends)
					return
				}
				requests.Add(1)
			}
		})
	}
	for i := range 200 {
		require.NoError(t, h.offerConfig(variant(i+1)))
		c := h.newClient()
		require.Equal(t, 200, c.requestStatus(fmt.Sprint("class", i+1), fmt.Sprint("plan", i+1)), "a configuration is in force once the offer is answered")
		require.Equal(t, 404, c.requestStatus(fmt.Sprint("class", i), "base"))
		c.conn.Close()
	}
	stopped.Store(true)
	clients.Wait()
	t.Logf("%d requests while configurations were applied", requests.Load())
	require.Greater(t, requests.Load(), int64(200))
	require.EqualValues(t, 1, h.fullLists.Load(), "requests for full lists")
	require.Equal(t, 1, strings.Count(h.log.String(), "msg=serving"))
}

// TestApplyConfigBounds applies the bound on open requests and the address of discovery: both take effect at once.
func TestApplyConfigBounds(t *testing.T) {
	h := startHarness(t)
	require.NoError(t, h.offerConfig(withLongDeadlines))
	h.waitServing()
	open := []*testClient{h.newClient(), h.newClient()}
	for _, c := range open {
		c.write("position-read", "base", "f000000000000001")
		<-h.blocked
	}
	require.NoError(t, h.offerConfig(func(all, set map[string]any) {
		withLongDeadlines(all, set)
		set["limits"] = map[string]any{"mostHeld": 2}
	}))
	require.Equal(t, 503, h.newClient().requestStatus("position-read", "base"))
	require.NoError(t, h.offerConfig(withLongDeadlines))
	require.Equal(t, 200, h.newClient().requestStatus("position-read", "base"))
	close(h.release)
	for _, c := range open {
		status, _, _ := c.read()
		require.Equal(t, 200, status)
	}
	listsBefore := h.fullLists.Load()
	other := h.newDiscovery("127.0.0.1:1")
	require.NoError(t, h.offerConfig(func(all, set map[string]any) {
		withLongDeadlines(all, set)
		all["discovery"] = strings.TrimPrefix(other.URL, "http://")
	}))
	require.Eventually(t, func() bool { return h.fullLists.Load() > listsBefore }, 30*time.Second, 10*time.Millisecond, "discovery is not called at its new address")
	require.NoError(t, h.offerConfig(nil))
	require.Equal(t, 1, strings.Count(h.log.String(), "msg=serving"))
}

// TestApplyConfigShorterDeadlines shortens the deadlines while a request with a long one is open, and then stops the instance: the stop waits
// for that request, far longer than the new deadlines allow.
func TestApplyConfigShorterDeadlines(t *testing.T) {
	h := startHarness(t)
	require.NoError(t, h.offerConfig(withLongDeadlines))
	h.waitServing()
	c := h.newClient()
	c.write("position-read", "base", "f000000000000001")
	<-h.blocked
	for range 2 { // after the second, the configuration that the request was accepted under isn't the previous one either
		require.NoError(t, h.offerConfig(nil))
	}
	h.stop()
	time.Sleep(stopTimeout(500*time.Millisecond) + 300*time.Millisecond)
	close(h.release)
	status, body, _ := c.read()
	require.Equal(t, "200 whole", fmt.Sprint(status, " ", body))
}

// TestSuccessorAppliesConfig changes an address between configurations that need no restart: a successor serves at the new address and
// applies the configurations that follow.
func TestSuccessorAppliesConfig(t *testing.T) {
	h := startHarness(t)
	require.NoError(t, h.offerConfig(withLongDeadlines))
	h.waitServing()
	first := h.newClient()
	h.addr = newTestSite(t).addrs["listen"]
	require.NoError(t, h.offerConfig(withLongDeadlines))
	h.waitServing()
	require.NoError(t, h.offerConfig(func(all, set map[string]any) {
		withLongDeadlines(all, set)
		set["contracts"] = []any{planSettings("gold")}
	}))
	require.Equal(t, 200, h.newClient().requestStatus("position-read", "gold"))
	require.Equal(t, 200, first.requestStatus("position-read", "base"), "the predecessor stops with its own configuration")
	require.Equal(t, 2, strings.Count(h.log.String(), "msg=serving"))
	require.Equal(t, 1, strings.Count(h.log.String(), "for=listen"))
}

// TestPredecessorWaitsForSlowBody guards against a request that is rejected since a successor in the same process serves, as if SIGKILL were
// near: its body is written for longer than a stop lasts at SIGTERM. Meanwhile the successor alone answers at the control address.
func TestPredecessorWaitsForSlowBody(t *testing.T) {
	const (
		bodyBytes, pieceBytes = 420_000, 4000
		rate                  = 64_000 // bytes a second
		controlCalls          = 30
	)
	onNewConns := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	h := startHarness(t)
	control := newTestSite(t).addrs["control"]
	withControl := func(all, _ map[string]any) { all["control"] = control }
	require.NoError(t, h.offerConfig(withControl))
	h.waitServing()
	slow := h.newClient()
	fmt.Fprintf(slow.conn, "PUT /position-read/0a00000000000001 HTTP/1.1\r\nHost: a\r\nRequest-Id: slow\r\nTier: base\r\nRequest-Timeout-Ms: 500\r\n"+
		"IO-Info: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\nContent-Length: %d\r\n\r\n", bodyBytes)
	_, err := slow.conn.Write(make([]byte, pieceBytes))
	require.NoError(t, err)
	began := time.Now()
	h.addr = newTestSite(t).addrs["listen"]
	require.NoError(t, h.offerConfig(withControl))
	for sent := pieceBytes; sent < bodyBytes; sent += pieceBytes {
		time.Sleep(time.Until(began.Add(time.Duration(sent) * time.Second / rate)))
		_, err := slow.conn.Write(make([]byte, pieceBytes))
		require.NoError(t, err, "after %d bytes", sent)
		if sent == bodyBytes-controlCalls*pieceBytes {
			require.Greater(t, time.Since(began), stopTimeout(500*time.Millisecond))
			require.Equal(t, 1, strings.Count(h.log.String(), `msg="still leaving"`))
		}
		if sent >= bodyBytes-controlCalls*pieceBytes {
			resp, err := onNewConns.Get("http://" + control + "/v1/readyz")
			require.NoError(t, err)
			resp.Body.Close()
			require.Equal(t, http.StatusOK, resp.StatusCode)
		}
	}
	status, body, _ := slow.read()
	require.Equal(t, "200 whole", fmt.Sprint(status, " ", body))
}

// TestGenerationsShareRequestIDs guards against a request that is sent twice while a successor in the same process serves beside its
// predecessor: an ID that is open, or has run, at one of them is a conflict at the other.
func TestGenerationsShareRequestIDs(t *testing.T) {
	h := startHarness(t)
	release := sync.OnceFunc(func() { close(h.release) })
	t.Cleanup(release)
	require.NoError(t, h.offerConfig(withLongDeadlines))
	h.waitServing()
	older := h.newClient()
	older.writeWithID("same", "position-read", "base", "f000000000000001")
	<-h.blocked
	h.addr = newTestSite(t).addrs["listen"]
	require.NoError(t, h.offerConfig(withLongDeadlines))
	h.waitServing()
	requireConflict := func(when string) {
		younger := h.newClient()
		younger.writeWithID("same", "position-read", "base", "0a00000000000001")
		status, body, _ := younger.read()
		require.Equal(t, http.StatusConflict, status, "%s: %s", when, body)
	}
	requireConflict("open at the predecessor")
	release()
	status, body, _ := older.read()
	require.Equal(t, http.StatusOK, status, body)
	requireConflict("it has run")
}

// TestOffersWhileStopping offers configurations until the instance has stopped: each offer is answered, and none delays the stop.
func TestOffersWhileStopping(t *testing.T) {
	h := startHarness(t)
	require.NoError(t, h.offerConfig(nil))
	h.waitServing()
	stopped := make(chan struct{})
	var offerers sync.WaitGroup
	offerers.Go(func() {
		for {
			select {
			case <-stopped:
				return
			default:
			}
			answer := make(chan error, 1)
			select {
			case <-stopped:
				return
			case h.offers <- configOffer{agent.Entry{Name: "n1", Version: 9, Config: h.configText(nil)}, answer}:
				<-answer //nolint:errcheck // rejected or not, the offer was processed
			}
		}
	})
	time.Sleep(50 * time.Millisecond)
	h.stop()
	err := <-h.done
	close(stopped)
	offerers.Wait()
	require.NoError(t, err)
	h.done <- nil
}

// TestRestartReason checks which changes need a restart, and that no others do.
func TestRestartReason(t *testing.T) {
	site := newTestSite(t)
	plain := ""
	fleet := "[fleet]\nagents = [\"127.0.0.1:7\"]\n"
	tasks := fleet + "tasks = [\"watch\"]\n"
	none := func(*config.Config) {}
	for _, c := range []struct {
		name, before, after string
		edit                func(*config.Config)
		want                string
	}{
		{"no change", plain, plain, none, ""},
		{"timeouts and open requests", plain, plain, func(c *config.Config) { c.DialTimeout, c.ConnIdleTimeout, c.MaxOpenRequests = 1, 1, 1 }, ""},
		{"settings", plain, plain, func(c *config.Config) { c.Policy.Initiators, c.Policy.SubscribeToList = 9, true }, ""},
		{"limits", plain, plain, func(c *config.Config) { c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets = 2, 64, 64 }, ""},
		{"discovery", plain, plain, func(c *config.Config) { c.Discovery = "127.0.0.1:9" }, ""},
		{"only used at a start", plain, plain, func(c *config.Config) { c.Seed, c.LastKnownTargets = 7, nil }, ""},
		{"probes without tasks", fleet, fleet, func(c *config.Config) { c.HealthProbes = !c.HealthProbes }, ""},
		{"probes", tasks, tasks, func(c *config.Config) { c.HealthProbes = !c.HealthProbes }, "settings.limits.probes"},
		{"dial", tasks, tasks, func(c *config.Config) { c.DialTimeout++ }, "settings.limits.dialTimeoutUs"},
		{"name", plain, plain, func(c *config.Config) { c.Name = "n2" }, "name"},
		{"listen", plain, plain, func(c *config.Config) { c.Listen = "127.0.0.1:9" }, "listen"},
		{"control", plain, plain, func(c *config.Config) { c.Control = "" }, "control"},
		{"operator's file", plain, fleet, none, "operator's file"},
		{"operator's file is the same", tasks, tasks, none, ""},
		{"NVMe", site.operatorText(), site.operatorText(), none, "operator's file: nvme"},
	} {
		cfg, op := site.loadConfig(c.before)
		next, nextOp := site.loadConfig(c.after)
		c.edit(next)
		require.Equal(t, c.want, restartReason(cfg, next, op, nextOp), c.name)
	}
}

// TestApplyConfigFromFeed changes layers of the feed: an acknowledged configuration is in force, and stored for the next start.
func TestApplyConfigFromFeed(t *testing.T) {
	h := startHarness(t)
	sourceCtx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := &layeredConfig{name: "n1", fleet: "campus", dir: t.TempDir(), log: discardLog, sourceCtx: sourceCtx, offers: h.offers}
	shared := string(h.configText(withLongDeadlines))
	require.NoError(t, l.applyLayers(sharedLayer(shared), 1))
	h.waitServing()
	require.NoError(t, l.applyLayers(sharedLayer(strings.Replace(shared, `"base"`, `"gold"`, 1)), 2))
	require.Equal(t, 200, h.newClient().requestStatus("position-read", "gold"))
	require.Error(t, l.applyLayers(sharedLayer(`{"listen":"nowhere"}`), 3))
	require.Equal(t, 200, h.newClient().requestStatus("position-read", "gold"))
	require.FileExists(t, filepath.Join(l.dir, lastConfigFile))
	require.Equal(t, 1, strings.Count(h.log.String(), "msg=serving"))
}

func sharedLayer(shared string) []watchstream.Record {
	return []watchstream.Record{{Kind: watchstream.Config, Key: "shared", Version: 1, Value: json.RawMessage(shared)}}
}
