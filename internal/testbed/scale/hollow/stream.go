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

var jsonCodec = jsoniter.ConfigCompatibleWithStandardLibrary

// streamState is an initiator's watch stream follower, with totals over all its runs.
type streamState struct {
	current                         atomic.Pointer[distribution.Follower] // nil: not running
	earlierBytesIn, earlierBytesOut uint64                                // bytes read and written in earlier runs
	earlierSwitches                 uint64
}

// newFollower creates the follower of the watch stream. It first applies its copy on disk, then changes.
func (in *Initiator) newFollower(m *policyLoop) (run func(context.Context), err error) {
	opt := *in.opt.WatchStream
	var f *distribution.Follower
	opt.OnChange = func(c distribution.Update) error { return in.applyUpdate(f, m, c) }
	if f, err = distribution.NewFollower(opt); err != nil {
		return nil, err
	}
	in.stream.current.Store(f)
	return f.Run, nil
}

// applyUpdate applies an update of the watch stream. A target entry that cannot be decoded is a fault of the run itself
// and is recorded as a violation.
func (in *Initiator) applyUpdate(f *distribution.Follower, m *policyLoop, c distribution.Update) error {
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
				in.Checker.RecordViolation("target %s: %v", r.Key, err)
				continue
			}
		}
		l.Targets = append(l.Targets, e)
	}
	if len(l.Targets) > 0 || l.Full {
		if m == nil {
			in.Checker.RecordTargets(l.Targets)
		} else if !m.applyAndWait(l) {
			return fmt.Errorf("policy loop has ended")
		}
	}
	if config {
		merged, err := watchstream.MergeLayers(f.Records(watchstream.Config))
		if err != nil {
			return err
		}
		if !jsonCodec.Valid(merged) {
			return fmt.Errorf("merged configuration is not valid JSON")
		}
	}
	at := monotonic.Now()
	in.Checker.RecordApplied(Targets, c.Position.Targets, at)
	in.Checker.RecordApplied(Config, c.Position.Config, at)
	return nil
}

// addTotals adds the totals of the run that ends. The caller must hold mu of the initiator.
func (x *streamState) addTotals() {
	if f := x.current.Swap(nil); f != nil {
		s := f.State()
		x.earlierBytesIn, x.earlierBytesOut, x.earlierSwitches = x.earlierBytesIn+s.BytesIn, x.earlierBytesOut+s.BytesOut, x.earlierSwitches+s.Switches
	}
}

// Poll reads the versions that the follower reports as applied, and has the checker compare them with earlier reports.
func (in *Initiator) Poll() {
	if f := in.stream.current.Load(); f != nil {
		s := f.State()
		in.Checker.RecordReported(f, s.Applied.Targets, s.Applied.Config)
	}
}

// StreamTotals returns how many bytes the follower's own transport has read and written, and how often it switched
// relays. Traffic through the process's default transport is not included.
func (in *Initiator) StreamTotals() (read, written, switches uint64) {
	in.mu.Lock()
	read, written, switches = in.stream.earlierBytesIn, in.stream.earlierBytesOut, in.stream.earlierSwitches
	f := in.stream.current.Load()
	in.mu.Unlock()
	if f != nil {
		s := f.State()
		read, written, switches = read+s.BytesIn, written+s.BytesOut, switches+s.Switches
	}
	return read, written, switches
}

// pipelinedRequests is how many requests a client that never reads sends at once.
const pipelinedRequests = 64

// PipelinedRequests returns the requests of the initiator for a client that never reads a response, and the address to
// send them to.
func (in *Initiator) PipelinedRequests(name string) (addr string, request []byte, err error) {
	if in.opt.WatchStream == nil {
		addr = in.opt.Agents[0]
		for range pipelinedRequests {
			request = fmt.Appendf(request, "GET /v1/instances/%s?stale&wait_ms=60000&after=0 HTTP/1.1\r\nHost: %s\r\n\r\n", in.opt.Name, addr)
		}
		return addr, request, nil
	}
	addr = in.opt.WatchStream.Relays[0].Addr
	for _, r := range in.opt.WatchStream.Relays {
		if r.Region == in.opt.Region {
			addr = r.Addr
		}
	}
	for i := range pipelinedRequests {
		text, err := jsonCodec.Marshal(watchstream.SubscribeRequest{Fleet: in.opt.WatchStream.Fleet, Scope: watchstream.Scope{Name: name, Region: in.opt.Region, Zone: in.opt.Zone}, Generation: 1, Seq: uint64(i + 1)})
		if err != nil {
			return "", nil, err
		}
		request = fmt.Appendf(request, "POST /v1/feed/watch HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", addr, len(text), text)
	}
	return addr, request, nil
}
