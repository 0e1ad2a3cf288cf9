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

// Client speaks to the agents: any of them that answers, and through it the leader.
type Client struct {
	Addrs []string
	// FallbackAddrs are further agents to ask where none of Addrs answers; nil: there are none.
	FallbackAddrs func() []string
	http          http.Client
	preferred     atomic.Int64 // which of Addrs answered last
	lastAnswer    atomic.Pointer[agentAnswer]
}

const (
	callTimeout = 8 * time.Second
	// attemptTimeout is what one agent gets of a call's time before the next is asked; each round over all of them doubles it,
	// up to mostTry, so that a busy group is not taken for a silent one for ever.
	attemptTimeout    = 400 * time.Millisecond
	maxAttemptTimeout = 2 * time.Second
	minAttemptTimeout = 20 * time.Millisecond
	// statusTimeout is what an agent gets to tell of itself.
	statusTimeout = time.Second
	watchWait     = time.Second
	retryDelayMin = 100 * time.Millisecond // longer by half after each further round, up to
	retryDelayMax = 400 * time.Millisecond
)

// agentAnswer is an agent that answered, and when.
type agentAnswer struct {
	addr string
	at   time.Time
}

// LastAnswered is the agent that answered last, within so long; empty: none did.
func (c *Client) LastAnswered(within time.Duration) string {
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

func (r *RejectedError) Error() string { return r.Text }

// call is one request to whichever agent can answer it.
type call struct {
	method, path string
	ifVersion    string
	id           string // of a change: an agent that meets it twice makes it once
	body         []byte
}

// do asks the agents in turn until one answers, from the one that answered last on. The caller's time is the whole call's:
// a silent agent costs a try. While there is no leader it goes round again, until ctx ends; the error then tells what came of
// each agent.
func (c *Client) do(ctx context.Context, call call) ([]byte, error) {
	if len(c.Addrs) == 0 {
		return nil, errors.New("no agents are named")
	}
	said := make([]error, len(c.Addrs)+1)
	within := attemptTimeout
	answer, err := backoff.Retry(ctx, func() ([]byte, error) {
		defer func() { within = min(2*within, maxAttemptTimeout) }()
		return c.tryAll(ctx, call, within, said)
	}, backoff.WithBackOff(newBackoff()), backoff.WithMaxElapsedTime(0))
	if ctx.Err() != nil && !isAnswer(err) {
		err = errors.Join(said...)
	}
	return answer, err
}

// newBackoff are those between rounds over agents of which none could answer. Instances that lost their agents together must not
// come back in step.
func newBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{InitialInterval: retryDelayMin, RandomizationFactor: 0.5, Multiplier: 1.5, MaxInterval: retryDelayMax}
}

// isAnswer tells whether an agent has answered, be it with a refusal.
func isAnswer(err error) bool {
	var no *RejectedError
	return err == nil || errors.Is(err, ErrNotFound) || errors.As(err, &no)
}

// tryAll asks each agent once, until one has answered, and writes down what the others said.
func (c *Client) tryAll(ctx context.Context, call call, within time.Duration, said []error) ([]byte, error) {
	from := int(c.preferred.Load())
	for i := range c.Addrs {
		at := (from + i) % len(c.Addrs)
		try := within
		if end, ok := ctx.Deadline(); ok {
			try = max(min(try, time.Until(end)/2), minAttemptTimeout) // short calls have time for the next as well
		}
		_, answer, err := c.callAgent(ctx, c.Addrs[at], call, try)
		if isAnswer(err) {
			c.preferred.Store(int64(at))
			return answer, c.settle(c.Addrs[at], err)
		}
		if ctx.Err() == nil || said[at] == nil {
			said[at] = err
		}
		c.preferred.CompareAndSwap(int64(at), int64((at+1)%len(c.Addrs))) // the next call begins elsewhere
		if ctx.Err() != nil {
			break
		}
	}
	if c.FallbackAddrs == nil || ctx.Err() != nil {
		return nil, errors.Join(said...)
	}
	for _, addr := range c.FallbackAddrs() {
		if slices.Contains(c.Addrs, addr) || ctx.Err() != nil {
			continue
		}
		_, answer, err := c.callAgent(ctx, addr, call, within)
		if isAnswer(err) {
			return answer, c.settle(addr, err)
		}
		said[len(c.Addrs)] = err
	}
	return nil, errors.Join(said...)
}

// settle notes who answered; what it refuses is not asked of others.
func (c *Client) settle(addr string, err error) error {
	c.lastAnswer.Store(&agentAnswer{addr, time.Now()})
	if err != nil {
		return backoff.Permanent(err)
	}
	return nil
}

// callAgent asks one agent, and where that one knows the leader, the leader: each has within to answer. Errors name the agent
// that they are about.
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
	// The transport alone: a redirect to the leader is another agent's turn, with a time of its own.
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

func (c *Client) transport() http.RoundTripper {
	if c.http.Transport != nil {
		return c.http.Transport
	}
	return http.DefaultTransport
}

func withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callTimeout)
}

// fetch makes a call within callWithin and reads its answer.
func fetch[T any](ctx context.Context, c *Client, call call) (v T, _ error) {
	ctx, done := withCallTimeout(ctx)
	defer done()
	answer, err := c.do(ctx, call)
	return decode[T](answer, err)
}

func decode[T any](answer []byte, err error) (v T, _ error) {
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(answer, &v); err != nil {
		return v, fmt.Errorf("agent's answer: %w", err)
	}
	return v, nil
}

func sendJSON[T any](ctx context.Context, c *Client, method, path string, body any) (v T, err error) {
	text, err := json.Marshal(body)
	if err != nil {
		return v, err
	}
	v, err = decode[T](c.do(ctx, call{method: method, path: path, body: text}))
	var no *RejectedError
	if errors.As(err, &no) && no.Status == http.StatusConflict {
		err = quota.RejectionError(no.Text)
	}
	return v, err
}
