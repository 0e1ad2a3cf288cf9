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
type running struct {
	t      *testing.T
	addr   string
	found  *httptest.Server
	wholes atomic.Int64
	hold   chan struct{} // reads of an extent that starts with f wait for it
	held   chan struct{}
	offers chan offer
	ended  chan error
	leave  context.CancelFunc
	log    heard
	serial atomic.Int64
}

func (r *running) discovery(target string) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Has("after") {
			<-q.Context().Done()
			return
		}
		r.wholes.Add(1)
		fmt.Fprintf(w, `{"version":1,"full":true,"servers":[{"id":"t","addr":%q,"cell":0,"state":"SERVING"}]}`, target)
	}))
	r.t.Cleanup(s.Close)
	return s
}

// run starts it; nothing is offered yet.
func run(t *testing.T) *running {
	r := &running{t: t, addr: newSite(t).addrs["listen"], hold: make(chan struct{}), held: make(chan struct{}, 64), offers: make(chan offer), ended: make(chan error, 1)}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if strings.Contains(q.URL.Path, "/f") {
			r.held <- struct{}{}
			<-r.hold
		}
		fmt.Fprint(w, "whole")
	}))
	t.Cleanup(target.Close)
	r.found = r.discovery(strings.TrimPrefix(target.URL, "http://"))
	stop, leave := context.WithCancel(context.Background())
	r.leave = leave
	log := slog.New(slog.NewTextHandler(&r.log, nil))
	go func() {
		r.ended <- succession(stop, "", log, nil, func(watch context.Context, offers chan<- offer) {
			for {
				select {
				case <-watch.Done():
					return
				case o := <-r.offers:
					select {
					case offers <- o:
					case <-watch.Done():
						o.answer <- errLeaving
					}
				}
			}
		})
	}()
	t.Cleanup(func() {
		leave()
		require.NoError(t, <-r.ended)
	})
	return r
}

// text is a configuration with an edit of its settings.
func (r *running) text(edit func(all, settings map[string]any)) []byte {
	all, set := map[string]any{"name": "n1", "listen": r.addr, "discovery": strings.TrimPrefix(r.found.URL, "http://")}, map[string]any{}
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
func (r *running) offer(edit func(all, settings map[string]any)) error {
	answer := make(chan error, 1)
	r.offers <- offer{agent.Entry{Name: "n1", Version: uint64(r.serial.Add(1)), Config: r.text(edit)}, answer}
	return <-answer
}

// client is a client with one connection.
type client struct {
	t *testing.T
	r *running
	c net.Conn
	b *bufio.Reader
}

func (r *running) client() *client {
	c, err := net.Dial("tcp", r.addr)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(time.Minute))
	return &client{r.t, r, c, bufio.NewReader(c)}
}

func (c *client) write(class, plan, extent string) {
	fmt.Fprintf(c.c, "GET /%s/%s HTTP/1.1\r\nHost: a\r\nRequest-Id: i%d\r\nTier: %s\r\nRequest-Timeout-Ms: 20000\r\n"+
		"IO-Info: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\n\r\n", class, extent, c.r.serial.Add(1), plan)
}

func (c *client) read() (int, string, bool) {
	resp, err := http.ReadResponse(c.b, nil)
	if err != nil {
		return 0, err.Error(), true
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), resp.Close
}

func (c *client) ask(class, plan string) int {
	c.write(class, plan, "0a00000000000001")
	status, _, _ := c.read()
	return status
}

// served waits until a first request is.
func (r *running) served() {
	require.Eventually(r.t, func() bool { return r.client().ask("position-read", "base") == 200 }, 30*time.Second, 20*time.Millisecond)
}

func class(name string, promise, deadline int) map[string]any {
	return map[string]any{"name": name, "promiseUs": promise, "deadlineUs": deadline, "effect": "pure", "worth": 1}
}

func plan(name string) map[string]any {
	return map[string]any{"name": name, "usualRate": 1000, "reservation": 1000, "parts": 1, "pays": 1}
}

// patient lets requests be open for as long as a test takes.
func patient(all, settings map[string]any) {
	settings["classes"] = []any{class("position-read", 10_000_000, 20_000_000)}
}

