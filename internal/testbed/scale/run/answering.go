package run

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// answering is the targets that answer.
type answering struct {
	addrs   []string
	servers []*http.Server
	asked   []atomic.Int64
	drained []atomic.Int64 // since when it is, in Unix milliseconds; 0: it is not
	late    atomic.Int64   // requests longer after a drain than any initiator may be without it
	from    atomic.Int64   // requests are judged since then, in Unix milliseconds
}

// drainBy is when all are told of a drain where nothing is cut off.
const drainBy = 15 * time.Second

func newAnswering(n int) (*answering, error) {
	a := &answering{asked: make([]atomic.Int64, n), drained: make([]atomic.Int64, n)}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			a.close()
			return nil, err
		}
		s := &http.Server{ErrorLog: slog.NewLogLogger(slog.DiscardHandler, 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			a.asked[i].Add(1)
			if since := a.drained[i].Load(); since > 0 && time.Now().UnixMilli()-max(since, a.from.Load()) > drainBy.Milliseconds() {
				a.late.Add(1)
			}
			fmt.Fprint(w, "from the target")
		})}
		a.addrs, a.servers = append(a.addrs, l.Addr().String()), append(a.servers, s)
		go func() { _ = s.Serve(l) }()
	}
	return a, nil
}

// judgeFrom has requests be judged from then on.
func (a *answering) judgeFrom(at time.Time) { a.from.Store(at.UnixMilli()) }

func (a *answering) total() (n int64) {
	for i := range a.asked {
		n += a.asked[i].Load()
	}
	return n
}

func (a *answering) close() {
	for _, s := range a.servers {
		s.Close()
	}
}
