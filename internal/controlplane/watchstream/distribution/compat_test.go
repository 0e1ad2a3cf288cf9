package distribution

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/watchstream"
)

// TestSnapshotOfOlderVersion starts a follower with a snapshot that a follower of commit 62b6efc wrote. It must restore the
// records, position and generation, so that after an update it continues where it was and is not rejected as stale.
func TestSnapshotOfOlderVersion(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS("testdata/62b6efc")))
	f, err := NewFollower(FollowerOptions{Fleet: "campus", Name: "n1", Region: "north", Zone: "z1", Dir: dir, Generation: 1,
		Relays: []watchstream.Relay{{ID: "r1", Addr: "127.0.0.1:1"}}})
	require.NoError(t, err)
	state := f.State()
	require.Zero(t, state.SnapshotsUnusable)
	require.Equal(t, "epoch-of-62b6efc", state.Epoch)
	require.Equal(t, watchstream.Position{Targets: 2, Config: 2}, state.Position)
	require.Greater(t, f.replica.Generation(), uint64(7))
	targets := f.Records(watchstream.Targets)
	require.Len(t, targets, 1)
	require.Equal(t, "t-2", targets[0].Key)
	require.JSONEq(t, `{"id":"t-2","addr":"127.0.0.1:9002","cell":2,"state":"SERVING"}`, string(targets[0].Value))
	layers := f.Records(watchstream.Config)
	require.Len(t, layers, 1)
	require.Equal(t, "shared", layers[0].Key)
}
