package agent

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"spindlehitch/internal/controlplane/quota"
	"time"

	"github.com/hashicorp/raft"
)

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// redirectUnlessLeader sends a client to the leader; false where this agent leads, and has just made sure that it does.
func (a *Agent) redirectUnlessLeader(w http.ResponseWriter, r *http.Request) bool {
	if a.raft.State() == raft.Leader && a.raft.VerifyLeader().Error() == nil {
		return false
	}
	a.redirectToLeader(w, r)
	return true
}

// redirectToLeader sends a client to the leader, as far as this agent knows who that is.
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

// allowsStale tells whether the caller takes what this agent has, however old.
func allowsStale(r *http.Request) bool { return r.URL.Query().Has("stale") }

func readBody[T any](w http.ResponseWriter, r *http.Request) (v T, ok bool) {
	return readBodyUpTo[T](w, r, maxRequestBytes)
}

func readBodyUpTo[T any](w http.ResponseWriter, r *http.Request, most int64) (v T, ok bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err == nil {
		err = json.Unmarshal(b, &v)
	}
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
	}
	return v, err == nil
}

// writeError answers with the reason that is told to members and operators.
func writeError(w http.ResponseWriter, err error) {
	var no quota.RejectionError
	var r *RejectedError
	switch {
	case errors.As(err, &no):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.As(err, &r):
		http.Error(w, err.Error(), r.Status)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

const (
	maxRequestBytes  = 1 << 20
	termQueryTimeout = 500 * time.Millisecond // for another agent to tell its term
	expiryInterval   = 250 * time.Millisecond
	probeResultTTL   = 10 * time.Minute // what was found out about a target is kept
)
