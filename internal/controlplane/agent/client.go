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
	lastAnswer    atomic.Pointer[agentAnswer]
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
type agentAnswer struct {
	addr string
	at   time.Time
}

// LastResponder returns the address of the agent that answered last, if that was within the given time; empty: none did.
func (c *Client) LastResponder(within time.Duration) string {
	if a := c.lastAnswer.Load(); a != nil && time.Since(a.at) < within {
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
func (c *Client) do(ctx context.Context, call call) ([]byte, error) {
	if len(c.Addrs) == 0 {
		return nil, errors.New("no agents are named")
	}
	failures := make([]error, len(c.Addrs)+1) // the last of each agent, and of the fallbacks
	within := attemptTimeout
	answer, err := backoff.Retry(ctx, func() ([]byte, error) {
		defer func() { within = min(2*within, maxAttemptTimeout) }()
		return c.tryAll(ctx, call, within, failures)
	}, backoff.WithBackOff(newBackoff()), backoff.WithMaxElapsedTime(0))
	if ctx.Err() != nil && !isAnswer(err) {
		err = errors.Join(failures...)
	}
	return answer, err
}

// newBackoff returns the waits between rounds. They are random, so that instances that lost their
// agents together do not come back together.
func newBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{InitialInterval: retryDelayMin, RandomizationFactor: 0.5, Multiplier: 1.5, MaxInterval: retryDelayMax}
}

// isAnswer reports whether an agent has answered, if only with a rejection.
func isAnswer(err error) bool {
	var rejected *RejectedError
	return err == nil || errors.Is(err, ErrNotFound) || errors.As(err, &rejected)
}

// tryAll calls each agent once until one has answered, and records the failures of the others.
func (c *Client) tryAll(ctx context.Context, call call, within time.Duration, failures []error) ([]byte, error) {
	from := int(c.preferred.Load())
	for i := range c.Addrs {
		at := (from + i) % len(c.Addrs)
		try := within
		if end, ok := ctx.Deadline(); ok {
			try = max(min(try, time.Until(end)/2), minAttemptTimeout) // leaves time for the next agent
		}
		_, answer, err := c.callAgent(ctx, c.Addrs[at], call, try)
		if isAnswer(err) {
			c.preferred.Store(int64(at))
			return answer, c.settle(c.Addrs[at], err)
		}
		if ctx.Err() == nil || failures[at] == nil {
			failures[at] = err
		}
		c.preferred.CompareAndSwap(int64(at), int64((at+1)%len(c.Addrs))) // the next call starts elsewhere
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
		_, answer, err := c.callAgent(ctx, addr, call, within)
		if isAnswer(err) {
			return answer, c.settle(addr, err)
		}
		failures[len(c.Addrs)] = err
	}
	return nil, errors.Join(failures...)
}

// settle records who answered. A rejection ends the call: other agents are not asked.
func (c *Client) settle(addr string, err error) error {
	c.lastAnswer.Store(&agentAnswer{addr, time.Now()})
	if err != nil {
		return backoff.Permanent(err)
	}
	return nil
}

// callAgent calls one agent, and the leader if that agent names it; each has the given time to answer.
// Errors name the agent that they are about.
func (c *Client) callAgent(ctx context.Context, addr string, call call, within time.Duration) (int, []byte, error) {
	status, answer, leader, err := c.roundTrip(ctx, addr, call, within)
	if leader != "" && leader != addr {
		status, answer, leader, err = c.roundTrip(ctx, leader, call, within)
	}
	if leader != "" {
		err = fmt.Errorf("agent %s: the leader is changing", addr)
	}
	return status, answer, err
}

// roundTrip makes one HTTP request to an agent; leader is set if the agent redirects to it.
func (c *Client) roundTrip(ctx context.Context, addr string, call call, within time.Duration) (status int, answer []byte, leader string, err error) {
	ctx, done := context.WithTimeoutCause(ctx, within, fmt.Errorf("no answer within %v", within))
	defer done()
	defer func() {
		if !isAnswer(err) {
			if why := context.Cause(ctx); why != nil {
				err = why
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
	resp, err := c.transport().RoundTrip(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(resp.Body, 2*maxConfigBytes))
	text := strings.TrimSpace(string(answer))
	switch {
	case err != nil:
		return 0, nil, "", err
	case resp.StatusCode == http.StatusTemporaryRedirect:
		at, err := url.Parse(resp.Header.Get("Location"))
		if err != nil || at.Host == "" {
			return 0, nil, "", errors.New("it names a leader that cannot be read")
		}
		return resp.StatusCode, nil, at.Host, nil
	case resp.StatusCode == http.StatusNotFound:
		return resp.StatusCode, nil, "", ErrNotFound
	case resp.StatusCode == http.StatusServiceUnavailable:
		return resp.StatusCode, nil, "", errors.New(text)
	case resp.StatusCode >= 300:
		return resp.StatusCode, nil, "", &RejectedError{resp.StatusCode, text}
	}
	return resp.StatusCode, answer, "", nil
}

// transport is the HTTP transport in use.
func (c *Client) transport() http.RoundTripper {
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
	answer, err := c.do(ctx, call)
	return decode[T](answer, err)
}

// decode decodes an agent's answer.
func decode[T any](answer []byte, err error) (v T, _ error) {
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(answer, &v); err != nil {
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
	v, err = decode[T](c.do(ctx, call{method: method, path: path, body: text}))
	var rejected *RejectedError
	if errors.As(err, &rejected) && rejected.Status == http.StatusConflict {
		err = quota.RejectionError(rejected.Text)
	}
	return v, err
}
