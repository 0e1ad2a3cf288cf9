package agent

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// readTimeout bounds how long a linearizable read waits until this agent may serve it.
const readTimeout = 5 * time.Second

// beginRead waits until this agent may serve a linearizable read from its state: it leads, it has applied all entries that earlier
// terms have committed, and a majority has confirmed, after the read arrived, that no later term has begun. Every write of its own
// term is applied here before it is acknowledged, so the state has all acknowledged writes. termEnded is closed when the term ends.
// If ok is false, beginRead has responded: with a redirect to the leader, or with 503 so that the caller retries.
func (a *Agent) beginRead(w http.ResponseWriter, r *http.Request) (termEnded <-chan struct{}, ok bool) {
	ctx, done := context.WithTimeout(r.Context(), readTimeout)
	defer done()
	termEnded, err := a.leader.confirmTerm(ctx)
	switch {
	case errors.Is(err, errNotLeading):
		a.redirectToLeader(w, r)
	case err != nil:
		writeError(w, err)
	}
	return termEnded, err == nil
}

// allowRead reports whether this agent may serve the read from its state: a stale read at once, a linearizable one after beginRead
// has allowed it. If not, beginRead has responded.
func (a *Agent) allowRead(w http.ResponseWriter, r *http.Request) bool {
	if allowsStale(r) {
		return true
	}
	_, ok := a.beginRead(w, r)
	return ok
}

// allowsStale reports whether the caller accepts this agent's state at any age.
func allowsStale(r *http.Request) bool { return r.URL.Query().Has("stale") }

// parsePoll returns the parameters of a long poll: the version or index that the caller already has, and the maximum wait, which
// maxPollWait bounds.
func parsePoll(r *http.Request) (after uint64, wait time.Duration) {
	query := r.URL.Query()
	after, _ = strconv.ParseUint(query.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(query.Get("wait_ms"))
	return after, min(time.Duration(max(ms, 0))*time.Millisecond, maxPollWait)
}
