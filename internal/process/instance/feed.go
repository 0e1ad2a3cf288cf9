package instance

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"

	"github.com/cactus/go-statsd-client/v5/statsd"

	"spindlehitch/internal/controlplane/watchstream"
	edge "spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/controlplane/watchstream/targetmerge"
	"spindlehitch/internal/datapath/listing"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/process/mailbox"
)

// news is what a source tells of the targets.
type news struct {
	from  targetmerge.Source
	list  *listing.List
	early bool          // a piece, of a source that has not told a whole list yet
	heard chan struct{} // closed once all who listen have heard it; nil: nobody waits for that
}

// joint is where what discovery and the feed tell becomes one list. It has a goroutine of its own, so that those who listen to the list hear
// in order and from one goroutine, whoever told.
type joint struct {
	loop
	box  *mailbox.Box[news]
	view *targetmerge.View
	tell func(*listing.List)
	held []*listing.List // the feed's pieces, while nobody has told a whole list: it is none by itself, and nobody is ready by it
	told bool
}

func newJoint(tell func(*listing.List)) *joint {
	j := &joint{box: mailbox.New[news](), view: targetmerge.New(targetmerge.DefaultMaxRemoved), tell: tell}
	j.run = j.join
	return j
}

// discovered takes discovery's word.
func (j *joint) discovered(l *listing.List) { j.box.Put(news{from: targetmerge.Discovery, list: l}) }

func (j *joint) join(ctx context.Context) {
	var spare []news
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.box.Wake():
		}
		all := j.box.Take(spare)
		for _, n := range all {
			j.take(n)
			if n.heard != nil {
				close(n.heard)
			}
		}
		spare = all
	}
}

func (j *joint) take(n news) {
	if n.early && !j.told {
		j.held = append(j.held, n.list)
		return
	}
	l := j.view.Merge(n.from, n.list)
	if !j.told {
		if n.from == targetmerge.Discovery { // a whole list of the feed's has its pieces in it
			for _, l := range j.held {
				j.view.Merge(targetmerge.Feed, l)
			}
		}
		j.told, j.held, l = true, nil, j.view.Full()
	}
	if l != nil {
		j.tell(l)
	}
}

// hear takes the feed's word, and returns once those who listen have heard it: what was told to drain gets no first byte any more. One that
// has stopped has nothing that could still be sent.
func (j *joint) hear(l *listing.List, early bool) {
	n := news{targetmerge.Feed, l, early, make(chan struct{})}
	j.box.Put(n)
	select {
	case <-n.heard:
	case <-j.ended:
	}
}

// stream is the feed of changes as this process takes it, once for all its instances: those of two configurations, one of which leaves, are
// one reader and no two.
type stream struct {
	follower  *edge.Follower
	log       *slog.Logger
	configure func([]watchstream.Record, uint64) error // nil: the configuration comes from elsewhere

	mu     sync.Mutex // held while a change is passed on
	joints []*joint
	list   map[string]listing.Entry // what the feed has of targets
	known  bool                     // whether that is all of them
	doubts int64                    // entries that could not be read
}

// newStream returns a feed that is not followed before run.
func newStream(f *config.Feed, name string, log *slog.Logger, configure func([]watchstream.Record, uint64) error) (*stream, error) {
	s := &stream{log: log, configure: configure, list: map[string]listing.Entry{}}
	relays := make([]watchstream.Relay, len(f.Relays))
	for i, r := range f.Relays {
		relays[i] = watchstream.Relay{ID: r.ID, Region: r.Region, Addr: r.Addr}
	}
	var err error
	s.follower, err = edge.NewFollower(edge.Options{Fleet: f.Fleet, Name: name, Region: f.Region, Zone: f.Zone, Relays: relays, Dir: f.Dir, Log: log, OnChange: s.changed})
	if err != nil {
		return nil, fmt.Errorf("operator's file: feed: %w", err)
	}
	return s, nil
}

// changed passes on what is new, targets first. Once it returns that is in force, but for a configuration that it returns an error for.
func (s *stream) changed(c edge.Update) error {
	var configs []watchstream.Record
	l := &listing.List{Full: c.Full}
	for _, r := range c.Records {
		if r.Kind == watchstream.Config {
			configs = append(configs, r)
			continue
		}
		e := listing.Entry{ID: r.Key, State: "DELETED"}
		if !r.Deleted {
			var err error
			if e, err = listing.DecodeEntry(r.Value); err != nil || e.ID != r.Key {
				s.doubt(r, err)
				if known, had := s.had(r.Key); c.Full && had {
					l.Targets = append(l.Targets, known)
				}
				continue
			}
		}
		l.Targets = append(l.Targets, e)
	}
	s.pass(l, c.Position)
	if s.configure == nil || len(configs) == 0 {
		return nil
	}
	// A layer that did not change is not among those that did.
	if !c.Full {
		configs = s.follower.Records(watchstream.Config)
	}
	return s.configure(configs, c.Position.Config)
}

