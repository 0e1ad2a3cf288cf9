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

// Instance is one initiator as a process, with a link to each agent.
type Instance struct {
	*Proc
	Listen, Control     string
	Links               []*Link
	offeredMilliRate    atomic.Int64 // requests a second offered, in thousandths
	Served, OtherStatus atomic.Int64 // answers 200, and any other
	Unanswered          atomic.Int64 // requests without an answer
}

// InstanceOptions set up instances.
type InstanceOptions struct {
	Agents       *AgentGroup // nil: none, each keeps to the even part of the settings
	Targets      *Targets
	Peers        int      // how many the settings name
	Rules        string   // JSON, of the settings
	FleetTOML    string   // TOML
	ListenSocket *os.File // the clients' socket, inherited; Listen says where it is bound
	Listen       string
	MaxFiles     int    // how many descriptors the machine grants; 0: as many as this process
	OperatorFile string // an operator's file, TOML, in place of one that names the agents
}

// Instance starts one initiator.
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

// CutOff has nothing pass between the instance and the agents: asked says whether that goes for what it sends, told for what comes
// back.
func (n *Instance) DropAgentTraffic(asked, told bool) {
	n.setLinks(Impairment{Drop: asked}, Impairment{Drop: told})()
}

// Heal ends CutOff.
func (n *Instance) Heal() { n.eachLink((*Link).Heal)() }

// Figures is what the instance's second address tells; nothing where it does not answer.
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

// Offer has requests come at so many a second from now on, whatever becomes of them.
func (n *Instance) SetLoad(rate float64) { n.offeredMilliRate.Store(int64(rate * 1000)) }

// Load is an open-loop generator for the instances: it ends with the context.
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
						due = due.Add(late) // the generator itself stood still
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

// answerWithin is how long a request may go without an answer, from when it has a connection. One that gets none of its generator's in that
// time was never asked.
const responseTimeout = 5 * time.Second

func (n *Instance) sendRequest(ctx context.Context, client *http.Client, id string, shard int) {
	within, stop := context.WithCancel(ctx)
	defer stop()
	var asked atomic.Bool
	late := time.AfterFunc(responseTimeout, stop)
	defer late.Stop()
	within = httptrace.WithClientTrace(within, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		asked.Store(true)
		late.Reset(responseTimeout)
	}})
	req, err := http.NewRequestWithContext(within, http.MethodGet, "http://"+n.Listen+"/position-read/7f3a9c21e0b4d655", nil)
	if err != nil {
		return
	}
	for name, value := range map[string]string{"Request-Id": id, "Tier": "base", "Request-Timeout-Ms": "2000",
		"IO-Info": fmt.Sprintf("volume=00000003b4d60021,units=1,shard=%d,hosts=1", shard)} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		if ctx.Err() == nil && (asked.Load() || within.Err() == nil) {
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
