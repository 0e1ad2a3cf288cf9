package slope

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/controlplane/agent"
	serving "spindlehitch/internal/process/instance"
	"spindlehitch/internal/testbed/ports"
)

// servedConfig returns a configuration that an initiator can start with, at these addresses, with a plan of this rate.
func servedConfig(name, listen, discovery string, rate uint64) []byte {
	return fmt.Appendf(nil, `{"name":%q,"listen":%q,"discovery":%q,"settings":{"peersTotal":1,"tickUs":2000,"classes":[{"name":"read","promiseUs":150000,"deadlineUs":300000,`+
		`"effect":"pure","worth":1}],"contracts":[{"name":"base","usualRate":%d,"reservation":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8},"limits":{"sendCap":3}}}`,
		name, listen, discovery, rate)
}

func configChangeProbes() []Probe {
	const about = "internal/process/instance: an initiator that follows its configuration, without clients; "
	return []Probe{{
		Description: about + "each of a hundred changes of a plan is taken over by what runs; the stand-ins' time is in it",
		Metrics:     []Metric{{Name: "adopt.cpu", Unit: "us", Subject: "a changed configuration", Per: "target", Noisy: true}},
		Sizes:       targetSizes, ShortSizes: []float64{50, 100, 200, 400},
		Run: func(ctx context.Context, size int) ([]float64, error) {
			return measureConfigChanges(ctx, size, 100, false)
		},
	}, {
		Description: about + "each of four changes of its address is served by a successor that reads the whole list anew; the stand-ins' time is in it",
		Metrics:     []Metric{{Name: "successor.cpu", Unit: "us", Subject: "a configuration that needs a new start", Per: "target", Noisy: true}},
		Sizes:       targetSizes, ShortSizes: []float64{50, 100, 200, 400},
		Run: func(ctx context.Context, size int) ([]float64, error) {
			return measureConfigChanges(ctx, size, 4, true)
		},
	}}
}

// acceptedCounter is a log output that counts the records of accepted configurations.
type acceptedCounter struct{ n atomic.Int64 }

func (t *acceptedCounter) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("configuration taken")) {
		t.n.Add(1)
	}
	return len(b), nil
}

// measureConfigChanges measures the processor time of each of a number of configuration changes, which all need a successor process (needRestart) or none do.
func measureConfigChanges(ctx context.Context, size, changes int, needRestart bool) ([]float64, error) {
	list := listJSON(1, size, true)
	var fullLists atomic.Int64
	discovery, closed, err := serveLoopback(func(w http.ResponseWriter, r *http.Request) {
		if ms, err := strconv.Atoi(r.URL.Query().Get("wait_ms")); err == nil {
			_ = sleep(r.Context(), time.Duration(ms)*time.Millisecond)
			_, _ = w.Write(listJSON(1, 0, false))
			return
		}
		_, _ = w.Write(list)
		fullLists.Add(1)
	})
	if err != nil {
		return nil, err
	}
	defer closed()
	const name = "instance-00000"
	addrs, err := ports.Free(2)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	version, changed := uint64(1), make(chan struct{})
	agents, closed, err := serveLoopback(func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		mu.Lock()
		current, nextChange := version, changed
		mu.Unlock()
		if current == after {
			select {
			case <-nextChange:
				current++
			case <-time.After(time.Second):
				w.WriteHeader(http.StatusNoContent)
				return
			case <-r.Context().Done():
				return
			}
		}
		listen, rate := addrs[0], current
		if needRestart {
			listen, rate = addrs[current%2], 0
		}
		_ = json.NewEncoder(w).Encode(agent.Entry{Name: name, Version: current, Config: servedConfig(name, listen, discovery, 1000+rate)})
	})
	if err != nil {
		return nil, err
	}
	defer closed()
	var accepted acceptedCounter
	serveCtx, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		ended <- serving.ServeFromAgents(serveCtx, []string{agents}, func(key string) string {
			if key == "PROXY_NAME" {
				return name
			}
			return ""
		}, "", slog.New(slog.NewTextHandler(&accepted, nil)))
	}()
	defer func() { stop(); <-ended }() //nolint:errcheck // the measurement is complete
	ready := func(what string, done func() bool) error {
		var failed error
		err := waitUntil(ctx, what, func() bool {
			select {
			case failed = <-ended:
				ended <- failed
				failed = fmt.Errorf("instance ended: %w", failed)
			default:
			}
			return failed != nil || done()
		})
		return errors.Join(err, failed)
	}
	// awaitLists waits until that many whole lists have been read in all, and a second more for the predecessor, if there is one, to leave.
	awaitLists := func(lists int) error {
		if err := ready("a successor reading its list", func() bool { return fullLists.Load() >= int64(lists) }); err != nil {
			return err
		}
		return sleep(ctx, time.Second)
	}
	if err := awaitLists(1); err != nil {
		return nil, err
	}
	used := cpuTime()
	for i := range changes {
		mu.Lock()
		version++
		close(changed)
		changed = make(chan struct{})
		mu.Unlock()
		if needRestart {
			err = awaitLists(2 + i)
		} else {
			err = ready("a configuration change being accepted", func() bool { return accepted.n.Load() >= int64(2+i) })
		}
		if err != nil {
			return nil, err
		}
	}
	if lists := fullLists.Load(); !needRestart && lists > 1 {
		return nil, fmt.Errorf("%d lists were read by successors, expected none", lists-1)
	}
	return []float64{float64((cpuTime() - used).Microseconds()) / float64(changes)}, nil
}

// serveLoopback starts an HTTP server on the loopback interface; closed closes it.
func serveLoopback(h http.HandlerFunc) (addr string, closed func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), func() { s.Close() }, nil
}
