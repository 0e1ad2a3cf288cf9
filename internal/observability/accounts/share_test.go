package accounts

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/policy"
)

// TestShares ends requests of two classes, served, not served, and served twice: each is counted at most once, by number and by
// worth, and the lowest served fraction is first. ReadShares reads the same from a log of two instances.
func TestShares(t *testing.T) {
	worth := func(r policy.Request) float64 { return map[string]float64{"read": 3, "write": 1}[r.Class] }
	rec := New(Options{MaxVolumes: 8, MaxPairs: 8, MaxOpen: 8, Worth: worth})
	for i, c := range []struct {
		class, plan, volume string
		served, again       bool
	}{{"read", "gold", "v", true, false}, {"read", "gold", "v", false, false}, {"write", "base", "w", true, true}, {"write", "gold", "v", true, false}} {
		id := string(rune('a' + i))
		rec.Arrive(time.Duration(i), policy.Request{ID: id, Class: c.class, Plan: c.plan, Volume: c.volume})
		rec.Release(time.Duration(i), id, "n", 0, true)
		if c.served {
			rec.Served(id)
		}
		if c.again {
			rec.Served(id)
		}
		rec.End(time.Duration(i), id)
		rec.Served(id) // ignored: the request has ended
	}
	s := rec.SnapshotAndReset("one", time.Time{}, time.Time{}.Add(time.Second))
	list, all := s.Shares(0)
	require.Equal(t, Share{4, 3, 8, 5}, all)
	var order []string
	for _, x := range list {
		order = append(order, x.Name)
	}
	require.Equal(t, []string{"read", "gold", "v", "write", "base", "w"}, order)
	require.Equal(t, Share{2, 1, 6, 3}, list[0].Share)
	require.Equal(t, Share{3, 2, 7, 4}, list[1].Share)
	require.Equal(t, list[1].Share, list[2].Share)
	most, _ := s.Shares(0.5)
	require.Len(t, most, 3, "shares of at least half of the worth")
	require.Empty(t, rec.SnapshotAndReset("one", time.Time{}, time.Time{}).Served, "shares after SnapshotAndReset")

	var log bytes.Buffer
	to := slog.New(slog.NewTextHandler(&log, nil))
	for range 2 {
		to.Info(SharesLogMessage, "name", "one", "shares", LoggedShares(list))
		to.Info("another line", "shares", "none")
	}
	read, err := ReadShares(&log)
	require.NoError(t, err)
	_, twice := read.Shares(0)
	require.Equal(t, all.Plus(all), twice)
	merged, err := Merge(s, s)
	require.NoError(t, err)
	require.Equal(t, read.Served[:4], merged.Served)
	_, err = ReadShares(strings.NewReader(`level=INFO msg="served shares" shares="[{\"kind\":`))
	require.NoError(t, err, "a truncated line is ignored")
	_, err = ReadShares(strings.NewReader(`level=INFO msg="served shares" shares="{}"`))
	require.Error(t, err)
	var text bytes.Buffer
	require.NoError(t, WriteShares(&text, list, all))
	require.Contains(t, text.String(), "class   read   2         1       0.750         0.500")
}
