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

// Client calls the agents: any of them that answers, and through it the leader.
type Client struct {
	Addrs []string
	// FallbackAddrs returns further agents to call if none of Addrs answers; nil: there are none.
	FallbackAddrs func() []string
	http          http.Client
	preferred     atomic.Int64 // index of the address that answered last
	lastResponder atomic.Pointer[responder]
}

// Times of calls.
const (
	callTimeout = 8 * time.Second
	// attemptTimeout is the time for one agent before the next is called. Each round over all agents doubles it
	// up to maxAttemptTimeout, so that a busy group is not taken for a silent one for ever.
	attemptTimeout    = 400 * time.Millisecond
	maxAttemptTimeout = 2 * time.Second
	minAttemptTimeout = 20 * time.Millisecond
	// statusTimeout is the time for an agent to answer a status request.
	statusTimeout = time.Second
	watchWait     = time.Second
	retryDelayMin = 100 * time.Millisecond // between rounds, growing up to retryDelayMax
	retryDelayMax = 400 * time.Millisecond
)

// agentAnswer is an agent that answered, and when.
type responder struct {
	addr string
	at   time.Time
}

// LastResponder returns the address of the agent that answered last, if that was within the given time; empty: none did.
func (c *Client) LastResponder(within time.Duration) string {
	if a := c.lastResponder.Load(); a != nil && time.Since(a.at) < within {
		return a.addr
	}
	return ""
}

// ErrNotFound says that no such instance is configured.
var ErrNotFound = errors.New("no such instance")

// RejectedError is an agent's answer that another agent would give as well.
type RejectedError struct {
	Status int
	Text   string
}

// Error returns the agent's text.
func (r *RejectedError) Error() string { return r.Text }

// call is one request, for whichever agent can answer it.
type call struct {
	method, path string
	ifVersion    string
	id           string // of a change: an agent that receives it twice makes it once
	body         []byte
}

// do calls the agents in turn until one answers, starting with the one that answered last. The
// caller's time is for the whole call; a silent agent costs one attempt. While there is no leader it
// starts over until ctx ends; the error then has each agent's last one.
func (c *Client) callAny(ctx context.Context, call call) ([]byte, error) {
	if len(c.Addrs) == 0 {
		return nil, errors.New("no agents are named")
	}
	failures := make([]error, len(c.Addrs)+1) // the last of each agent, and of the fallbacks
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

// newBackoff returns the waits between rounds. They are random, so that instances that lost their
// agents together do not come back together.
func newBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{InitialInterval: retryDelayMin, RandomizationFactor: 0.5, Multiplier: 1.5, MaxInterval: retryDelayMax}
}

// isAnswer reports whether an agent has answered, if only with a rejection.
func isConclusive(err error) bool {
	var rejected *RejectedError
	return err == nil || errors.Is(err, ErrNotFound) || errors.As(err, &rejected)
}

// tryAll calls each agent once until one has answered, and records the failures of the others.
func (c *Client) callEach(ctx context.Context, call call, timeout time.Duration, failures []error) ([]byte, error) {
	first := int(c.preferred.Load())
	for i := range c.Addrs {
		index := (first + i) % len(c.Addrs)
		attempt := timeout
		if deadline, ok := ctx.Deadline(); ok {
			attempt = max(min(attempt, time.Until(deadline)/2), minAttemptTimeout) // leaves time for the next agent
		}
		_, respBody, err := c.callAgent(ctx, c.Addrs[index], call, attempt)
		if isConclusive(err) {
			c.preferred.Store(int64(index))
			return respBody, c.recordResponder(c.Addrs[index], err)
		}
		if ctx.Err() == nil || failures[index] == nil {
			failures[index] = err
		}
		c.preferred.CompareAndSwap(int64(index), int64((index+1)%len(c.Addrs))) // the next call starts elsewhere
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

// settle records who answered. A rejection ends the call: other agents are not asked.
func (c *Client) recordResponder(addr string, err error) error {
	c.lastResponder.Store(&responder{addr, time.Now()})
	if err != nil {
		return backoff.Permanent(err)
	}
	return nil
}

// callAgent calls one agent, and the leader if that agent names it; each has the given time to answer.
// Errors name the agent that they are about.
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
	// The transport alone: following a redirect is another attempt with a timeout of its own.
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
			return 0, nil, "", errors.New("it names a leader that cannot be read")
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

// transport is the HTTP transport in use.
func (c *Client) roundTripper() http.RoundTripper {
	if c.http.Transport != nil {
		return c.http.Transport
	}
	return http.DefaultTransport
}

// withCallTimeout bounds a call that an operator waits for.
func withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout)
}

// fetch makes a call within callTimeout and decodes its answer.
func fetch[T any](ctx context.Context, c *Client, call call) (v T, _ error) {
	ctx, done := withCallTimeout(ctx)
	defer done()
	respBody, err := c.callAny(ctx, call)
	return decode[T](respBody, err)
}

// decode decodes an agent's answer.
func decode[T any](respBody []byte, err error) (v T, _ error) {
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(respBody, &v); err != nil {
		return v, fmt.Errorf("agent's answer: %w", err)
	}
	return v, nil
}

// sendJSON makes a call with a JSON body and decodes its answer. A conflict is returned as a
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
