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

// running is an initiator that is offered configurations, with a target that answers and a discovery that is asked for whole lists.
type harness struct {
	t               *testing.T
	addr            string
	discoveryServer *httptest.Server
	fullLists       atomic.Int64
	release         chan struct{} // reads of an extent that starts with f wait for it
	blocked         chan struct{}
	offers          chan configOffer
	done            chan error
	stop            context.CancelFunc
	log             textBuffer
	lastID          atomic.Int64
}

func (r *harness) newDiscovery(target string) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Has("after") {
			<-q.Context().Done()
			return
		}
		r.fullLists.Add(1)
		fmt.Fprintf(w, `{"version":1,"full":true,"servers":[{"id":"t","addr":%q,"cell":0,"state":"SERVING"}]}`, target)
	}))
	r.t.Cleanup(s.Close)
	return s
}

// run starts it; nothing is offered yet.
func startHarness(t *testing.T) *harness {
	r := &harness{t: t, addr: newTestSite(t).addrs["listen"], release: make(chan struct{}), blocked: make(chan struct{}, 64), offers: make(chan configOffer), done: make(chan error, 1)}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if strings.Contains(q.URL.Path, "/f") {
			r.blocked <- struct{}{}
			<-r.release
		}
		fmt.Fprint(w, "whole")
	}))
	t.Cleanup(target.Close)
	r.discoveryServer = r.newDiscovery(strings.TrimPrefix(target.URL, "http://"))
	stop, leave := context.WithCancel(context.Background())
	r.stop = leave
	log := slog.New(slog.NewTextHandler(&r.log, nil))
	go func() {
		r.done <- serveGenerations(stop, "", log, nil, func(watch context.Context, offers chan<- configOffer) {
			for {
				select {
				case <-watch.Done():
					return
				case o := <-r.offers:
					select {
					case offers <- o:
					case <-watch.Done():
						o.result <- errStopping
					}
				}
			}
		})
	}()
	t.Cleanup(func() {
		leave()
		require.NoError(t, <-r.done)
	})
	return r
}

// text is a configuration with an edit of its settings.
func (r *harness) configText(edit func(all, settings map[string]any)) []byte {
	all, set := map[string]any{"name": "n1", "listen": r.addr, "discovery": strings.TrimPrefix(r.discoveryServer.URL, "http://")}, map[string]any{}
	require.NoError(r.t, json.Unmarshal([]byte(settings), &set))
	all["settings"] = set
	if edit != nil {
		edit(all, set)
	}
	text, err := json.Marshal(all)
	require.NoError(r.t, err)
	return text
}

// offer waits for what becomes of a configuration.
func (r *harness) offerConfig(edit func(all, settings map[string]any)) error {
	answer := make(chan error, 1)
	r.offers <- configOffer{agent.Entry{Name: "n1", Version: uint64(r.lastID.Add(1)), Config: r.configText(edit)}, answer}
	return <-answer
}

// client is a client with one connection.
type testClient struct {
	t       *testing.T
	harness *harness
	conn    net.Conn
	reader  *bufio.Reader
}

func (r *harness) newClient() *testClient {
	c, err := net.Dial("tcp", r.addr)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(time.Minute))
	return &testClient{r.t, r, c, bufio.NewReader(c)}
}

func (c *testClient) write(class, plan, extent string) {
	fmt.Fprintf(c.conn, "GET /%s/%s HTTP/1.1\r\nHost: a\r\nRequest-Id: i%d\r\nTier: %s\r\nRequest-Timeout-Ms: 20000\r\n"+
		"IO-Info: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\n\r\n", class, extent, c.harness.lastID.Add(1), plan)
}

func (c *testClient) read() (int, string, bool) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err.Error(), true
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), resp.Close
}

func (c *testClient) status(class, plan string) int {
	c.write(class, plan, "0a00000000000001")
	status, _, _ := c.read()
	return status
}

// served waits until a first request is.
func (r *harness) waitServing() {
	require.Eventually(r.t, func() bool { return r.newClient().status("position-read", "base") == 200 }, 30*time.Second, 20*time.Millisecond)
}

