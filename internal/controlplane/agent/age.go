package agent

import (
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/process/monotonic"
)

// appliedState records when this agent's state machine last contained everything that the leader had committed.
type appliedState struct {
	mu            sync.Mutex    // guards the other fields
	verifiedIndex uint64        // log index up to which all commands are known to be applied
	freshAt       time.Duration // last leader contact at which all entries committed by then were applied; 0: none
}

// stateAge returns how long ago this agent's state last contained everything that the leader had
// committed, by the commit index that the leader had sent; negative: never. The caller must hold
// neither the store's lock nor the leader service's.
func (a *Agent) stateAge() (age, now time.Duration) {
	now = monotonic.Now()
	contactAt := a.lastLeaderContact(now) // read before the commit index, which only grows
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

// ageMs converts a state's age to the milliseconds of a response; -1: unknown.
func ageMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// lastLeaderContact returns now if this agent leads, else the time of its last contact with the leader; 0: never.
func (a *Agent) lastLeaderContact(now time.Duration) time.Duration {
	if a.leader.termBegun() {
		return now
	}
	if contact := a.raft.LastContact(); !contact.IsZero() {
		return now - max(0, time.Since(contact))
	}
	return 0
}

// hasAppliedCommitted reports whether the state machine has applied all commands up to the commit index. Raft's AppliedIndex also counts
// entries that were handed to the state machine and are not applied yet. The state machine does not receive entries without a command, so
// the types of the entries after its last command are read from the log, each once. The caller holds applied.mu.
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
			break // compacted: a snapshot contains it
		}
		if err != nil || entry.Type == raft.LogCommand {
			return false
		}
	}
	a.applied.verifiedIndex = max(a.applied.verifiedIndex, commit)
	return true
}

// lastSnapshotIndex returns the last log index that the newest snapshot contains; 0: there is no snapshot.
func (a *Agent) lastSnapshotIndex() uint64 {
	index, err := strconv.ParseUint(a.raft.Stats()["last_snapshot_index"], 10, 64)
	if err != nil {
		return 0
	}
	return index
}
