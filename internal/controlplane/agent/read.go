package agent

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"
)

// readTimeout bounds how long a linearizable read waits until this agent may answer it.
const readTimeout = 5 * time.Second

// beginRead waits until this agent may answer a linearizable read from its state: it leads, it has applied everything that earlier
// terms have committed, and a majority has confirmed, after the read arrived, that no later term has begun. Every write of the term
// that was acknowledged is applied here before its answer is sent. The channel is closed once the term has ended. If ok is false,
// the caller has been answered: redirected to the leader, or told to retry.
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

// mayAnswer reports whether this agent may answer the read from its state: a linearizable one once beginRead allows it, a stale one
// at once. If not, the caller has been answered.
func (a *Agent) allowRead(w http.ResponseWriter, r *http.Request) bool {
	if allowsStale(r) {
		return true
	}
	_, ok := a.beginRead(w, r)
	return ok
}

// allowsStale reports whether the caller accepts this agent's state, however old it is.
func allowsStale(r *http.Request) bool { return r.URL.Query().Has("stale") }

// pollParameters returns the version that a waiting read has, and how long it waits at most.
func parsePoll(r *http.Request) (after uint64, wait time.Duration) {
	query := r.URL.Query()
	after, _ = strconv.ParseUint(query.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(query.Get("wait_ms"))
	return after, min(time.Duration(max(ms, 0))*time.Millisecond, maxPollWait)
}
