package hollow

import (
	"context"
	"fmt"
	"sync/atomic"

	jsoniter "github.com/json-iterator/go"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/process/monotonic"
)

var format = jsoniter.ConfigCompatibleWithStandardLibrary

// follower is an initiator's end of the feed, over all of its lives.
type follower struct {
	now     atomic.Pointer[distribution.Follower] // nil: it does not run
	in, out uint64                                // of earlier lives
	moves   uint64
}

// start begins a life: what the copy on disk has first, then what changes.
func (in *Initiator) follow(m *module) (run func(context.Context), err error) {
	opt := *in.opt.Feed
	var f *distribution.Follower
	opt.OnChange = func(c distribution.Update) error { return in.changed(f, m, c) }
	if f, err = distribution.NewFollower(opt); err != nil {
		return nil, err
	}
	in.feed.now.Store(f)
	return f.Run, nil
}

// changed takes over what the feed has brought. What can't be read as a list is the run's own fault: it is told as broken.
func (in *Initiator) changed(f *distribution.Follower, m *module, c distribution.Update) error {
	v := int64(c.Position.Targets)
	l := &targetlist.List{Version: &v, Full: c.Full}
	config := c.Full
	for _, r := range c.Records {
		if r.Kind == watchstream.Config {
			config = true
			continue
		}
		e := targetlist.Entry{ID: r.Key, State: "DELETED"}
		if !r.Deleted {
			var err error
			if e, err = targetlist.DecodeEntry(r.Value); err != nil {
				in.Journal.Breaks("target %s: %v", r.Key, err)
				continue
			}
		}
		l.Targets = append(l.Targets, e)
	}
	if len(l.Targets) > 0 || l.Full {
		if m == nil {
			in.Journal.Told(l.Targets)
		} else if !m.wait(l) {
			return fmt.Errorf("stopped")
		}
	}
	if config {
		merged, err := watchstream.MergeLayers(f.Records(watchstream.Config))
		if err != nil {
			return err
		}
		if !format.Valid(merged) {
			return fmt.Errorf("configuration: no JSON")
		}
	}
	at := monotonic.Now()
	in.Journal.Heard(Targets, c.Position.Targets, at)
	in.Journal.Heard(Config, c.Position.Config, at)
	return nil
}

// end notes what a life took.
func (x *follower) end() {
	if f := x.now.Swap(nil); f != nil {
		s := f.State()
		x.in, x.out, x.moves = x.in+s.BytesIn, x.out+s.BytesOut, x.moves+s.Switches
	}
}

// Poll asks the follower for what is in force, as it acknowledges it, and has the judge hold that against what it said before.
func (in *Initiator) Poll() {
	if f := in.feed.now.Load(); f != nil {
		s := f.State()
		in.Journal.Seen(f, s.Applied.Targets, s.Applied.Config)
	}
}

// Wire is how many bytes its own transport has read and written; what goes through the process's transport is not in it.
func (in *Initiator) Wire() (read, written, moves uint64) {
	in.mu.Lock()
	read, written, moves = in.feed.in, in.feed.out, in.feed.moves
	f := in.feed.now.Load()
	in.mu.Unlock()
	if f != nil {
		s := f.State()
		read, written, moves = read+s.BytesIn, written+s.BytesOut, moves+s.Switches
	}
	return read, written, moves
}

// pipelined is how many calls one that never reads makes at once.
const pipelined = 64

// Asks is calls as it makes them, for one that never reads an answer.
func (in *Initiator) Asks(name string) (addr string, request []byte, err error) {
	if in.opt.Feed == nil {
		addr = in.opt.Agents[0]
		for range pipelined {
			request = fmt.Appendf(request, "GET /v1/instances/%s?stale&wait_ms=60000&after=0 HTTP/1.1\r\nHost: %s\r\n\r\n", in.opt.Name, addr)
		}
		return addr, request, nil
	}
	addr = in.opt.Feed.Relays[0].Addr
	for _, r := range in.opt.Feed.Relays {
		if r.Region == in.opt.Region {
			addr = r.Addr
		}
	}
	for i := range pipelined {
		text, err := format.Marshal(watchstream.SubscribeRequest{Fleet: in.opt.Feed.Fleet, Scope: watchstream.Scope{Name: name, Region: in.opt.Region, Zone: in.opt.Zone}, Generation: 1, Seq: uint64(i + 1)})
		if err != nil {
			return "", nil, err
		}
		request = fmt.Appendf(request, "POST /v1/feed/watch HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", addr, len(text), text)
	}
	return addr, request, nil
}
