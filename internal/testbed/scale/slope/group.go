package slope

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/testbed/ports"
)

// AgentEnv is the environment variable with the options of a process that runs one agent of a probe. Agents run in processes of their own so that their processor
// time and memory are measured separately from the instances'.
const AgentEnv = "SPINDLEHITCH_SCALE_AGENT"

// agentOptions is the value of AgentEnv, as JSON.
type agentOptions struct {
	ID    string       `json:"id"`
	Dir   string       `json:"dir"`
	Peers []peerOption `json:"peers"`
}

// peerOption is one agent of the group with its two addresses.
type peerOption struct{ ID, Raft, API string }

// agentUsage is the resource use that an agent process reports, as JSON.
type agentUsage struct {
	CPU   float64 `json:"cpu_us"`
	Heap  float64 `json:"heap"`
	In    float64 `json:"in"`
	Out   float64 `json:"out"`
	Conns float64 `json:"conns"`
}

// RunAgent runs the agent described by AgentEnv until standard input ends, and answers each line of input with its agentUsage. It returns false
// if AgentEnv is not set.
func RunAgent() (bool, error) {
	value := os.Getenv(AgentEnv)
	if value == "" {
		return false, nil
	}
	var opt agentOptions
	if err := json.Unmarshal([]byte(value), &opt); err != nil {
		return true, fmt.Errorf("%s: %w", AgentEnv, err)
	}
	var peers agent.Peers
	listen := ""
	for _, p := range opt.Peers {
		peers = append(peers, config.Peer{ID: p.ID, Raft: p.Raft, API: p.API})
		if p.ID == opt.ID {
			listen = p.API
		}
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return true, err
	}
	a, err := agent.Start(agent.Options{ID: opt.ID, Dir: opt.Dir, Peers: peers, ValidateConfig: func(string, []byte) error { return nil }, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return true, err
	}
	c := newCountingListener(l)
	go func() { _ = a.Serve(c) }()
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		s := agentUsage{CPU: float64(cpuTime().Microseconds()), In: float64(c.in.Load()), Out: float64(c.out.Load()), Conns: float64(c.conns.Load())}
		s.Heap = heapBytes() // collects garbage, so it comes after the processor time was read
		if err := json.NewEncoder(os.Stdout).Encode(s); err != nil {
			return true, err
		}
	}
	return true, a.Stop()
}

// agentGroup is three agents, each in a process of its own, on the loopback interface.
type agentGroup struct {
	agent.Client
	dir       string
	processes []*agentProcess
}

// agentProcess is the process of one agent, with pipes to its standard input and output.
type agentProcess struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
}

// allowIdleConns raises the idle limits of the shared HTTP transport, so that each instance in this process keeps a connection as it would in its own process.
var allowIdleConns = sync.OnceFunc(func() {
	if t, ok := http.DefaultTransport.(*http.Transport); ok {
		t.MaxIdleConns, t.MaxIdleConnsPerHost = 0, 4096
	}
})

func newAgentGroup(ctx context.Context) (_ *agentGroup, err error) {
	allowIdleConns()
	g := &agentGroup{}
	if g.dir, err = os.MkdirTemp("", "slopes"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			g.cleanup()
		}
	}()
	addrs, err := ports.Free(6)
	if err != nil {
		return nil, err
	}
	opt := agentOptions{}
	for i := range 3 {
		opt.Peers = append(opt.Peers, peerOption{fmt.Sprint("agent-", i), addrs[2*i], addrs[2*i+1]})
		g.Addrs = append(g.Addrs, addrs[2*i+1])
	}
	for _, p := range opt.Peers {
		if err := g.start(opt, p.ID); err != nil {
			return nil, err
		}
	}
	return g, waitUntil(ctx, "a leader that all agents agree on", func() bool {
		leaders := map[string]int{}
		for _, s := range g.Status(ctx) {
			leaders[s.Leader]++
		}
		return len(leaders) == 1 && leaders[""] == 0
	})
}

// start starts the process of one agent: this program with AgentEnv set.
func (g *agentGroup) start(opt agentOptions, id string) error {
	opt.ID, opt.Dir = id, filepath.Join(g.dir, id)
	optionText, err := json.Marshal(opt)
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), AgentEnv+"="+string(optionText))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.processes = append(g.processes, &agentProcess{cmd, in, bufio.NewScanner(out)})
	return nil
}

// shutdown closes the agents' input, waits until they have exited, and kills one that takes over 20 s. Their files stay.
func (g *agentGroup) shutdown() (err error) {
	for _, p := range g.processes {
		p.in.Close()
	}
	for _, p := range g.processes {
		late := time.AfterFunc(20*time.Second, func() { _ = p.cmd.Process.Kill() })
		err = errors.Join(err, p.cmd.Wait())
		late.Stop()
	}
	g.processes = nil
	return err
}

// cleanup shuts the group down and removes its directory.
func (g *agentGroup) cleanup() {
	_ = g.shutdown()
	os.RemoveAll(g.dir)
	if t, ok := http.DefaultTransport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// usage returns the resource use of each agent so far.
func (g *agentGroup) usage() ([]agentUsage, error) {
	all := make([]agentUsage, len(g.processes))
	for i, p := range g.processes {
		if _, err := io.WriteString(p.in, "\n"); err != nil {
			return nil, err
		}
		if !p.out.Scan() {
			return nil, fmt.Errorf("agent %d exited", i)
		}
		if err := json.Unmarshal(p.out.Bytes(), &all[i]); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// roles returns the indexes of the leader and of one follower.
func (g *agentGroup) roles(ctx context.Context) (leader, follower int, err error) {
	leader = -1
	for i, s := range g.Status(ctx) {
		if s.State == raft.Leader.String() {
			leader = i
		}
	}
	if leader < 0 {
		return 0, 0, errors.New("agents have no leader")
	}
	return leader, (leader + 1) % len(g.processes), nil
}

// putConfigs writes configurations of a size for n instances, up to most at a time.
func (g *agentGroup) putConfigs(ctx context.Context, n, bytes, most int) error {
	return parallel(n, most, func(i int) error {
		_, err := g.PutConfig(ctx, instanceName(i), paddedConfig(instanceName(i), bytes), "")
		return err
	})
}

// diskUsage returns the bytes of the files in an agent's directory.
func (g *agentGroup) diskUsage(i int) (all int64) {
	_ = filepath.WalkDir(filepath.Join(g.dir, fmt.Sprint("agent-", i)), func(_ string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() {
			if about, err := d.Info(); err == nil {
				all += about.Size()
			}
		}
		return nil
	})
	return all
}

// entryBytes shuts the group down and returns the bytes of the last n commands of its log.
func (g *agentGroup) entryBytes(n int) (float64, error) {
	if err := g.shutdown(); err != nil {
		return 0, err
	}
	s, err := raftboltdb.NewBoltStore(filepath.Join(g.dir, "agent-0", "raft.db"))
	if err != nil {
		return 0, err
	}
	defer s.Close()
	last, err := s.LastIndex()
	if err != nil {
		return 0, err
	}
	sum, left := 0, n
	for i := last; i > 0 && left > 0; i-- {
		var l raft.Log
		if err := s.GetLog(i, &l); err != nil {
			return 0, err
		}
		if l.Type == raft.LogCommand {
			sum += len(l.Data)
			left--
		}
	}
	if left > 0 {
		return 0, fmt.Errorf("log has %d commands fewer than expected", left)
	}
	return float64(sum), nil
}
