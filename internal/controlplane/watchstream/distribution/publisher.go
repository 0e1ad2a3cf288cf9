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

const (
	publishInterval     = 50 * time.Millisecond // at the most: what comes meanwhile goes together
	maxTargetsPerChange = 500                   // targets in one change
	publishRetryDelay   = time.Second           // after a change of which it isn't known whether it was made
	// A whole list that takes away more than half of so many targets is taken for a mistake of discovery's.
	minTargetsToGuard = 8
)

// PublisherOptions set up a publisher.
type PublisherOptions struct {
	Fleet       string
	Put         func(context.Context, watchstream.Change) (uint64, error) // makes a change
	Records     func(context.Context) ([]watchstream.Record, error)       // the targets in the stream
	AllowShrink bool                                                      // whole lists may take away more than half
	Log         *slog.Logger
}

// Publisher puts what a list of targets says into the stream: what differs, coalesced.
type Publisher struct {
	opt  PublisherOptions
	wake chan struct{}

	mu            sync.Mutex
	want          map[string]listing.Entry // by id
	hasFullList   bool                     // a whole list has come
	dirty         map[string]bool
	unpublishable map[string]listing.Entry // that can't be put, until they change
}

// NewPublisher returns a publisher that has heard of no list yet.
func NewPublisher(opt PublisherOptions) *Publisher {
	return &Publisher{opt: opt, wake: make(chan struct{}, 1), want: map[string]listing.Entry{}, dirty: map[string]bool{}, unpublishable: map[string]listing.Entry{}}
}

// SetList takes a list, or a change of it, as discovery has it.
func (p *Publisher) SetList(l *listing.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Full && !p.replaceAll(l) || !l.Full && !p.hasFullList {
		return
	}
	for _, e := range l.Servers {
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

// replaceAll has a whole list take the place of what was told before; false where that would take away too much.
func (p *Publisher) replaceAll(l *listing.List) bool {
	named := make(map[string]bool, len(l.Servers))
	for _, e := range l.Servers {
		named[e.ID] = e.State != "DELETED"
	}
	gone := 0
	for id := range p.want {
		if !named[id] {
			gone++
		}
	}
	if len(p.want) >= minTargetsToGuard && 2*gone > len(p.want) && !p.opt.AllowShrink {
		p.opt.Log.Warn("whole list not published", slog.String("reason", "FEED_LIST_SHRINKS"), slog.Int("targets", len(p.want)), slog.Int("gone", gone))
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

// Run puts changes until ctx ends.
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
			have = nil // whether it was made is seen there
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

func (p *Publisher) isListed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasFullList
}

func (p *Publisher) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.wake:
	}
}

func (p *Publisher) publishFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	p.opt.Log.Warn("targets not published", slog.String("reason", "FEED_UNPUBLISHED"), slog.Any("error", err))
	sleep(ctx, publishRetryDelay)
}

// loadPublished reads what the stream has. All of that and of the list is compared then.
func (p *Publisher) loadPublished(ctx context.Context) (map[string]listing.Entry, error) {
	records, err := p.opt.Records(ctx)
	if err != nil {
		return nil, err
	}
	have := make(map[string]listing.Entry, len(records))
	for i := range records {
		e, err := entryOf(records[i].Value)
		if err != nil {
			e = listing.Entry{} // which no list has: it is put anew
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

func entryOf(value []byte) (e listing.Entry, err error) {
	return e, jsonCodec.Unmarshal(value, &e)
}

func sameEntry(a, b listing.Entry) bool {
	if (a.Cell == nil) != (b.Cell == nil) || a.Cell != nil && *a.Cell != *b.Cell {
		return false
	}
	a.Cell, b.Cell = nil, nil
	return a == b
}

// nextChange is the next change of what differs.
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
