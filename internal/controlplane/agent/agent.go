package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"spindlehitch/internal/process/config"
)

const (
	applyTimeout   = 5 * time.Second
	maxConfigBytes = 4 << 20
	maxPollWait    = time.Minute
)

// Peers is all agents, as one of them knows them.
type Peers []config.Peer

// ServerAddr implements raft.ServerAddressProvider.
func (p Peers) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	for _, x := range p {
		if x.ID == string(id) {
			return raft.ServerAddress(x.Raft), nil
		}
	}
	return "", fmt.Errorf("agent.peer: %q is none of the peers", id)
}

// Options set up one agent.
type Options struct {
	ID              string
	Dir             string                                 // holds its log, votes and snapshots
	Peers           Peers                                  // all agents, this one included
	ValidateConfig  func(name string, config []byte) error // whether the instance could start from it
	Log             *slog.Logger
	ElectionTimeout time.Duration   // of heartbeats and elections; 0: one second
	StartContext    context.Context // Start gives up waiting once it ends; nil: never
}

// Agent is one of the few that replicate the log.
type Agent struct {
	opt       Options
	self      config.Peer
	store     *store
	raft      *raft.Raft
	bolt      *raftboltdb.BoltStore
	transport *raft.NetworkTransport
	http      http.Server
	leader    *leaderService
	stream    *streamService
}

// Start opens the durable store and joins the others. An agent that has no state yet begins with the peers it
// is told of; one that has goes on from its log.
func Start(opt Options) (_ *Agent, err error) {
	a := &Agent{opt: opt, store: newStore()}
	var servers []raft.Server
	for _, p := range opt.Peers {
		if p.ID == opt.ID {
			a.self = p
		}
		servers = append(servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.Raft)})
	}
	if a.self.ID == "" {
		return nil, fmt.Errorf("agent.id: %q is none of the peers", opt.ID)
	}
	if err := os.MkdirAll(opt.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("agent.dir: %w", err)
	}
	defer func() {
		if err != nil {
			a.closeStorage()
		}
	}()
	if a.bolt, err = raftboltdb.NewBoltStore(filepath.Join(opt.Dir, "raft.db")); err != nil {
		return nil, fmt.Errorf("agent.dir: %w", err)
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: logWriter{opt.Log}})
	snaps, err := raft.NewFileSnapshotStoreWithLogger(opt.Dir, 2, log)
	if err != nil {
		return nil, fmt.Errorf("agent.dir: %w", err)
	}
	addr, err := net.ResolveTCPAddr("tcp", a.self.Raft)
	if err != nil {
		return nil, fmt.Errorf("agent.peers raft: %w", err)
	}
	// Where the others are is this agent's file's to say, whatever a snapshot of another's has.
	about := &raft.NetworkTransportConfig{ServerAddressProvider: opt.Peers, MaxPool: 3, Timeout: applyTimeout, Logger: log}
	if a.transport, err = raft.NewTCPTransportWithConfig(a.self.Raft, addr, about); err != nil {
		return nil, fmt.Errorf("agent.peers raft: %w", err)
	}
	cfg := raft.DefaultConfig()
	cfg.LocalID, cfg.Logger = raft.ServerID(opt.ID), log
	if opt.ElectionTimeout > 0 {
		cfg.HeartbeatTimeout, cfg.ElectionTimeout, cfg.LeaderLeaseTimeout = opt.ElectionTimeout, opt.ElectionTimeout, opt.ElectionTimeout/2
	}
	known, err := raft.HasExistingState(a.bolt, a.bolt, snaps)
	if err != nil {
		return nil, err
	}
	if !known {
		if err = a.waitForPeers(); err != nil {
			return nil, err
		}
		if err = raft.BootstrapCluster(cfg, a.bolt, a.bolt, snaps, a.transport, raft.Configuration{Servers: servers}); err != nil {
			return nil, err
		}
	}
	if a.raft, err = raft.NewRaft(cfg, a.store, a.bolt, a.bolt, snaps, a.transport); err != nil {
		return nil, err
	}
	a.leader = newLeaderService(a)
	mux := http.NewServeMux()
	a.leader.routes(mux)
	a.stream = newStreamService(a)
	a.stream.routes(mux)
	mux.HandleFunc("GET /v1/status", a.handleStatus)
	mux.HandleFunc("GET /v1/instances", a.handleList)
	mux.HandleFunc("GET /v1/instances/{name}", a.handleGet)
	mux.HandleFunc("PUT /v1/instances/{name}", a.handlePut)
	mux.HandleFunc("DELETE /v1/instances/{name}", a.handlePut)
	a.http = http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second}
	return a, nil
}

