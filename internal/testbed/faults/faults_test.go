package faults

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

func TestMain(m *testing.M) { Main(m) }

// echo starts a server that sends back what it receives, and returns its address.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// TestLink checks the faults of a link: held traffic does not pass until it is released, dropped traffic never does, a
// delay applies to its direction only, a rate is not exceeded, and a cut ends connections.
func TestLink(t *testing.T) { //nolint:gocognit // one sequential scenario
	const short, long = 150 * time.Millisecond, 30 * time.Second
	text := []byte("twelve bytes")
	for _, c := range []struct {
		name             string
		forward, reverse Impairment
		least            time.Duration // earliest arrival of the echo
		never            bool          // no echo before the link is healed
		after            bool          // the echo arrives after that
	}{
		{name: "open"},
		{name: "delay forward", forward: Impairment{Delay: short}, least: short},
		{name: "delay both", forward: Impairment{Delay: short}, reverse: Impairment{Delay: short}, least: 2 * short},
		{name: "rate", reverse: Impairment{Rate: 60}, least: 200 * time.Millisecond},
		{name: "hold forward", forward: Impairment{Hold: true}, never: true, after: true},
		{name: "hold reverse", reverse: Impairment{Hold: true}, never: true, after: true},
		{name: "drop forward", forward: Impairment{Drop: true}, never: true},
		{name: "drop reverse", reverse: Impairment{Drop: true}, never: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			k, err := NewLink("a", "b", echo(t))
			if err != nil {
				t.Fatal(err)
			}
			defer k.Close()
			conn, err := net.Dial("tcp", k.Addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			k.Set(c.forward, c.reverse)
			began := time.Now()
			_, _ = conn.Write(text)
			got := make([]byte, len(text))
			if c.never {
				conn.SetReadDeadline(time.Now().Add(short))
				if n, _ := conn.Read(got); n > 0 {
					t.Fatalf("%d bytes passed", n)
				}
				k.Heal()
			}
			conn.SetReadDeadline(time.Now().Add(long))
			_, err = io.ReadFull(conn, got)
			if c.never && !c.after {
				if err == nil {
					t.Error("dropped traffic arrived")
				}
				return
			}
			if err != nil || !bytes.Equal(got, text) {
				t.Fatalf("got %q, %v", got, err)
			}
			if took := time.Since(began); took < c.least {
				t.Errorf("took %v, at least %v", took, c.least)
			}
		})
	}
	k, err := NewLink("a", "b", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	conn, err := net.Dial("tcp", k.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = conn.Write(text)
	if _, err := io.ReadFull(conn, make([]byte, len(text))); err != nil {
		t.Fatal(err)
	}
	k.Cut()
	conn.SetReadDeadline(time.Now().Add(long))
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("a connection survived the cut")
	}
	if c, err := net.Dial("tcp", k.Addr); err == nil {
		c.SetReadDeadline(time.Now().Add(long))
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("a cut link accepted a new connection")
		}
		c.Close()
	}
}

// TestSilentAgent guards against commands that hang on an agent that does not respond: with one agent of three paused,
// the first in the list or the leader, a command succeeds at the others, and with two paused its message names both. A
// command may fail once while an election takes long on a busy machine.
func TestSilentAgent(t *testing.T) {
	r := New(t)
	g := r.StartAgents(3)
	leader := g.Leader()
	other := (leader + 1) % 3
	for _, c := range []struct {
		name   string
		paused int
	}{{"a follower, named first", other}, {"the leader", leader}} {
		g.Procs[c.paused].Pause()
		out, code, took := r.Run("config", "list", "--agents", g.AddrList(c.paused))
		if code != 0 { // an election may take long on a busy machine
			out, code, took = r.Run("config", "list", "--agents", g.AddrList(c.paused))
		}
		t.Logf("%s paused: %v", c.name, took)
		if code != 0 {
			t.Errorf("%s paused: exit code %d after %v: %s", c.name, code, took, out)
		}
		g.Procs[c.paused].Resume()
	}
	g.Leader()
	for _, p := range g.Procs[1:] {
		p.Pause()
	}
	out, code, _ := r.Run("config", "list", "--agents", g.AddrList(1))
	for _, a := range g.API[1:] {
		if code == 0 || !bytes.Contains([]byte(out), []byte("agent "+a+": no answer")) {
			t.Errorf("two agents paused: exit code %d, and the message does not name %s: %s", code, a, out)
		}
	}
	for _, p := range g.Procs {
		p.Resume()
	}
}

// TestFollowedAgentSilent guards against an instance that waits on a paused agent: it must learn of a new configuration from
// another agent long before the 30 s after which a watch request once timed out.
func TestFollowedAgentSilent(t *testing.T) {
	r := New(t)
	g := r.StartAgents(3)
	silentAgent := (g.Leader() + 1) % 3
	p := r.Start("n1", []string{"PROXY_NAME=n1"}, "serve", "--agents", g.AddrList(silentAgent))
	time.Sleep(300 * time.Millisecond) // its watch request is open
	g.Procs[silentAgent].Pause()
	addrs := FreeAddrs(t, 2)
	file := r.WriteFile("n1.json", `{"name":"n1","listen":"`+addrs[0]+`","discovery":"`+addrs[1]+`","settings":{"peersTotal":1,"tickUs":2000,
 "classes":[{"name":"read","promiseUs":500000,"deadlineUs":2000000,"effect":"pure","worth":1}],
 "contracts":[{"name":"base","usualRate":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8}}}`)
	if out, code, _ := r.Run("config", "put", "n1", file, "--agents", g.AddrList()); code != 0 {
		t.Fatal(out)
	}
	took := r.WaitFor("configuration taken", func() bool { return bytes.Contains([]byte(p.Log()), []byte("configuration taken")) })
	t.Logf("configuration taken after %v", took)
	if took > 15*time.Second {
		t.Errorf("configuration taken only after %v", took)
	}
	g.Procs[silentAgent].Resume()
}
