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
const feedFleet = "campus"

// Feed is the way of changes to all: agents, relays in regions, and what it takes to follow and to judge them.
type Feed struct {
	rig     *Rig
	Group   *Agents
	Relays  []*FeedRelay
	regions []string
	client  http.Client
}

// FeedRelay is one relay as a process, with a link to each agent.
type FeedRelay struct {
	*Proc
	ID, Region, Addr string
	Links            []*Link
}

// Feed starts relays, so many in each region, behind links to the agents. They keep their copies below the rig's folder.
func (r *Rig) Feed(agents *Agents, each int, regions ...string) *Feed {
	r.T.Helper()
	f := &Feed{rig: r, Group: agents, regions: regions, client: http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	addrs := FreeAddrs(r.T, each*len(regions))
	for i, addr := range addrs {
		y := &FeedRelay{ID: fmt.Sprint("relay-", i), Region: regions[i/each], Addr: addr}
		var to []string
		for j, a := range agents.API {
			y.Links = append(y.Links, r.Link(y.ID, fmt.Sprint("agent-", j), a))
			to = append(to, strconv.Quote(y.Links[j].Addr))
		}
		file := r.File(y.ID+".toml", fmt.Sprintf("[relay]\nid = %q\nfleet = %q\nregion = %q\nlisten = %q\nagents = [%s]\ndir = %q\n",
			y.ID, feedFleet, y.Region, addr, strings.Join(to, ", "), filepath.Join(r.Dir, y.ID)))
		y.Proc = r.Start(y.ID, nil, "relay", "--operator", file)
		f.Relays = append(f.Relays, y)
	}
	return f
}

// Reader is an initiator that takes the feed, with a link to each relay.
type Reader struct {
	*Instance
	Region string
	mu     sync.Mutex
	Lives  int  // how often it was started: what it says is held against one life
	ended  bool // it is being started again
	links  []*Link
}

// Reader starts an initiator that takes the feed; o.File and o.Agents are not used.
func (f *Feed) Reader(name, region string, o InstanceOptions) *Reader {
	f.rig.T.Helper()
	n := &Reader{Region: region, Lives: 1}
	var file string
	file, n.links = f.file(name, region)
	o.File, o.Agents = file, nil
	n.Instance = f.rig.Instance(name, o, 0)
	return n
}

// Layered starts an initiator that takes its configuration from the feed as well.
func (f *Feed) Layered(name, region string) *Reader {
	f.rig.T.Helper()
	addrs := FreeAddrs(f.rig.T, 2)
	n := &Reader{Region: region, Lives: 1, Instance: &Instance{Listen: addrs[0], Control: addrs[1]}}
	var file string
	file, n.links = f.file(name, region)
	n.Proc = f.rig.Start(name, []string{"PROXY_NAME=" + name}, "serve", "--operator", f.rig.File(name+".toml", file), "--config-from-feed")
	return n
}

// file is the operator's file of an initiator.
func (f *Feed) file(name, region string) (string, []*Link) {
	var links []*Link
	var b strings.Builder
	fmt.Fprintf(&b, "[feed]\nfleet = %q\nregion = %q\ndir = %q\n", feedFleet, region, filepath.Join(f.rig.Dir, name))
	for _, x := range f.regions {
		fmt.Fprintf(&b, "[[feed.regions]]\nname = %q\n", x)
	}
	for _, y := range f.Relays {
		links = append(links, f.rig.Link(name, y.ID, y.Addr))
		fmt.Fprintf(&b, "[[feed.relay]]\nid = %q\nregion = %q\naddr = %q\n", y.ID, y.Region, links[len(links)-1].Addr)
	}
	return b.String(), links
}

// CutRegion has nothing pass between a region's relays and the agents, and between its initiators and relays of other regions, nor the other
// way; HealRegion ends it.
func (f *Feed) CutRegion(region string, readers []*Reader) { f.border(region, readers, (*Link).Cut) }

// HealRegion ends CutRegion.
func (f *Feed) HealRegion(region string, readers []*Reader) { f.border(region, readers, (*Link).Heal) }

func (f *Feed) border(region string, readers []*Reader, do func(*Link)) {
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
func (f *Feed) Put(puts ...watchstream.Put) (version uint64) {
	f.rig.T.Helper()
	body, err := json.Marshal(watchstream.Change{Fleet: feedFleet, Epoch: "runs", Puts: puts})
	if err != nil {
		f.rig.T.Fatal(err)
	}
	id, said := rand.Text(), ""
	f.rig.Until("a change is taken", func() bool {
		for _, a := range f.Group.API {
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
func (n *Reader) Says() map[string]int64 {
	all := map[string]int64{}
	for line := range strings.Lines(n.Figures()) {
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
type DrainJudge struct {
	allow  time.Duration // for what was sent before and is still on its way
	mu     sync.Mutex
	drains map[string]uint64            // by target: the version that drains it
	since  map[string]map[int]time.Time // by target and initiator: from when on it was known to be in force there
	broken []string
	Held   int // drains known to be in force at an initiator
}

// NewDrainJudge returns a judge that allows so long for what is under way. It reads an initiator's number from the request's id.
func NewDrainJudge(allow time.Duration) *DrainJudge {
	return &DrainJudge{allow: allow, drains: map[string]uint64{}, since: map[string]map[int]time.Time{}}
}

// Drained notes that a version drains a target; Started, before the change is made, that it will serve again, under another start.
func (j *DrainJudge) Drained(target string, version uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drains[target], j.since[target] = version, map[int]time.Time{}
}

// Started ends Drained.
func (j *DrainJudge) Started(target string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.drains, target)
	delete(j.since, target)
}

// InForce notes that an initiator said at that moment, or before, that all targets' changes up to a version are in force.
func (j *DrainJudge) InForce(initiator int, version uint64, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for target, drains := range j.drains {
		if _, known := j.since[target][initiator]; !known && version >= drains {
			j.since[target][initiator] = at
			j.Held++
		}
	}
}

// Ended notes that an initiator's life ends: the next one knows what it has on disk, and tells anew what of it is in force.
func (j *DrainJudge) Ended(initiator int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, by := range j.since {
		delete(by, initiator)
	}
}

// Reached is for Targets.
func (j *DrainJudge) Reached(t *Target, request string) {
	at := time.Now()
	number, _, _ := strings.Cut(request, "-")
	initiator, err := strconv.Atoi(number)
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if since, known := j.since[t.ID][initiator]; known && at.Sub(since) > j.allow && len(j.broken) < 20 {
		j.broken = append(j.broken, fmt.Sprintf("initiator %d reached %s %v after it had its drain (version %d) in force",
			initiator, t.ID, at.Sub(since).Round(time.Millisecond), j.drains[t.ID]))
	}
}

// Broken is what went wrong.
func (j *DrainJudge) Broken() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.broken...)
}

// Watch asks all initiators what is in force, until the context ends, and tells the judge. A version that goes back within one life of an
// initiator is told to back.
func (f *Feed) Watch(ctx context.Context, readers []*Reader, judge *DrainJudge, back func(string)) {
	var work sync.WaitGroup
	f.rig.T.Cleanup(work.Wait)
	for i, n := range readers {
		work.Go(func() {
			had, life := map[string]int64{}, 0
			for ctx.Err() == nil {
				n.mu.Lock()
				lives := n.Lives
				n.mu.Unlock()
				says := n.Says()
				at := time.Now()
				n.mu.Lock()
				if says == nil || n.Lives != lives || n.ended {
					n.mu.Unlock()
					time.Sleep(50 * time.Millisecond)
					continue
				}
				if lives != life {
					clear(had)
					life = lives
				}
				judge.InForce(i, uint64(says["in_force.targets"]), at)
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
func (n *Reader) Renew(i int, judge *DrainJudge) {
	n.mu.Lock()
	n.ended = true
	n.mu.Unlock()
	n.Kill()
	judge.Ended(i)
	n.Restart()
	n.mu.Lock()
	n.Lives++
	n.ended = false
	n.mu.Unlock()
}

// life tells which life an initiator is in; false while it is between two.
func (n *Reader) life() (int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Lives, !n.ended
}
