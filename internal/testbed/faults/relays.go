package faults

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"spindlehitch/internal/controlplane/watchstream"
)

// fleetName is the fleet name in these tests.
const fleetName = "campus"

// RelayNetwork is the agents and the relays of the watch stream, through which changes reach the initiators.
type RelayNetwork struct {
	rig        *Rig
	AgentGroup *AgentGroup
	Relays     []*Relay
	regions    []string
	client     http.Client
}

// Relay is one relay process, with a link to each agent.
type Relay struct {
	*Proc
	ID, Region, Addr string
	Links            []*Link
}

// StartRelays starts each relays in every region, behind links to the agents. They keep their copies below the rig's
// folder.
func (r *Rig) StartRelays(agents *AgentGroup, perRegion int, regions ...string) *RelayNetwork {
	r.T.Helper()
	f := &RelayNetwork{rig: r, AgentGroup: agents, regions: regions, client: http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	addrs := FreeAddrs(r.T, perRegion*len(regions))
	for i, addr := range addrs {
		relay := &Relay{ID: fmt.Sprint("relay-", i), Region: regions[i/perRegion], Addr: addr}
		var quotedAddrs []string
		for j, a := range agents.API {
			relay.Links = append(relay.Links, r.StartLink(relay.ID, fmt.Sprint("agent-", j), a))
			quotedAddrs = append(quotedAddrs, strconv.Quote(relay.Links[j].Addr))
		}
		file := r.WriteFile(relay.ID+".toml", fmt.Sprintf("[relay]\nid = %q\nfleet = %q\nregion = %q\nlisten = %q\nagents = [%s]\ndir = %q\n",
			relay.ID, fleetName, relay.Region, addr, strings.Join(quotedAddrs, ", "), filepath.Join(r.Dir, relay.ID)))
		relay.Proc = r.Start(relay.ID, nil, "relay", "--operator", file)
		f.Relays = append(f.Relays, relay)
	}
	return f
}

// Subscriber is an initiator that subscribes to the watch stream, with a link to each relay. mu guards Generation and
// restarting.
type Subscriber struct {
	*Instance
	Region     string
	mu         sync.Mutex
	Generation int  // counts its starts; versions that it reports are only compared within one
	restarting bool // it is being killed and restarted
	links      []*Link
}

// StartSubscriber starts an initiator that takes its targets from the watch stream; o.OperatorFile and o.Agents are not
// used.
func (f *RelayNetwork) StartSubscriber(name, region string, o InstanceOptions) *Subscriber {
	f.rig.T.Helper()
	n := &Subscriber{Region: region, Generation: 1}
	var file string
	file, n.links = f.operatorFile(name, region)
	o.OperatorFile, o.Agents = file, nil
	n.Instance = f.rig.StartInstance(name, o, 0)
	return n
}

// StartConfigSubscriber starts an initiator that takes its targets and its configuration from the watch stream.
func (f *RelayNetwork) StartConfigSubscriber(name, region string) *Subscriber {
	f.rig.T.Helper()
	addrs := FreeAddrs(f.rig.T, 2)
	n := &Subscriber{Region: region, Generation: 1, Instance: &Instance{Listen: addrs[0], Control: addrs[1]}}
	var file string
	file, n.links = f.operatorFile(name, region)
	n.Proc = f.rig.Start(name, []string{"PROXY_NAME=" + name}, "serve", "--operator", f.rig.WriteFile(name+".toml", file), "--config-from-feed")
	return n
}

// operatorFile returns the operator file of an initiator and its links to the relays.
func (f *RelayNetwork) operatorFile(name, region string) (string, []*Link) {
	var links []*Link
	var b strings.Builder
	fmt.Fprintf(&b, "[feed]\nfleet = %q\nregion = %q\ndir = %q\n", fleetName, region, filepath.Join(f.rig.Dir, name))
	for _, x := range f.regions {
		fmt.Fprintf(&b, "[[feed.regions]]\nname = %q\n", x)
	}
	for _, y := range f.Relays {
		links = append(links, f.rig.StartLink(name, y.ID, y.Addr))
		fmt.Fprintf(&b, "[[feed.relay]]\nid = %q\nregion = %q\naddr = %q\n", y.ID, y.Region, links[len(links)-1].Addr)
	}
	return b.String(), links
}

// CutRegion cuts a region off: its relays from the agents, and its initiators from the relays of other regions and the
// other way round. HealRegion undoes it.
func (f *RelayNetwork) CutRegion(region string, subscribers []*Subscriber) {
	f.eachBorderLink(region, subscribers, (*Link).Cut)
}

// HealRegion undoes CutRegion.
func (f *RelayNetwork) HealRegion(region string, subscribers []*Subscriber) {
	f.eachBorderLink(region, subscribers, (*Link).Heal)
}

func (f *RelayNetwork) eachBorderLink(region string, subscribers []*Subscriber, do func(*Link)) {
	for _, y := range f.Relays {
		if y.Region == region {
			for _, k := range y.Links {
				do(k)
			}
		}
	}
	for _, n := range subscribers {
		for i, k := range n.links {
			if (n.Region == region) != (f.Relays[i].Region == region) {
				do(k)
			}
		}
	}
}

// Put makes one change through whichever agent leads and returns the version of the change. Retries reuse the change's
// ID, so it is made once.
func (f *RelayNetwork) Put(puts ...watchstream.Put) (version uint64) {
	f.rig.T.Helper()
	body, err := json.Marshal(watchstream.Change{Fleet: fleetName, Epoch: "runs", Puts: puts})
	if err != nil {
		f.rig.T.Fatal(err)
	}
	id, lastResponse := rand.Text(), ""
	f.rig.WaitFor("a change to be accepted", func() bool {
		for _, a := range f.AgentGroup.API {
			req, err := http.NewRequest(http.MethodPost, "http://"+a+"/v1/feed/changes", bytes.NewReader(body))
			if err != nil {
				f.rig.T.Fatal(err)
			}
			req.Header.Set("Change-Id", id)
			resp, err := f.client.Do(req)
			if err != nil {
				continue
			}
			text, _ := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
			resp.Body.Close()
			var made struct{ Version uint64 }
			if resp.StatusCode == http.StatusOK && json.Unmarshal(text, &made) == nil && made.Version > 0 {
				version = made.Version
				return true
			}
			if lastResponse = fmt.Sprint(resp.StatusCode, " ", string(text)); resp.StatusCode >= 400 && resp.StatusCode < 500 {
				f.rig.T.Fatalf("change rejected: %s", lastResponse)
			}
		}
		return false
	})
	return version
}

// StreamMetrics returns the initiator's watch stream metrics by name without prefix; nil if its control address does
// not answer.
func (n *Subscriber) StreamMetrics() map[string]int64 {
	metrics := map[string]int64{}
	for line := range strings.Lines(n.Metrics()) {
		name, rest, _ := strings.Cut(strings.TrimSpace(line), ":")
		value, _, _ := strings.Cut(rest, "|")
		if name, found := strings.CutPrefix(name, "edge_proxy.feed."); found {
			if v, err := strconv.ParseInt(value, 10, 64); err == nil {
				metrics[name] = v
			}
		}
	}
	if len(metrics) == 0 {
		return nil
	}
	return metrics
}

// DrainChecker checks the requests that reach the targets against the versions that initiators report as applied: an
// initiator that has applied a target's drain must send it no more requests. It is independent of the watch stream's
// code and uses its own clock. mu guards the fields below it.
type DrainChecker struct {
	grace         time.Duration // for requests sent before the drain was applied
	mu            sync.Mutex
	drains        map[string]uint64            // by target: version of its drain
	appliedSince  map[string]map[int]time.Time // by target and initiator: when the initiator first reported the drain as applied
	violations    []string
	DrainsApplied int // pairs of initiator and drain that were reported as applied
}

// NewDrainChecker returns a checker that allows requests to arrive for grace after the drain was applied. It reads an
// initiator's number from the request ID.
func NewDrainChecker(allow time.Duration) *DrainChecker {
	return &DrainChecker{grace: allow, drains: map[string]uint64{}, appliedSince: map[string]map[int]time.Time{}}
}

// RecordDrain records that a version drains a target. RecordServing must be called before the change that makes it
// serve again, with another start time.
func (j *DrainChecker) RecordDrain(target string, version uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drains[target], j.appliedSince[target] = version, map[int]time.Time{}
}

// RecordServing ends the check of a target that was drained.
func (j *DrainChecker) RecordServing(target string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.drains, target)
	delete(j.appliedSince, target)
}

