package faults

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Instance is one initiator process, with a link to each agent.
type Instance struct {
	*Proc
	Listen, Control     string
	Links               []*Link
	offeredMilliRate    atomic.Int64 // offered load, in thousandths of a request a second
	Served, OtherStatus atomic.Int64 // responses with status 200, and with any other
	Unanswered          atomic.Int64 // requests without a response
}

// InstanceOptions configure an instance.
type InstanceOptions struct {
	Agents       *AgentGroup // nil: none; each instance keeps to its even share of the settings
	Targets      *Targets
	Peers        int      // the setting peersTotal
	Rules        string   // JSON, the setting rules
	FleetTOML    string   // TOML, further lines of the section [fleet]
	ListenSocket *os.File // inherited client socket; Listen is its address
	Listen       string
	MaxFiles     int    // limit on its open descriptors; 0: the limit of this process
	OperatorFile string // TOML, an operator file in place of one that names the agents
}

// StartInstance starts one initiator. rate is its clock rate; 0: the machine's.
func (r *Rig) StartInstance(name string, o InstanceOptions, rate float64) *Instance {
	r.T.Helper()
	addrs := FreeAddrs(r.T, 2)
	n := &Instance{Listen: addrs[0], Control: addrs[1]}
	if o.Listen != "" {
		n.Listen = o.Listen
	}
	rules := o.Rules
	if rules == "" {
		rules = "{}"
	}
	file := r.WriteFile(name+".json", fmt.Sprintf(`{"name":%q,"listen":%q,"control":%q,"discovery":%q,"limits":{"sockets":256},"settings":{"peersTotal":%d,"tickUs":2000,
 "classes":[{"name":"position-read","promiseUs":1000000,"deadlineUs":2000000,"effect":"pure","worth":1}],
 "contracts":[{"name":"base","usualRate":1000,"reservation":1000,"parts":1,"pays":1}],
 "extra":{"meanUnits":1,"largest":8,"coldBears":40},"limits":{"sendCap":3,"probes":true},"rules":%s}}`, name, n.Listen, n.Control, o.Targets.Discovery, o.Peers, rules))
	args := []string{"serve"}
	if o.OperatorFile != "" {
		args = append(args, "--operator", r.WriteFile(name+".toml", o.OperatorFile))
	} else if o.Agents != nil {
		var agents []string
		for i, a := range o.Agents.API {
			n.Links = append(n.Links, r.StartLink(name, fmt.Sprint("agent-", i), a))
			agents = append(agents, fmt.Sprintf("%q", n.Links[i].Addr))
		}
		args = append(args, "--operator", r.WriteFile(name+".toml", "[fleet]\nagents = ["+strings.Join(agents, ", ")+"]\n"+o.FleetTOML))
	}
	env := []string{"PROXY_CONFIG=" + file}
	if rate != 0 {
		env = append(env, fmt.Sprint("SPINDLEHITCH_CLOCK_RATE=", rate))
	}
	var pass []*os.File
	if o.ListenSocket != nil {
		pass, env = []*os.File{o.ListenSocket}, append(env, "PROXY_SOCKET_FD=3")
	}
	n.Proc = r.StartWith(name, pass, o.MaxFiles, env, args...)
	return n
}

// DropAgentTraffic drops the traffic between the instance and the agents: what it sends if outgoing, what it receives
// if incoming.
func (n *Instance) DropAgentTraffic(outgoing, incoming bool) {
	n.setLinks(Impairment{Drop: outgoing}, Impairment{Drop: incoming})()
}

// Heal undoes DropAgentTraffic.
func (n *Instance) Heal() { n.eachLink((*Link).Heal)() }

// Metrics returns the metrics from the instance's control address; empty if it does not answer.
func (n *Instance) Metrics() string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.Control + "/v1/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

// SetLoad sets how many requests a second are sent from now on, whatever becomes of them.
func (n *Instance) SetLoad(rate float64) { n.offeredMilliRate.Store(int64(rate * 1000)) }

// StartLoad starts an open-loop load generator for the instances. It ends with the context or the test.
func (r *Rig) StartLoad(ctx context.Context, all []*Instance, shards int) {
	var work sync.WaitGroup
	ctx, stop := context.WithCancel(ctx)
	r.T.Cleanup(func() {
		stop()
		work.Wait()
	})
	for i, n := range all {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, MaxConnsPerHost: 64}}
		work.Go(func() {
			defer client.CloseIdleConnections()
			due := time.Now()
			for k := 0; ctx.Err() == nil; k++ {
				rate := float64(n.offeredMilliRate.Load()) / 1000
				if rate <= 0 {
					due = time.Now().Add(20 * time.Millisecond)
				} else {
					due = due.Add(time.Duration(float64(time.Second) / rate))
					if late := time.Since(due); late > time.Second {
						due = due.Add(late) // the generator itself was delayed
					}
				}
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Until(due)):
				}
				if rate > 0 {
					work.Go(func() { n.sendRequest(ctx, client, fmt.Sprintf("%d-%d-%d", i, k, due.UnixNano()), k%shards) })
				}
			}
		})
	}
}

// responseTimeout bounds the wait for a response, from when the request has a connection. A request that gets no
// connection of the generator within that time was never sent, and does not count.
const responseTimeout = 5 * time.Second

func (n *Instance) sendRequest(ctx context.Context, client *http.Client, id string, shard int) {
	requestCtx, stop := context.WithCancel(ctx)
	defer stop()
	var connected atomic.Bool
	timeout := time.AfterFunc(responseTimeout, stop)
	defer timeout.Stop()
	requestCtx = httptrace.WithClientTrace(requestCtx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		connected.Store(true)
		timeout.Reset(responseTimeout)
	}})
	req, err := http.NewRequestWithContext(requestCtx, http.MethodGet, "http://"+n.Listen+"/position-read/7f3a9c21e0b4d655", nil)
	if err != nil {
		return
	}
	for name, value := range map[string]string{"Request-Id": id, "Tier": "base", "Request-Timeout-Ms": "2000",
		"IO-Info": fmt.Sprintf("volume=00000003b4d60021,units=1,shard=%d,hosts=1", shard)} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		if ctx.Err() == nil && (connected.Load() || requestCtx.Err() == nil) {
			n.Unanswered.Add(1)
		}
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		n.Served.Add(1)
	} else {
		n.OtherStatus.Add(1)
	}
}
