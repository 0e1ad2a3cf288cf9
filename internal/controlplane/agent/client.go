package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"spindlehitch/internal/controlplane/quota"
)

// Client calls the agents' HTTP API. It tries them in turn until one responds, and follows its redirect
// to the leader.
type Client struct {
	Addrs []string
	// FallbackAddrs returns addresses of further agents to call if none of Addrs responds; nil: there are none.
	FallbackAddrs func() []string
	http          http.Client
	preferred     atomic.Int64 // index in Addrs of the agent to call first: the last that responded, or the one after an agent that failed
	lastResponder atomic.Pointer[responder]
}

// Timeouts and delays of calls.
const (
	callTimeout = 8 * time.Second
	// attemptTimeout is the time that one agent has to respond before the next is called. Each round over all
	// agents doubles it up to maxAttemptTimeout: with a fixed timeout, an overloaded group would fail every attempt.
	attemptTimeout    = 400 * time.Millisecond
	maxAttemptTimeout = 2 * time.Second
	minAttemptTimeout = 20 * time.Millisecond
	// statusTimeout is the time that an agent has to respond to a status request.
	statusTimeout = time.Second
	watchWait     = time.Second            // how long an agent may hold a long poll
	retryDelayMin = 100 * time.Millisecond // between rounds; grows up to retryDelayMax
	retryDelayMax = 400 * time.Millisecond
)

// responder is an agent that responded, and the time of its response.
type responder struct {
	addr string
	at   time.Time
}

// LastResponder returns the address of the agent that gave the last conclusive response; empty: none did
// within the given time.
func (c *Client) LastResponder(within time.Duration) string {
	if a := c.lastResponder.Load(); a != nil && time.Since(a.at) < within {
		return a.addr
	}
	return ""
}

// ErrNotFound is the error for HTTP status 404: the instance is not configured, or the stream has no
// change yet.
var ErrNotFound = errors.New("no such instance")

// RejectedError is a rejection that does not depend on which agent handles the request. The client does
// not retry it.
type RejectedError struct {
	Status int
	Text   string
}

// Error returns the agent's text.
func (r *RejectedError) Error() string { return r.Text }

// call is one request, for any agent that can handle it.
type call struct {
	method, path string
	ifVersion    string
	id           string // request id of a change: a change that arrives twice is applied once
	body         []byte
}

// callAny calls the agents in turn until one gives a conclusive response, starting with the preferred one.
// ctx bounds the whole call; an agent that does not respond costs one attempt timeout. Without a leader
// it starts another round after a delay until ctx ends; the error then joins the last failure of each agent.
func (c *Client) callAny(ctx context.Context, call call) ([]byte, error) {
	if len(c.Addrs) == 0 {
		return nil, errors.New("no agent addresses are configured")
	}
	failures := make([]error, len(c.Addrs)+1) // the last failure of each agent; the last element is for the fallbacks
	timeout := attemptTimeout
	respBody, err := backoff.Retry(ctx, func() ([]byte, error) {
		defer func() { timeout = min(2*timeout, maxAttemptTimeout) }()
		return c.callEach(ctx, call, timeout, failures)
	}, backoff.WithBackOff(newBackoff()), backoff.WithMaxElapsedTime(0))
	if ctx.Err() != nil && !isConclusive(err) {
		err = errors.Join(failures...)
	}
	return respBody, err
}

// newBackoff returns the delays between rounds. They are random, so that instances that lost their
// agents at the same time do not all retry at the same time.
func newBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{InitialInterval: retryDelayMin, RandomizationFactor: 0.5, Multiplier: 1.5, MaxInterval: retryDelayMax}
}

// isConclusive reports whether a call needs no other agent: it succeeded, or was rejected for a reason that
// any agent would give.
func isConclusive(err error) bool {
	var rejected *RejectedError
	return err == nil || errors.Is(err, ErrNotFound) || errors.As(err, &rejected)
}

// callEach calls each agent once until one gives a conclusive response, and records the failures of the
// others. The fallbacks are called after all configured agents have failed.
func (c *Client) callEach(ctx context.Context, call call, timeout time.Duration, failures []error) ([]byte, error) {
	first := int(c.preferred.Load())
	for i := range c.Addrs {
		index := (first + i) % len(c.Addrs)
		attempt := timeout
		if deadline, ok := ctx.Deadline(); ok {
			attempt = max(min(attempt, time.Until(deadline)/2), minAttemptTimeout) // leaves half of the remaining time for the next agent
		}
		_, respBody, err := c.callAgent(ctx, c.Addrs[index], call, attempt)
		if isConclusive(err) {
			c.preferred.Store(int64(index))
			return respBody, c.recordResponder(c.Addrs[index], err)
		}
		if ctx.Err() == nil || failures[index] == nil {
			failures[index] = err
		}
		c.preferred.CompareAndSwap(int64(index), int64((index+1)%len(c.Addrs))) // the next call starts with another agent
		if ctx.Err() != nil {
			break
		}
	}
	if c.FallbackAddrs == nil || ctx.Err() != nil {
		return nil, errors.Join(failures...)
	}
	for _, addr := range c.FallbackAddrs() {
		if slices.Contains(c.Addrs, addr) || ctx.Err() != nil {
			continue
		}
		_, respBody, err := c.callAgent(ctx, addr, call, timeout)
		if isConclusive(err) {
			return respBody, c.recordResponder(addr, err)
		}
		failures[len(c.Addrs)] = err
	}
	return nil, errors.Join(failures...)
}

