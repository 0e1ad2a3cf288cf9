package handover

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStateOfOlderVersion reads the state file that a process of commit 62b6efc wrote: during an upgrade, processes of different
// versions read each other's state files.
func TestStateOfOlderVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/62b6efc/handover.state")
	require.NoError(t, err)
	m, err := parseState(text)
	require.NoError(t, err)
	require.Equal(t, Phase(2), m.Phase)
	require.Equal(t, 32442, m.PID)
	require.Positive(t, m.StartedAt)
}
