// Package control serves the control address, where operators query a running initiator. It has its own listener and
// connections, and responds from state that other goroutines have published, so that client load does not delay it.
package control

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// MaxConnections is the greatest number of connections that are open at a time.
	MaxConnections = 16
	// MaxFiles is the greatest number of file descriptors that the server uses.
	MaxFiles = MaxConnections + 2
	// requestTimeout bounds the reading of a request; the writing of its response may take twice as long.
	requestTimeout = 900 * time.Millisecond
	maxHeaderBytes = 4 << 10
)

// Options are the sources of the responses.
type Options struct {
	Ready   func() bool
	Metrics func() []byte
	Members func() any // the instance's view of the other members, encoded as JSON; nil: /v1/members does not exist
	Log     *slog.Logger
}

// Server is the HTTP server of the control address.
type Server struct {
	http     http.Server
	listener boundedListener
}

// New returns a server that responds from opt.
func New(opt Options) *Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !opt.Ready() {
			http.Error(w, "not taking clients", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /v1/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write(opt.Metrics())
	})
	if opt.Members != nil {
		mux.HandleFunc("GET /v1/members", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(opt.Members())
		})
	}
	s := &Server{http: http.Server{Handler: mux, ReadTimeout: requestTimeout, WriteTimeout: 2 * requestTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(opt.Log.Handler(), slog.LevelWarn)}}
	s.http.SetKeepAlivesEnabled(false) // one request per connection
	s.http.ConnState = s.listener.connState
	return s
}

// Serve serves requests until Close.
func (s *Server) Serve(l net.Listener) error {
	s.listener.Listener = l
	s.listener.open = map[net.Conn]time.Time{}
	if err := s.http.Serve(&s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the listener and all connections at once, without waiting for open requests.
func (s *Server) Close() error { return s.http.Close() }

// boundedListener bounds the open connections. At the bound it closes the oldest one, so that clients that send nothing, or
// an incomplete request, do not lock out others.
type boundedListener struct {
	net.Listener
	mu   sync.Mutex             // guards open
	open map[net.Conn]time.Time // open connections, with the time of their accept
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= MaxConnections {
		var oldest net.Conn
		for other, at := range l.open {
			if oldest == nil || at.Before(l.open[oldest]) {
				oldest = other
			}
		}
		oldest.Close()
		delete(l.open, oldest)
	}
	l.open[c] = time.Now()
	return c, nil
}

// connState is the server's ConnState hook: it removes closed connections.
func (l *boundedListener) connState(c net.Conn, st http.ConnState) {
	if st == http.StateClosed {
		l.mu.Lock()
		delete(l.open, c)
		l.mu.Unlock()
	}
}
