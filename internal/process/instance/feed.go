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
	"spindlehitch/internal/controlplane/watchstream/distribution"
	"spindlehitch/internal/controlplane/watchstream/targetmerge"
	"spindlehitch/internal/datapath/targetlist"
	"spindlehitch/internal/process/config"
	"spindlehitch/internal/process/mailbox"
)

// targetUpdate is a list of targets from one source.
type targetUpdate struct {
	source  targetmerge.Source
	list    *targetlist.List
	partial bool          // from a source that has not sent a full list yet
	applied chan struct{} // closed by mergeUpdates once all listeners have applied the update; nil: not needed
}

// targetMerger merges the lists of discovery and of the feed into one. It has a goroutine of its own, so that listeners get lists in order and
// from a single goroutine, whichever source an update came from. Only that goroutine uses the fields below updates.
type targetMerger struct {
	loop
	updates      *mailbox.Box[targetUpdate]
	view         *targetmerge.View
	publish      func(*targetlist.List)
	heldPartials []*targetlist.List // partial lists of the feed before the first full list: they alone don't make the instance ready
	published    bool               // a full list has been published
}

func newTargetMerger(publish func(*targetlist.List)) *targetMerger {
	m := &targetMerger{updates: mailbox.New[targetUpdate](), view: targetmerge.New(targetmerge.DefaultMaxRemoved), publish: publish}
	m.run = m.mergeUpdates
	return m
}

// putDiscovery queues a list of discovery.
func (m *targetMerger) putDiscovery(l *targetlist.List) {
	m.updates.Put(targetUpdate{source: targetmerge.Discovery, list: l})
}

// mergeUpdates merges the queued updates until the context ends.
func (m *targetMerger) mergeUpdates(ctx context.Context) {
	var spare []targetUpdate
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.updates.Wake():
		}
		all := m.updates.Take(spare)
		for _, u := range all {
			m.merge(u)
			if u.applied != nil {
				close(u.applied)
			}
		}
		spare = all
	}
}

// merge merges an update and publishes what changed, or at first the full list.
func (m *targetMerger) merge(u targetUpdate) {
	if u.partial && !m.published {
		m.heldPartials = append(m.heldPartials, u.list)
		return
	}
	merged := m.view.Merge(u.source, u.list)
	if !m.published {
		if u.source == targetmerge.Discovery { // a full list of the feed includes its partial ones
			for _, partial := range m.heldPartials {
				m.view.Merge(targetmerge.WatchStream, partial)
			}
		}
		m.published, m.heldPartials, merged = true, nil, m.view.Full()
	}
	if merged != nil {
		m.publish(merged)
	}
}

// applyFeed queues a list of the feed and returns once all listeners have applied it, so that no new request is sent to a target that the
// list has draining. It also returns if the merger has stopped, since then no request can be sent.
func (m *targetMerger) applyFeed(l *targetlist.List, isPartial bool) {
	u := targetUpdate{targetmerge.WatchStream, l, isPartial, make(chan struct{})}
	m.updates.Put(u)
	select {
	case <-u.applied:
	case <-m.done:
	}
}

// feedStream follows the feed of changes, the watch stream of package watchstream, for all generations of this process: while a generation
// replaces another, the two count as one reader at the relays.
type feedStream struct {
	follower    *distribution.Follower
	log         *slog.Logger
	applyConfig func([]watchstream.Record, uint64) error // nil: the configuration comes from another source

	mu         sync.Mutex                  // guards the fields below; also held while an update is passed to the mergers
	mergers    []*targetMerger             // subscribed
	targets    map[string]targetlist.Entry // the feed's current entries
	complete   bool                        // targets has all entries of the feed
	badTargets int64                       // entries that could not be decoded
}

