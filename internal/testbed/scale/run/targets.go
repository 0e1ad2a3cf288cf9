package run

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// targetServers are the targets that answer requests. It counts requests that arrive too long after their target was drained.
type targetServers struct {
	addrs        []string
	servers      []*http.Server
	requests     []atomic.Int64
	drainedSince []atomic.Int64 // Unix milliseconds since which each target is drained; 0 if it is not
	lateRequests atomic.Int64   // requests later than drainDeadline after a drain
	judgedFrom   atomic.Int64   // Unix milliseconds since which requests are checked
}

// drainDeadline is the time after a drain within which all initiators that are not cut off have to stop using the target.
const drainDeadline = 15 * time.Second

func newTargetServers(n int) (*targetServers, error) {
	a := &targetServers{requests: make([]atomic.Int64, n), drainedSince: make([]atomic.Int64, n)}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			a.close()
			return nil, err
		}
		s := &http.Server{ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			a.requests[i].Add(1)
			if since := a.drainedSince[i].Load(); since > 0 && time.Now().UnixMilli()-max(since, a.judgedFrom.Load()) > drainDeadline.Milliseconds() {
				a.lateRequests.Add(1)
			}
			fmt.Fprint(w, "from the target")
		})}
		a.addrs, a.servers = append(a.addrs, l.Addr().String()), append(a.servers, s)
		go func() { _ = s.Serve(l) }()
	}
	return a, nil
}

// judgeFrom sets the time from which drains count for the check of late requests.
func (a *targetServers) judgeFrom(at time.Time) { a.judgedFrom.Store(at.UnixMilli()) }

func (a *targetServers) total() (n int64) {
	for i := range a.requests {
		n += a.requests[i].Load()
	}
	return n
}

func (a *targetServers) close() {
	for _, s := range a.servers {
		s.Close()
	}
}
