package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Client speaks to the agents: any of them that answers, and through it the leader.
type Client struct {
	Addrs []string
	http  http.Client
}

const (
	callWithin = 8 * time.Second
	watchFor   = 30 * time.Second
	retryAfter = 250 * time.Millisecond
)

// ErrNotFound says that no such instance is configured.
var ErrNotFound = errors.New("no such instance")

// refusal is an agent's answer that another agent would give as well.
type refusal struct{ text string }

func (r *refusal) Error() string { return r.text }

// call asks the agents in turn until one answers. While there is no leader it tries again, until ctx ends.
func (c *Client) call(ctx context.Context, method, path, ifVersion string, body []byte) (int, []byte, error) {
	if len(c.Addrs) == 0 {
		return 0, nil, errors.New("no agents are named")
	}
	var last error
	for {
		for _, addr := range c.Addrs {
			status, answer, err := c.once(ctx, method, "http://"+addr+path, ifVersion, body)
			var no *refusal
			if err == nil || errors.Is(err, ErrNotFound) || errors.As(err, &no) {
				return status, answer, err
			}
			last = err
		}
		select {
		case <-ctx.Done():
			return 0, nil, last
		case <-time.After(retryAfter):
		}
	}
}

func (c *Client) once(ctx context.Context, method, url, ifVersion string, body []byte) (int, []byte, error) {
	ctx, done := context.WithTimeout(ctx, callWithin+watchFor)
	defer done()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if ifVersion != "" {
		req.Header.Set("If-Version", ifVersion)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 2*maxConfig))
	text := strings.TrimSpace(string(answer))
	switch {
	case err != nil:
		return 0, nil, err
	case resp.StatusCode == http.StatusNotFound:
		return resp.StatusCode, nil, ErrNotFound
	case resp.StatusCode == http.StatusServiceUnavailable:
		return resp.StatusCode, nil, errors.New(text)
	case resp.StatusCode >= 300:
		return resp.StatusCode, nil, &refusal{text}
	}
	return resp.StatusCode, answer, nil
}

func path(name string) string { return "/v1/instances/" + url.PathEscape(name) }

func bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, callWithin)
}

// Get returns the latest configuration of an instance.
func (c *Client) Get(ctx context.Context, name string) (Entry, error) {
	ctx, done := bounded(ctx)
	defer done()
	return decode[Entry](c.call(ctx, http.MethodGet, path(name), "", nil))
}

// List returns the names configured, with their versions.
func (c *Client) List(ctx context.Context) (map[string]uint64, error) {
	ctx, done := bounded(ctx)
	defer done()
	return decode[map[string]uint64](c.call(ctx, http.MethodGet, "/v1/instances", "", nil))
}

// Put writes a configuration, with ifVersion only over that version. A nil one is taken away.
func (c *Client) Put(ctx context.Context, name string, config []byte, ifVersion string) (Entry, error) {
	ctx, done := bounded(ctx)
	defer done()
	method := http.MethodPut
	if config == nil {
		method = http.MethodDelete
	}
	return decode[Entry](c.call(ctx, method, path(name), ifVersion, config))
}

// Status asks each agent for itself; one that does not answer has an error in place of a state.
func (c *Client) Status(ctx context.Context) []Status {
	var all []Status
	for _, addr := range c.Addrs {
		ctx, done := context.WithTimeout(ctx, 2*time.Second)
		s, err := decode[Status](c.once(ctx, http.MethodGet, "http://"+addr+"/v1/status", "", nil))
		done()
		if err != nil {
			s = Status{ID: addr, State: err.Error()}
		}
		all = append(all, s)
	}
	return all
}

func decode[T any](_ int, answer []byte, err error) (v T, _ error) {
	if err != nil {
		return v, err
	}
	if err := json.Unmarshal(answer, &v); err != nil {
		return v, fmt.Errorf("agent's answer: %w", err)
	}
	return v, nil
}

// Follow hands over an instance's configuration, first as it is and then whenever it changes, until ctx ends.
// It asks any agent for what that one has: an instance goes on, and starts, also while there is no leader. An
// agent that lags behind another cannot set it back.
func (c *Client) Follow(ctx context.Context, name string, log *slog.Logger, tell func(Entry)) {
	var has uint64
	for turn := 0; ctx.Err() == nil; {
		addr := c.Addrs[turn%len(c.Addrs)]
		at := "http://" + addr + path(name) + "?stale&wait_ms=" + strconv.FormatInt(watchFor.Milliseconds(), 10) +
			"&after=" + strconv.FormatUint(has, 10)
		status, answer, err := c.once(ctx, http.MethodGet, at, "", nil)
		var e Entry
		if err == nil && status == http.StatusOK {
			e, err = decode[Entry](status, answer, nil)
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && e.Version > has:
			has = e.Version
			tell(e)
			continue
		case err == nil && status == http.StatusNoContent:
			continue
		case err != nil:
			log.Warn("agent call failed", slog.String("reason", "AGENT_FAILED"), slog.String("agent", addr), slog.Any("error", err))
		}
		turn++
		select {
		case <-ctx.Done():
		case <-time.After(retryAfter):
		}
	}
}
