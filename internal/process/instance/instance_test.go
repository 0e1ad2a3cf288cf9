package instance

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cactus/go-statsd-client/v5/statsd"
	"github.com/stretchr/testify/require"

	"spindlehitch/internal/datapath/budget"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/listing"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/observability/control"
	"spindlehitch/internal/observability/figures"
	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/testbed/ports"
)

var quiet = slog.New(slog.DiscardHandler)

// played is a part that writes down what is asked of it.
type played struct {
	name    string
	log     *[]string
	fails   error
	unwell  error // of its stop
	starts  func()
	refuses error // of its reload
}

func (p *played) note(what string) { *p.log = append(*p.log, what+" "+p.name) }
func (p *played) Start(context.Context) error {
	p.note("start")
	if p.starts != nil {
		p.starts()
	}
	return p.fails
}
func (p *played) Stop(context.Context) error        { p.note("stop"); return p.unwell }
func (p *played) Listed(*listing.List)              { p.note("list") }
func (p *played) Reload(Change) error               { p.note("reload"); return p.refuses }
func (p *played) Tell(to statsd.ExtendedStatSender) { to.Inc(p.name, 1, 1) }

// TestParts plays starts and stops of three parts: what has started is stopped in reverse, and nothing else is.
func TestParts(t *testing.T) {
	bad := errors.New("bad")
	for _, c := range []struct {
		name          string
		fails, unwell [3]error
		stopAt        int // the part that the stop comes in the middle of; -1: none does
		want          string
		err           error
	}{
		{"all", [3]error{}, [3]error{}, -1, "start a start b start c stop c stop b stop a", nil},
		{"the first fails", [3]error{bad}, [3]error{}, -1, "start a", bad},
		{"the second fails", [3]error{1: bad}, [3]error{}, -1, "start a start b stop a", bad},
		{"the last fails", [3]error{2: bad}, [3]error{}, -1, "start a start b start c stop b stop a", bad},
		{"one fails and another does not stop", [3]error{2: bad}, [3]error{1: context.DeadlineExceeded}, -1, "start a start b start c stop b stop a", context.DeadlineExceeded},
		{"one does not stop", [3]error{}, [3]error{1: bad}, -1, "start a start b start c stop c stop b stop a", bad},
		{"stopped in the first", [3]error{}, [3]error{}, 0, "start a stop a", errStopped},
		{"stopped in the second", [3]error{}, [3]error{}, 1, "start a start b stop b stop a", errStopped},
		{"stopped in the last", [3]error{}, [3]error{}, 2, "start a start b start c stop c stop b stop a", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var log []string
			stop, leave := context.WithCancel(context.Background())
			defer leave()
			var p parts
			for i, name := range []string{"a", "b", "c"} {
				x := &played{name: name, log: &log, fails: c.fails[i], unwell: c.unwell[i]}
				if i == c.stopAt {
					x.starts = leave
				}
				p = append(p, x)
			}
			err := p.start(stop, context.Background())
			if err == nil {
				err = p.stop(context.Background())
			}
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.want, strings.Join(log, " "))
		})
	}
	var log []string
	bent := &played{name: "a", log: &log, refuses: bad}
	p := parts{bent, certificates{}, &played{name: "b", log: &log}}[:1]
	p = append(p, passive{}, &played{name: "b", log: &log})
	p.listed(&listing.List{})
	require.ErrorIs(t, p.reload(Change{}), bad)
	require.Equal(t, "list a list b reload a reload b", strings.Join(log, " "))
	require.Equal(t, "edge_proxy.a:1|c\nedge_proxy.b:1|c\n", string(figures.Render(p.tell)))
}

const settings = `{"peersTotal":1,"tickUs":2000,"classes":[{"name":"position-read","promiseUs":100000,"deadlineUs":500000,
 "effect":"pure","worth":3}],"contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],
 "extra":{"meanUnits":1,"largest":8},"limits":{"sendCap":3}}`

// site is a discovery that knows one target, and free addresses by name.
type site struct {
	t     testing.TB
	addrs map[string]string
	list  *httptest.Server
}

func newSite(t testing.TB) *site {
	s := &site{t: t, addrs: map[string]string{}}
	s.list = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, `{"version":1,"full":true,"servers":[{"id":"t","addr":"127.0.0.1:1","cell":0,"state":"SERVING"}]}`)
	}))
	t.Cleanup(s.list.Close)
	names := []string{"listen", "control", "accounts", "nvme"}
	addrs, err := ports.Free(len(names))
	require.NoError(t, err)
	for i, name := range names {
		s.addrs[name] = addrs[i]
	}
	return s
}

// read is an instance's files: all its parts on this one machine, but those that need agents.
func (s *site) read(operator string) (*config.Config, *config.Operator) {
	cfg, err := config.Parse(fmt.Appendf(nil, `{"name":"n1","listen":%q,"control":%q,"discovery":%q,"settings":%s}`, s.addrs["listen"],
		s.addrs["control"], strings.TrimPrefix(s.list.URL, "http://"), settings), func(string) string { return "" })
	require.NoError(s.t, err)
	if operator == "" {
		return cfg, &config.Operator{}
	}
	path := filepath.Join(s.t.TempDir(), "operator.toml")
	require.NoError(s.t, os.WriteFile(path, []byte(operator), 0o600))
	op, err := config.ReadOperator(path, cfg)
	require.NoError(s.t, err)
	return cfg, op
}