func classSettings(name string, promise, deadline int) map[string]any {
	return map[string]any{"name": name, "promiseUs": promise, "deadlineUs": deadline, "effect": "pure", "worth": 1}
}

func planSettings(name string) map[string]any {
	return map[string]any{"name": name, "usualRate": 1000, "reservation": 1000, "parts": 1, "pays": 1}
}

// patient lets requests be open for as long as a test takes.
func withLongDeadlines(all, settings map[string]any) {
	settings["classes"] = []any{classSettings("position-read", 10_000_000, 20_000_000)}
}

// TestAdopts takes over other classes and plans while a request is open: its connection and all others stay, it ends as it would have, the
// list is not asked for again, and what clients may name is what the configuration says, whole.
func TestApplyConfigKeepsConnections(t *testing.T) {
	r := startHarness(t)
	require.NoError(t, r.offerConfig(withLongDeadlines))
	r.waitServing()
	open, resting := r.newClient(), r.newClient()
	require.Equal(t, 200, resting.status("position-read", "base"))
	open.write("position-read", "base", "f000000000000001")
	<-r.blocked
	require.Equal(t, 404, r.newClient().status("export", "base"))
	require.Equal(t, 422, r.newClient().status("position-read", "gold"))

	require.NoError(t, r.offerConfig(func(all, set map[string]any) {
		set["classes"] = []any{classSettings("export", 10_000_000, 20_000_000)}
		set["contracts"] = []any{planSettings("gold")}
	}))
	require.Equal(t, 200, resting.status("export", "gold"), "on a connection from before")
	require.Equal(t, 404, r.newClient().status("position-read", "gold"))
	require.Equal(t, 422, r.newClient().status("export", "base"))
	close(r.release)
	status, body, _ := open.read()
	require.Equal(t, "200 whole", fmt.Sprint(status, " ", body))
	require.Equal(t, 200, open.status("export", "gold"))

	for name, bad := range map[string]func(all, set map[string]any){
		"settings.classes": func(_, set map[string]any) { set["classes"] = []any{} },
		"aim":              func(_, set map[string]any) { set["classes"] = []any{classSettings("x", 0, 1)} },
		"name":             func(all, _ map[string]any) { all["name"] = "n2" },
	} {
		require.Error(t, r.offerConfig(bad), name)
	}
	require.Equal(t, 200, resting.status("export", "gold"), "what cannot be served changes nothing")
	require.EqualValues(t, 1, r.fullLists.Load(), "whole lists")
	require.Equal(t, 1, strings.Count(r.log.String(), "msg=serving"))
	require.Equal(t, 1, strings.Count(r.log.String(), "started=false"))
}