// TestAdopts takes over other classes and plans while a request is open: its connection and all others stay, it ends as it would have, the
// list is not asked for again, and what clients may name is what the configuration says, whole.
func TestAdopts(t *testing.T) {
	r := run(t)
	require.NoError(t, r.offer(patient))
	r.served()
	open, resting := r.client(), r.client()
	require.Equal(t, 200, resting.ask("position-read", "base"))
	open.write("position-read", "base", "f000000000000001")
	<-r.held
	require.Equal(t, 404, r.client().ask("export", "base"))
	require.Equal(t, 422, r.client().ask("position-read", "gold"))

	require.NoError(t, r.offer(func(all, set map[string]any) {
		set["classes"] = []any{class("export", 10_000_000, 20_000_000)}
		set["contracts"] = []any{plan("gold")}
	}))
	require.Equal(t, 200, resting.ask("export", "gold"), "on a connection from before")
	require.Equal(t, 404, r.client().ask("position-read", "gold"))
	require.Equal(t, 422, r.client().ask("export", "base"))
	close(r.hold)
	status, body, _ := open.read()
	require.Equal(t, "200 whole", fmt.Sprint(status, " ", body))
	require.Equal(t, 200, open.ask("export", "gold"))

	for name, bad := range map[string]func(all, set map[string]any){
		"settings.classes": func(_, set map[string]any) { set["classes"] = []any{} },
		"aim":              func(_, set map[string]any) { set["classes"] = []any{class("x", 0, 1)} },
		"name":             func(all, _ map[string]any) { all["name"] = "n2" },
	} {
		require.Error(t, r.offer(bad), name)
	}
	require.Equal(t, 200, resting.ask("export", "gold"), "what cannot be served changes nothing")
	require.EqualValues(t, 1, r.wholes.Load(), "whole lists")
	require.Equal(t, 1, strings.Count(r.log.String(), "msg=serving"))
	require.Equal(t, 1, strings.Count(r.log.String(), "started=false"))
}

// TestAdoptsUnderLoad has clients go on with request after request, each on one connection, while two hundred configurations come: none is
// lost, refused or turned away, and no connection ends.
func TestAdoptsUnderLoad(t *testing.T) {
	r := run(t)
	wide := func(i int) func(all, set map[string]any) {
		return func(all, set map[string]any) {
			patient(all, set)
			set["classes"] = append(set["classes"].([]any), class(fmt.Sprint("class", i), 5_000_000, 10_000_000))
			base := plan("base")
			base["usualRate"] = 1000 + i
			set["contracts"] = []any{base, plan(fmt.Sprint("plan", i))}
			set["limits"] = map[string]any{"sendCap": 1 + i%3, "mostHeld": 100 + i, "connIdleUs": 1_000_000 + i}
			all["limits"] = map[string]any{"sockets": 512 + i, "memory_mb": 128 + i}
		}
	}
	require.NoError(t, r.offer(wide(0)))
	r.served()
	var clients sync.WaitGroup
	var over atomic.Bool
	var asked atomic.Int64
	for range 8 {
		c := r.client()
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
		require.NoError(t, r.offer(wide(i+1)))
		c := r.client()
		require.Equal(t, 200, c.ask(fmt.Sprint("class", i+1), fmt.Sprint("plan", i+1)), "in force once it is answered")
		require.Equal(t, 404, c.ask(fmt.Sprint("class", i), "base"))
		c.c.Close()
	}
	over.Store(true)
	clients.Wait()
	t.Logf("%d requests meanwhile", asked.Load())
	require.Greater(t, asked.Load(), int64(200))
	require.EqualValues(t, 1, r.wholes.Load(), "whole lists")
	require.Equal(t, 1, strings.Count(r.log.String(), "msg=serving"))
}

// TestAdoptsBounds has bounds come that hold at once: how many requests may be open, and where discovery is.
func TestAdoptsBounds(t *testing.T) {
	r := run(t)
	require.NoError(t, r.offer(patient))
	r.served()
	held := []*client{r.client(), r.client()}
	for _, c := range held {
		c.write("position-read", "base", "f000000000000001")
		<-r.held
	}
	require.NoError(t, r.offer(func(all, set map[string]any) {
		patient(all, set)
		set["limits"] = map[string]any{"mostHeld": 2}
	}))
	require.Equal(t, 503, r.client().ask("position-read", "base"))
	require.NoError(t, r.offer(patient))
	require.Equal(t, 200, r.client().ask("position-read", "base"))
	close(r.hold)
	for _, c := range held {
		status, _, _ := c.read()
		require.Equal(t, 200, status)
	}
	asked := r.wholes.Load()
	other := r.discovery("127.0.0.1:1")
	require.NoError(t, r.offer(func(all, set map[string]any) {
		patient(all, set)
		all["discovery"] = strings.TrimPrefix(other.URL, "http://")
	}))
	require.Eventually(t, func() bool { return r.wholes.Load() > asked }, 30*time.Second, 10*time.Millisecond, "it is not asked where it is now")
	require.NoError(t, r.offer(nil))
	require.Equal(t, 1, strings.Count(r.log.String(), "msg=serving"))
}

