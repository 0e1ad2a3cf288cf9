package agent

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// Start opens the storage, joins the Raft group and starts the services. An agent without state
// bootstraps with the configured peers; one with state continues from its log and snapshots.
func Start(opt Options) (_ *Agent, err error) {
	a := &Agent{opt: opt, store: newStore()}
	for _, p := range opt.Peers {
		if p.ID == opt.ID {
			a.self = p
		}
	}
	if a.self.ID == "" {
		return nil, fmt.Errorf("agent.id: %q is not one of the configured peers", opt.ID)
	}
	defer func() {
		if err != nil {
			a.closeStorage()
		}
	}()
	log := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: logWriter{opt.Log}})
	snapshots, err := a.openStorage(log)
	if err != nil {
		return nil, err
	}
	if err = a.startRaft(snapshots, log); err != nil {
		return nil, err
	}
	a.leader = newLeaderService(a)
	a.stream = newStreamService(a)
	a.leader.start() // started after both services are created, since the loops use both
	a.stream.start()
	a.http = http.Server{Handler: a.routes(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
	return a, nil
}

// openStorage opens the log, the snapshot store and the transport. closeStorage closes them, also after
// an error.
func (a *Agent) openStorage(log hclog.Logger) (raft.SnapshotStore, error) {
	if err := os.MkdirAll(a.opt.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("agent.dir: %w", err)
	}
	var err error
	if a.bolt, err = raftboltdb.NewBoltStore(filepath.Join(a.opt.Dir, "raft.db")); err != nil {
		return nil, fmt.Errorf("agent.dir: %w", err)
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(a.opt.Dir, 2, log)
	if err != nil {
		return nil, fmt.Errorf("agent.dir: %w", err)
	}
	advertiseAddr, err := net.ResolveTCPAddr("tcp", a.self.Raft)
	if err != nil {
		return nil, fmt.Errorf("agent.peers raft: %w", err)
	}
	// Peer addresses come from this agent's configuration file, not from the log or a snapshot.
	transport := &raft.NetworkTransportConfig{ServerAddressProvider: a.opt.Peers, MaxPool: 3, Timeout: applyTimeout, Logger: log}
	if a.transport, err = raft.NewTCPTransportWithConfig(a.self.Raft, advertiseAddr, transport); err != nil {
		return nil, fmt.Errorf("agent.peers raft: %w", err)
	}
	return snapshots, nil
}

// startRaft starts Raft. Without existing state it waits for the peers and bootstraps the group first.
func (a *Agent) startRaft(snapshots raft.SnapshotStore, log hclog.Logger) error {
	cfg := raft.DefaultConfig()
	cfg.LocalID, cfg.Logger = raft.ServerID(a.opt.ID), log
	timeout := cmp.Or(a.opt.ElectionTimeout, defaultElectionTimeout)
	cfg.HeartbeatTimeout, cfg.ElectionTimeout = timeout, timeout
	cfg.LeaderLeaseTimeout = min(cfg.LeaderLeaseTimeout, timeout*2/3) // a leader that lost its majority steps down before another is elected
	hasState, err := raft.HasExistingState(a.bolt, a.bolt, snapshots)
	if err != nil {
		return err
	}
	if !hasState {
		if err := a.waitForPeers(); err != nil {
			return err
		}
		var servers []raft.Server
		for _, p := range a.opt.Peers {
			servers = append(servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.Raft)})
		}
		if err := raft.BootstrapCluster(cfg, a.bolt, a.bolt, snapshots, a.transport, raft.Configuration{Servers: servers}); err != nil {
			return err
		}
	}
	a.raft, err = raft.NewRaft(cfg, a.store, a.bolt, a.bolt, snapshots, a.transport)
	return err
}

// routes returns the mux with the routes of the agent and of its services.
func (a *Agent) routes() *http.ServeMux {
	mux := http.NewServeMux()
	a.leader.routes(mux)
	a.stream.routes(mux)
	mux.HandleFunc("GET /v1/status", a.handleStatus)
	mux.HandleFunc("GET /v1/instances", a.handleList)
	mux.HandleFunc("GET /v1/instances/{name}", a.handleGet)
	mux.HandleFunc("PUT /v1/instances/{name}", a.handlePut)
	mux.HandleFunc("DELETE /v1/instances/{name}", a.handlePut)
	return mux
}

// waitForPeers returns once an agent without a log may join the group. If the other agents have a log,
// this agent may have voted before it lost its own log, and could vote twice in one term. It therefore
// waits until all others are up, follow the same leader and have applied the same entries: from then
// on every agent that can be elected has all committed entries. If no agent has a log, the group is new.
func (a *Agent) waitForPeers() error {
	ctx := a.opt.StartContext
	if ctx == nil {
		ctx = context.Background()
	}
	for warned := false; ; {
		c := Client{}
		for _, p := range a.opt.Peers {
			if p.ID != a.opt.ID {
				c.Addrs = append(c.Addrs, p.API)
			}
		}
		othersHaveLog := false
		leaders := map[string]bool{}
		var minApplied, maxApplied uint64
		for i, s := range c.Status(ctx) {
			othersHaveLog = othersHaveLog || s.Applied > 0
			leaders[s.Leader] = true
			if i == 0 {
				minApplied = s.Applied
			}
			minApplied, maxApplied = min(minApplied, s.Applied), max(maxApplied, s.Applied)
		}
		inSync := len(leaders) == 1 && !leaders[""] && !leaders[a.opt.ID] && minApplied == maxApplied
		if !othersHaveLog || inSync {
			return nil
		}
		if !warned {
			warned = true
			a.opt.Log.Warn("the data folder is empty and the group is not new: waiting until all other agents are up and have applied the same entries", slog.String("reason", "AGENT_EMPTY"))
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("agent.dir: the folder is empty and the other agents did not all reach the same applied index: %w", ctx.Err())
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// logWriter writes the Raft library's log lines to the agent's logger.
type logWriter struct{ log *slog.Logger }

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	w.log.Warn("raft", slog.String("line", string(b[:max(0, len(b)-1)])))
	return len(b), nil
}

// closeStorage closes the transport and the log, as far as they are open.
func (a *Agent) closeStorage() {
	if a.transport != nil {
		a.transport.Close()
	}
	if a.bolt != nil {
		a.bolt.Close()
	}
}
