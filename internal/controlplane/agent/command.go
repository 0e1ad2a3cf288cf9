package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/controlplane/lease"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/failpoint"
)

// command is the content of a log entry. It changes one instance's configuration unless one of the fields
// from QuotaConfig on is set.
type command struct {
	Name         string              `json:"name,omitempty"`
	Config       json.RawMessage     `json:"config,omitempty"` // empty: delete the entry
	IfVersion    *uint64             `json:"if,omitempty"`     // apply only if the entry has this version; 0: only if there is no entry
	RequestID    string              `json:"id,omitempty"`     // chosen at random by the caller: a change that arrives twice is applied once
	QuotaConfig  *quota.Config       `json:"set,omitempty"`    // replace the fleet's budgets
	Join         *quota.Member       `json:"join,omitempty"`   // add a session
	Leave        []string            `json:"leave,omitempty"`  // remove sessions
	LeaseConfig  *lease.Config       `json:"tasks,omitempty"`  // replace the fleet's tasks
	LeaseEvents  []lease.Event       `json:"orders,omitempty"` // change leases
	HighestToken uint64              `json:"seen,omitempty"`   // with events or alone: highest token that a guarded resource has seen
	StreamChange *watchstream.Change `json:"feed,omitempty"`   // change targets and shared configuration
}

// maxRecentResults bounds the results that are kept to recognize repeated request ids.
const maxRecentResults = 256

// joinResponse is the response to a join.
type joinResponse struct {
	Member      quota.Member `json:"member"`
	QuotaConfig quota.Config `json:"doc"`
}

// errConflict rejects a change whose IfVersion is not the entry's version.
var errConflict = errors.New("the entry has another version")

// Apply implements raft.FSM. It applies a command and returns its result, or an error.
func (s *store) Apply(l *raft.Log) any {
	failpoint.Hit("agent.apply")
	var c command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return fmt.Errorf("log entry %d: %w", l.Index, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied = l.Index
	if c.RequestID != "" {
		for _, result := range s.recentResults {
			if result.RequestID == c.RequestID {
				return result // the caller retried because the first response was lost
			}
		}
	}
	switch {
	case c.StreamChange != nil && !c.changesRegistry():
		return s.applyStreamChange(l, c)
	case c.changesRegistry():
		defer s.notifyWatchers()
		return s.applyToRegistry(l.Index, c)
	}
	return s.applyConfig(l.Index, c)
}

// changesRegistry reports whether the command changes the registry.
func (c *command) changesRegistry() bool {
	return c.QuotaConfig != nil || c.Join != nil || len(c.Leave) > 0 || c.LeaseConfig != nil || len(c.LeaseEvents) > 0 || c.HighestToken > 0
}

// applyToRegistry applies a command that changes the registry. The caller holds mu.
func (s *store) applyToRegistry(index uint64, c command) any {
	switch {
	case c.QuotaConfig != nil:
		if err := s.registryState.SetQuotaConfig(index, *c.QuotaConfig); err != nil {
			return &RejectedError{http.StatusUnprocessableEntity, err.Error()}
		}
		return s.registryState.QuotaConfig
	case c.Join != nil:
		m, err := s.registryState.Join(index, *c.Join)
		if err != nil {
			return err
		}
		return joinResponse{m, s.registryState.QuotaConfig}
	case len(c.Leave) > 0:
		s.registryState.Leave(c.Leave...)
		return struct{}{}
	case c.LeaseConfig != nil:
		if err := s.registryState.SetLeaseConfig(index, *c.LeaseConfig); errors.Is(err, quota.ErrNoBudgets) {
			return err
		} else if err != nil {
			return &RejectedError{http.StatusUnprocessableEntity, err.Error()}
		}
		return s.registryState.LeaseConfig
	}
	return s.registryState.ApplyEvents(index, c.HighestToken, c.LeaseEvents)
}

// applyStreamChange applies a change of the watch stream's targets or shared configuration. The caller
// holds mu.
func (s *store) applyStreamChange(l *raft.Log, c command) any {
	v, err := s.stream.apply(l, *c.StreamChange)
	if err != nil {
		return err
	}
	e := Entry{Version: v, RequestID: c.RequestID}
	s.recordResult(e)
	s.notifyWatchers()
	return e
}

// applyConfig sets or deletes one instance's configuration. The caller holds mu.
func (s *store) applyConfig(index uint64, c command) any {
	if current := s.entries[c.Name]; c.IfVersion != nil && current.Version != *c.IfVersion {
		return fmt.Errorf("%s: %w: %d", c.Name, errConflict, current.Version)
	}
	e := Entry{Name: c.Name, Version: index, Config: c.Config, RequestID: c.RequestID}
	if len(c.Config) == 0 {
		delete(s.entries, c.Name)
	} else {
		s.entries[c.Name] = e
	}
	s.recordResult(e)
	s.notifyWatchers()
	return e
}

// recordResult keeps the result of a change with a request id for its repetitions. The caller holds mu.
func (s *store) recordResult(result Entry) {
	if result.RequestID == "" {
		return
	}
	result.Config = nil
	s.recentResults = append(s.recentResults, result)
	s.recentResults = s.recentResults[max(0, len(s.recentResults)-maxRecentResults):]
}

// notifyWatchers wakes all goroutines that wait for a change. The caller holds mu.
func (s *store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}
