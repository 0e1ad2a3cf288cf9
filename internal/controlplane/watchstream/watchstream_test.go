package watchstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	_ "pgregory.net/rapid"

	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

const fleetName = "f"

func target(id, addr string) Put {
	return Put{Kind: Targets, Key: id, Value: fmt.Appendf(nil, `{"id":%q,"addr":%q,"zone":"z1","cell":1,"state":"SERVING","started_ms":1}`, id, addr)}
}

func deletion(id string) Put { return Put{Kind: Targets, Key: id, Deleted: true} }

func layer(scope, value string) Put { return Put{Kind: Config, Key: scope, Value: []byte(value)} }

func change(puts ...Put) Change { return Change{Fleet: fleetName, Epoch: "e1", Puts: puts} }

func apply(t *testing.T, s *Store, c Change) uint64 {
	t.Helper()
	v, err := s.Apply(c)
	require.NoError(t, err)
	return v
}

// exchange has a reader follow a source until it is up to date, and returns the number of deltas.
func exchange(t *testing.T, now *time.Duration, from *Source, r *Replica) (deltas int) {
	t.Helper()
	for range 10_000 {
		require.NoError(t, from.Subscribe(*now, r.SubscribeRequest()))
		d, wait := from.NextDelta(*now, r.Scope().Name)
		if d == nil {
			if wait >= idleWait {
				return deltas
			}
			*now += wait
			if d, _ = from.NextDelta(*now, r.Scope().Name); d == nil {
				continue
			}
		}
		_, err := r.ApplyDelta(d)
		require.NoError(t, err)
		r.MarkApplied(r.Consistent())
		deltas++
	}
	t.Fatal("the reader does not get up to date")
	return 0
}

// TestChangesReachReaderOverRelay sends changes from a log over a relay to an initiator.
func TestChangesReachReaderOverRelay(t *testing.T) {
	now := time.Duration(0)
	log := NewStore(fleetName, Limits{})
	agent := NewSource(log, SourceOptions{}, 1)
	relay := NewReplica(fleetName, Scope{Name: "relay/1", All: true}, 1, Limits{})
	relaySource := NewSource(relay.Store(), SourceOptions{}, 1)
	reader := NewReplica(fleetName, Scope{Name: "n1", Region: "r1", Zone: "z1"}, 1, Limits{})

	apply(t, log, change(target("a", "127.0.0.1:1"), target("b", "127.0.0.1:2"), layer("shared", `{"x":1,"y":1}`)))
	apply(t, log, change(layer("region/r1", `{"x":2}`), layer("region/r2", `{"x":3}`)))
	apply(t, log, change(deletion("a"), layer("instance/n1", `{"y":null}`)))
	exchange(t, &now, agent, relay)
	exchange(t, &now, relaySource, reader)
	require.Equal(t, Watermark{"e1", Position{3, 3}}, reader.Applied())
	require.Equal(t, []string{"b"}, keys(reader.Records(Targets)))
	merged, err := MergeLayers(reader.Records(Config))
	require.NoError(t, err)
	require.JSONEq(t, `{"x":2}`, string(merged))
	require.Len(t, relay.Records(Config), 4)
}

func keys(list []Record) (keys []string) {
	for _, r := range list {
		keys = append(keys, r.Key)
	}
	return keys
}
