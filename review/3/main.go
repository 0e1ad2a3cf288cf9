//go:build review

// Command goneback plays case 3: an initiator that takes its configuration from the feed is killed some seconds after a new version was
// in force, and starts again while its relay is silent.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"spindlehitch/review/standin"
)

func main() { standin.Run(100*time.Second, play) }

func play(c *standin.Case) bool {
	l, err := net.Listen("tcp", c.FreeAddrs(1)[0])
	c.Must(err)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			w.Header().Set("Server-Load", "concurrent=1")
			fmt.Fprint(w, "done ", r.Header.Get("Request-Id"))
		}))
	}()
	discovery := c.Discovery(standin.Entry{ID: "s-5be2a07c", Addr: l.Addr().String(), Zone: "pavillon-a", Kind: "node-std", Cell: 0, State: "SERVING", Weight: 1})
	a := c.FreeAddrs(10)
	peers := ""
	for i := range 3 {
		peers += fmt.Sprintf("\n[[agent.peer]]\nid = \"agent-%d\"\nraft = %q\napi = %q\n", i+1, a[i], a[3+i])
	}
	agents := strings.Join(a[3:6], ",")
	for i := range 3 {
		file := c.Write(fmt.Sprintf("agent-%d.toml", i+1), fmt.Sprintf("[agent]\nid = \"agent-%d\"\ndir = %q\n%s", i+1, c.Path(fmt.Sprintf("agent-%d.data", i+1)), peers))
		c.Start(fmt.Sprintf("agent-%d", i+1), "exec bin/spindlehitch agent --operator "+file, nil)
	}
	relayFile := c.Write("relay.toml", fmt.Sprintf("[relay]\nid = \"relay-1\"\nfleet = \"campus\"\nregion = \"north\"\nlisten = %q\nagents = [\"%s\"]\ndir = %q\n", a[6], strings.Join(a[3:6], "\",\""), c.Path("relay.data")))
	relay := c.Start("relay-1", "exec bin/spindlehitch relay --operator "+relayFile, nil)
	feedFile := c.Write("feed.toml", fmt.Sprintf("[feed]\nfleet = \"campus\"\nregion = \"north\"\nzone = \"north-a\"\ndir = %q\n[[feed.relay]]\nid = \"relay-1\"\nregion = \"north\"\naddr = %q\n", c.Path("feed.data"), a[6]))
	run := func(args ...string) (string, error) {
		cmd := exec.Command("bin/spindlehitch", args...)
		cmd.Dir = c.Root
		out, err := cmd.CombinedOutput()
		return strings.TrimSpace(string(out)), err
	}
	put := func(name string, plans ...string) {
		value := fmt.Sprintf(`{"listen":%q,"control":%q,"discovery":%q,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":%s}`, a[7], a[8], discovery.Addr, standin.Settings(1, plans...))
		var v any
		c.Must(json.Unmarshal([]byte(value), &v))
		text, _ := json.Marshal(map[string]any{"fleet": "campus", "puts": []any{map[string]any{"kind": "config", "key": "shared", "value": v}}})
		file := c.Write(name, string(text))
		c.WaitFor("change put", 30*time.Second, func() bool {
			out, err := run("change", "put", file, "--feed", feedFile, "--agents", agents)
			c.Log("operator: change put %s: %s, error %v", name, out, err)
			return err == nil
		})
	}
	put("v1.json", "standard")
	start := func() *standin.Proc {
		return c.Start("initiator", c.DeployCommand("run")+" --operator "+feedFile+" --config-from-feed", []string{"PROXY_NAME=n3"})
	}
	n := 0
	ask := func(plan string) int {
		conn, err := standin.Dial(a[7])
		if err != nil {
			return 0
		}
		defer conn.Close()
		n++
		status, _, _ := conn.Do(standin.Request{Method: "GET", Class: "position-read", Key: "7f3a9c21e0b4d655", ID: fmt.Sprintf("%016x", n), Plan: plan, Volume: "00000003b4d60021", Units: 1, TimeoutMs: 750})
		return status
	}
	initiator := start()
	c.WaitFor("the initiator serves", 30*time.Second, func() bool { return ask("standard") == 200 })
	c.Log("client: version 1 is in force: plan standard %d, plan priority %d (its clients are not admitted yet)", ask("standard"), ask("priority"))
	time.Sleep(1500 * time.Millisecond)
	put("v2.json", "standard", "priority")
	c.WaitFor("version 2 is in force", 8*time.Second, func() bool { return ask("priority") == 200 })
	acknowledged := func() string {
		out, _ := run("change", "status", "--agents", agents)
		return strings.Join(strings.Split(out, "\n")[:min(2, strings.Count(out, "\n")+1)], " / ")
	}
	c.WaitFor("version 2 is acknowledged", 8*time.Second, func() bool { return strings.Contains(acknowledged(), "in force at 1 of 1") })
	c.Log("client: version 2 is in force: plan standard %d, plan priority %d; change status: %s", ask("standard"), ask("priority"), acknowledged())

	if c.Trouble {
		c.Log("the relay falls silent, and the initiator is killed outright")
		relay.Signal(syscall.SIGSTOP)
		initiator.Signal(syscall.SIGKILL)
	} else {
		c.Log("a planned restart, with the relay as before")
		initiator.Signal(syscall.SIGTERM)
	}
	c.WaitFor("the initiator has ended", 10*time.Second, initiator.Ended)
	again := start()
	c.WaitFor("the initiator serves again", 30*time.Second, func() bool { return ask("standard") == 200 })
	var last int
	for range 20 {
		time.Sleep(500 * time.Millisecond)
		last = ask("priority")
		c.Log("client: after the restart: plan standard %d, plan priority %d", ask("standard"), last)
	}
	for _, line := range again.LogLines("configuration taken") {
		c.Log("log of the initiator: %s", line)
	}
	c.Log("initiator: its own word on the version in force: %s", strings.Join(metrics(a[8], "feed.in_force.config"), " "))
	c.Log("change status says: %s", acknowledged())
	c.Log("result: 10 s after the restart a request of plan priority gets %d (200: version 2, the last good one, is in force)", last)
	return last != 200
}

// metrics returns the lines of the second address's figures that contain a text.
func metrics(addr, text string) (found []string) {
	resp, err := http.Get("http://" + addr + "/v1/metrics")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(b)) {
		if strings.Contains(line, text) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}