func (s *site) operator() string {
	return fmt.Sprintf(`[accounts]
listen = %q
[nvme]
listen = %q
subsystem = "nqn.2026-12.example.spindlehitch:pool"
target_subsystem = "nqn.2026-12.example.spindlehitch:t"
host_nqn = "nqn.2026-12.example.spindlehitch:h"
host_id = "5f0d3c2a9b8e4d17a6c5b4f3e2d1c0b9"
[[nvme.namespace]]
id = 1
volume = "00000003b4d60021"
plan = "base"
hosts = 1
block_bytes = 512
blocks = 1024
stripe_blocks = 8
shards = [0]
unit_blocks = 8
read = "position-read"
write = "position-read"
`, s.addrs["accounts"], s.addrs["nvme"])
}

// free fails where anything listens.
func (s *site) free() {
	s.t.Helper()
	for name, addr := range s.addrs {
		l, err := net.Listen("tcp", addr)
		require.NoError(s.t, err, name)
		l.Close()
	}
}

// TestEachPartFails takes each address of an instance in turn: the start fails with its field, all others are free again at
// once, and no goroutine stays.
func TestEachPartFails(t *testing.T) {
	for _, c := range []struct{ part, want string }{
		{"listen", "listen: "}, {"nvme", "listen: "}, {"control", "control: "}, {"accounts", "operator's file: accounts.listen: "},
	} {
		t.Run(c.part, func(t *testing.T) {
			s := newSite(t)
			cfg, op := s.read(s.operator())
			before := runtime.NumGoroutine()
			l, err := net.Listen("tcp", s.addrs[c.part])
			require.NoError(t, err)
			err = Serve(context.Background(), cfg, op, Options{Log: quiet})
			require.ErrorContains(t, err, c.want)
			l.Close()
			s.free()
			require.Eventually(t, func() bool { return runtime.NumGoroutine() <= before+1 }, 20*time.Second, 10*time.Millisecond,
				"goroutines stay beside the one that counts them after a start that failed")
		})
	}
	s := newSite(t)
	cfg, op := s.read(strings.Replace(s.operator(), "[nvme]", "[nvme]\ntls = { cert = \"none\", key = \"none\", ca = \"none\" }", 1))
	require.ErrorContains(t, Serve(context.Background(), cfg, op, Options{Log: quiet}), "operator's file: nvme.tls.cert")
	s.free()
}

// TestStopAtAnyMoment ends an instance before, in the middle of and after its start: it leaves in order, and nothing listens any
// more.
func TestStopAtAnyMoment(t *testing.T) {
	s := newSite(t)
	cfg, op := s.read(s.operator())
	for i := range 12 {
		stop, leave := context.WithCancel(context.Background())
		if i == 0 {
			leave()
		} else {
			time.AfterFunc(time.Duration(i*i)*100*time.Microsecond, leave)
		}
		require.NoError(t, Serve(stop, cfg, op, Options{Log: quiet}))
		leave()
		s.free()
	}
}

// TestLimitsFit holds what the parts may have together against the descriptors there are, a few connections that are just being
// turned away included, whatever share of them one process has.
func TestLimitsFit(t *testing.T) {
	for _, sockets := range []int{64, 96, 128, 256, 512, 1024, 4096} {
		for _, parts := range []int{1, 2} {
			if sockets/parts < 64 {
				continue // fewer than any configuration may have
			}
			l := limits{Cores: 1, MemoryMB: 192, Sockets: sockets}.of(parts)
			total := l.clients() + l.allTargets() + spareFiles + control.MaxFiles
			require.LessOrEqual(t, total, l.Sockets, "%d sockets in %d parts", sockets, parts)
			require.LessOrEqual(t, l.target(), l.allTargets())
			require.Less(t, l.easy(), l.Sockets/4)
		}
	}
}

// TestNamesAreKeptForTheSettings checks that a name stays taken for as long as the settings' deadlines and windows of keyed classes tell.
func TestNamesAreKeptForTheSettings(t *testing.T) {
	classes := []policy.Class{{Deadline: 2 * time.Second, DedupWindow: time.Hour}, {Deadline: time.Second, Effect: policy.IdempotentWithKey, DedupWindow: 700 * time.Millisecond}}
	cfg := &config.Config{}
	cfg.Module.Classes = classes
	require.Equal(t, 2*time.Second, namesFor(cfg))
	classes[1].DedupWindow = 9 * time.Second
	require.Equal(t, 9*time.Second, namesFor(cfg))
}

// TestTargetsEndWithTheirInstance has an instance leave in a process that goes on: its connections to targets end with it.
func TestTargetsEndWithTheirInstance(t *testing.T) {
	ended := make(chan bool)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(_ net.Conn, at http.ConnState) {
		if at == http.StateClosed {
			close(ended)
		}
	}
	s.Start()
	defer s.Close()
	results := make(chan core.Result, 1)
	up := upstream.NewRegistry(upstream.Options{Dialer: upstream.NewHTTPDialer(budget.New(1 << 20)), DialTimeout: time.Minute, IdleTimeout: time.Hour, MaxConnsPerTarget: 1, MaxConnsTotal: 1,
		Log: slog.New(slog.DiscardHandler)}, func(r core.Result) { results <- r })
	d := &decisions{loop: loop{run: func(ctx context.Context) { <-ctx.Done() }}, up: up}
	require.NoError(t, d.Start(context.Background()))
	up.Apply([]upstream.Target{{ID: "n", Addr: s.Listener.Addr().String()}}, true)
	up.Send(core.Attempt{RequestID: "x", Target: "n", Deadline: time.Now().Add(time.Minute), Payload: &upstream.Request{Method: "GET", URI: "/r/1", ID: "id"}})
	require.Equal(t, policy.Served, (<-results).Code)
	require.NoError(t, d.Stop(context.Background()))
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection stays")
	}
}
