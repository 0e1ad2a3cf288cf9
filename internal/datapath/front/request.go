package front

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/policy"
)

// parseHead turns the head of a request into a job and a message; receiveBody adds the body. sized is whether the head may have had a Content-Length.
func (s *Server) parseHead(r *http.Request, sized bool) (*core.Job, *upstream.Request, *requestError) {
	// net/http ignores and removes a Content-Length next to a Transfer-Encoding, and ignores the Transfer-Encoding in HTTP/1.0. A proxy
	// or target that does otherwise could take part of the body for another request (request smuggling).
	switch {
	case len(r.TransferEncoding) > 0 && r.ProtoAtLeast(1, 1) && sized:
		return nil, nil, newRequestError(http.StatusBadRequest, "Transfer-Encoding: not beside a Content-Length")
	case !r.ProtoAtLeast(1, 1):
		return nil, nil, newRequestError(http.StatusHTTPVersionNotSupported, "%s: HTTP/1.1 is served", r.Proto)
	case r.ContentLength > upstream.MaxBody:
		return nil, nil, newRequestError(http.StatusRequestEntityTooLarge, "body: over %d bytes", upstream.MaxBody)
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return nil, nil, newRequestError(http.StatusBadRequest, "body: a GET has none")
	}
	for _, name := range []string{"Request-Id", "Request-Timeout-Ms", "Tier", "IO-Info"} {
		if n := len(r.Header.Values(name)); n != 1 {
			return nil, nil, newRequestError(http.StatusBadRequest, "%s: wanted once, is there %d times", name, n)
		}
	}
	keys := r.Header.Values("Idempotency-Key")
	if len(keys) > 1 {
		return nil, nil, newRequestError(http.StatusBadRequest, "Idempotency-Key: is there %d times", len(keys))
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPut {
		return nil, nil, newRequestError(http.StatusMethodNotAllowed, "method %s: GET and PUT are served", r.Method)
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, nil, newRequestError(http.StatusBadRequest, "the request's target must be a path")
	}
	class, rest, found := splitClass(r)
	key := rest[strings.LastIndexByte(rest, '/')+1:]
	if !found || class == "" || !isHex16(key) {
		return nil, nil, newRequestError(http.StatusBadRequest, "path: wanted /class/…/key with a key of 16 hex digits")
	}
	id := r.Header.Get("Request-Id")
	if id == "" || len(id) > 64 || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return nil, nil, newRequestError(http.StatusBadRequest, "Request-Id: wanted 1 to 64 visible characters")
	}
	ms, err := strconv.ParseUint(r.Header.Get("Request-Timeout-Ms"), 10, 31)
	// A late retry may have less than a millisecond left, hence 0. That is not malformed: the core rejects it, and the
	// connection stays open.
	if err != nil || ms > maxTimeoutMs {
		return nil, nil, newRequestError(http.StatusBadRequest, "Request-Timeout-Ms: wanted whole milliseconds, 0 to %d", maxTimeoutMs)
	}
	q, reqErr := parseIOInfo(r.Header.Get("IO-Info"))
	if reqErr != nil {
		return nil, nil, reqErr
	}
	j := &core.Job{Request: q, ClientRequestID: id, Timeout: time.Duration(ms) * time.Millisecond}
	j.Class, j.Plan, j.Extent = class, r.Header.Get("Tier"), key
	m := &upstream.Request{Method: r.Method, URI: r.RequestURI, ID: id, IdempotencyKey: strings.Join(keys, "")}
	j.MissingKey = m.IdempotencyKey == ""
	allowed := s.admission.Load()
	if !allowed.Classes[j.Class] {
		return nil, nil, newRequestError(http.StatusNotFound, "class %q is not served here", j.Class)
	}
	if !allowed.Plans[j.Plan] {
		return nil, nil, newRequestError(http.StatusUnprocessableEntity, "Tier: plan %q is not known here", j.Plan)
	}
	return j, m, nil
}

// splitClass splits the path, which starts with a slash, into the class and the rest.
func splitClass(r *http.Request) (class, rest string, found bool) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return strings.Cut(strings.TrimPrefix(path, "/"), "/")
}

// classOf returns the class that a request names, which may be unknown.
func classOf(r *http.Request) string {
	class, _, _ := splitClass(r)
	return class
}

// parseIOInfo parses an IO-Info header: volume, units, shard and hosts, in any order; other fields are ignored.
func parseIOInfo(s string) (policy.Request, *requestError) {
	var q policy.Request
	var seen [4]bool
	for field := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		var err error
		var idx int
		switch name {
		case "volume":
			if idx, q.Volume = 0, value; !isHex16(value) {
				err = errors.New("wanted 16 hex digits")
			}
		case "units":
			idx = 1
			if q.Units, err = strconv.ParseFloat(value, 64); err == nil && !(q.Units >= 0 && q.Units < 1e6) {
				err = errors.New("out of range")
			}
		case "shard":
			idx = 2
			if q.Shard, err = strconv.Atoi(value); err == nil && (q.Shard < -1 || q.Shard > 1e6) {
				err = errors.New("out of range")
			}
		case "hosts":
			idx = 3
			if q.VolumeInitiators, err = strconv.Atoi(value); err == nil && (q.VolumeInitiators < 0 || q.VolumeInitiators > 1e6) {
				err = errors.New("out of range")
			}
		default:
			continue
		}
		if err != nil || seen[idx] {
			return q, newRequestError(http.StatusBadRequest, "IO-Info: %s=%.40q: not usable", name, value)
		}
		seen[idx] = true
	}
	for i, name := range []string{"volume", "units", "shard", "hosts"} {
		if !seen[i] {
			return q, newRequestError(http.StatusBadRequest, "IO-Info: %s is missing", name)
		}
	}
	return q, nil
}

func isHex16(s string) bool {
	if len(s) != 16 {
		return false
	}
	_, err := strconv.ParseUint(s, 16, 64)
	return err == nil
}
