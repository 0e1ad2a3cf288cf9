package agent

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"spindlehitch/internal/controlplane/readindex"
	"spindlehitch/internal/process/config"
)

// confirmLoop asks the other agents for their terms, one round at a time, while answers wait for it.
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

// queryMajority asks all other agents at once and returns as soon as enough of them agree.
func (s *leaderService) queryMajority(term uint64) bool {
	if s.agent.raft.CurrentTerm() != term {
		return false // this agent knows of a later term, or has voted in it
	}
	ctx, done := context.WithTimeout(s.ctx, termQueryTimeout)
	defer done()
	groupSize := len(s.agent.opt.Peers)
	replies := make(chan uint64, groupSize)
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

// fetchTerm asks another agent for its term.
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

// handleTerm answers GET /v1/term. An agent raises its term before it votes, so one that tells a term
// has not voted in a later one.
func (s *leaderService) handleTerm(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, strconv.FormatUint(s.agent.raft.CurrentTerm(), 10))
}

// confirmLeadership waits until a majority has confirmed, after this call, that no later term has
// begun. It must be called with mu held, which it releases.
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
