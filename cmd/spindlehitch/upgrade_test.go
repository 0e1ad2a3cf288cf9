package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spindlehitch/internal/process/config"
	"spindlehitch/internal/process/instance"
)

// TestUpgrades starts two successors of an initiator in turn, on one inherited socket, while clients send requests continuously: no request
// may be rejected, reset or left unread. All three run in one process, which can take only one part in a handover, so the successors start
// without one, and each predecessor shuts down when its context is cancelled, as on SIGTERM.
func TestUpgrades(t *testing.T) {
	f := newFixture(t)
	l, err := net.Listen("tcp", f.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	t.Setenv("TMPDIR", t.TempDir())
	type process struct {
		cancel   context.CancelFunc
		serveErr chan error
		control  string
	}
	startProcess := func() process {
		file, err := l.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		fd, err := unix.Dup(int(file.Fd()))
		if err != nil {
			t.Fatal(err)
		}
		p := process{control: freeAddr(t), serveErr: make(chan error, 1)}
		cfg, err := config.Parse([]byte(f.config()), func(name string) string {
			return map[string]string{config.SocketFDEnv: strconv.Itoa(fd), "PROXY_CONTROL": p.control}[name]
		})
		if err != nil {
			t.Fatal(err)
		}
		var ctx context.Context
		ctx, p.cancel = context.WithCancel(context.Background())
		go func() {
			p.serveErr <- instance.Serve(ctx, cfg, &config.OperatorFile{}, instance.Options{Log: discardLog})
		}()
		waitReady(t, "http://"+p.control+"/v1/readyz")
		return p
	}
	current := startProcess()
	var served atomic.Int64
	done := make(chan bool)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if status, body := f.get(); status != 200 {
					t.Errorf("a request was not served: %d %q", status, body)
				}
				served.Add(1)
			}
		})
	}
	for range 2 {
		next := startProcess()
		current.cancel()
		if err := <-current.serveErr; err != nil {
			t.Error(err)
		}
		current = next
		for from := served.Load(); served.Load() < from+100; time.Sleep(time.Millisecond) {
		}
	}
	resp, err := http.Get("http://" + current.control + "/v1/metrics")
	if err != nil {
		t.Fatal(err)
	}
	text := make([]byte, 4096)
	n, _ := resp.Body.Read(text)
	if !strings.Contains(string(text[:n]), "edge_proxy.targets:1|g") || strings.Contains(string(text[:n]), "success:0|") {
		t.Errorf("metrics of the last process: %s", text[:n])
	}
	close(done)
	wg.Wait()
	current.cancel()
	if err := <-current.serveErr; err != nil {
		t.Error(err)
	}
}

// TestBadSocket checks that an inherited descriptor that is not a socket fails the start with an error that names its variable.
func TestBadSocket(t *testing.T) {
	f := newFixture(t)
	file, err := os.Create(t.TempDir() + "/file")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	t.Setenv("TMPDIR", t.TempDir())
	cfg, err := config.Parse([]byte(f.config()), func(name string) string {
		return map[string]string{config.SocketFDEnv: fmt.Sprint(file.Fd())}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := instance.Serve(context.Background(), cfg, &config.OperatorFile{}, instance.Options{Log: discardLog}); err == nil || !strings.HasPrefix(err.Error(), config.SocketFDEnv) {
		t.Errorf("started with %v", err)
	}
}
