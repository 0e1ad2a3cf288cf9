package agent

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/controlplane/quota"
)

// writeJSON answers with a value.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// redirectUnlessLeader redirects a caller that wants to write to the leader, and returns false if this
// agent takes itself for the leader. Whether the write is made is decided by the log; for a read that
// is not enough (beginRead).
func (a *Agent) redirectIfNotLeader(w http.ResponseWriter, r *http.Request) bool {
	if a.raft.State() == raft.Leader && a.raft.VerifyLeader().Error() == nil {
		return false
	}
	a.redirectToLeader(w, r)
	return true
}

// redirectToLeader redirects the caller to the leader, if this agent knows it.
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

// readBody decodes a request body.
func readBody[T any](w http.ResponseWriter, r *http.Request) (v T, ok bool) {
	return readBodyUpTo[T](w, r, maxRequestBytes)
}

// readBodyUpTo decodes a request body of at most so many bytes.
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

// writeError answers with an error: conflicts and rejections keep their status, everything else is
// 503, so that the caller retries elsewhere.
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
