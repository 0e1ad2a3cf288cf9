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

// TestUpgrades starts an initiator twice more beside itself, at a socket that all inherit, while clients ask without a
// pause: no request is refused, reset or unread. Here the three are in one process, which has one part in a handover: the
// later ones go on without, and each older one leaves at its SIGTERM.
func TestUpgrades(t *testing.T) {
	w := newWorld(t)
	l, err := net.Listen("tcp", w.listen)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	t.Setenv("TMPDIR", t.TempDir())
	type process struct {
		leave   context.CancelFunc
		ended   chan error
		control string
	}
	begin := func() process {
		f, err := l.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		fd, err := unix.Dup(int(f.Fd()))
		if err != nil {
			t.Fatal(err)
		}
		p := process{control: freeAddr(t), ended: make(chan error, 1)}
		cfg, err := config.Parse([]byte(w.config()), func(name string) string {
			return map[string]string{config.SocketFDEnv: strconv.Itoa(fd), "PROXY_CONTROL": p.control}[name]
		})
		if err != nil {
			t.Fatal(err)
		}
		var stop context.Context
		stop, p.leave = context.WithCancel(context.Background())
		go func() { p.ended <- instance.Serve(stop, cfg, &config.OperatorFile{}, instance.Options{Log: quiet}) }()
		ready(t, "http://"+p.control+"/v1/readyz")
		return p
	}
	now := begin()
	var asked atomic.Int64
	over := make(chan bool)
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			for {
				select {
				case <-over:
					return
				default:
				}
				if status, body := w.ask(); status != 200 {
					t.Errorf("a request was not served: %d %q", status, body)
				}
				asked.Add(1)
			}
		})
	}
	for range 2 {
		next := begin()
		now.leave()
		if err := <-now.ended; err != nil {
			t.Error(err)
		}
		now = next
		for from := asked.Load(); asked.Load() < from+100; time.Sleep(time.Millisecond) {
		}
	}
	resp, err := http.Get("http://" + now.control + "/v1/metrics")
	if err != nil {
		t.Fatal(err)
	}
	text := make([]byte, 4096)
	n, _ := resp.Body.Read(text)
	if !strings.Contains(string(text[:n]), "edge_proxy.targets:1|g") || strings.Contains(string(text[:n]), "success:0|") {
		t.Errorf("the last one's numbers: %s", text[:n])
	}
	close(over)
	wait.Wait()
	now.leave()
	if err := <-now.ended; err != nil {
		t.Error(err)
	}
}

// TestBadSocket stops the start with a message that names the variable.
func TestBadSocket(t *testing.T) {
	w := newWorld(t)
	f, err := os.Create(t.TempDir() + "/file")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	t.Setenv("TMPDIR", t.TempDir())
	cfg, err := config.Parse([]byte(w.config()), func(name string) string {
		return map[string]string{config.SocketFDEnv: fmt.Sprint(f.Fd())}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := instance.Serve(context.Background(), cfg, &config.OperatorFile{}, instance.Options{Log: quiet}); err == nil || !strings.HasPrefix(err.Error(), config.SocketFDEnv) {
		t.Errorf("started with %v", err)
	}
}
