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

// feedFleet is the name of the fleet of these runs.
const fleetName = "campus"

// Feed is the way of changes to all: agents, relays in regions, and what it takes to follow and to judge them.
type RelayNetwork struct {
	rig        *Rig
	AgentGroup *AgentGroup
	Relays     []*Relay
	regions    []string
	client     http.Client
}

// FeedRelay is one relay as a process, with a link to each agent.
type Relay struct {
	*Proc
	ID, Region, Addr string
	Links            []*Link
}

// Feed starts relays, so many in each region, behind links to the agents. They keep their copies below the rig's folder.
func (r *Rig) StartRelays(agents *AgentGroup, each int, regions ...string) *RelayNetwork {
	r.T.Helper()
	f := &RelayNetwork{rig: r, AgentGroup: agents, regions: regions, client: http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	addrs := FreeAddrs(r.T, each*len(regions))
	for i, addr := range addrs {
		y := &Relay{ID: fmt.Sprint("relay-", i), Region: regions[i/each], Addr: addr}
		var to []string
		for j, a := range agents.API {
			y.Links = append(y.Links, r.StartLink(y.ID, fmt.Sprint("agent-", j), a))
			to = append(to, strconv.Quote(y.Links[j].Addr))
		}
		file := r.WriteFile(y.ID+".toml", fmt.Sprintf("[relay]\nid = %q\nfleet = %q\nregion = %q\nlisten = %q\nagents = [%s]\ndir = %q\n",
			y.ID, fleetName, y.Region, addr, strings.Join(to, ", "), filepath.Join(r.Dir, y.ID)))
		y.Proc = r.Start(y.ID, nil, "relay", "--operator", file)
		f.Relays = append(f.Relays, y)
	}
	return f
}

// Reader is an initiator that takes the feed, with a link to each relay.
type Subscriber struct {
	*Instance
	Region     string
	mu         sync.Mutex
	Generation int  // how often it was started: what it says is held against one life
	restarting bool // it is being started again
	links      []*Link
}

// Reader starts an initiator that takes the feed; o.File and o.Agents are not used.
func (f *RelayNetwork) StartSubscriber(name, region string, o InstanceOptions) *Subscriber {
	f.rig.T.Helper()
	n := &Subscriber{Region: region, Generation: 1}
	var file string
	file, n.links = f.operatorFile(name, region)
	o.OperatorFile, o.Agents = file, nil
	n.Instance = f.rig.StartInstance(name, o, 0)
	return n
}

// Layered starts an initiator that takes its configuration from the feed as well.
func (f *RelayNetwork) StartConfigSubscriber(name, region string) *Subscriber {
	f.rig.T.Helper()
	addrs := FreeAddrs(f.rig.T, 2)
	n := &Subscriber{Region: region, Generation: 1, Instance: &Instance{Listen: addrs[0], Control: addrs[1]}}
	var file string
	file, n.links = f.operatorFile(name, region)
	n.Proc = f.rig.Start(name, []string{"PROXY_NAME=" + name}, "serve", "--operator", f.rig.WriteFile(name+".toml", file), "--config-from-feed")
	return n
}

// file is the operator's file of an initiator.
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

// CutRegion has nothing pass between a region's relays and the agents, and between its initiators and relays of other regions, nor the other
// way; HealRegion ends it.
func (f *RelayNetwork) CutRegion(region string, readers []*Subscriber) {
	f.eachBorderLink(region, readers, (*Link).Cut)
}

// HealRegion ends CutRegion.
func (f *RelayNetwork) HealRegion(region string, readers []*Subscriber) {
	f.eachBorderLink(region, readers, (*Link).Heal)
}

func (f *RelayNetwork) eachBorderLink(region string, readers []*Subscriber, do func(*Link)) {
	for _, y := range f.Relays {
		if y.Region == region {
			for _, k := range y.Links {
				do(k)
			}
		}
	}
	for _, n := range readers {
		for i, k := range n.links {
			if (n.Region == region) != (f.Relays[i].Region == region) {
				do(k)
			}
		}
	}
}

// Put has the fleet changed, once, whoever leads, and returns the version that it made.
func (f *RelayNetwork) Put(puts ...watchstream.Put) (version uint64) {
	f.rig.T.Helper()
	body, err := json.Marshal(watchstream.Change{Fleet: fleetName, Epoch: "runs", Puts: puts})
	if err != nil {
		f.rig.T.Fatal(err)
	}
	id, said := rand.Text(), ""
	f.rig.WaitFor("a change is taken", func() bool {
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
			if said = fmt.Sprint(resp.StatusCode, " ", string(text)); resp.StatusCode >= 400 && resp.StatusCode < 500 {
				f.rig.T.Fatalf("a change is refused: %s", said)
			}
		}
		return false
	})
	return version
}

