package watchstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestSent has a reader that asks all the time: over any while it gets no more bytes on the wire than its rate and its burst allow, but for
// the one delta that may be ahead; and packed ones bring it more records.
func TestSent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		opt := SourceOptions{ReaderRate: 10_000, ReaderBurst: 20_000, CoalesceInterval: 200 * time.Millisecond}
		pack := rapid.IntRange(1, 20).Draw(rt, "pack")
		around := rapid.IntRange(0, 1500).Draw(rt, "around")
		run := func(told bool) (records int) {
			st := NewStore("f", Limits{})
			for i := range 3000 {
				_, err := st.Apply(Change{Fleet: "f", Epoch: "e", Puts: []Put{{Kind: Targets, Key: fmt.Sprint("t", i), Value: []byte(`{"addr":"127.0.0.1:1000"}`)}}})
				require.NoError(rt, err)
			}
			src, r := NewSource(st, opt, 1), NewReplica("f", Scope{Name: "n"}, 1, Limits{})
			wire, most, again := 0, 0, true
			for now := time.Duration(0); now < 10*time.Second; now += 50 * time.Millisecond {
				if again {
					require.NoError(rt, src.Subscribe(now, r.SubscribeRequest()))
					again = false
				}
				d, _ := src.NextDelta(now, "n")
				if d == nil {
					continue
				}
				again = true
				got, err := r.ApplyDelta(d)
				require.NoError(rt, err)
				records += len(got)
				bytes := recordsSize(d.Records)/pack + around
				if told {
					src.DeltaSent("n", d, bytes)
				}
				wire, most = wire+bytes, max(most, bytes)
				if told {
					require.LessOrEqual(rt, float64(wire-most), opt.ReaderBurst+opt.ReaderRate*now.Seconds())
				}
			}
			return records
		}
		told, untold := run(true), run(false)
		if pack > 4 && around < 100 {
			require.Greater(rt, told, untold)
		}
	})
	NewSource(NewStore("f", Limits{}), SourceOptions{}, 1).DeltaSent("nobody", &Delta{}, 7)
}
