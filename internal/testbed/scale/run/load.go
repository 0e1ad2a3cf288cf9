package run

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const contSignal = syscall.SIGCONT

func rawJSON(s string) json.RawMessage { return json.RawMessage(s) }

// load sends a light load of requests to the real initiators. A goroutine for each initiator ends when stop cancels it.
type load struct {
	cancel   context.CancelFunc
	all      sync.WaitGroup
	requests atomic.Int64
	served   atomic.Int64
	failed   atomic.Int64
}

// loadInterval is the time between two requests to an initiator.
const loadInterval = 100 * time.Millisecond

// start sends requests to each initiator, for each of a number of shards in turn.
func (l *load) start(addrs []string, shards int) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for k, at := range addrs {
		l.all.Go(func() {
			c := http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
			for i := k; ; i++ {
				select {
				case <-ctx.Done():
					return
				case <-time.After(loadInterval):
				}
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/position-read/7f3a9c21e0b4d655", nil)
				if err != nil {
					return
				}
				req.Header.Set("Request-Id", fmt.Sprintf("%d-%d", k, i))
				req.Header.Set("Tier", "base")
				req.Header.Set("Request-Timeout-Ms", "8000")
				req.Header.Set("IO-Info", fmt.Sprintf("volume=%016x,units=1,shard=%d,hosts=1", i%shards, i%shards))
				l.requests.Add(1)
				resp, err := c.Do(req)
				if err != nil {
					if ctx.Err() == nil {
						l.failed.Add(1)
					}
					continue
				}
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					l.served.Add(1)
				} else {
					l.failed.Add(1)
				}
			}
		})
	}
}

func (l *load) stop() {
	if l.cancel != nil {
		l.cancel()
		l.all.Wait()
		l.cancel = nil
	}
}
