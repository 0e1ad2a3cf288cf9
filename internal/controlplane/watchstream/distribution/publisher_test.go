package distribution

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/datapath/listing"
)

// published is a publisher before a book.
type published struct {
	*Publisher
	b       *book
	mu      sync.Mutex
	changes []watchstream.Change
	lose    int // so many answers are lost: the change is made all the same
}

func newPublished(t *testing.T, shed bool) *published {
	p := &published{b: newBook(t, watchstream.SourceOptions{})}
	p.Publisher = NewPublisher(PublisherOptions{Fleet: fleet, Put: p.put, Records: p.have, AllowShrink: shed, Log: slog.New(slog.DiscardHandler)})
	ctx, end := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { p.Run(ctx) })
	t.Cleanup(func() { end(); work.Wait() })
	return p
}

func (p *published) put(_ context.Context, c watchstream.Change) (uint64, error) {
	v := p.b.put(c.Puts...)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, c)
	if p.lose > 0 {
		p.lose--
		return 0, errors.New("no answer")
	}
	return v, nil
}

func (p *published) have(context.Context) ([]watchstream.Record, error) {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	return p.b.store.Records(watchstream.Targets), nil
}

func (p *published) puts() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.changes {
		n += len(c.Puts)
	}
	return n
}

// is waits until the stream has these targets, at these ports.
func (p *published) is(t *testing.T, want map[string]string) {
	t.Helper()
	eventually(t, func() bool {
		records, _ := p.have(context.Background())
		if len(records) != len(want) {
			return false
		}
		for _, r := range records {
			if e, err := entryOf(r.Value); err != nil || want[r.Key] != e.Addr {
				return false
			}
		}
		return true
	}, fmt.Sprint("the stream has ", want))
}

func entries(from, to, port int) (list listing.Entries) {
	for i := from; i < to; i++ {
		list = append(list, listing.Entry{ID: fmt.Sprint("t-", i), Addr: fmt.Sprint("127.0.0.1:", port), Shard: &i, State: "SERVING"})
	}
	return list
}

func whole(list listing.Entries) *listing.List { return &listing.List{Full: true, Targets: list} }

func some(list listing.Entries) *listing.List { return &listing.List{Targets: list} }

// TestPublish puts what a list says into the stream: what differs and no more, in few changes, and once also where an answer is lost.
func TestPublish(t *testing.T) {
	p := newPublished(t, false)
	p.b.put(target(0, 7), watchstream.Put{Kind: watchstream.Targets, Key: "old", Value: []byte(`{"id":"old"}`)}, layer("shared", "{}"))
	p.SetList(some(entries(5, 6, 1))) // before a whole one has come it says nothing of the rest
	first := entries(0, 3, 1007)
	p.SetList(whole(first))
	want := map[string]string{"t-0": "127.0.0.1:1007", "t-1": "127.0.0.1:1007", "t-2": "127.0.0.1:1007"}
	p.is(t, want)
	require.Equal(t, 3, p.puts(), "t-0 is there already, old goes")
	p.mu.Lock()
	p.lose = 1
	p.mu.Unlock()
	p.SetList(some(entries(1, 2, 1008)))
	p.SetList(some(entries(1, 2, 1009)))
	want["t-1"] = "127.0.0.1:1009"
	p.is(t, want)
	gone := entries(2, 3, 1007)
	gone[0].State = "DELETED"
	p.SetList(some(gone))
	delete(want, "t-2")
	p.is(t, want)
	puts := p.puts()
	p.SetList(whole(append(entries(0, 1, 1007), entries(1, 2, 1009)...)))
	odd := entries(3, 4, 1)
	odd[0].Zone = strings.Repeat("z", watchstream.MaxTargetBytes)
	p.SetList(some(append(odd, entries(4, 5, 1)...)))
	want["t-4"] = "127.0.0.1:1"
	p.is(t, want)
	require.Equal(t, puts+1, p.puts(), "an entry that can't be put holds up no other")
}

// TestPublishMany has a long list go in changes of bounded size.
func TestPublishMany(t *testing.T) {
	const n = 2*maxTargetsPerChange + 3
	p := newPublished(t, false)
	p.SetList(whole(entries(0, n, 1)))
	want := map[string]string{}
	for _, e := range entries(0, n, 1) {
		want[e.ID] = e.Addr
	}
	p.is(t, want)
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Len(t, p.changes, 3)
}

// TestPublishShrunk has lists come that take nearly all away: they are a mistake unless it is said that they aren't.
func TestPublishShrunk(t *testing.T) {
	for _, shed := range []bool{false, true} {
		p := newPublished(t, shed)
		want := map[string]string{}
		for _, e := range entries(0, 2*minTargetsToGuard, 1) {
			want[e.ID] = e.Addr
		}
		p.SetList(whole(entries(0, 2*minTargetsToGuard, 1)))
		p.is(t, want)
		p.SetList(whole(entries(0, 1, 2)))
		if shed {
			p.is(t, map[string]string{"t-0": "127.0.0.1:2"})
			continue
		}
		p.SetList(some(entries(1, 2, 3)))
		want["t-1"] = "127.0.0.1:3"
		p.is(t, want)
		// Nor by a publisher that is started anew.
		late := NewPublisher(p.opt)
		late.SetList(whole(entries(0, 1, 2)))
		_, err := late.loadPublished(context.Background())
		require.ErrorContains(t, err, "less than half")
	}
}
