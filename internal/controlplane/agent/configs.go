package agent

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// handleList serves GET /v1/instances with the names and versions of all configurations.
func (a *Agent) handleList(w http.ResponseWriter, r *http.Request) {
	if a.allowRead(w, r) {
		writeJSON(w, a.store.versions())
	}
}

// handleGet serves GET /v1/instances/{name}, a long poll: it waits until the instance's configuration has
// another version than the after parameter. The read is linearizable at the leader, and with the stale
// parameter from this agent's state. A wait at the leader ends with its term.
func (a *Agent) handleGet(w http.ResponseWriter, r *http.Request) {
	var termEnded <-chan struct{} // nil for a stale read, so that it is never ready
	if !allowsStale(r) {
		var ok bool
		if termEnded, ok = a.beginRead(w, r); !ok {
			return
		}
	}
	after, wait := parsePoll(r)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		e, found, changed := a.store.get(r.PathValue("name"))
		if found && e.Version != after {
			writeJSON(w, e)
			return
		}
		select {
		case <-changed:
			continue
		case <-termEnded:
			a.redirectToLeader(w, r)
			return
		case <-r.Context().Done():
			return
		case <-timer.C:
		}
		if found {
			w.WriteHeader(http.StatusNoContent)
		} else {
			http.Error(w, "no such instance", http.StatusNotFound)
		}
		return
	}
}

// handlePut serves PUT and DELETE /v1/instances/{name}: it writes or deletes an instance's configuration
// through the log. A configuration that the instance could not start with is rejected before that.
func (a *Agent) handlePut(w http.ResponseWriter, r *http.Request) {
	if a.redirectIfNotLeader(w, r) {
		return
	}
	c := command{Name: r.PathValue("name"), RequestID: r.Header.Get("Change-Id")}
	if s := r.Header.Get("If-Version"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			http.Error(w, "If-Version: not a version", http.StatusBadRequest)
			return
		}
		c.IfVersion = &n
	}
	if r.Method == http.MethodPut {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
		if err != nil {
			http.Error(w, "configuration: not whole or too large", http.StatusRequestEntityTooLarge)
			return
		}
		if err := a.opt.ValidateConfig(c.Name, body); err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
		c.Config = body
	}
	v, err := a.propose(c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	switch v := v.(type) {
	case Entry:
		v.Config = nil
		writeJSON(w, v)
	case error:
		status := http.StatusInternalServerError
		if errors.Is(v, errConflict) {
			status = http.StatusConflict
		}
		http.Error(w, v.Error(), status)
	}
}