// doubt notes an entry that no list could have: what was known of its target stays.
func (s *stream) doubt(r watchstream.Record, err error) {
	if err == nil {
		err = fmt.Errorf("%s: its id is another target's", r.Key)
	}
	s.mu.Lock()
	s.doubts++
	first := s.doubts == 1
	s.mu.Unlock()
	if first {
		s.log.Warn("target in the feed not usable", slog.String("reason", "FEED_BAD_TARGET"), slog.String("target", r.Key), slog.Uint64("version", r.Version),
			slog.Any("error", err))
	}
}

func (s *stream) had(id string) (listing.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, had := s.list[id]
	return e, had
}

// pass has all instances hear of targets. Until the feed has all of them it tells pieces.
func (s *stream) pass(l *listing.List, at watchstream.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Full {
		clear(s.list)
	}
	for _, e := range l.Targets {
		if s.list[e.ID] = e; e.State == "DELETED" && e.StartedMs == 0 {
			delete(s.list, e.ID)
		}
	}
	was := s.known
	if s.known = s.known || at.Targets > 0; s.known && !was {
		l = s.all()
	}
	if !l.Full && len(l.Targets) == 0 || !s.known && len(s.list) == 0 {
		return
	}
	if !s.known {
		l.Full = false
	}
	for _, j := range s.joints {
		j.hear(l, !s.known)
	}
}

// all is what the feed has of targets; its caller holds mu.
func (s *stream) all() *listing.List {
	l := &listing.List{Full: true}
	for _, e := range s.list {
		l.Targets = append(l.Targets, e)
	}
	slices.SortFunc(l.Targets, func(a, b listing.Entry) int { return strings.Compare(a.ID, b.ID) })
	return l
}

// join has an instance hear of targets from now on, first of all that are known.
func (s *stream) join(j *joint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joints = append(s.joints, j)
	if l := s.all(); s.known || len(l.Targets) > 0 {
		l.Full = s.known
		j.hear(l, !s.known)
	}
}

// leave ends join.
func (s *stream) leave(j *joint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joints = slices.DeleteFunc(s.joints, func(x *joint) bool { return x == j })
}

// Tell implements teller.
func (s *stream) Tell(to statsd.ExtendedStatSender) {
	at := s.follower.State()
	to.Gauge("feed.position.targets", int64(at.Position.Targets), 1)
	to.Gauge("feed.position.config", int64(at.Position.Config), 1)
	to.Gauge("feed.in_force.targets", int64(at.Applied.Targets), 1)
	to.Gauge("feed.in_force.config", int64(at.Applied.Config), 1)
	down := int64(0)
	if at.Rejection != nil {
		down = int64(at.Rejection.Version)
	}
	to.Gauge("feed.turned_down", down, 1)
	to.Gauge("feed.age_ms", at.AgeMs, 1)
	to.Inc("feed.moves", int64(at.Switches), 1)
	to.Inc("feed.deltas", int64(at.Deltas), 1)
	to.Inc("feed.records", int64(at.Records), 1)
	to.Inc("feed.failed", int64(at.Failed), 1)
	to.Inc("feed.busy", int64(at.Busy), 1)
	to.Inc("feed.bytes.in", int64(at.BytesIn), 1)
	to.Inc("feed.bytes.out", int64(at.BytesOut), 1)
	for reason, n := range at.Rejected {
		to.Inc("feed.refused."+reason, int64(n), 1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	to.Gauge("feed.targets", int64(len(s.list)), 1)
	to.Inc("feed.bad_targets", s.doubts, 1)
}

// feeding is an instance's part of the feed: its list is joined of discovery's and of the feed's.
type feeding struct {
	*joint
	stream *stream
	follow *loop // of the stream, where it is this instance's alone; nil: it is the process's
}

// newFeeding returns the part; of is the process's feed, nil: the instance has one of its own.
func newFeeding(f *config.Feed, of *stream, name string, log *slog.Logger, tell func(*listing.List)) (*feeding, error) {
	p := &feeding{joint: newJoint(tell), stream: of}
	if of == nil {
		var err error
		if p.stream, err = newStream(f, name, log, nil); err != nil {
			return nil, err
		}
		p.follow = &loop{run: p.stream.follower.Run}
	}
	return p, nil
}

// Start implements Part.
func (p *feeding) Start(stop context.Context) error {
	if err := p.joint.Start(stop); err != nil {
		return err
	}
	p.stream.join(p.joint)
	if p.follow == nil {
		return nil
	}
	return p.follow.Start(stop)
}

// Stop implements Part.
func (p *feeding) Stop(within context.Context) error {
	p.stream.leave(p.joint)
	if p.follow != nil {
		if err := p.follow.Stop(within); err != nil {
			return err
		}
	}
	return p.joint.Stop(within)
}

// Tell implements teller.
func (p *feeding) Tell(to statsd.ExtendedStatSender) { p.stream.Tell(to) }
