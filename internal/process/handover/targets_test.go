package handover

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/datapath/targetlist"
)

// TestHandedTargets guards against a younger process that does not find what the older ones were told, or that takes a damaged list: each finds the
// list of the youngest older process that has one, as it is when it joins, and no file outlives its process.
func TestHandedTargets(t *testing.T) {
	dir := t.TempDir()
	listOf := func(version int64, state string) *targetlist.List {
		shard := 0
		return &targetlist.List{Version: &version, Full: true, Origin: "127.0.0.1:9", Targets: targetlist.Entries{{ID: "t", Addr: "127.0.0.1:1", Shard: &shard, State: state}}}
	}
	var current *targetlist.List
	first := startSharing(t, dir, 101, func() *targetlist.List { return current })
	require.Nil(t, first.HandedTargets())
	without := startSharing(t, dir, 102, nil)
	require.Nil(t, without.HandedTargets(), "the older one has none")

	current = listOf(7, "DRAINING")
	second := startSharing(t, dir, 103, func() *targetlist.List { return listOf(8, "SERVING") })
	require.Equal(t, listOf(7, "DRAINING"), second.HandedTargets())
	third := startSharing(t, dir, 104, nil)
	require.Equal(t, listOf(8, "SERVING"), third.HandedTargets())

	path := second.path(103, targetsSuffix)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, damaged := range [][]byte{nil, text[:5], text[:len(text)-1], append([]byte("2"), text[1:]...), append(append([]byte{}, text...), ' ')} {
		require.NoError(t, os.WriteFile(path, damaged, 0o600))
		require.Equal(t, listOf(7, "DRAINING"), third.HandedTargets(), "%q", damaged)
	}
	for _, p := range []*sharingProcess{first, without, second, third} {
		p.stop()
		p.Close()
	}
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Empty(t, files)
}