// recordResponder records the agent that responded. A rejection ends the call without calling other
// agents.
func (c *Client) recordResponder(addr string, err error) error {
	c.lastResponder.Store(&responder{addr, time.Now()})
	if err != nil {
		return backoff.Permanent(err)
	}
	return nil
}

// callAgent calls one agent, and the leader if that agent redirects to it; each has the given time to
// respond. Errors contain the address of the agent that failed.
func (c *Client) callAgent(ctx context.Context, addr string, call call, timeout time.Duration) (int, []byte, error) {
	status, respBody, leader, err := c.roundTrip(ctx, addr, call, timeout)
	if leader != "" && leader != addr {
		status, respBody, leader, err = c.roundTrip(ctx, leader, call, timeout)
	}
	if leader != "" {
		err = fmt.Errorf("agent %s: the leader is changing", addr)
	}
	return status, respBody, err
}

// roundTrip makes one HTTP request to an agent; leader is set if the agent redirects to it.
func (c *Client) roundTrip(ctx context.Context, addr string, call call, timeout time.Duration) (status int, respBody []byte, leader string, err error) {
	ctx, done := context.WithTimeoutCause(ctx, timeout, fmt.Errorf("no answer within %v", timeout))
	defer done()
	defer func() {
		if !isConclusive(err) {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			err = fmt.Errorf("agent %s: %w", addr, err)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, call.method, "http://"+addr+call.path, bytes.NewReader(call.body))
	if err != nil {
		return 0, nil, "", err
	}
	if call.ifVersion != "" {
		req.Header.Set("If-Version", call.ifVersion)
	}
	if call.id != "" {
		req.Header.Set("Change-Id", call.id)
	}
	// Uses the transport, which does not follow redirects: callAgent follows one with a timeout of its own.
	resp, err := c.roundTripper().RoundTrip(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	respBody, err = io.ReadAll(io.LimitReader(resp.Body, 2*maxConfigBytes))
	text := strings.TrimSpace(string(respBody))
	switch {
	case err != nil:
		return 0, nil, "", err
	case resp.StatusCode == http.StatusTemporaryRedirect:
		location, err := url.Parse(resp.Header.Get("Location"))
		if err != nil || location.Host == "" {
			return 0, nil, "", errors.New("the redirect has no valid leader address")
		}
		return resp.StatusCode, nil, location.Host, nil
	case resp.StatusCode == http.StatusNotFound:
		return resp.StatusCode, nil, "", ErrNotFound
	case resp.StatusCode == http.StatusServiceUnavailable:
		return resp.StatusCode, nil, "", errors.New(text)
	case resp.StatusCode >= 300:
		return resp.StatusCode, nil, "", &RejectedError{resp.StatusCode, text}
	}
	return resp.StatusCode, respBody, "", nil
}

// roundTripper returns the HTTP transport in use.
func (c *Client) roundTripper() http.RoundTripper {
	if c.http.Transport != nil {
		return c.http.Transport
	}
	return http.DefaultTransport
}

// withCallTimeout bounds a call by an operator's command to callTimeout.
func withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout)
}

// fetch makes a call within callTimeout and decodes its response.
func fetch[T any](ctx context.Context, c *Client, call call) (v T, _ error) {
	ctx, done := withCallTimeout(ctx)
	defer done()
	respBody, err := c.callAny(ctx, call)
	return decode[T](respBody, err)
}

// decode decodes an agent's response. It passes err through.
func decode[T any](respBody []byte, err error) (v T, _ error) {
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(respBody, &v); err != nil {
		return v, fmt.Errorf("agent's response: %w", err)
	}
	return v, nil
}

// sendJSON makes a call with a JSON body and decodes its response. Status 409 (conflict) is returned as a
// quota.RejectionError.
func sendJSON[T any](ctx context.Context, c *Client, method, path string, body any) (v T, err error) {
	text, err := json.Marshal(body)
	if err != nil {
		return v, err
	}
	v, err = decode[T](c.callAny(ctx, call{method: method, path: path, body: text}))
	var rejected *RejectedError
	if errors.As(err, &rejected) && rejected.Status == http.StatusConflict {
		err = quota.RejectionError(rejected.Text)
	}
	return v, err
}
