package main

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
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	tea "charm.land/bubbletea/v2"
	"github.com/parquet-go/parquet-go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/observability/accounts"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/process/instance"
	"spindlehitch/internal/testbed/ports"
)

var discardLog = slog.New(slog.DiscardHandler)

const policySettings = `{"peersTotal":1,"tickUs":2000,"classes":[{"name":"position-read","promiseUs":5000000,"deadlineUs":20000000,
 "effect":"pure","worth":3}],"contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],
 "extra":{"meanUnits":1,"largest":8},"limits":{"sendCap":3}}`

// freeAddr returns an unused loopback address.
func freeAddr(t testing.TB) string {
	t.Helper()
	addrs, err := ports.Free(1)
	if err != nil {
		t.Fatal(err)
	}
	return addrs[0]
}

// fixture is a fake target, a discovery service that lists it, and the address at which an initiator under test listens.
type fixture struct {
	listen, discovery string
	discoveryHandler  http.Handler
	holdRequests      atomic.Bool   // the target sends on arrived and then waits for release before it responds
	requestCount      atomic.Int64  // numbers the request ids
	arrived, release  chan struct{} // the test closes release; arrived is never closed
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	f := &fixture{listen: freeAddr(t), arrived: make(chan struct{}, 1), release: make(chan struct{})}
	target := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if f.holdRequests.Load() {
			f.arrived <- struct{}{}
			<-f.release
		}
		fmt.Fprint(rw, "from the target")
	}))
	t.Cleanup(target.Close)
	f.discoveryHandler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(rw, `{"version":1,"full":true,"servers":[{"id":"t","addr":%q,"cell":0,"state":"SERVING"}]}`,
			strings.TrimPrefix(target.URL, "http://"))
	})
	discovery := httptest.NewServer(f.discoveryHandler)
	t.Cleanup(discovery.Close)
	f.discovery = strings.TrimPrefix(discovery.URL, "http://")
	return f
}