// newFeedStream returns a stream that receives nothing before its follower runs.
func newFeedStream(f *config.Feed, name string, log *slog.Logger, applyConfig func([]watchstream.Record, uint64) error) (*feedStream, error) {
	s := &feedStream{log: log, applyConfig: applyConfig, targets: map[string]targetlist.Entry{}}
	relays := make([]watchstream.Relay, len(f.Relays))
	for i, r := range f.Relays {
		relays[i] = watchstream.Relay{ID: r.ID, Region: r.Region, Addr: r.Addr}
	}
	var err error
	s.follower, err = distribution.NewFollower(distribution.FollowerOptions{Fleet: f.Fleet, Name: name, Region: f.Region, Zone: f.Zone, Relays: relays, Dir: f.Dir, Log: log, OnChange: s.onUpdate})
	if err != nil {
		return nil, fmt.Errorf("operator's file: feed: %w", err)
	}
	return s, nil
}

// onUpdate passes an update on, targets first. When it returns, the update is in force, except for the configuration if it returns an error.
func (s *feedStream) onUpdate(update distribution.Update) error {
	var configs []watchstream.Record
	l := &targetlist.List{Full: update.Full}
	for _, r := range update.Records {
		if r.Kind == watchstream.Config {
			configs = append(configs, r)
			continue
		}
		e := targetlist.Entry{ID: r.Key, State: "DELETED"}
		if !r.Deleted {
			var err error
			if e, err = targetlist.DecodeEntry(r.Value); err != nil || e.ID != r.Key {
				s.rejectTarget(r, err)
				if known, found := s.target(r.Key); update.Full && found {
					l.Targets = append(l.Targets, known)
				}
				continue
			}
		}
		l.Targets = append(l.Targets, e)
	}
	s.applyTargets(l, update.Position)
	if s.applyConfig == nil || len(configs) == 0 {
		return nil
	}
	// An update has only the layers that changed; applyConfig needs all of them.
	if !update.Full {
		configs = s.follower.Records(watchstream.Config)
	}
	return s.applyConfig(configs, update.Position.Config)
}

// rejectTarget counts an entry that can't be used, and logs the first one. The previous entry of its target stays in force.
func (s *feedStream) rejectTarget(r watchstream.Record, err error) {
	if err == nil {
		err = fmt.Errorf("%s: its id names another target", r.Key)
	}
	s.mu.Lock()
	s.badTargets++
	first := s.badTargets == 1
	s.mu.Unlock()
	if first {
		s.log.Warn("target in the feed not usable", slog.String("reason", "FEED_BAD_TARGET"), slog.String("target", r.Key), slog.Uint64("version", r.Version),
			slog.Any("error", err))
	}
}

func (s *feedStream) target(id string) (targetlist.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, found := s.targets[id]
	return e, found
}

// applyTargets passes a list to all mergers. Until the feed has all targets, the lists are partial.
func (s *feedStream) applyTargets(l *targetlist.List, at watchstream.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Full {
		clear(s.targets)
	}
	for _, e := range l.Targets {
		if s.targets[e.ID] = e; e.State == "DELETED" && e.StartedMs == 0 {
			delete(s.targets, e.ID)
		}
	}
	wasComplete := s.complete
	if s.complete = s.complete || at.Targets > 0; s.complete && !wasComplete {
		l = s.fullList()
	}
	if !l.Full && len(l.Targets) == 0 || !s.complete && len(s.targets) == 0 {
		return
	}
	if !s.complete {
		l.Full = false
	}
	for _, m := range s.mergers {
		m.applyFeed(l, !s.complete)
	}
}

// fullList lists the feed's current entries. The caller holds mu.
func (s *feedStream) fullList() *targetlist.List {
	l := &targetlist.List{Full: true}
	for _, e := range s.targets {
		l.Targets = append(l.Targets, e)
	}
	slices.SortFunc(l.Targets, func(a, b targetlist.Entry) int { return strings.Compare(a.ID, b.ID) })
	return l
}

