package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/watchstream"
)

// instanceConfig returns the smallest configuration of an instance that an agent accepts, distinguished by its port.
func instanceConfig(name string, port int) []byte {
	return fmt.Appendf(nil, `{"name":%q,"listen":"127.0.0.1:1","discovery":"127.0.0.1:%d","settings":{"peersTotal":1,"tickUs":2000,
 "classes":[{"name":"read","promiseUs":500000,"deadlineUs":2000000,"effect":"pure","worth":1}],
 "contracts":[{"name":"base","usualRate":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8}}}`, name, port)
}

// writeEverything writes a value for each kind of read, once for each number.
func writeEverything(t *testing.T, client *agent.Client, number int) {
	t.Helper()
	ctx := t.Context()
	_, err := client.PutConfig(ctx, fmt.Sprint("n", number), instanceConfig(fmt.Sprint("n", number), number), "")
	require.NoError(t, err)
	_, err = client.PutConfig(ctx, "latest", instanceConfig("latest", number), "")
	require.NoError(t, err)
	budget := quota.Budget{Name: "work", Resource: "work", Kind: "rate", Capacity: float64(200 + number), Burst: 100, FloorRate: 1, FloorBurst: 1}
	_, err = client.SetQuotaConfig(ctx, quota.Config{MaxSessions: 16, RenewIntervalMs: 300, AllocationTTLMs: 1500, SessionTTLS: 30, ClockPPM: 1000, Budgets: []quota.Budget{budget}})
	require.NoError(t, err)
	target := watchstream.Put{Kind: watchstream.Targets, Key: fmt.Sprint("t", number),
		Value: fmt.Appendf(nil, `{"id":"t%d","addr":"127.0.0.1:%d","cell":0,"state":"SERVING"}`, number, number)}
	_, err = client.PutChange(ctx, watchstream.Change{Fleet: "campus", Puts: []watchstream.Put{target}})
	require.NoError(t, err)
}

// readsOf returns each linearizable read of an agent, and what its response contains after writeEverything with that
// number.
func readsOf(number int) map[string]string {
	return map[string]string{
		"/v1/instances":            fmt.Sprintf(`"n%d"`, number),
		"/v1/instances/latest":     fmt.Sprintf(`"discovery":"127.0.0.1:%d"`, number),
		"/v1/fleet":                fmt.Sprintf(`"whole":%d`, 200+number),
		"/v1/feed":                 fmt.Sprintf(`"head":%d`, number),
		"/v1/feed/versions/latest": fmt.Sprintf(`"head":%d`, number),
		"/v1/feed/records?kind=" + watchstream.Targets.String(): fmt.Sprintf(`"key":"t%d"`, number),
		"/v1/instances/latest?wait_ms=1":                        fmt.Sprintf(`"discovery":"127.0.0.1:%d"`, number),
	}
}

