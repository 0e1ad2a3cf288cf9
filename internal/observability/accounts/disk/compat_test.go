package disk

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/observability/accounts"
)

// TestReadsFilesOfOlderBuild reads account files that the build of commit 62b6efc wrote, and checks their content.
func TestReadsFilesOfOlderBuild(t *testing.T) {
	all, skipped, err := ReadAll("testdata/62b6efc", time.Time{}, time.Time{})
	require.NoError(t, err)
	require.Empty(t, skipped)
	require.Len(t, all, 2)
	for i, s := range all {
		require.Equal(t, []string{"n1"}, s.Instances)
		require.True(t, s.From.Equal(day.Add(time.Duration(i)*time.Minute)))
		require.Len(t, s.Volumes, 1)
		require.EqualValues(t, 1, s.Volumes[0].Requests)
		require.Equal(t, 3*time.Millisecond, s.Volumes[0].Times[accounts.BucketWait])
	}
}