// subscribe has a merger receive lists from now on, first the current one.
func (s *feedStream) subscribe(m *targetMerger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergers = append(s.mergers, m)
	if l := s.fullList(); s.complete || len(l.Targets) > 0 {
		l.Full = s.complete
		m.applyFeed(l, !s.complete)
	}
}

// unsubscribe ends subscribe.
func (s *feedStream) unsubscribe(m *targetMerger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergers = slices.DeleteFunc(s.mergers, func(other *targetMerger) bool { return other == m })
}

// EmitMetrics implements metricsEmitter.
func (s *feedStream) EmitMetrics(to statsd.ExtendedStatSender) {
	state := s.follower.State()
	to.Gauge("feed.position.targets", int64(state.Position.Targets), 1)
	to.Gauge("feed.position.config", int64(state.Position.Config), 1)
	to.Gauge("feed.in_force.targets", int64(state.Applied.Targets), 1)
	to.Gauge("feed.in_force.config", int64(state.Applied.Config), 1)
	rejectedVersion := int64(0)
	if state.Rejection != nil {
		rejectedVersion = int64(state.Rejection.Version)
	}
	to.Gauge("feed.turned_down", rejectedVersion, 1)
	to.Gauge("feed.age_ms", state.AgeMs, 1)
	to.Inc("feed.moves", int64(state.Switches), 1)
	to.Inc("feed.deltas", int64(state.Deltas), 1)
	to.Inc("feed.records", int64(state.Records), 1)
	to.Inc("feed.failed", int64(state.Failed), 1)
	to.Inc("feed.busy", int64(state.Busy), 1)
	to.Inc("feed.bytes.in", int64(state.BytesIn), 1)
	to.Inc("feed.bytes.out", int64(state.BytesOut), 1)
	for reason, n := range state.Rejected {
		to.Inc("feed.refused."+reason, int64(n), 1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	to.Gauge("feed.targets", int64(len(s.targets)), 1)
	to.Inc("feed.bad_targets", s.badTargets, 1)
}

// feedComponent merges discovery's list with the feed's for one instance.
type feedComponent struct {
	*targetMerger
	stream      *feedStream
	ownFollower *loop // runs the stream's follower if the stream is this instance's own; nil: the stream is the process's
}

// newFeedComponent returns the component. ProcessFeed is the process's stream; nil: the instance gets its own.
func newFeedComponent(f *config.Feed, processFeed *feedStream, name string, log *slog.Logger, publish func(*targetlist.List)) (*feedComponent, error) {
	c := &feedComponent{targetMerger: newTargetMerger(publish), stream: processFeed}
	if processFeed == nil {
		var err error
		if c.stream, err = newFeedStream(f, name, log, nil); err != nil {
			return nil, err
		}
		c.ownFollower = &loop{run: c.stream.follower.Run}
	}
	return c, nil
}

// Start implements Component.
func (c *feedComponent) Start(ctx context.Context) error {
	if err := c.targetMerger.Start(ctx); err != nil {
		return err
	}
	c.stream.subscribe(c.targetMerger)
	if c.ownFollower == nil {
		return nil
	}
	return c.ownFollower.Start(ctx)
}

// YieldToSuccessor implements yielder: relays have one reader of a name, and it writes one snapshot.
func (c *feedComponent) YieldToSuccessor(ctx context.Context) error {
	if c.ownFollower == nil {
		return nil
	}
	return c.ownFollower.Stop(ctx)
}

// Stop implements Component.
func (c *feedComponent) Stop(ctx context.Context) error {
	c.stream.unsubscribe(c.targetMerger)
	if c.ownFollower != nil {
		if err := c.ownFollower.Stop(ctx); err != nil {
			return err
		}
	}
	return c.targetMerger.Stop(ctx)
}

// EmitMetrics implements metricsEmitter.
func (c *feedComponent) EmitMetrics(to statsd.ExtendedStatSender) { c.stream.EmitMetrics(to) }