// get sends a request to one agent without following redirects; status 0: no response in time.
func get(ctx context.Context, addr, path string, within time.Duration) (status int, body string) {
	ctx, done := context.WithTimeout(ctx, within)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// applyStep is the failpoint before an agent applies an entry of the log.
const applyStep = "agent.apply"

// electLaggingFollower makes a follower delay the application of what write does, kills the leader and has that
// follower elected.
func electLaggingFollower(t *testing.T, g *AgentGroup, write func(leader *agent.Client)) (behind int) {
	t.Helper()
	first := g.Leader()
	behind, other := (first+1)%3, (first+2)%3
	g.Procs[behind].ArmFailpoint(applyStep, "wait")
	write(&agent.Client{Addrs: []string{g.API[first]}})
	g.rig.WaitFor("the follower to stop applying its log", func() bool { return g.Procs[behind].FailpointHit(applyStep) })
	// Its log must contain all committed entries, or it could not be elected. What Raft counts as applied has only been
	// passed to the state machine.
	g.rig.WaitFor("the follower's log to be complete", func() bool {
		all := (&agent.Client{Addrs: []string{g.API[first], g.API[behind]}}).Status(t.Context())
		return all[0].Applied > 0 && all[1].Applied >= all[0].Applied
	})
	// The other follower can vote, but its requests for votes are held back.
	g.raftLinks[other][behind].Set(Impairment{Hold: true}, Impairment{})
	g.Procs[first].Kill()
	require.Equal(t, behind, g.Leader(first))
	return behind
}

// TestNewLeaderReadsAppliedLog guards against a newly elected leader that answers reads before it has applied the
// entries committed in earlier terms: such reads miss acknowledged writes.
func TestNewLeaderReadsAppliedLog(t *testing.T) {
	r := New(t)
	g := r.StartAgents(3)
	g.Leader()
	writeEverything(t, &agent.Client{Addrs: g.API}, 1)
	for _, addr := range g.API {
		r.WaitFor("all agents to apply the first writes", func() bool {
			_, body := get(t.Context(), addr, "/v1/feed?stale", time.Second)
			return strings.Contains(body, `"head":1`)
		})
	}
	behind := electLaggingFollower(t, g, func(leader *agent.Client) { writeEverything(t, leader, 2) })
	for path, want := range readsOf(2) {
		status, body := get(t.Context(), g.API[behind], path, time.Second)
		if status != 0 && status != http.StatusServiceUnavailable {
			assert.Contains(t, body, want, "%s, before the log is applied", path)
		}
	}
	g.Procs[behind].ReleaseFailpoint(applyStep)
	for path, want := range readsOf(2) {
		r.WaitFor(path, func() bool {
			status, _ := get(t.Context(), g.API[behind], path, 10*time.Second)
			return status == http.StatusOK
		})
		_, body := get(t.Context(), g.API[behind], path, 10*time.Second)
		assert.Contains(t, body, want, "%s, once the log is applied", path)
	}
}

// TestNewLeaderKnowsFirstChange guards against a newly elected leader that has not applied the first change of the
// watch stream, takes the next one for the first, and rejects it while an agent is down.
func TestNewLeaderKnowsFirstChange(t *testing.T) {
	r := New(t)
	g := r.StartAgents(3)
	change := watchstream.Change{Fleet: "campus", Puts: []watchstream.Put{configPut("shared", "{}")}}
	behind := electLaggingFollower(t, g, func(leader *agent.Client) {
		_, err := leader.PutChange(t.Context(), change)
		require.NoError(t, err)
	})
	client := &agent.Client{Addrs: []string{g.API[behind]}}
	soon, done := context.WithTimeout(t.Context(), time.Second)
	_, err := client.PutChange(soon, change)
	done()
	require.Error(t, err)
	require.NotContains(t, err.Error(), "first change")
	g.Procs[behind].ReleaseFailpoint(applyStep)
	_, err = client.PutChange(t.Context(), change)
	require.NoError(t, err)
}

// TestLaggingAgentReportsAge guards against an agent that receives heartbeats but has not applied the entries known to
// be committed, and reports its state as being as fresh as the last heartbeat.
func TestLaggingAgentReportsAge(t *testing.T) {
	const behindFor = 1500 * time.Millisecond
	r := New(t)
	g := r.StartAgents(3)
	first := g.Leader()
	behind := (first + 1) % 3
	client := &agent.Client{Addrs: []string{g.API[first]}}
	age := func(path, field string) (ms float64) {
		status, body := get(t.Context(), g.API[behind], path, time.Second)
		var answer map[string]any
		if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil {
			ms, _ = answer[field].(float64)
		}
		return ms
	}
	writeEverything(t, client, 1)
	fields := map[string]string{"/v1/fleet?stale": "age_ms", "/v1/feed?stale": "old_ms"}
	for path, field := range fields {
		r.WaitFor("its state to be fresh", func() bool {
			status, body := get(t.Context(), g.API[behind], path, time.Second)
			return status == http.StatusOK && strings.Contains(body, readsOf(1)[strings.TrimSuffix(path, "?stale")]) && age(path, field) < 1000
		})
	}
	g.Procs[behind].ArmFailpoint(applyStep, "wait")
	writeEverything(t, client, 2)
	r.WaitFor("the agent to stop applying its log", func() bool { return g.Procs[behind].FailpointHit(applyStep) })
	time.Sleep(behindFor)
	for path, field := range fields {
		assert.GreaterOrEqual(t, age(path, field), 1000.0, "%s of an agent that lacks what was written %v ago", path, behindFor)
	}
	g.Procs[behind].ReleaseFailpoint(applyStep)
	for path, field := range fields {
		r.WaitFor("its state to be fresh again", func() bool { return age(path, field) < 1000 })
	}
}
