package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spindlehitch/internal/controlplane/watchstream"
)

const changeJSON = `{"fleet":"campus","if":41,"puts":[{"kind":"config","key":"shared","value":{"a":{"b":1.50,"c":null}}},
 {"kind":"target","key":"t-1","value":{"id":"t-1","addr":"127.0.0.1:9001","zone":"z","cell":0,"state":"SERVING","started_ms":0,"more":[1]}},
 {"kind":"target","key":"t-2","gone":true}]}`

// TestChangeFiles reads the change file under deploy/ and one in JSON, and makes one field after the other invalid.
func TestChangeFiles(t *testing.T) {
	raw, err := os.ReadFile("../../../deploy/change.toml")
	require.NoError(t, err)
	known, err := ReadFeed("../../../deploy/feed.toml")
	require.NoError(t, err)
	long := strings.Repeat("x", watchstream.MaxTargetBytes)
	for _, c := range []struct{ file, old, wrong, want string }{
		{"change.toml", "", "", ""}, {"change.json", "", "", ""},
		{"change.toml", `fleet = "campus"`, "", "fleet: "},
		{"change.toml", `fleet = "campus"`, `fleet = "campus"` + "\nepoc = 1", "epoc: unknown field"},
		{"change.toml", `kind = "config" `, `kind = "konfig" `, "puts[0].kind: unknown kind"},
		{"change.toml", `key = "region/north"`, `key = "shared"`, "puts[1].key: "},
		{"change.toml", `key = "region/north"`, `key = ""`, "puts[1].key: "},
		{"change.toml", `key = "region/north"`, `key = "region/nroth"`, `puts[1].key: "nroth" is none of the regions`},
		{"change.toml", `key = "region/north"`, `key = "zone/nroth"`, `puts[1].key: "nroth" is none of the zones`},
		{"change.toml", `key = "region/north"`, `key = "place/north"`, "puts[1].key: "},
		{"change.toml", `key = "region/north"`, `key = "` + strings.Repeat("k", watchstream.MaxKeyBytes+1) + `"`, "puts[1].key: "},
		{"change.toml", `id = "t-1"`, `id = "t-3"`, `puts[2].value.id: "t-3" is not the key "t-1"`},
		{"change.toml", `cell = 0, `, ``, `puts[2].value.cell: `},
		{"change.toml", `"SERVING"`, `"DELETED"`, `puts[2].value.state: `},
		{"change.toml", `127.0.0.1:9001`, `here`, `puts[2].value.addr: `},
		{"change.toml", `zone = "north-a"`, `zone = "` + long + `"`, "puts[2].value: "},
		{"change.toml", `gone = true`, `gone = false`, "puts[3].value: "},
		{"change.toml", `gone = true`, `gone = true` + "\nvalue = { a = 1 }", "puts[3].value: "},
		{"change.toml", `tickUs = 2000`, `tickUs = inf`, "puts[0].value: "},
		{"change.toml", `[[puts]]`, `[[putts]]`, "puts"}, // [puts.value] then makes puts a table, and the next [[puts]] is an error
		{"change.json", `"puts"`, `"put"`, "put"},
		{"change.json", `{"a":{"b":1.50,"c":null}}`, `[1]`, "puts[0].value: "},
		{"change.json", `"kind":"config"`, `"kind":7`, "kind"},
		{"change.json", `"if":41`, `"if":-1`, "if"},
		{"change.json", changeJSON, changeJSON + "{}", "data after the end"},
		{"change.json", changeJSON, strings.Repeat(" ", maxChangeFileBytes+1), "at most"},
		{"change.json", changeJSON, `{"fleet":"campus","puts":[]}`, "puts: "},
	} {
		text := string(raw)
		if c.file == "change.json" {
			text = changeJSON
		}
		require.Contains(t, text, c.old)
		path := filepath.Join(t.TempDir(), c.file)
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(text, c.old, c.wrong, 1)), 0o600))
		got, err := ReadChange(path, known)
		if c.want == "" {
			require.NoError(t, err, c.file)
			require.NotEmpty(t, got.Puts)
			continue
		}
		require.ErrorContains(t, err, c.want, "%s with %.60q", c.file, c.wrong)
		require.ErrorContains(t, err, c.file)
		require.NotContains(t, err.Error(), "\n", "more than one error for one invalid field")
	}
	path := filepath.Join(t.TempDir(), "change.json")
	require.NoError(t, os.WriteFile(path, []byte(changeJSON), 0o600))
	c, err := ReadChange(path, nil)
	require.NoError(t, err)
	require.Equal(t, uint64(41), *c.IfVersion)
	require.Equal(t, `{"a":{"b":1.50,"c":null}}`, string(c.Puts[0].Value), "the value is not kept as written")
	require.True(t, c.Puts[2].Deleted)
	_, err = ReadChange(filepath.Join(t.TempDir(), "absent.toml"), nil)
	require.ErrorContains(t, err, "absent.toml")
}

// TestCorruptChangeFile truncates a change file anywhere, and reads random bytes: all are rejected.
func TestCorruptChangeFile(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(rt *rapid.T) {
		path := filepath.Join(dir, "cut.json")
		require.NoError(rt, os.WriteFile(path, []byte(changeJSON[:rapid.IntRange(0, len(changeJSON)-1).Draw(rt, "cut")]), 0o600))
		_, err := ReadChange(path, nil)
		require.Error(rt, err)
		require.NoError(rt, os.WriteFile(path, rapid.SliceOf(rapid.Byte()).Draw(rt, "garbage"), 0o600))
		_, err = ReadChange(path, nil)
		require.Error(rt, err)
	})
}
