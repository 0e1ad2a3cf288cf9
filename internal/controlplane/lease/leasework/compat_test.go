package leasework

import (
	"testing"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/controlplane/lease/casfile"
	"spindlehitch/internal/controlplane/lease/fencing"
)

// TestFoldersOfOlderVersion reads guarded folders written at commit 62b6efc. Their recorded fencing token and operation decide which
// operation may write next, so a newer version must read the same values.
func TestFoldersOfOlderVersion(t *testing.T) {
	drill, number, err := casfile.Read[DrillState]("testdata/62b6efc/drill")
	require.NoError(t, err)
	require.EqualValues(t, 3, number)
	require.Equal(t, fencing.Guard{Token: 7, Operation: 1, InProgress: true}, drill.Guard)
	require.EqualValues(t, 1, drill.Changes)
	require.EqualValues(t, 1, drill.Fenced)
	require.Equal(t, []DrillEntry{{7, 1, "begin", "n1", true}, {7, 1, "take", "n1", true}, {6, 9, "take", "n2", false}}, drill.Last)

	windows, err := Reports("testdata/62b6efc/report")
	require.NoError(t, err)
	require.Equal(t, []ReportWindow{{Start: 1764590400, WindowS: 60, File: "fleet-20251201T120000Z-9.parquet", Token: 9, Member: "n1",
		Instances: []string{"n1", "n2"}, Missing: []string{"n3: it keeps no accounts"}}}, windows)
}
