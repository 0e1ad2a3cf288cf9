package watchstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestWireBytesWithinRate has a reader that polls all the time. Its bytes on the wire stay within rate and burst, apart
// from one delta that may be sent ahead. If DeltaSent reports compressed sizes, it receives more records.
func TestWireBytesWithinRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		opt := SourceOptions{ReaderRate: 10_000, ReaderBurst: 20_000, CoalesceInterval: 200 * time.Millisecond}
		ratio := rapid.IntRange(1, 20).Draw(rt, "pack")
		overhead := rapid.IntRange(0, 1500).Draw(rt, "around")
		run := func(reportSent bool) (records int) {
			st := NewStore("f", Limits{})
			for i := range 3000 {
				_, err := st.Apply(Change{Fleet: "f", Epoch: "e", Puts: []Put{{Kind: Targets, Key: fmt.Sprint("t", i), Value: []byte(`{"addr":"127.0.0.1:1000"}`)}}})
				require.NoError(rt, err)
			}
			src, r := NewSource(st, opt, 1), NewReplica("f", Scope{Name: "n"}, 1, Limits{})
			wireBytes, largest, answered := 0, 0, true
			for now := time.Duration(0); now < 10*time.Second; now += 50 * time.Millisecond {
				if answered {
					require.NoError(rt, src.Subscribe(now, r.SubscribeRequest()))
					answered = false
				}
				d, _ := src.NextDelta(now, "n")
				if d == nil {
					continue
				}
				answered = true
				got, err := r.ApplyDelta(d)
				require.NoError(rt, err)
				records += len(got)
				bytes := recordsSize(d.Records)/ratio + overhead
				if reportSent {
					src.DeltaSent("n", d, bytes)
				}
				wireBytes, largest = wireBytes+bytes, max(largest, bytes)
				if reportSent {
					require.LessOrEqual(rt, float64(wireBytes-largest), opt.ReaderBurst+opt.ReaderRate*now.Seconds())
				}
			}
			return records
		}
		withDeltaSent, without := run(true), run(false)
		if ratio > 4 && overhead < 100 {
			require.Greater(rt, withDeltaSent, without)
		}
	})
	NewSource(NewStore("f", Limits{}), SourceOptions{}, 1).DeltaSent("unknown", &Delta{}, 7)
}
