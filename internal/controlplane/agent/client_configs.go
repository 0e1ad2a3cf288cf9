package agent

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// instancePath returns the URL path of an instance's configuration.
func instancePath(name string) string { return "/v1/instances/" + url.PathEscape(name) }

// GetConfig returns the latest configuration of an instance.
func (c *Client) GetConfig(ctx context.Context, name string) (Entry, error) {
	return fetch[Entry](ctx, c, call{method: http.MethodGet, path: instancePath(name)})
}

// ListConfigs returns the names and versions of all configurations.
func (c *Client) ListConfigs(ctx context.Context) (map[string]uint64, error) {
	return fetch[map[string]uint64](ctx, c, call{method: http.MethodGet, path: "/v1/instances"})
}

// PutConfig writes a configuration; nil deletes it. If ifVersion is set, only that version is replaced. The
// request id makes the change idempotent: it is applied once, even if an agent that committed it fails
// before it responds and the next agent is called.
func (c *Client) PutConfig(ctx context.Context, name string, config []byte, ifVersion string) (Entry, error) {
	method := http.MethodPut
	if config == nil {
		method = http.MethodDelete
	}
	return fetch[Entry](ctx, c, call{method: method, path: instancePath(name), ifVersion: ifVersion, id: rand.Text(), body: config})
}

// Status requests the status of each agent. For an agent that does not respond, State is the error.
func (c *Client) Status(ctx context.Context) []Status {
	var all []Status
	for _, addr := range c.Addrs {
		_, respBody, err := c.callAgent(ctx, addr, call{method: http.MethodGet, path: "/v1/status"}, statusTimeout)
		s, err := decode[Status](respBody, err)
		if err != nil {
			s = Status{ID: addr, State: err.Error()}
		}
		all = append(all, s)
	}
	return all
}

// FollowConfig calls onChange with an instance's current configuration and then with each newer version,
// until ctx ends. It accepts stale reads from any agent, so that an instance can start and keep running
// while there is no leader. An older version, as from an agent that lags behind, is ignored. An agent
// that does not respond is detected within watchWait and one attempt timeout; the next agent is polled then.
func (c *Client) FollowConfig(ctx context.Context, name string, log *slog.Logger, onChange func(Entry)) {
	var version uint64
	delays := newBackoff()
	for next := 0; ctx.Err() == nil; {
		addr := c.Addrs[next%len(c.Addrs)]
		pollPath := instancePath(name) + "?stale&wait_ms=" + strconv.FormatInt(watchWait.Milliseconds(), 10) +
			"&after=" + strconv.FormatUint(version, 10)
		status, respBody, err := c.callAgent(ctx, addr, call{method: http.MethodGet, path: pollPath}, watchWait+attemptTimeout)
		var e Entry
		if err == nil && status == http.StatusOK {
			e, err = decode[Entry](respBody, nil)
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && e.Version > version:
			version = e.Version
			delays.Reset()
			onChange(e)
			continue
		case err == nil && status == http.StatusNoContent:
			delays.Reset()
			continue
		case err != nil:
			log.Warn("agent call failed", slog.String("reason", "AGENT_FAILED"), slog.String("agent", addr), slog.Any("error", err))
		}
		next++
		select {
		case <-ctx.Done():
		case <-time.After(delays.NextBackOff()):
		}
	}
}