// TestAdoptsUnderLoad has clients go on with request after request, each on one connection, while two hundred configurations come: none is
// lost, refused or turned away, and no connection ends.
func TestApplyConfigUnderLoad(t *testing.T) {
	r := startHarness(t)
	wide := func(i int) func(all, set map[string]any) {
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
	require.NoError(t, r.offerConfig(wide(0)))
	r.waitServing()
	var clients sync.WaitGroup
	var over atomic.Bool
	var asked atomic.Int64
	for range 8 {
		c := r.newClient()
		clients.Go(func() {
			for !over.Load() {
				c.write("position-read", "base", "0a00000000000001")
				if status, body, ends := c.read(); status != 200 || body != "whole" || ends {
					t.Errorf("a request meanwhile: %d %q, ends %v", status, body, ends)
					return
				}
				asked.Add(1)
			}
		})
	}
	for i := range 200 {
		require.NoError(t, r.offerConfig(wide(i+1)))
		c := r.newClient()
		require.Equal(t, 200, c.status(fmt.Sprint("class", i+1), fmt.Sprint("plan", i+1)), "in force once it is answered")
		require.Equal(t, 404, c.status(fmt.Sprint("class", i), "base"))
		c.conn.Close()
	}
	over.Store(true)
	clients.Wait()
	t.Logf("%d requests meanwhile", asked.Load())
	require.Greater(t, asked.Load(), int64(200))
	require.EqualValues(t, 1, r.fullLists.Load(), "whole lists")
	require.Equal(t, 1, strings.Count(r.log.String(), "msg=serving"))
}

// TestAdoptsBounds has bounds come that hold at once: how many requests may be open, and where discovery is.
func TestApplyConfigBounds(t *testing.T) {
	r := startHarness(t)
	require.NoError(t, r.offerConfig(withLongDeadlines))
	r.waitServing()
	held := []*testClient{r.newClient(), r.newClient()}
	for _, c := range held {
		c.write("position-read", "base", "f000000000000001")
		<-r.blocked
	}
	require.NoError(t, r.offerConfig(func(all, set map[string]any) {
		withLongDeadlines(all, set)
		set["limits"] = map[string]any{"mostHeld": 2}
	}))
	require.Equal(t, 503, r.newClient().status("position-read", "base"))
	require.NoError(t, r.offerConfig(withLongDeadlines))
	require.Equal(t, 200, r.newClient().status("position-read", "base"))
	close(r.release)
	for _, c := range held {
		status, _, _ := c.read()
		require.Equal(t, 200, status)
	}
	asked := r.fullLists.Load()
	other := r.newDiscovery("127.0.0.1:1")
	require.NoError(t, r.offerConfig(func(all, set map[string]any) {
		withLongDeadlines(all, set)
		all["discovery"] = strings.TrimPrefix(other.URL, "http://")
	}))
	require.Eventually(t, func() bool { return r.fullLists.Load() > asked }, 30*time.Second, 10*time.Millisecond, "it is not asked where it is now")
	require.NoError(t, r.offerConfig(nil))
	require.Equal(t, 1, strings.Count(r.log.String(), "msg=serving"))
}

// TestAdoptsShorterDeadlines has clients' time become short while a request is open that came with a long one, and the process leave: it is
// answered before the process ends, however much later than any that comes now.
func TestApplyConfigShorterDeadlines(t *testing.T) {
	r := startHarness(t)
	require.NoError(t, r.offerConfig(withLongDeadlines))
	r.waitServing()
	c := r.newClient()
	c.write("position-read", "base", "f000000000000001")
	<-r.blocked
	for range 2 { // the second is not the one that it came under either
		require.NoError(t, r.offerConfig(nil))
	}
	r.stop()
	time.Sleep(stopTimeout(500*time.Millisecond) + 300*time.Millisecond)
	close(r.release)
	status, body, _ := c.read()
	require.Equal(t, "200 whole", fmt.Sprint(status, " ", body))
}

// TestAdoptsInTurn has an address change between configurations that need no start: a successor serves there, and takes over what follows.
func TestSuccessorAppliesConfig(t *testing.T) {
	r := startHarness(t)
	require.NoError(t, r.offerConfig(withLongDeadlines))
	r.waitServing()
	first := r.newClient()
	r.addr = newTestSite(t).addrs["listen"]
	require.NoError(t, r.offerConfig(withLongDeadlines))
	r.waitServing()
	require.NoError(t, r.offerConfig(func(all, set map[string]any) {
		withLongDeadlines(all, set)
		set["contracts"] = []any{planSettings("gold")}
	}))
	require.Equal(t, 200, r.newClient().status("position-read", "gold"))
	require.Equal(t, 200, first.status("position-read", "base"), "the predecessor leaves by its own configuration")
	require.Equal(t, 2, strings.Count(r.log.String(), "msg=serving"))
	require.Equal(t, 1, strings.Count(r.log.String(), "for=listen"))
}

// TestAdoptsWhileLeaving has configurations come until the process has left: each is answered, and none keeps it.
func TestOffersWhileStopping(t *testing.T) {
	r := startHarness(t)
	require.NoError(t, r.offerConfig(nil))
	r.waitServing()
	over := make(chan struct{})
	var offering sync.WaitGroup
	offering.Go(func() {
		for {
			select {
			case <-over:
				return
			default:
			}
			answer := make(chan error, 1)
			select {
			case <-over:
				return
			case r.offers <- configOffer{agent.Entry{Name: "n1", Version: 9, Config: r.configText(nil)}, answer}:
				<-answer //nolint:errcheck // rejected or not, the offer was processed
			}
		}
	})
	time.Sleep(50 * time.Millisecond)
	r.stop()
	err := <-r.done
	close(over)
	offering.Wait()
	require.NoError(t, err)
	r.done <- nil
}

// TestNeedsStart names what can't be taken over, and nothing else does.
func TestRestartReason(t *testing.T) {
	s := newTestSite(t)
	plain := ""
	fleet := "[fleet]\nagents = [\"127.0.0.1:7\"]\n"
	tasks := fleet + "tasks = [\"watch\"]\n"
	none := func(*config.Config) {}
	for _, c := range []struct {
		name, before, after string
		edit                func(*config.Config)
		want                string
	}{
		{"nothing", plain, plain, none, ""},
		{"times", plain, plain, func(c *config.Config) { c.DialTimeout, c.ConnIdleTimeout, c.MaxOpenRequests = 1, 1, 1 }, ""},
		{"settings", plain, plain, func(c *config.Config) { c.Policy.Initiators, c.Policy.SubscribeToList = 9, true }, ""},
		{"limits", plain, plain, func(c *config.Config) { c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets = 2, 64, 64 }, ""},
		{"discovery", plain, plain, func(c *config.Config) { c.Discovery = "127.0.0.1:9" }, ""},
		{"for a start alone", plain, plain, func(c *config.Config) { c.Seed, c.LastKnownTargets = 7, nil }, ""},
		{"probes without tasks", fleet, fleet, func(c *config.Config) { c.HealthProbes = !c.HealthProbes }, ""},
		{"probes", tasks, tasks, func(c *config.Config) { c.HealthProbes = !c.HealthProbes }, "settings.limits.probes"},
		{"dial", tasks, tasks, func(c *config.Config) { c.DialTimeout++ }, "settings.limits.dialTimeoutUs"},
		{"name", plain, plain, func(c *config.Config) { c.Name = "n2" }, "name"},
		{"listen", plain, plain, func(c *config.Config) { c.Listen = "127.0.0.1:9" }, "listen"},
		{"control", plain, plain, func(c *config.Config) { c.Control = "" }, "control"},
		{"operator's file", plain, fleet, none, "operator's file"},
		{"operator's file is the same", tasks, tasks, none, ""},
		{"NVMe", s.operatorText(), s.operatorText(), none, "operator's file: nvme"},
	} {
		cfg, op := s.loadConfig(c.before)
		next, nextOp := s.loadConfig(c.after)
		c.edit(next)
		require.Equal(t, c.want, restartReason(cfg, next, op, nextOp), c.name)
	}
}

// TestAdoptsByFeed has layers of the feed change: what is acknowledged is in force, and kept for the next start.
func TestApplyConfigFromFeed(t *testing.T) {
	r := startHarness(t)
	watch, stop := context.WithCancel(t.Context())
	defer stop()
	l := &layeredConfig{name: "n1", fleet: "campus", dir: t.TempDir(), log: discardLog, sourceCtx: watch, offers: r.offers}
	shared := string(r.configText(withLongDeadlines))
	require.NoError(t, l.applyLayers(sharedLayer(shared), 1))
	r.waitServing()
	require.NoError(t, l.applyLayers(sharedLayer(strings.Replace(shared, `"base"`, `"gold"`, 1)), 2))
	require.Equal(t, 200, r.newClient().status("position-read", "gold"))
	require.Error(t, l.applyLayers(sharedLayer(`{"listen":"nowhere"}`), 3))
	require.Equal(t, 200, r.newClient().status("position-read", "gold"))
	require.FileExists(t, filepath.Join(l.dir, lastConfigFile))
	require.Equal(t, 1, strings.Count(r.log.String(), "msg=serving"))
}

func sharedLayer(shared string) []watchstream.Record {
	return []watchstream.Record{{Kind: watchstream.Config, Key: "shared", Version: 1, Value: json.RawMessage(shared)}}
}
