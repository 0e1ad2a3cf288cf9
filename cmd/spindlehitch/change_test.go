package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/process/config"
)

// runCommand runs a command line; code is the exit code of the process.
func runCommand(args ...string) (out string, code int, err error) {
	var b bytes.Buffer
	root := rootCommand()
	root.SetOut(&b)
	root.SetArgs(args)
	if err = root.Execute(); err != nil {
		code = 1
		var e *exitError
		if errors.As(err, &e) {
			code = e.code
		}
	}
	return b.String(), code, err
}

// TestChangeCommands publishes changes through an agent, distributes them through a relay to an initiator, and queries where they are in
// force; it checks the table, the JSON output and the exit codes.
func TestChangeCommands(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	agentAddr, relayAddr := freeAddr(t), freeAddr(t)
	errs := make(chan error, 2)
	go func() {
		errs <- runAgent(ctx, &config.Agent{ID: "a", Dir: t.TempDir(), Peers: []config.Peer{{ID: "a", Raft: freeAddr(t), API: agentAddr}}}, discardLog)
	}()
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			cancel()
			require.NoError(t, <-errs)
			require.NoError(t, <-errs)
		}
	}
	defer stop()
	dir := t.TempDir()
	relayConfig, err := config.ReadRelay("../../deploy/relay.toml")
	require.NoError(t, err)
	relayConfig.Listen, relayConfig.Agents, relayConfig.Dir = relayAddr, []string{agentAddr}, filepath.Join(dir, "relay")
	go func() { errs <- runRelay(ctx, relayConfig, discardLog) }()
	agents := []string{"--agents", agentAddr}
	run := func(args ...string) (string, int, error) { return runCommand(append(args, agents...)...) }

	out, code, err := runCommand("change", "check", "../../deploy/change.toml", "--feed", "../../deploy/feed.toml")
	require.NoError(t, err)
	require.Zero(t, code)
	require.Contains(t, out, "4 puts for fleet campus")
	require.Eventually(t, func() bool { // a leader is elected
		_, err := (&agent.Client{Addrs: []string{agentAddr}}).ListConfigs(ctx)
		return err == nil
	}, time.Minute, 50*time.Millisecond)
	out, _, err = run("change", "put", "../../deploy/change.toml", "--if-version", "0")
	require.NoError(t, err)
	require.Equal(t, "version 1\n", out)
	_, code, err = run("change", "put", "../../deploy/change.toml", "--if-version", "0")
	require.Equal(t, 1, code)
	require.ErrorContains(t, err, "change.toml")
	require.ErrorContains(t, err, "at 1")
	duplicate := filepath.Join(dir, "twice.json")
	require.NoError(t, os.WriteFile(duplicate, []byte(`{"fleet":"campus","puts":[{"kind":"config","key":"region/a","value":{}},{"kind":"config","key":"region/a","value":{}}]}`), 0o600))
	_, code, err = run("change", "put", duplicate)
	require.Equal(t, 1, code)
	require.ErrorContains(t, err, "twice.json: puts[1].key")

	out, _, err = run("change", "show")
	require.NoError(t, err)
	require.Contains(t, out, "region/north")
	require.Contains(t, out, "t-1")
	out, _, err = run("change", "show", "target", "t-1", "--json")
	require.NoError(t, err)
	var records []watchstream.Record
	require.NoError(t, json.Unmarshal([]byte(out), &records))
	require.Len(t, records, 1)
	require.Equal(t, uint64(1), records[0].Version)
	for _, args := range [][]string{{"change", "show", "odd"}, {"change", "show", "target", "t-9"}, {"change", "status", "x"}, {"change", "status", "7"}, {"change", "status", "0"}} {
		_, code, err = run(args...)
		require.Equal(t, 1, code, args)
		require.Error(t, err)
	}

	follower, err := distribution.NewFollower(distribution.FollowerOptions{Fleet: "campus", Name: "n1", Region: "north", Zone: "north-a", Relays: []watchstream.Relay{{ID: "relay-1", Region: "north", Addr: relayAddr}}})
	require.NoError(t, err)
	go follower.Run(ctx)
	require.Eventually(t, func() bool {
		out, _, err = run("change", "status")
		return err == nil && strings.Contains(out, "in force at 1 of 1")
	}, time.Minute, 50*time.Millisecond)
	require.Contains(t, out, "version 1 of campus")
	require.Contains(t, out, "relay-1")
	out, _, err = run("change", "status", "1", "--json")
	require.NoError(t, err)
	var v agent.StreamStatus
	require.NoError(t, json.Unmarshal([]byte(out), &v))
	require.Equal(t, 1, v.Applied)
	require.True(t, v.Leads)

	stop()
	_, code, err = run("change", "status")
	require.Equal(t, exitNoResponse, code)
	require.Error(t, err)
	_, code, err = run("change", "put", "../../deploy/change.toml")
	require.Equal(t, exitNoResponse, code, "the change may have been applied: %v", err)
}

