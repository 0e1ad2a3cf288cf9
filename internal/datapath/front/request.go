package front

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/upstream"
	"spindlehitch/internal/policy"
)

// fault is a request that cannot be taken: what the client is told.
type fault struct {
	status int
	text   string
	after  time.Duration // when to come back; 0: no word on it
}

func bad(status int, format string, args ...any) *fault {
	return &fault{status: status, text: fmt.Sprintf(format, args...)}
}

// parse reads the head of a request into a job; the body comes later.
func (s *Server) parse(r *http.Request) (*core.Job, *upstream.Message, *fault) {
	// net/http takes a Content-Length beside a Transfer-Encoding for nothing and drops it, and of HTTP/1.0 takes the
	// coding for nothing: whoever stands before or after may see another request in the body.
	switch {
	case len(r.TransferEncoding) > 0 && r.ProtoAtLeast(1, 1) && !connOf(r.Context()).codedAlone(r):
		return nil, nil, bad(http.StatusBadRequest, "Transfer-Encoding: not beside a Content-Length, and not in a pipeline")
	case !r.ProtoAtLeast(1, 1):
		return nil, nil, bad(http.StatusHTTPVersionNotSupported, "%s: HTTP/1.1 is served", r.Proto)
	case r.ContentLength > upstream.MaxBody:
		return nil, nil, bad(http.StatusRequestEntityTooLarge, "body: over %d bytes", upstream.MaxBody)
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return nil, nil, bad(http.StatusBadRequest, "body: a GET has none")
	}
	for _, name := range []string{"Request-Id", "Request-Timeout-Ms", "Tier", "IO-Info"} {
		if n := len(r.Header.Values(name)); n != 1 {
			return nil, nil, bad(http.StatusBadRequest, "%s: wanted once, is there %d times", name, n)
		}
	}
	keys := r.Header.Values("Idempotency-Key")
	if len(keys) > 1 {
		return nil, nil, bad(http.StatusBadRequest, "Idempotency-Key: is there %d times", len(keys))
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPut {
		return nil, nil, bad(http.StatusMethodNotAllowed, "method %s: GET and PUT are served", r.Method)
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, nil, bad(http.StatusBadRequest, "the request's target must be a path")
	}
	class, rest, found := cutClass(r)
	key := rest[strings.LastIndexByte(rest, '/')+1:]
	if !found || class == "" || !isHex16(key) {
		return nil, nil, bad(http.StatusBadRequest, "path: wanted /class/…/key with a key of 16 hex digits")
	}
	id := r.Header.Get("Request-Id")
	if id == "" || len(id) > 64 || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return nil, nil, bad(http.StatusBadRequest, "Request-Id: wanted 1 to 64 visible characters")
	}
	ms, err := strconv.ParseUint(r.Header.Get("Request-Timeout-Ms"), 10, 31)
	// A late retry may have no whole millisecond left. That is no malformed request: it is refused, and its
	// connection lives.
	if err != nil || ms > maxTimeoutMs {
		return nil, nil, bad(http.StatusBadRequest, "Request-Timeout-Ms: wanted whole milliseconds, 0 to %d", maxTimeoutMs)
	}
	q, f := parseInfo(r.Header.Get("IO-Info"))
	if f != nil {
		return nil, nil, f
	}
	j := &core.Job{Request: q, ClientRequestID: id, Timeout: time.Duration(ms) * time.Millisecond}
	j.Class, j.Plan, j.Extent = class, r.Header.Get("Tier"), key
	m := &upstream.Message{Method: r.Method, URI: r.RequestURI, ID: id, Key: strings.Join(keys, "")}
	j.MissingKey = m.Key == ""
	admits := s.admits.Load()
	if !admits.Classes[j.Class] {
		return nil, nil, bad(http.StatusNotFound, "class %q is not served here", j.Class)
	}
	if !admits.Plans[j.Plan] {
		return nil, nil, bad(http.StatusUnprocessableEntity, "Tier: plan %q is not known here", j.Plan)
	}
	return j, m, nil
}

// cutClass cuts the class off the path, which starts with a slash.
func cutClass(r *http.Request) (class, rest string, found bool) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return strings.Cut(strings.TrimPrefix(path, "/"), "/")
}

// classOf is the class that a request names, known or not.
func classOf(r *http.Request) string {
	class, _, _ := cutClass(r)
	return class
}

// parseInfo reads IO-Info: volume, units, shard and hosts, in any order; other fields are skipped.
func parseInfo(s string) (policy.Request, *fault) {
	var q policy.Request
	var seen [4]bool
	for field := range strings.SplitSeq(s, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		var err error
		var at int
		switch name {
		case "volume":
			if at, q.Volume = 0, value; !isHex16(value) {
				err = errors.New("wanted 16 hex digits")
			}
		case "units":
			at = 1
			if q.Units, err = strconv.ParseFloat(value, 64); err == nil && !(q.Units >= 0 && q.Units < 1e6) {
				err = errors.New("out of range")
			}
		case "shard":
			at = 2
			if q.Shard, err = strconv.Atoi(value); err == nil && (q.Shard < -1 || q.Shard > 1e6) {
				err = errors.New("out of range")
			}
		case "hosts":
			at = 3
			if q.VolumeInitiators, err = strconv.Atoi(value); err == nil && (q.VolumeInitiators < 0 || q.VolumeInitiators > 1e6) {
				err = errors.New("out of range")
			}
		default:
			continue
		}
		if err != nil || seen[at] {
			return q, bad(http.StatusBadRequest, "IO-Info: %s=%.40q: not usable", name, value)
		}
		seen[at] = true
	}
	for i, name := range []string{"volume", "units", "shard", "hosts"} {
		if !seen[i] {
			return q, bad(http.StatusBadRequest, "IO-Info: %s is missing", name)
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
