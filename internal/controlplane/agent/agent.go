package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"spindlehitch/internal/process/config"
)

const (
	applyTimeout   = 5 * time.Second
	maxConfigBytes = 4 << 20
	maxPollWait    = time.Minute
	// defaultElectionTimeout is the shortest time without contact with the leader after which a follower starts an election. Raft
	// randomizes it up to twice this value.
	defaultElectionTimeout = 750 * time.Millisecond
)

// Peers lists all agents of a group.
type Peers []config.Peer

// ServerAddr implements raft.ServerAddressProvider.
func (p Peers) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	for _, peer := range p {
		if peer.ID == string(id) {
			return raft.ServerAddress(peer.Raft), nil
		}
	}
	return "", fmt.Errorf("agent.peer: %q is not one of the configured peers", id)
}

// Options configure an agent.
type Options struct {
	ID              string
	Dir             string                                 // holds its log, votes and snapshots
	Peers           Peers                                  // all agents, including this one
	ValidateConfig  func(name string, config []byte) error // returns an error if the instance could not start with the configuration
	Log             *slog.Logger
	ElectionTimeout time.Duration   // timeout of heartbeats and elections; 0: defaultElectionTimeout
	StartContext    context.Context // its end makes a waiting Start fail; nil: Start waits without limit
}

// Agent is one of the few processes that replicate the control state. Start creates it; Stop ends its
// goroutines and closes its storage.
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
	applied   appliedState
}

// Serve answers requests until Stop.
func (a *Agent) Serve(l net.Listener) error {
	if err := a.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Stop ends the streams, requests and loops, shuts Raft down and closes the storage. The agent stays a
// member of the Raft group.
func (a *Agent) Stop() error {
	a.stream.server.Stop()
	ctx, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	if a.http.Shutdown(ctx) != nil {
		a.http.Close() // ends long polls that are still waiting
	}
	a.stream.stop()
	a.leader.stop()
	err := a.raft.Shutdown().Error()
	a.closeStorage()
	return err
}

// Status is an agent's report of its Raft state.
type Status struct {
	ID             string `json:"id"`
	State          string `json:"state"`
	Leader         string `json:"leader"`
	Applied        uint64 `json:"applied"`
	SnapshotFormat int    `json:"format"` // newest snapshot format that it reads; 0: an older program that does not report it
}

// handleStatus serves GET /v1/status.
func (a *Agent) handleStatus(w http.ResponseWriter, _ *http.Request) {
	_, leader := a.raft.LeaderWithID()
	writeJSON(w, Status{ID: a.opt.ID, State: a.raft.State().String(), Leader: string(leader), Applied: a.raft.AppliedIndex(), SnapshotFormat: snapshotFormat})
}

// propose appends a command to the log and returns the state machine's result. After an error it is
// unknown whether the command was committed: the caller has to read the state, or propose the command
// again with the same request id.
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
