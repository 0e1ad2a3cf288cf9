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
	"spindlehitch/internal/datapath/targetlist"
)

// testPublisher is a running publisher to a fakeAgent.
type testPublisher struct {
	*Publisher
	agent         *fakeAgent
	mu            sync.Mutex
	changes       []watchstream.Change
	lostResponses int // number of next puts that are applied but return an error
}

func startPublisher(t *testing.T, allowShrink bool) *testPublisher {
	p := &testPublisher{agent: newFakeAgent(t, watchstream.SourceOptions{})}
	p.Publisher = NewPublisher(PublisherOptions{Fleet: fleet, Put: p.put, Records: p.records, AllowShrink: allowShrink, Log: slog.New(slog.DiscardHandler)})
	ctx, end := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { p.Run(ctx) })
	t.Cleanup(func() { end(); work.Wait() })
	return p
}

func (p *testPublisher) put(_ context.Context, c watchstream.Change) (uint64, error) {
	v := p.agent.put(c.Puts...)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, c)
	if p.lostResponses > 0 {
		p.lostResponses--
		return 0, errors.New("no answer")
	}
	return v, nil
}

func (p *testPublisher) records(context.Context) ([]watchstream.Record, error) {
	p.agent.mu.Lock()
	defer p.agent.mu.Unlock()
	return p.agent.store.Records(watchstream.Targets), nil
}

func (p *testPublisher) putCount() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.changes {
		n += len(c.Puts)
	}
	return n
}

// waitPublished waits until the stream has exactly these targets, by id, with these addresses.
func (p *testPublisher) waitPublished(t *testing.T, want map[string]string) {
	t.Helper()
	eventually(t, func() bool {
		records, _ := p.records(context.Background())
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

func entries(from, to, port int) (list targetlist.Entries) {
	for i := from; i < to; i++ {
		list = append(list, targetlist.Entry{ID: fmt.Sprint("t-", i), Addr: fmt.Sprint("127.0.0.1:", port), Shard: &i, State: "SERVING"})
	}
	return list
}

func fullList(list targetlist.Entries) *targetlist.List {
	return &targetlist.List{Full: true, Targets: list}
}

func partialList(list targetlist.Entries) *targetlist.List { return &targetlist.List{Targets: list} }

// TestPublish checks that only the differences between a list and the stream are published, and that a target is not put
// again after a lost response.
func TestPublish(t *testing.T) {
	p := startPublisher(t, false)
	p.agent.put(target(0, 7), watchstream.Put{Kind: watchstream.Targets, Key: "old", Value: []byte(`{"id":"old"}`)}, layer("shared", "{}"))
	p.SetList(partialList(entries(5, 6, 1))) // ignored: no full list has arrived yet
	first := entries(0, 3, 1007)
	p.SetList(fullList(first))
	want := map[string]string{"t-0": "127.0.0.1:1007", "t-1": "127.0.0.1:1007", "t-2": "127.0.0.1:1007"}
	p.waitPublished(t, want)
	require.Equal(t, 3, p.putCount(), "t-0 is published already, old is deleted")
	p.mu.Lock()
	p.lostResponses = 1
	p.mu.Unlock()
	p.SetList(partialList(entries(1, 2, 1008)))
	p.SetList(partialList(entries(1, 2, 1009)))
	want["t-1"] = "127.0.0.1:1009"
	p.waitPublished(t, want)
	deleted := entries(2, 3, 1007)
	deleted[0].State = "DELETED"
	p.SetList(partialList(deleted))
	delete(want, "t-2")
	p.waitPublished(t, want)
	puts := p.putCount()
	p.SetList(fullList(append(entries(0, 1, 1007), entries(1, 2, 1009)...)))
	invalid := entries(3, 4, 1)
	invalid[0].Zone = strings.Repeat("z", watchstream.MaxTargetBytes)
	p.SetList(partialList(append(invalid, entries(4, 5, 1)...)))
	want["t-4"] = "127.0.0.1:1"
	p.waitPublished(t, want)
	require.Equal(t, puts+1, p.putCount(), "an invalid entry does not block others")
}

// TestPublishBoundsChanges checks that a long list is published in changes of bounded size.
func TestPublishBoundsChanges(t *testing.T) {
	const n = 2*maxTargetsPerChange + 3
	p := startPublisher(t, false)
	p.SetList(fullList(entries(0, n, 1)))
	want := map[string]string{}
	for _, e := range entries(0, n, 1) {
		want[e.ID] = e.Addr
	}
	p.waitPublished(t, want)
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Len(t, p.changes, 3)
}

// TestPublishRejectsShrunkenList checks that a list that would remove most targets is rejected, unless AllowShrink is set.
func TestPublishRejectsShrunkenList(t *testing.T) {
	for _, shed := range []bool{false, true} {
		p := startPublisher(t, shed)
		want := map[string]string{}
		for _, e := range entries(0, 2*minTargetsToGuard, 1) {
			want[e.ID] = e.Addr
		}
		p.SetList(fullList(entries(0, 2*minTargetsToGuard, 1)))
		p.waitPublished(t, want)
		p.SetList(fullList(entries(0, 1, 2)))
		if shed {
			p.waitPublished(t, map[string]string{"t-0": "127.0.0.1:2"})
			continue
		}
		p.SetList(partialList(entries(1, 2, 3)))
		want["t-1"] = "127.0.0.1:3"
		p.waitPublished(t, want)
		// A restarted publisher rejects it as well.
		late := NewPublisher(p.opt)
		late.SetList(fullList(entries(0, 1, 2)))
		_, err := late.loadPublished(context.Background())
		require.ErrorContains(t, err, "less than half")
	}
}
