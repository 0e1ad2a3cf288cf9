package distribution

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/datapath/targetlist"
)

// Times and bounds of a publisher.
const (
	publishInterval     = 50 * time.Millisecond // minimum time between changes: updates within it are sent together
	maxTargetsPerChange = 500
	publishRetryDelay   = time.Second // after a failed change or read
	// A full list that removes more than half of at least this many targets is treated as an error of discovery and
	// not published.
	minTargetsToGuard = 8
)

// PublisherOptions configure a publisher.
type PublisherOptions struct {
	Fleet       string
	Put         func(context.Context, watchstream.Change) (uint64, error) // proposes a change and returns its version
	Records     func(context.Context) ([]watchstream.Record, error)       // returns the targets in the stream
	AllowShrink bool                                                      // allow full lists to remove more than half of the targets
	Log         *slog.Logger
}

// Publisher keeps the targets in the stream equal to a list from discovery: it proposes changes with the
// differences.
type Publisher struct {
	opt  PublisherOptions
	wake chan struct{} // holds one token once SetList has changed the list; never closed

	mu            sync.Mutex                  // guards the following fields
	want          map[string]targetlist.Entry // the list, by id
	hasFullList   bool                        // a full list has arrived
	dirty         map[string]bool             // ids to compare with the stream
	unpublishable map[string]targetlist.Entry // invalid entries by id, already logged, until they change
}

// NewPublisher returns a publisher without a list.
func NewPublisher(opt PublisherOptions) *Publisher {
	return &Publisher{opt: opt, wake: make(chan struct{}, 1), want: map[string]targetlist.Entry{}, dirty: map[string]bool{}, unpublishable: map[string]targetlist.Entry{}}
}

// SetList stores a full list from discovery or applies a change to it. Changes before the first full list
// are ignored.
func (p *Publisher) SetList(l *targetlist.List) {
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

// replaceAll removes the targets that a full list does not name. It reports false, and changes nothing, if
// the list would remove too many (see minTargetsToGuard). The caller holds mu.
func (p *Publisher) replaceAll(l *targetlist.List) bool {
	listed := make(map[string]bool, len(l.Targets))
	for _, e := range l.Targets {
		listed[e.ID] = e.State != "DELETED"
	}
	removed := 0
	for id := range p.want {
		if !listed[id] {
			removed++
		}
	}
	if len(p.want) >= minTargetsToGuard && 2*removed > len(p.want) && !p.opt.AllowShrink {
		p.opt.Log.Warn("full list not published", slog.String("reason", "FEED_LIST_SHRINKS"), slog.Int("targets", len(p.want)), slog.Int("gone", removed))
		return false
	}
	for id := range p.want {
		if !listed[id] {
			delete(p.want, id)
			p.dirty[id] = true
		}
	}
	p.hasFullList = true
	return true
}

// Run publishes the list and its changes until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	var published map[string]targetlist.Entry
	for ctx.Err() == nil {
		if !p.receivedFullList() {
			p.wait(ctx)
			continue
		}
		if published == nil {
			var err error
			if published, err = p.loadPublished(ctx); err != nil {
				p.publishFailed(ctx, err)
				continue
			}
		}
		c := p.nextChange(published)
		if len(c.Puts) == 0 {
			p.wait(ctx)
			continue
		}
		v, err := p.opt.Put(ctx, c)
		if err != nil {
			published = nil // unknown whether the change was made: the stream is read again
			p.publishFailed(ctx, err)
			continue
		}
		for _, put := range c.Puts {
			if put.Deleted {
				delete(published, put.Key)
			} else if e, err := entryOf(put.Value); err == nil {
				published[put.Key] = e
			}
		}
		p.opt.Log.Info("targets published", slog.String("reason", "FEED_PUBLISHED"), slog.Uint64("version", v), slog.Int("targets", len(c.Puts)))
		sleep(ctx, publishInterval)
	}
}

// receivedFullList reports whether a full list has arrived.
func (p *Publisher) receivedFullList() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasFullList
}

// wait waits until the list changes or ctx ends.
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

// loadPublished reads the targets in the stream and marks all of them and of the list for comparison.
func (p *Publisher) loadPublished(ctx context.Context) (map[string]targetlist.Entry, error) {
	records, err := p.opt.Records(ctx)
	if err != nil {
		return nil, err
	}
	published := make(map[string]targetlist.Entry, len(records))
	for i := range records {
		e, err := entryOf(records[i].Value)
		if err != nil {
			e = targetlist.Entry{} // differs from every listed entry, so the target is put again
		}
		published[records[i].Key] = e
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.opt.AllowShrink && len(published) >= minTargetsToGuard && 2*len(p.want) < len(published) {
		return nil, errors.New("the list has less than half of the targets in the stream and may be another fleet's: --shed removes the others")
	}
	for id := range published {
		p.dirty[id] = true
	}
	for id := range p.want {
		p.dirty[id] = true
	}
	return published, nil
}

// entryOf decodes a target's value.
func entryOf(value []byte) (e targetlist.Entry, err error) {
	return e, jsonCodec.Unmarshal(value, &e)
}

// sameEntry reports whether two entries are equal.
func sameEntry(a, b targetlist.Entry) bool {
	if (a.Shard == nil) != (b.Shard == nil) || a.Shard != nil && *a.Shard != *b.Shard {
		return false
	}
	a.Shard, b.Shard = nil, nil
	return a == b
}

// nextChange returns a change with the differences between the list and the published targets,
// maxTargetsPerChange at most, and removes their ids from dirty.
func (p *Publisher) nextChange(published map[string]targetlist.Entry) watchstream.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := watchstream.Change{Fleet: p.opt.Fleet}
	for id := range p.dirty {
		if len(c.Puts) >= maxTargetsPerChange {
			break
		}
		delete(p.dirty, id)
		put := watchstream.Put{Kind: watchstream.Targets, Key: id}
		current, exists := published[id]
		e, wanted := p.want[id]
		switch {
		case !wanted && !exists, wanted && exists && sameEntry(current, e):
			continue
		case !wanted:
			put.Deleted = true
		default:
			var err error
			if put.Value, err = jsonCodec.Marshal(e); err == nil {
				single := watchstream.Change{Fleet: p.opt.Fleet, Puts: []watchstream.Put{put}}
				err = single.Validate()
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