// RecordApplied records that an initiator reported, at that time, that it has applied all target changes up to a
// version.
func (j *DrainChecker) RecordApplied(initiator int, version uint64, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for target, drains := range j.drains {
		if _, known := j.appliedSince[target][initiator]; !known && version >= drains {
			j.appliedSince[target][initiator] = at
			j.DrainsApplied++
		}
	}
}

// RecordRestart records that an initiator's process ended. The next one starts from its copy on disk and reports anew
// what it has applied.
func (j *DrainChecker) RecordRestart(initiator int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, by := range j.appliedSince {
		delete(by, initiator)
	}
}

// RecordRequest checks a request that reached a target; it is set as Targets.OnRequest.
func (j *DrainChecker) RecordRequest(t *Target, request string) {
	at := time.Now()
	number, _, _ := strings.Cut(request, "-")
	initiator, err := strconv.Atoi(number)
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if since, known := j.appliedSince[t.ID][initiator]; known && at.Sub(since) > j.grace && len(j.violations) < 20 {
		j.violations = append(j.violations, fmt.Sprintf("initiator %d sent a request to %s %v after it had applied its drain (version %d)",
			initiator, t.ID, at.Sub(since).Round(time.Millisecond), j.drains[t.ID]))
	}
}

// Violations returns the first requests that reached a drained target.
func (j *DrainChecker) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.violations...)
}

