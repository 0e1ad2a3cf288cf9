package faults

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/hashicorp/raft"

	"spindlehitch/internal/controlplane/agent"
)

// AgentGroup is a group of agents. Every directed pair of agents has a link for Raft and one for API calls.
type AgentGroup struct {
	rig       *Rig
	Procs     []*Proc
	Dirs      []string
	Raft      []string  // Raft address of each, behind the links
	API       []string  // API address of each
	raftLinks [][]*Link // Raft, by from and to; nil on the diagonal
	apiLinks  [][]*Link // API, by from and to
}

// StartAgents starts n agents. env[i], if given, is added to the environment of agent i.
func (r *Rig) StartAgents(n int, env ...[]string) *AgentGroup {
	r.T.Helper()
	g := &AgentGroup{rig: r}
	addrs := FreeAddrs(r.T, 2*n)
	g.Raft, g.API = addrs[:n], addrs[n:]
	for i := range n {
		var raft, calls []*Link
		for j := range n {
			if i == j {
				raft, calls = append(raft, nil), append(calls, nil)
				continue
			}
			from, to := fmt.Sprint("agent-", i), fmt.Sprint("agent-", j)
			raft = append(raft, r.StartLink(from, to, g.Raft[j]))
			calls = append(calls, r.StartLink(from, to, g.API[j]))
		}
		g.raftLinks, g.apiLinks = append(g.raftLinks, raft), append(g.apiLinks, calls)
	}
	for i := range n {
		g.Dirs = append(g.Dirs, filepath.Join(r.Dir, fmt.Sprint("agent-", i)))
		path := filepath.Join(r.Dir, fmt.Sprintf("agent-%d.toml", i))
		if err := os.WriteFile(path, []byte(g.operatorFile(i)), 0o600); err != nil {
			r.T.Fatal(err)
		}
		var extraEnv []string
		if i < len(env) {
			extraEnv = env[i]
		}
		g.Procs = append(g.Procs, r.Start(fmt.Sprint("agent-", i), extraEnv, "agent", "--operator", path))
	}
	return g
}

// operatorFile returns agent i's operator file, in which it reaches the others through its own links.
func (g *AgentGroup) operatorFile(i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[agent]\nid = \"agent-%d\"\ndir = %q\n", i, g.Dirs[i])
	for j := range g.Raft {
		raft, api := g.Raft[j], g.API[j]
		if i != j {
			raft, api = g.raftLinks[i][j].Addr, g.apiLinks[i][j].Addr
		}
		fmt.Fprintf(&b, "[[agent.peer]]\nid = \"agent-%d\"\nraft = %q\napi = %q\n", j, raft, api)
	}
	return b.String()
}

// Isolate holds all traffic between agent i and the other agents in both directions; Reconnect undoes it.
func (g *AgentGroup) Isolate(i int) {
	g.eachLink(i, func(k *Link) { k.Set(Impairment{Hold: true}, Impairment{Hold: true}) })
}

// Reconnect undoes Isolate.
func (g *AgentGroup) Reconnect(i int) { g.eachLink(i, (*Link).Heal) }

func (g *AgentGroup) eachLink(i int, do func(*Link)) {
	for j := range g.Raft {
		if i != j {
			for _, k := range []*Link{g.raftLinks[i][j], g.raftLinks[j][i], g.apiLinks[i][j], g.apiLinks[j][i]} {
				do(k)
			}
		}
	}
}

// AddrList returns the agents' API addresses as flags take them, those of the agents first in front.
func (g *AgentGroup) AddrList(first ...int) string {
	var all []string
	seen := map[int]bool{}
	for _, i := range first {
		all, seen[i] = append(all, g.API[i]), true
	}
	for i, a := range g.API {
		if !seen[i] {
			all = append(all, a)
		}
	}
	return strings.Join(all, ",")
}

// Leader waits until all agents other than those in but name the same leader, and returns its number. The leader is not
// one of but.
func (g *AgentGroup) Leader(but ...int) int {
	g.rig.T.Helper()
	leader := -1
	g.rig.WaitFor("all agents to name one leader", func() bool {
		leaders := map[int]bool{}
		for i := range g.Procs {
			if slices.Contains(but, i) {
				continue
			}
			out, _, _ := g.rig.Run("config", "status", "--agents", g.API[i])
			leader = -1
			if _, after, found := strings.Cut(out, "leader=agent-"); found {
				_, _ = fmt.Sscanf(after, "%d", &leader)
			}
			if slices.Contains(but, leader) {
				leader = -1
			}
			leaders[leader] = true
		}
		return len(leaders) == 1 && leader >= 0
	})
	return leader
}

// currentLeader returns the number of the agent that reports to be the leader; -1: none does.
func (g *AgentGroup) currentLeader(ctx context.Context) int {
	for i, addr := range g.API {
		if !g.Procs[i].Alive() || g.Procs[i].Stopped() {
			continue
		}
		for _, s := range (&agent.Client{Addrs: []string{addr}}).Status(ctx) {
			if s.State == raft.Leader.String() {
				return i
			}
		}
	}
	return -1
}