func (f *fixture) config() string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"settings":%s}`, f.listen, f.discovery, policySettings)
}

// get sends one request on a new connection; a status of 0 means that there was no response, and the string is then the error.
func (f *fixture) get() (int, string) {
	c, err := net.Dial("tcp", f.listen)
	if err != nil {
		return 0, err.Error()
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /position-read/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nRequest-Id: i%d\r\nTier: base\r\n"+
		"Request-Timeout-Ms: 20000\r\nIO-Info: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\n\r\n", f.requestCount.Add(1))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// waitServed sends requests until one is served.
func (f *fixture) waitServed(t *testing.T) {
	t.Helper()
	require.EventuallyWithT(t, func(t *assert.CollectT) {
		status, body := f.get()
		assert.Equal(t, 200, status)
		assert.Equal(t, "from the target", body)
	}, time.Minute, 10*time.Millisecond)
}

// waitReady polls a readiness page until it returns status 200.
func waitReady(t *testing.T, url string) {
	t.Helper()
	require.Eventually(t, func() bool {
		resp, err := http.Get(url)
		if err == nil {
			resp.Body.Close()
		}
		return err == nil && resp.StatusCode == 200
	}, time.Minute, 10*time.Millisecond, "never ready")
}

// TestServeAndStop shuts an initiator down with a request open: the request is served first.
func TestServeAndStop(t *testing.T) {
	f := newFixture(t)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(f.config()), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, op, err := instance.Load(func(name string) string { return map[string]string{"PROXY_CONFIG": path}[name] }, "")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() { serveErr <- instance.Serve(ctx, cfg, op, instance.Options{Log: discardLog}) }()
	f.waitServed(t)
	f.holdRequests.Store(true)
	response := make(chan string, 1)
	go func() {
		status, body := f.get()
		response <- fmt.Sprint(status, " ", body)
	}()
	<-f.arrived
	cancel()
	time.Sleep(core.NewShutdownSchedule(time.Minute).RespondWithin + 300*time.Millisecond) // the client's own timeout is longer
	close(f.release)
	if got := <-response; got != "200 from the target" {
		t.Errorf("open request: %s", got)
	}
	if err := <-serveErr; err != nil {
		t.Error(err)
	}
	if status, _ := f.get(); status != 0 {
		t.Errorf("response after shutdown: status %d", status)
	}
}

// TestReload replaces the configuration file of a running initiator and sends SIGHUP: an invalid file changes nothing, and a valid one
// changes only the discovery address, overriding the environment variable. Requests are served throughout, and a shutdown during a reload
// succeeds.
func TestReload(t *testing.T) {
	f := newFixture(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeConfig(f.config())
	getenv := func(name string) string {
		return map[string]string{"PROXY_CONFIG": path, "PROXY_DISCOVERY": f.discovery}[name]
	}
	cfg, op, err := instance.Load(getenv, "")
	if err != nil {
		t.Fatal(err)
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ctx, cancel := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- instance.Serve(ctx, cfg, op, instance.Options{Log: discardLog, Changes: instance.ReloadOnSignal(hup, getenv, cfg.Discovery, "", discardLog)})
	}()
	f.waitServed(t)
	reload := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	writeConfig(`{"name":"n1"}`)
	reload()
	f.waitServed(t)
	for range 3 {
		requested := make(chan string, 64)
		discovery := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			requested <- r.URL.String()
			f.discoveryHandler.ServeHTTP(rw, r)
		}))
		defer discovery.Close()
		writeConfig(strings.Replace(f.config(), f.discovery, strings.TrimPrefix(discovery.URL, "http://"), 1))
		reload()
		select {
		case got := <-requested:
			if got != "/api/targets" {
				t.Errorf("first request at the new discovery address: %q", got)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("no request at the new discovery address")
		}
		f.waitServed(t)
	}
	writeConfig(f.config())
	reload()
	cancel()
	if err := <-serveErr; err != nil {
		t.Error(err)
	}
}

// TestFollow runs an instance with its configuration from an agent: an invalid new configuration is rejected and the old one kept, and a
// valid one starts a successor with the new listen address, after which the predecessor stops serving.
func TestFollow(t *testing.T) {
	f := newFixture(t)
	agentConfig := &config.Agent{ID: "a", Dir: t.TempDir(), Peers: []config.Peer{{ID: "a", Raft: freeAddr(t), API: freeAddr(t)}}}
	ctx, cancel := context.WithCancel(context.Background())
	errs := make(chan error, 2)
	go func() { errs <- runAgent(ctx, agentConfig, discardLog) }()
	client := &agent.Client{Addrs: []string{agentConfig.API()}}
	putConfig := func(text string) (err error) {
		for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
			if _, err = client.PutConfig(ctx, "n1", []byte(text), ""); err == nil || !strings.Contains(err.Error(), "leader") &&
				!strings.Contains(err.Error(), "refused") {
				return err
			}
		}
		return err
	}
	if err := putConfig(f.config()); err != nil {
		t.Fatal(err)
	}
	go func() {
		errs <- instance.ServeFromAgents(ctx, client.Addrs, func(name string) string { return map[string]string{"PROXY_NAME": "n1"}[name] }, "", discardLog)
	}()
	f.waitServed(t)
	if err := putConfig(`{"name":"n1"}`); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("invalid configuration: %v, want an error about listen", err)
	}
	oldListen := f.listen
	f.listen = freeAddr(t)
	if err := putConfig(f.config()); err != nil {
		t.Fatal(err)
	}
	f.waitServed(t)
	newListen := f.listen
	f.listen = oldListen
	require.Eventually(t, func() bool { status, _ := f.get(); return status == 0 }, time.Minute, 20*time.Millisecond, "the predecessor still serves requests")
	f.listen = newListen
	f.waitServed(t)
	cancel()
	for range 2 {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
}

// TestServeNVMe serves NVMe over TCP as set in an operator's file; the platform's HTTP address then has only the readiness page.
func TestServeNVMe(t *testing.T) {
	f := newFixture(t)
	dir, nvmeAddr := t.TempDir(), freeAddr(t)
	raw, err := os.ReadFile("../../deploy/nvme.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("127.0.0.1:4420", nvmeAddr, "standard", "base", "event-write", "position-read",
		"history-export", "position-read").Replace(string(raw))
	for name, text := range map[string]string{"config.json": f.config(), "nvme.toml": text} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cfg, op, err := instance.Load(func(name string) string {
		return map[string]string{"PROXY_CONFIG": filepath.Join(dir, "config.json")}[name]
	}, filepath.Join(dir, "nvme.toml"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	listening, serveErr, changes := make(chan struct{}), make(chan error, 1), make(chan instance.Change)
	go func() {
		serveErr <- instance.Serve(ctx, cfg, op, instance.Options{Log: discardLog, OnListening: func() { close(listening) }, Changes: changes})
	}()
	<-listening
	if status, _ := f.get(); status != 404 {
		t.Errorf("HTTP request: status %d, want 404", status)
	}
	waitReady(t, "http://"+f.listen+"/-/ready")
	c, err := net.Dial("tcp", nvmeAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = c.Write(append([]byte{0, 0, 128, 0, 128, 0, 0, 0}, make([]byte, 120)...)) // ICReq
	response := make([]byte, 128)
	if _, err := io.ReadFull(c, response); err != nil || response[0] != 1 {
		t.Errorf("ICReq was answered with %x, %v", response[:8], err)
	}
	// The conform command, before and after a reload of the namespaces.
	conform := func(namespace string) (string, error) {
		var out strings.Builder
		root := rootCommand()
		root.SetOut(&out)
		root.SetArgs([]string{"conform", "--addr", nvmeAddr, "--subsystem", op.NVMe.Subsystem, "--namespace", namespace})
		err := root.Execute()
		return out.String(), err
	}
	if out, err := conform("1"); err != nil || !strings.Contains(out, " 0 failed") {
		t.Errorf("conform: %v\n%s", err, out)
	}
	namespaces := slices.Clone(op.NVMe.Namespaces)
	namespaces[0].ID = 5
	changes <- instance.Change{Namespaces: namespaces}
	changes <- instance.Change{} // received only after the first has been applied
	if out, err := conform("5"); err != nil {
		t.Errorf("conform after the reload: %v\n%s", err, out)
	}
	if out, err := conform("1"); err == nil || !strings.Contains(out, "fail") {
		t.Errorf("conform of a removed namespace: %v\n%s", err, out)
	}
	cancel()
	if err := <-serveErr; err != nil {
		t.Error(err)
	}
}

// TestCommands runs the check, version and config put commands.
func TestCommands(t *testing.T) {
	f := newFixture(t)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(f.config()), 0o600); err != nil {
		t.Fatal(err)
	}
	run := func(args ...string) (string, error) {
		var out strings.Builder
		root := rootCommand()
		root.SetOut(&out)
		root.SetArgs(args)
		err := root.Execute()
		return out.String(), err
	}
	if out, err := run("check", path); err != nil || !strings.HasPrefix(out, "n1: 1 classes") {
		t.Errorf("check: %q, %v", out, err)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(f.config(), "n1", "", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := run("check", path); err == nil || !strings.Contains(err.Error(), "name") {
		t.Errorf("check of a configuration without a name: %v", err)
	}
	if out, err := run("version"); err != nil || !strings.HasPrefix(out, "spindlehitch ") {
		t.Errorf("version: %q, %v", out, err)
	}
	if _, err := run("config", "put", "n2", path, "--agents", "127.0.0.1:1"); err == nil {
		t.Error("config put accepted another instance's configuration")
	}
}

// TestAccounts reports an instance's accounts while it runs and, in each format, from the files it has written after shutdown; a report that
// cannot be made fails with an error that names the reason.
func TestAccounts(t *testing.T) {
	f := newFixture(t)
	dir, accountsAddr := t.TempDir(), freeAddr(t)
	accountsDir := filepath.Join(dir, "accounts.data")
	for name, text := range map[string]string{"config.json": f.config(),
		"accounts.toml": fmt.Sprintf("[accounts]\nlisten = %q\ndir = %q\nwindow_s = 3600\n", accountsAddr, accountsDir)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cfg, op, err := instance.Load(func(name string) string {
		return map[string]string{"PROXY_CONFIG": filepath.Join(dir, "config.json")}[name]
	}, filepath.Join(dir, "accounts.toml"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() { serveErr <- instance.Serve(ctx, cfg, op, instance.Options{Log: discardLog}) }()
	f.waitServed(t)
	report := func(args ...string) (string, error) {
		var out strings.Builder
		root := rootCommand()
		root.SetOut(&out)
		root.SetErr(&out)
		root.SetArgs(append([]string{"report"}, args...))
		err := root.Execute()
		return out.String(), err
	}
	var r accounts.Report
	for deadline := time.Now().Add(time.Minute); len(r.Volumes) == 0 || r.Volumes[0].Requests == 0; time.Sleep(10 * time.Millisecond) {
		out, err := report("--instances", accountsAddr, "--format", "json")
		if err == nil {
			err = json.Unmarshal([]byte(out), &r)
		}
		if err != nil || time.Now().After(deadline) {
			t.Fatalf("%v\n%s", err, out)
		}
	}
	v := r.Volumes[0]
	if v.AtTarget <= 0 || v.P50 <= 0 || len(r.Targets) != 1 || r.Targets[0].Answers == 0 {
		t.Errorf("%+v", r)
	}
	checkTop(t, accountsAddr, v.Volume)
	cancel()
	if err := <-serveErr; err != nil {
		t.Fatal(err)
	}
	if out, err := report("--from", accountsDir, "--volume", v.Volume); err != nil || !strings.Contains(out, v.Volume) || !strings.Contains(out, "n1, ") {
		t.Errorf("%v\n%s", err, out)
	}
	parquetPath := filepath.Join(dir, "out.parquet")
	if out, err := report("--from", accountsDir, "--format", "parquet", "-o", parquetPath); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	rows, err := parquet.ReadFile[accounts.Row](parquetPath)
	if err != nil || len(rows) != 1 || rows[0].Volume != v.Volume || rows[0].Requests < v.Requests {
		t.Errorf("%+v, %v", rows, err)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"--from", accountsDir, "--volume", "nobody"}, `volume "nobody" has no account`},
		{[]string{"--from", accountsDir, "--since", "yesterday"}, "--since"},
		{[]string{"--from", accountsDir, "--since", "2026-12-02T00:00:00Z", "--until", "2026-12-01T00:00:00Z"}, "not before"},
		{[]string{"--from", accountsDir, "--until", "2001-01-01T00:00:00Z"}, "no accounts in that window"},
		{[]string{"--from", accountsDir, "--format", "xml"}, "--format"},
		{[]string{"--from", accountsDir, "--format", "parquet"}, "--output"},
		{[]string{"--from", filepath.Join(dir, "nowhere")}, "nowhere"},
		{[]string{"--instances", accountsAddr}, "instance " + accountsAddr},
	} {
		if out, err := report(c.args...); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %v\n%s", c.args, err, out)
		}
	}
}

// checkTop renders the screen for a running instance and an unreachable one in each sort order, and quits.
func checkTop(t *testing.T, addr, volume string) {
	t.Helper()
	var m tea.Model = topModel{instances: []string{addr, "127.0.0.1:1"}, interval: time.Second, height: 24}
	m, cmd := m.Update(m.Init()())
	if cmd == nil {
		t.Error("no further poll of the instances is scheduled")
	}
	for _, x := range sortOrders {
		screen := m.(topModel).render()
		if !strings.Contains(screen, "by "+x.name) || !strings.Contains(screen, volume) || !strings.Contains(screen, "no answer: 127.0.0.1:1") {
			t.Errorf("by %s:\n%s", x.name, screen)
		}
		m, _ = m.Update(tea.KeyPressMsg{Code: 'o', Text: "o"})
	}
	crowded := m.(topModel)
	for i := range 100 {
		crowded.report.Volumes = append(crowded.report.Volumes, accounts.Row{Volume: fmt.Sprint("w", i)})
	}
	if lines := strings.Count(crowded.render(), "\n"); lines > crowded.height {
		t.Errorf("%d lines on a screen of %d", lines, crowded.height)
	}
	if _, quit := m.Update(tea.KeyPressMsg{Code: 'q', Text: "q"}); quit == nil {
		t.Error("q does not quit")
	}
	root := rootCommand()
	root.SetArgs([]string{"top"})
	if err := root.Execute(); err == nil || !strings.Contains(err.Error(), "--instances") {
		t.Errorf("top without instances: %v", err)
	}
}
