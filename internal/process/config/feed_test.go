package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFeedOperatorFiles reads the feed's files under deploy/ and makes one field after the other invalid.
func TestFeedOperatorFiles(t *testing.T) {
	for _, c := range []struct{ file, old, wrong, want string }{
		{"relay.toml", "", "", ""}, {"feed.toml", "", "", ""},
		{"relay.toml", `id = "relay-1"`, "", "relay.id: required"},
		{"relay.toml", `fleet = "campus"`, "", "relay.fleet: required"},
		{"relay.toml", `region = "north"`, "", "relay.region: required"},
		{"relay.toml", "127.0.0.1:7711", "7711", "relay.listen: "},
		{"relay.toml", "127.0.0.1:7702", "127.0.0.1:0", "relay.agents[1]: port"},
		{"relay.toml", "127.0.0.1:7702", "127.0.0.1:7701", "relay.agents: "},
		{"relay.toml", "readers = 3000", "readers = 0", "relay.readers: 0 is under 1"},
		{"relay.toml", "rate = 10000", "rate = 0", "relay.rate: 0 is under 1000"},
		{"relay.toml", "admit = 100", "admit = 0", "relay.admit: 0 is under 1"},
		{"relay.toml", "burst = 20000", "bust = 1", "relay.bust: unknown field"},
		{"feed.toml", `region = "north"`, `region = "North"`, `feed.region: "North" is none of the regions`},
		{"feed.toml", `zone = "north-a"`, `zone = "south-a"`, `feed.zone: "south-a" is none of the zones of north`},
		{"feed.toml", `zone = "north-a"`, `zone = "west"`, `feed.zone: "west" is none of the zones of north`},
		{"feed.toml", `name = "south"`, `name = "north"`, "feed.regions: name there twice"},
		{"feed.toml", `["south-a"]`, `["north-b"]`, `feed.regions[1].zones[0]: "north-b" is a zone of north as well`},
		{"feed.toml", `["south-a"]`, `["south-a", "south-a"]`, "feed.regions[1].zones: "},
		{"feed.toml", `id = "relay-3"`, `id = "relay-1"`, "feed.relay: id there twice"},
		{"feed.toml", "region = \"south\"\naddr", "region = \"east\"\naddr", `feed.relay[2].region: "east" is none of the regions`},
		{"feed.toml", "127.0.0.1:7712", "127.0.0.1", "feed.relay[1].addr: "},
		{"feed.toml", "zone = \"north-a\"", "rate = 0", "feed.rate: unknown field"}, // a field of relays only
	} {
		raw, err := os.ReadFile("../../../deploy/" + c.file)
		require.NoError(t, err)
		require.Contains(t, string(raw), c.old)
		path := filepath.Join(t.TempDir(), c.file)
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(raw), c.old, c.wrong, 1)), 0o600))
		_, err = ReadOperatorFile(path, nil)
		if c.want == "" {
			require.NoError(t, err, c.file)
			continue
		}
		require.ErrorContains(t, err, c.want, "%s with %q", c.file, c.wrong)
		require.NotContains(t, err.Error(), "\n", "more than one error for one invalid field")
	}
	_, err := ReadRelay("../../../deploy/feed.toml")
	require.ErrorContains(t, err, "relay")
	f, err := ReadFeed("../../../deploy/feed.toml")
	require.NoError(t, err)
	require.Len(t, f.Relays, 3)
}
