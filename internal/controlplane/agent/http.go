package agent

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/controlplane/quota"
)

// writeJSON writes a value as the JSON response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// redirectIfNotLeader redirects a write to the leader, and returns false if a majority has just
// confirmed this agent as the leader. Whether the write is committed is decided by the log. A read
// needs the stronger conditions of beginRead.
func (a *Agent) redirectIfNotLeader(w http.ResponseWriter, r *http.Request) bool {
	if a.raft.State() == raft.Leader && a.raft.VerifyLeader().Error() == nil {
		return false
	}
	a.redirectToLeader(w, r)
	return true
}

// redirectToLeader redirects the caller to the leader, or responds with 503 if this agent knows no other
// leader.
func (a *Agent) redirectToLeader(w http.ResponseWriter, r *http.Request) {
	_, id := a.raft.LeaderWithID()
	for _, p := range a.opt.Peers {
		if p.ID == string(id) && p.ID != a.opt.ID {
			http.Redirect(w, r, "http://"+p.API+r.URL.RequestURI(), http.StatusTemporaryRedirect)
			return
		}
	}
	http.Error(w, "no leader at the moment", http.StatusServiceUnavailable)
}

// readBody decodes a JSON request body of at most maxRequestBytes. If ok is false, it has responded
// with 400.
func readBody[T any](w http.ResponseWriter, r *http.Request) (v T, ok bool) {
	return readBodyUpTo[T](w, r, maxRequestBytes)
}

// readBodyUpTo is readBody with another limit.
func readBodyUpTo[T any](w http.ResponseWriter, r *http.Request, maxBytes int64) (v T, ok bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err == nil {
		err = json.Unmarshal(b, &v)
	}
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
	}
	return v, err == nil
}

// writeError responds with an error: 409 for a conflict, the status of a RejectedError, and 503 for all
// other errors, so that the caller retries at another agent.
func writeError(w http.ResponseWriter, err error) {
	var conflict quota.RejectionError
	var rejected *RejectedError
	switch {
	case errors.As(err, &conflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.As(err, &rejected):
		http.Error(w, err.Error(), rejected.Status)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// maxRequestBytes bounds a request body.
const maxRequestBytes = 1 << 20
