// Package control is the second address: what staff ask a running initiator. It has connections of its own, and its
// answers are read from what others have left, so that no load on the clients' side holds them up.
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
	// Most is how many connections are open at a time.
	MaxConnections = 16
	// MostFiles is how many descriptors all of it takes at most.
	MaxFiles = MaxConnections + 2
	// callWithin is how long a call may take to come, and its answer to be read.
	callWithin = 900 * time.Millisecond
	maxHead    = 4 << 10
)

// Options are what the pages show.
type Options struct {
	Ready   func() bool
	Metrics func() []byte
	Members func() any // what the instance knows of the others, as JSON; nil: it keeps no such view
	Log     *slog.Logger
}

// Server is the second address.
type Server struct {
	http http.Server
	door door
}

// New returns a server that answers from opt.
func New(opt Options) *Server {
	pages := http.NewServeMux()
	pages.HandleFunc("GET /v1/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !opt.Ready() {
			http.Error(w, "not taking clients", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	pages.HandleFunc("GET /v1/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write(opt.Metrics())
	})
	if opt.Members != nil {
		pages.HandleFunc("GET /v1/members", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(opt.Members())
		})
	}
	s := &Server{http: http.Server{Handler: pages, ReadTimeout: callWithin, WriteTimeout: 2 * callWithin,
		MaxHeaderBytes: maxHead, ErrorLog: slog.NewLogLogger(opt.Log.Handler(), slog.LevelWarn)}}
	s.http.SetKeepAlivesEnabled(false) // one call a connection
	s.http.ConnState = s.door.state
	return s
}

// Serve answers until Close.
func (s *Server) Serve(l net.Listener) error {
	s.door.Listener = l
	s.door.open = map[net.Conn]time.Time{}
	if err := s.http.Serve(&s.door); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends it at once: nothing that it is asked is worth waiting for.
func (s *Server) Close() error { return s.http.Close() }

// door bounds the connections. At the bound the one that has waited longest to be asked anything goes: callers that say
// nothing, or half a call, must not shut out those that ask.
type door struct {
	net.Listener
	mu   sync.Mutex
	open map[net.Conn]time.Time // that have not asked whole, since when
}

// Accept implements net.Listener.
func (d *door) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.open) >= MaxConnections {
		var oldest net.Conn
		for o, at := range d.open {
			if oldest == nil || at.Before(d.open[oldest]) {
				oldest = o
			}
		}
		oldest.Close()
		delete(d.open, oldest)
	}
	d.open[c] = time.Now()
	return c, nil
}

// state follows net/http's: a connection that has closed makes room by itself.
func (d *door) state(c net.Conn, st http.ConnState) {
	if st == http.StateClosed {
		d.mu.Lock()
		delete(d.open, c)
		d.mu.Unlock()
	}
}