// waitForPeers returns once an agent without a log may take part. Where the others have one, this agent had a vote that it has forgotten, and
// may give it twice, unless all others are up, follow one leader and have applied as much as it: then whoever could be elected
// has all that was ever confirmed. Where nobody has, the group is new.
func (a *Agent) waitForPeers() error {
	ctx := a.opt.StartContext
	if ctx == nil {
		ctx = context.Background()
	}
	for told := false; ; {
		c := Client{}
		for _, p := range a.opt.Peers {
			if p.ID != a.opt.ID {
				c.Addrs = append(c.Addrs, p.API)
			}
		}
		began, level := false, true
		leaders := map[string]bool{}
		var least, most uint64
		for i, s := range c.Status(ctx) {
			began = began || s.Applied > 0
			leaders[s.Leader] = true
			if i == 0 {
				least = s.Applied
			}
			least, most = min(least, s.Applied), max(most, s.Applied)
		}
		level = len(leaders) == 1 && !leaders[""] && !leaders[a.opt.ID] && least == most
		if !began || level {
			return nil
		}
		if !told {
			told = true
			a.opt.Log.Warn("the folder is empty, the group is not new: waiting until all others are up and level", slog.String("reason", "AGENT_EMPTY"))
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("agent.dir: empty, and the others were never all up and level: %w", ctx.Err())
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// logWriter passes the Raft library's lines on.
type logWriter struct{ log *slog.Logger }

func (w logWriter) Write(b []byte) (int, error) {
	w.log.Warn("raft", slog.String("line", string(b[:max(0, len(b)-1)])))
	return len(b), nil
}

// Serve answers commands and instances until Stop.
func (a *Agent) Serve(l net.Listener) error {
	if err := a.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Stop leaves the others in an orderly way and closes the durable store.
func (a *Agent) Stop() error {
	a.stream.server.Stop()
	ctx, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	if a.http.Shutdown(ctx) != nil {
		a.http.Close() // watches that still wait
	}
	a.stream.stop()
	a.leader.stop()
	err := a.raft.Shutdown().Error()
	a.closeStorage()
	return err
}

func (a *Agent) closeStorage() {
	if a.transport != nil {
		a.transport.Close()
	}
	if a.bolt != nil {
		a.bolt.Close()
	}
}

// Status is what an agent says of itself.
type Status struct {
	ID             string `json:"id"`
	State          string `json:"state"`
	Leader         string `json:"leader"`
	Applied        uint64 `json:"applied"`
	SnapshotFormat int    `json:"format"` // of its snapshots: what it knows of; 0: it is older than that it tells
}

func (a *Agent) handleStatus(w http.ResponseWriter, _ *http.Request) {
	_, leader := a.raft.LeaderWithID()
	writeJSON(w, http.StatusOK, Status{ID: a.opt.ID, State: a.raft.State().String(), Leader: string(leader), Applied: a.raft.AppliedIndex(), SnapshotFormat: snapshotFormat})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// redirectUnlessLeader sends a client to the leader; false where this agent leads, and has just made sure that it does.
func (a *Agent) redirectUnlessLeader(w http.ResponseWriter, r *http.Request) bool {
	if a.raft.State() == raft.Leader && a.raft.VerifyLeader().Error() == nil {
		return false
	}
	a.redirectToLeader(w, r)
	return true
}

// redirectToLeader sends a client to the leader, as far as this agent knows who that is.
func (a *Agent) redirectToLeader(w http.ResponseWriter, r *http.Request) {
	_, id := a.raft.LeaderWithID()
	for _, p := range a.opt.Peers {
		if p.ID == string(id) && p.ID != a.opt.ID {
			http.Redirect(w, r, "http://"+p.API+r.URL.RequestURI(), http.StatusTemporaryRedirect)
			return
		}
	}
	http.Error(w, "no leader at the moment", http.StatusServiceUnavailable)
}

// allowsStale tells whether the caller takes what this agent has, however old.
func allowsStale(r *http.Request) bool { return r.URL.Query().Has("stale") }

func (a *Agent) handleList(w http.ResponseWriter, r *http.Request) {
	if allowsStale(r) || !a.redirectUnlessLeader(w, r) {
		writeJSON(w, http.StatusOK, a.store.versions())
	}
}

// handleGet returns an entry: the latest, from the leader; or with stale what this agent has, waiting until it is
// another version than after.
func (a *Agent) handleGet(w http.ResponseWriter, r *http.Request) {
	if !allowsStale(r) && a.redirectUnlessLeader(w, r) {
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(min(time.Duration(max(ms, 0))*time.Millisecond, maxPollWait))
	defer end.Stop()
	for {
		e, found, changed := a.store.get(r.PathValue("name"))
		if found && e.Version != after {
			writeJSON(w, http.StatusOK, e)
			return
		}
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-end.C:
		}
		if found {
			w.WriteHeader(http.StatusNoContent)
		} else {
			http.Error(w, "no such instance", http.StatusNotFound)
		}
		return
	}
}

// handlePut writes or takes away an entry through the log. A configuration that an instance could not start from is
// refused before it gets there.
func (a *Agent) handlePut(w http.ResponseWriter, r *http.Request) {
	if a.redirectUnlessLeader(w, r) {
		return
	}
	c := command{Name: r.PathValue("name"), RequestID: r.Header.Get("Change-Id")}
	if s := r.Header.Get("If-Version"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			http.Error(w, "If-Version: not a version", http.StatusBadRequest)
			return
		}
		c.IfVersion = &n
	}
	if r.Method == http.MethodPut {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
		if err != nil {
			http.Error(w, "configuration: not whole or too large", http.StatusRequestEntityTooLarge)
			return
		}
		if err := a.opt.ValidateConfig(c.Name, body); err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
		c.Config = body
	}
	v, err := a.propose(c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	switch v := v.(type) {
	case Entry:
		v.Config = nil
		writeJSON(w, http.StatusOK, v)
	case error:
		status := http.StatusInternalServerError
		if errors.Is(v, errConflict) {
			status = http.StatusConflict
		}
		http.Error(w, v.Error(), status)
	}
}

// propose has a change made through the log and returns what the log says to it. After an error it may or may not be in the log:
// the caller looks, or asks again by the same id.
func (a *Agent) propose(c command) (any, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	f := a.raft.Apply(data, applyTimeout)
	if err := f.Error(); err != nil {
		return nil, fmt.Errorf("not confirmed: %w", err)
	}
	return f.Response(), nil
}
