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

// command is an entry of the log. It concerns one instance's configuration unless one of the later
// fields is set.
type command struct {
	Name         string              `json:"name,omitempty"`
	Config       json.RawMessage     `json:"config,omitempty"` // empty: delete it
	IfVersion    *uint64             `json:"if,omitempty"`     // only if the entry has this version; 0: if there is none
	RequestID    string              `json:"id,omitempty"`     // drawn by the caller: a change that arrives twice is made once
	QuotaConfig  *quota.Config       `json:"set,omitempty"`    // replace the fleet's budgets
	Join         *quota.Member       `json:"join,omitempty"`   // add a session
	Leave        []string            `json:"leave,omitempty"`  // remove sessions
	LeaseConfig  *lease.Config       `json:"tasks,omitempty"`  // replace the fleet's tasks
	LeaseEvents  []lease.Event       `json:"orders,omitempty"` // change leases
	HighestToken uint64              `json:"seen,omitempty"`   // with events or alone: a token that a guarded resource was shown
	StreamChange *watchstream.Change `json:"feed,omitempty"`   // change targets and shared configuration
}

// maxRecentChanges bounds the changes that are recognized by their request ids.
const maxRecentChanges = 256

// joinResponse answers a join.
type joinResponse struct {
	Member      quota.Member `json:"member"`
	QuotaConfig quota.Config `json:"doc"`
}

// errConflict answers a change whose condition does not hold.
var errConflict = errors.New("the entry has another version")

// Apply implements raft.FSM. It returns the command's result, or an error.
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
				return result // a repeated request, whose first answer was lost
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

// isFleet reports whether the command changes the registry.
func (c *command) changesRegistry() bool {
	return c.QuotaConfig != nil || c.Join != nil || len(c.Leave) > 0 || c.LeaseConfig != nil || len(c.LeaseEvents) > 0 || c.HighestToken > 0
}

// applyFleet changes the registry. The caller holds mu.
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

// applyStreamChange applies a change of targets or shared configuration. The caller holds mu.
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

// rememberChange records the result of a change with a request id. The caller holds mu.
func (s *store) recordResult(result Entry) {
	if result.RequestID == "" {
		return
	}
	result.Config = nil
	s.recentResults = append(s.recentResults, result)
	s.recentResults = s.recentResults[max(0, len(s.recentResults)-maxRecentChanges):]
}

// notifyWatchers wakes everybody who waits for a change. The caller holds mu.
func (s *store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}