// PollApplied polls all initiators for the versions that they have applied until the context ends, and passes them to
// the checker. It calls back for a version that goes back within one generation of an initiator.
func (f *RelayNetwork) PollApplied(ctx context.Context, subscribers []*Subscriber, checker *DrainChecker, wentBack func(string)) {
	var work sync.WaitGroup
	f.rig.T.Cleanup(work.Wait)
	for i, n := range subscribers {
		work.Go(func() {
			last, lastGeneration := map[string]int64{}, 0
			for ctx.Err() == nil {
				n.mu.Lock()
				generation := n.Generation
				n.mu.Unlock()
				metrics := n.StreamMetrics()
				at := time.Now()
				n.mu.Lock()
				if metrics == nil || n.Generation != generation || n.restarting {
					n.mu.Unlock()
					time.Sleep(50 * time.Millisecond)
					continue
				}
				if generation != lastGeneration {
					clear(last)
					lastGeneration = generation
				}
				checker.RecordApplied(i, uint64(metrics["in_force.targets"]), at)
				n.mu.Unlock()
				for _, metric := range []string{"position.targets", "position.config", "in_force.targets", "in_force.config"} {
					if metrics[metric] < last[metric] {
						wentBack(fmt.Sprintf("%s: %s went back from %d to %d", n.Name, metric, last[metric], metrics[metric]))
					}
					last[metric] = metrics[metric]
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// KillAndRestart kills the initiator and starts it again, as a new generation.
func (n *Subscriber) KillAndRestart(i int, checker *DrainChecker) {
	n.mu.Lock()
	n.restarting = true
	n.mu.Unlock()
	n.Kill()
	checker.RecordRestart(i)
	n.Restart()
	n.mu.Lock()
	n.Generation++
	n.restarting = false
	n.mu.Unlock()
}

// currentGeneration returns the initiator's generation; false while it is being restarted.
func (n *Subscriber) currentGeneration() (int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Generation, !n.restarting
}