// TestAdoptsShorterDeadlines has clients' time become short while a request is open that came with a long one, and the process leave: it is
// answered before the process ends, however much later than any that comes now.
func TestAdoptsShorterDeadlines(t *testing.T) {
	r := run(t)
	require.NoError(t, r.offer(patient))
	r.served()
	c := r.client()
	c.write("position-read", "base", "f000000000000001")
	<-r.held
	for range 2 { // the second is not the one that it came under either
		require.NoError(t, r.offer(nil))
	}
	r.leave()
	time.Sleep(leaveWithin(500*time.Millisecond) + 300*time.Millisecond)
	close(r.hold)
	status, body, _ := c.read()
	require.Equal(t, "200 whole", fmt.Sprint(status, " ", body))
}

// TestAdoptsInTurn has an address change between configurations that need no start: a successor serves there, and takes over what follows.
func TestAdoptsInTurn(t *testing.T) {
	r := run(t)
	require.NoError(t, r.offer(patient))
	r.served()
	first := r.client()
	r.addr = newSite(t).addrs["listen"]
	require.NoError(t, r.offer(patient))
	r.served()
	require.NoError(t, r.offer(func(all, set map[string]any) {
		patient(all, set)
		set["contracts"] = []any{plan("gold")}
	}))
	require.Equal(t, 200, r.client().ask("position-read", "gold"))
	require.Equal(t, 200, first.ask("position-read", "base"), "the predecessor leaves by its own configuration")
	require.Equal(t, 2, strings.Count(r.log.String(), "msg=serving"))
	require.Equal(t, 1, strings.Count(r.log.String(), "for=listen"))
}

// TestAdoptsWhileLeaving has configurations come until the process has left: each is answered, and none keeps it.
func TestAdoptsWhileLeaving(t *testing.T) {
	r := run(t)
	require.NoError(t, r.offer(nil))
	r.served()
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
			case r.offers <- offer{agent.Entry{Name: "n1", Version: 9, Config: r.text(nil)}, answer}:
				<-answer //nolint:errcheck // rejected or not, the offer was processed
			}
		}
	})
	time.Sleep(50 * time.Millisecond)
	r.leave()
	err := <-r.ended
	close(over)
	offering.Wait()
	require.NoError(t, err)
	r.ended <- nil
}

// TestNeedsStart names what can't be taken over, and nothing else does.
func TestNeedsStart(t *testing.T) {
	s := newSite(t)
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
		{"NVMe", s.operator(), s.operator(), none, "operator's file: nvme"},
	} {
		cfg, op := s.read(c.before)
		next, nextOp := s.read(c.after)
		c.edit(next)
		require.Equal(t, c.want, needsStart(cfg, next, op, nextOp), c.name)
	}
}

// TestAdoptsByFeed has layers of the feed change: what is acknowledged is in force, and kept for the next start.
func TestAdoptsByFeed(t *testing.T) {
	r := run(t)
	watch, stop := context.WithCancel(t.Context())
	defer stop()
	l := &layered{name: "n1", fleet: "campus", dir: t.TempDir(), log: quiet, watch: watch, offers: r.offers}
	shared := string(r.text(patient))
	require.NoError(t, l.take(layers(shared), 1))
	r.served()
	require.NoError(t, l.take(layers(strings.Replace(shared, `"base"`, `"gold"`, 1)), 2))
	require.Equal(t, 200, r.client().ask("position-read", "gold"))
	require.Error(t, l.take(layers(`{"listen":"nowhere"}`), 3))
	require.Equal(t, 200, r.client().ask("position-read", "gold"))
	require.FileExists(t, filepath.Join(l.dir, lastName))
	require.Equal(t, 1, strings.Count(r.log.String(), "msg=serving"))
}

func layers(shared string) []watchstream.Record {
	return []watchstream.Record{{Kind: watchstream.Config, Key: "shared", Version: 1, Value: json.RawMessage(shared)}}
}
