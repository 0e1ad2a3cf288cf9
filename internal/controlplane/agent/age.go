package agent

import (
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/process/monotone"
)

// appliedState is when this agent's state machine had everything that the agent knew to be committed.
type appliedState struct {
	mu            sync.Mutex
	verifiedIndex uint64        // index of the log up to which everything is applied
	freshAt       time.Duration // when the leader was heard that had committed no more; 0: never
}

// stateAge is how long ago this agent's state had everything that the leader had committed, as far as
// the agent was told; negative: never. The caller holds neither the store's lock nor the leader
// service's.
func (a *Agent) stateAge() (age, now time.Duration) {
	now = monotone.Now()
	contactAt := a.lastLeaderContact(now) // before the commit index is read: it only grows
	a.applied.mu.Lock()
	defer a.applied.mu.Unlock()
	if contactAt > a.applied.freshAt && a.hasAppliedCommitted() {
		a.applied.freshAt = contactAt
	}
	if a.applied.freshAt == 0 {
		return -1, now
	}
	return now - a.applied.freshAt, now
}

// ageMs is a state's age in milliseconds, as it is told; -1: unknown.
func ageMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// leaderHeardAt is when this agent led or last heard of the leader; 0: never.
func (a *Agent) lastLeaderContact(now time.Duration) time.Duration {
	if a.leader.termBegun() {
		return now
	}
	if contact := a.raft.LastContact(); !contact.IsZero() {
		return now - max(0, time.Since(contact))
	}
	return 0
}

// hasAppliedAll reports whether the state machine has applied all commands up to the commit index. Raft's own AppliedIndex counts what
// was handed to the state machine. The state machine is not told of entries without a command, so those at the end of the log
// are looked at, once. The caller holds applied.mu.
func (a *Agent) hasAppliedCommitted() bool {
	commit := a.raft.CommitIndex()
	applied := a.store.lastApplied()
	if applied == 0 {
		applied = a.lastSnapshotIndex()
	}
	for index := commit; index > max(applied, a.applied.verifiedIndex); index-- {
		var entry raft.Log
		err := a.bolt.GetLog(index, &entry)
		if errors.Is(err, raft.ErrLogNotFound) {
			break // a snapshot has it
		}
		if err != nil || entry.Type == raft.LogCommand {
			return false
		}
	}
	a.applied.verifiedIndex = max(a.applied.verifiedIndex, commit)
	return true
}

// lastSnapshotIndex is the index of the log up to which the last snapshot goes; 0: there is none.
func (a *Agent) lastSnapshotIndex() uint64 {
	index, err := strconv.ParseUint(a.raft.Stats()["last_snapshot_index"], 10, 64)
	if err != nil {
		return 0
	}
	return index
}
