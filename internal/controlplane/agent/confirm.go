package agent

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"spindlehitch/internal/controlplane/readindex"
	"spindlehitch/internal/process/config"
)

// runConfirmationRounds requests the other agents' terms, one round at a time, while responses wait for
// confirmation. It returns when the service stops.
func (s *leaderService) runConfirmationRounds() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.confirmRequested:
		}
		for {
			s.mu.Lock()
			term := s.term
			round, due := s.confirmations.StartRound(term)
			s.mu.Unlock()
			if !due {
				break
			}
			majority := term != 0 && s.queryMajority(term)
			s.mu.Lock()
			decided, void := s.confirmations.FinishRound(round)
			s.mu.Unlock()
			for _, confirmation := range decided {
				confirmation <- majority
			}
			for _, confirmation := range void {
				confirmation <- false
			}
		}
	}
}

// queryMajority requests the terms of all other agents concurrently, and reports whether a majority,
// including this agent, has no later term. It returns as soon as the majority is reached, or after termQueryTimeout.
func (s *leaderService) queryMajority(term uint64) bool {
	if s.agent.raft.CurrentTerm() != term {
		return false // this agent has seen a later term, and may have voted in it
	}
	ctx, done := context.WithTimeout(s.ctx, termQueryTimeout)
	defer done()
	groupSize := len(s.agent.opt.Peers)
	replies := make(chan uint64, groupSize) // buffered, so that a late reply does not block its goroutine
	queried := 0
	for _, p := range s.agent.opt.Peers {
		if p.ID == s.agent.opt.ID {
			continue
		}
		queried++
		go func() {
			t, err := s.fetchTerm(ctx, p)
			if err != nil {
				t = 0
			}
			replies <- t
		}()
	}
	var terms []uint64
	for range queried {
		if readindex.MajorityAgrees(term, terms, groupSize) {
			break
		}
		if reply := <-replies; reply > 0 {
			terms = append(terms, reply)
		}
	}
	return readindex.MajorityAgrees(term, terms, groupSize)
}

// fetchTerm requests another agent's current term.
func (s *leaderService) fetchTerm(ctx context.Context, p config.Peer) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.API+"/v1/term", nil)
	if err != nil {
		return 0, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 64))
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(string(b), 10, 64)
}

// handleTerm serves GET /v1/term. An agent raises its term before it votes, so an agent that
// returns a term has not voted in a later one.
func (s *leaderService) handleTerm(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, strconv.FormatUint(s.agent.raft.CurrentTerm(), 10))
}

// confirmLeadership waits for a confirmation round that starts after this call, and reports whether a
// majority agreed in it that no later term has begun. It must be called with mu held, and unlocks it.
func (s *leaderService) confirmLeadership(ctx context.Context) bool {
	result := make(chan bool, 1)
	s.confirmations.Add(s.term, result)
	s.mu.Unlock()
	select {
	case s.confirmRequested <- struct{}{}:
	default:
	}
	select {
	case ok := <-result:
		return ok
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return false
}
