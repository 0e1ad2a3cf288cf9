package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"spindlehitch/internal/agent"
	serving "spindlehitch/internal/instance"
)

// served is a configuration that an initiator can be served by, at these addresses.
func served(name, listen, discovery string) []byte {
	return fmt.Appendf(nil, `{"name":%q,"listen":%q,"discovery":%q,"settings":{"peersTotal":1,"tickUs":2000,"classes":[{"name":"read","promiseUs":150000,"deadlineUs":300000,`+
		`"effect":"pure","worth":1}],"contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8},"limits":{"sendCap":3}}}`,
		name, listen, discovery)
}

func successorProbes() []Probe {
	return []Probe{{
		About: "internal/instance: an initiator that follows its configuration, without clients; each of four changes of it is served by a successor that reads the whole list anew; the stand-ins' time is in it",
		Gives: []Gives{{Name: "successor.cpu", Unit: "us", Of: "a changed configuration", Per: "target", Rough: true}},
		Sizes: targetSizes, Short: []float64{50, 100, 200, 400},
		Run: successors,
	}}
}

func successors(ctx context.Context, size int) ([]float64, error) {
	list := text(1, size, true)
	var wholes atomic.Int64
	discovery, closed, err := standIn(func(w http.ResponseWriter, r *http.Request) {
		if ms, err := strconv.Atoi(r.URL.Query().Get("wait_ms")); err == nil {
			pause(r.Context(), time.Duration(ms)*time.Millisecond)
			w.Write(text(1, 0, false))
			return
		}
		w.Write(list)
		wholes.Add(1)
	})
	if err != nil {
		return nil, err
	}
	defer closed()
	const name = "instance-00000"
	addrs, err := free(1)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	version, changed := uint64(1), make(chan struct{})
	agents, closed, err := standIn(func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		mu.Lock()
		now, wait := version, changed
		mu.Unlock()
		if now == after {
			select {
			case <-wait:
				now++
			case <-time.After(time.Second):
				w.WriteHeader(http.StatusNoContent)
				return
			case <-r.Context().Done():
				return
			}
		}
		json.NewEncoder(w).Encode(agent.Entry{Name: name, Version: now, Config: served(name, addrs[0], discovery)})
	})
	if err != nil {
		return nil, err
	}
	defer closed()
	serve, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		ended <- serving.Follow(serve, []string{agents}, func(key string) string {
			if key == "PROXY_NAME" {
				return name
			}
			return ""
		}, "", slog.New(slog.DiscardHandler))
	}()
	defer func() { stop(); <-ended }()
	ready := func(lists int64) error {
		if err := until(ctx, "a successor with its list", func() bool {
			select {
			case err := <-ended:
				ended <- err
				return true
			default:
			}
			return wholes.Load() >= lists
		}); err != nil {
			return err
		}
		if wholes.Load() < lists {
			return fmt.Errorf("it ended: %w", <-ended)
		}
		return pause(ctx, time.Second) // it has read the list, and its predecessor is leaving
	}
	if err := ready(1); err != nil {
		return nil, err
	}
	const changes = 4
	used := cpu()
	for i := range int64(changes) {
		mu.Lock()
		version++
		close(changed)
		changed = make(chan struct{})
		mu.Unlock()
		if err := ready(2 + i); err != nil {
			return nil, err
		}
	}
	return []float64{float64((cpu() - used).Microseconds()) / changes}, nil
}

// standIn is a server on the loopback.
func standIn(h http.HandlerFunc) (addr string, closed func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go s.Serve(l)
	return l.Addr().String(), func() { s.Close() }, nil
}
