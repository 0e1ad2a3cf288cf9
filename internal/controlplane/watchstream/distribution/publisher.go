package distribution

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/datapath/listing"
)

// Times and bounds of a publisher.
const (
	publishInterval     = 50 * time.Millisecond // between changes: updates within it are sent together
	maxTargetsPerChange = 500
	publishRetryDelay   = time.Second // after a change of which it is unknown whether it was made
	// A full list that removes more than half of at least so many targets is taken for a mistake of discovery.
	minTargetsToGuard = 8
)

// PublisherOptions configure a publisher.
type PublisherOptions struct {
	Fleet       string
	Put         func(context.Context, watchstream.Change) (uint64, error) // makes a change and returns its version
	Records     func(context.Context) ([]watchstream.Record, error)       // returns the targets in the stream
	AllowShrink bool                                                      // full lists may remove more than half of the targets
	Log         *slog.Logger
}

// Publisher puts the differences between a list of targets and the stream into the stream.
type Publisher struct {
	opt  PublisherOptions
	wake chan struct{}

	mu            sync.Mutex
	want          map[string]listing.Entry // by id
	hasFullList   bool                     // a full list has arrived
	dirty         map[string]bool          // ids to compare
	unpublishable map[string]listing.Entry // entries that cannot be put, until they change
}

// NewPublisher returns a publisher without a list.
func NewPublisher(opt PublisherOptions) *Publisher {
	return &Publisher{opt: opt, wake: make(chan struct{}, 1), want: map[string]listing.Entry{}, dirty: map[string]bool{}, unpublishable: map[string]listing.Entry{}}
}

// SetList takes over a list, or a change of it, from discovery.
func (p *Publisher) SetList(l *listing.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Full && !p.replaceAll(l) || !l.Full && !p.hasFullList {
		return
	}
	for _, e := range l.Targets {
		if e.State == "DELETED" {
			delete(p.want, e.ID)
		} else {
			p.want[e.ID] = e
		}
		p.dirty[e.ID] = true
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// replaceAll replaces the previous list by a full one, and reports false if that would remove too
// much.
func (p *Publisher) replaceAll(l *listing.List) bool {
	named := make(map[string]bool, len(l.Targets))
	for _, e := range l.Targets {
		named[e.ID] = e.State != "DELETED"
	}
	gone := 0
	for id := range p.want {
		if !named[id] {
			gone++
		}
	}
	if len(p.want) >= minTargetsToGuard && 2*gone > len(p.want) && !p.opt.AllowShrink {
		p.opt.Log.Warn("full list not published", slog.String("reason", "FEED_LIST_SHRINKS"), slog.Int("targets", len(p.want)), slog.Int("gone", gone))
		return false
	}
	for id := range p.want {
		if !named[id] {
			delete(p.want, id)
			p.dirty[id] = true
		}
	}
	p.hasFullList = true
	return true
}

// Run makes changes until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	var have map[string]listing.Entry
	for ctx.Err() == nil {
		if !p.isListed() {
			p.wait(ctx)
			continue
		}
		if have == nil {
			var err error
			if have, err = p.loadPublished(ctx); err != nil {
				p.publishFailed(ctx, err)
				continue
			}
		}
		c := p.nextChange(have)
		if len(c.Puts) == 0 {
			p.wait(ctx)
			continue
		}
		v, err := p.opt.Put(ctx, c)
		if err != nil {
			have = nil // the stream shows whether it was made
			p.publishFailed(ctx, err)
			continue
		}
		for _, put := range c.Puts {
			if put.Deleted {
				delete(have, put.Key)
			} else if e, err := entryOf(put.Value); err == nil {
				have[put.Key] = e
			}
		}
		p.opt.Log.Info("targets published", slog.String("reason", "FEED_PUBLISHED"), slog.Uint64("version", v), slog.Int("targets", len(c.Puts)))
		sleep(ctx, publishInterval)
	}
}

// isListed reports whether a full list has arrived.
func (p *Publisher) isListed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasFullList
}

// wait waits for a new list.
func (p *Publisher) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.wake:
	}
}

// publishFailed logs a failure and waits before the next attempt.
func (p *Publisher) publishFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	p.opt.Log.Warn("targets not published", slog.String("reason", "FEED_UNPUBLISHED"), slog.Any("error", err))
	sleep(ctx, publishRetryDelay)
}

// loadPublished reads the targets in the stream, and has all of them and of the list compared.
func (p *Publisher) loadPublished(ctx context.Context) (map[string]listing.Entry, error) {
	records, err := p.opt.Records(ctx)
	if err != nil {
		return nil, err
	}
	have := make(map[string]listing.Entry, len(records))
	for i := range records {
		e, err := entryOf(records[i].Value)
		if err != nil {
			e = listing.Entry{} // equal to no listed entry, so it is put again
		}
		have[records[i].Key] = e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.opt.AllowShrink && len(have) >= minTargetsToGuard && 2*len(p.want) < len(have) {
		return nil, errors.New("the list has less than half of the targets in the stream: is it another fleet's? --shed takes them away")
	}
	for id := range have {
		p.dirty[id] = true
	}
	for id := range p.want {
		p.dirty[id] = true
	}
	return have, nil
}

// entryOf decodes an entry of the list.
func entryOf(value []byte) (e listing.Entry, err error) {
	return e, jsonCodec.Unmarshal(value, &e)
}

// sameEntry reports whether two entries are equal.
func sameEntry(a, b listing.Entry) bool {
	if (a.Shard == nil) != (b.Shard == nil) || a.Shard != nil && *a.Shard != *b.Shard {
		return false
	}
	a.Shard, b.Shard = nil, nil
	return a == b
}

// nextChange returns the next change: what differs, up to a bound.
func (p *Publisher) nextChange(have map[string]listing.Entry) watchstream.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := watchstream.Change{Fleet: p.opt.Fleet}
	for id := range p.dirty {
		if len(c.Puts) >= maxTargetsPerChange {
			break
		}
		delete(p.dirty, id)
		put := watchstream.Put{Kind: watchstream.Targets, Key: id}
		is, there := have[id]
		e, wanted := p.want[id]
		switch {
		case !wanted && !there, wanted && there && sameEntry(is, e):
			continue
		case !wanted:
			put.Deleted = true
		default:
			var err error
			if put.Value, err = jsonCodec.Marshal(e); err == nil {
				one := watchstream.Change{Fleet: p.opt.Fleet, Puts: []watchstream.Put{put}}
				err = one.Validate()
			}
			if err != nil {
				if !sameEntry(p.unpublishable[id], e) {
					p.unpublishable[id] = e
					p.opt.Log.Warn("target not published", slog.String("reason", "FEED_BAD_TARGET"), slog.String("target", id), slog.Any("error", err))
				}
				continue
			}
			delete(p.unpublishable, id)
		}
		c.Puts = append(c.Puts, put)
	}
	return c
}