// TestRelayFiles checks that a relay does not start with an invalid file, and that the error names the field.
func TestRelayFiles(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/relay.toml")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "relay.toml")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(raw), "readers = 3000", "readers = 0", 1)), 0o600))
	_, code, err := runCommand("relay", "--operator", path)
	require.Equal(t, 1, code)
	require.ErrorContains(t, err, "relay.readers: 0 is under 1")
	_, code, err = runCommand("relay", "--operator", "../../deploy/feed.toml")
	require.Equal(t, 1, code)
	require.ErrorContains(t, err, "relay: ")
}

// TestStreamStatusTable formats the status of a version, both in full and from an agent that is not the leader.
func TestStreamStatusTable(t *testing.T) {
	v := agent.StreamStatus{Agent: "a", Fleet: "campus", Head: 9, Leads: true, Status: watchstream.Status{Epoch: "e", Version: 8, Readers: 250, Applied: 100, AppliedShare: 0.4, Silent: 1,
		Rejected: 1, SinceMs: 1500, HalfMs: -1, P99Ms: -1, AllMs: -1,
		Lagging: []watchstream.LaggingReader{{Name: "n7", Relay: "r1", Applied: 7, Cause: watchstream.LagRejected, LastHeardMs: 20, Rejection: &watchstream.Rejection{Version: 8, Reason: "a: not a number"}}}}}
	var b bytes.Buffer
	require.NoError(t, writeStreamStatus(&b, v))
	for _, want := range []string{"in force at 100 of 250 (40 in 100), put 1.5s ago", "half had it after not known", "n7", "version 8: a: not a number", "and 149 more that lag"} {
		require.Contains(t, b.String(), want)
	}
	b.Reset()
	require.NoError(t, writeStreamStatus(&b, agent.StreamStatus{Agent: "a", Head: 9}))
	require.NotContains(t, b.String(), "in force at")
}

// TestPublishCommand checks that targets listed by discovery are published to the feed.
func TestPublishCommand(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	agentAddr := freeAddr(t)
	f := newFixture(t)
	errs := make(chan error, 2)
	go func() {
		errs <- runAgent(ctx, &config.Agent{ID: "a", Dir: t.TempDir(), Peers: []config.Peer{{ID: "a", Raft: freeAddr(t), API: agentAddr}}}, discardLog)
	}()
	opts := publishOptions{agents: []string{agentAddr}, fleet: "campus", discovery: f.discovery}
	go func() {
		opts.run(ctx, discardLog)
		errs <- nil
	}()
	client := &agent.Client{Addrs: []string{agentAddr}}
	require.Eventually(t, func() bool {
		records, err := client.Records(ctx, watchstream.Targets, "t")
		return err == nil && len(records) == 1 && records[0].Version == 1
	}, time.Minute, 50*time.Millisecond)
	cancel()
	require.NoError(t, <-errs)
	require.NoError(t, <-errs)
	_, code, err := runCommand("publish")
	require.Equal(t, 1, code)
	require.ErrorContains(t, err, "--fleet")
}