// Says is what the initiator's second address tells of the feed, by name without its prefix; nil where it does not answer.
func (n *Subscriber) StreamMetrics() map[string]int64 {
	all := map[string]int64{}
	for line := range strings.Lines(n.Metrics()) {
		name, rest, _ := strings.Cut(strings.TrimSpace(line), ":")
		value, _, _ := strings.Cut(rest, "|")
		if name, ours := strings.CutPrefix(name, "edge_proxy.feed."); ours {
			if v, err := strconv.ParseInt(value, 10, 64); err == nil {
				all[name] = v
			}
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all
}

// DrainJudge holds what reaches the targets against what each initiator has said to be in force: once it has a drain in force, none of its
// requests comes there any more. It knows nothing of how the feed works, and goes by its own clock.
type DrainChecker struct {
	grace         time.Duration // for what was sent before and is still on its way
	mu            sync.Mutex
	drains        map[string]uint64            // by target: the version that drains it
	appliedSince  map[string]map[int]time.Time // by target and initiator: from when on it was known to be in force there
	violations    []string
	DrainsApplied int // drains known to be in force at an initiator
}

// NewDrainJudge returns a judge that allows so long for what is under way. It reads an initiator's number from the request's id.
func NewDrainChecker(allow time.Duration) *DrainChecker {
	return &DrainChecker{grace: allow, drains: map[string]uint64{}, appliedSince: map[string]map[int]time.Time{}}
}

// Drained notes that a version drains a target; Started, before the change is made, that it will serve again, under another start.
func (j *DrainChecker) RecordDrain(target string, version uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drains[target], j.appliedSince[target] = version, map[int]time.Time{}
}

// Started ends Drained.
func (j *DrainChecker) RecordServing(target string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.drains, target)
	delete(j.appliedSince, target)
}

// InForce notes that an initiator said at that moment, or before, that all targets' changes up to a version are in force.
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

// Ended notes that an initiator's life ends: the next one knows what it has on disk, and tells anew what of it is in force.
func (j *DrainChecker) RecordRestart(initiator int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, by := range j.appliedSince {
		delete(by, initiator)
	}
}

// Reached is for Targets.
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
		j.violations = append(j.violations, fmt.Sprintf("initiator %d reached %s %v after it had its drain (version %d) in force",
			initiator, t.ID, at.Sub(since).Round(time.Millisecond), j.drains[t.ID]))
	}
}

// Broken is what went wrong.
func (j *DrainChecker) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.violations...)
}

// Watch asks all initiators what is in force, until the context ends, and tells the judge. A version that goes back within one life of an
// initiator is told to back.
func (f *RelayNetwork) PollApplied(ctx context.Context, readers []*Subscriber, judge *DrainChecker, back func(string)) {
	var work sync.WaitGroup
	f.rig.T.Cleanup(work.Wait)
	for i, n := range readers {
		work.Go(func() {
			had, life := map[string]int64{}, 0
			for ctx.Err() == nil {
				n.mu.Lock()
				lives := n.Generation
				n.mu.Unlock()
				says := n.StreamMetrics()
				at := time.Now()
				n.mu.Lock()
				if says == nil || n.Generation != lives || n.restarting {
					n.mu.Unlock()
					time.Sleep(50 * time.Millisecond)
					continue
				}
				if lives != life {
					clear(had)
					life = lives
				}
				judge.RecordApplied(i, uint64(says["in_force.targets"]), at)
				n.mu.Unlock()
				for _, lane := range []string{"position.targets", "position.config", "in_force.targets", "in_force.config"} {
					if says[lane] < had[lane] {
						back(fmt.Sprintf("%s: %s went back from %d to %d", n.Name, lane, had[lane], says[lane]))
					}
					had[lane] = says[lane]
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// Renew kills the initiator and starts it again.
func (n *Subscriber) KillAndRestart(i int, judge *DrainChecker) {
	n.mu.Lock()
	n.restarting = true
	n.mu.Unlock()
	n.Kill()
	judge.RecordRestart(i)
	n.Restart()
	n.mu.Lock()
	n.Generation++
	n.restarting = false
	n.mu.Unlock()
}

// life tells which life an initiator is in; false while it is between two.
func (n *Subscriber) currentGeneration() (int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Generation, !n.restarting
}
