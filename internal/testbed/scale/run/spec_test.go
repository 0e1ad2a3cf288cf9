package run

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/testbed/scale/slope"
)

// small is a valid file; the tests of invalid files change a line of it.
const small = `name = "small"
mechanism = "feed"
seed = 1
initiators = [4, 8]
targets = [10, 20]
changes = [5]
for_s = 1
real = 0
answering = 4
agents = 1
relays = 2
per_process = 8

[limits]
in_force_s = 60

[[region]]
name = "north"
zones = ["n-1", "n-2"]

[[region]]
name = "south"
zones = ["s-1"]

[[fault]]
what = "kill-relays"
number = 1
`

func TestSpecs(t *testing.T) {
	for _, name := range []string{"short", "full", "wide", "burst", "before"} {
		s, err := Read(name)
		require.NoError(t, err)
		require.Equal(t, name, s.Name)
		zones := 0
		for _, r := range s.Regions {
			zones += len(r.Zones)
		}
		require.Equal(t, []int{8, 30}, []int{len(s.Regions), zones})
	}
	_, err := Read("no-such-run")
	require.ErrorIs(t, err, os.ErrNotExist)
	path := filepath.Join(t.TempDir(), "my.toml")
	require.NoError(t, os.WriteFile(path, []byte(small), 0o600))
	_, err = Read(path)
	require.NoError(t, err)
}

// TestBadSpecs checks that an invalid file gives one message that names the file and the field.
func TestBadSpecs(t *testing.T) {
	for _, c := range []struct{ line, instead, says string }{
		{`initiators = [4, 8]`, `initiators = [0, 8]`, "initiators[0]: 0 is not above 0"},
		{`initiators = [4, 8]`, `initiators = []`, "initiators: at least one is required"},
		{`initiators = [4, 8]`, `initiators = [8, 4]`, "initiators[1]: 4 is not above the preceding 8"},
		{`initiators = [4, 8]`, `initiators = [4, 80000]`, "initiators[1]: 80000 is not above 0 and at most 10000"},
		{`targets = [10, 20]`, `targets = [0]`, "targets[0]: 0 is not above 0"},
		{`targets = [10, 20]`, `targets = [-3]`, "targets[0]: -3 is not above 0"},
		{`changes = [5]`, `changes = [0.0]`, "changes[0]: 0 is not above 0"},
		{`changes = [5]`, `changes = [nan]`, "changes[0]: NaN is not above 0"},
		{`for_s = 1`, `for_s = 0`, "for_s: 0 is not above 0"},
		{`per_process = 8`, `per_process = 0`, "per_process: 0 is not between 1 and 500"},
		{`initiators = [4, 8]`, "initiators = [4, 8000]", "per_process: 8 requires"},
		{`agents = 1`, `agents = 0`, "agents: 0 is not between 1 and 7"},
		{`relays = 2`, `relays = 1`, "relays: 1 are too few for 2 regions"},
		{`real = 0`, `real = 21`, "real: 21 is not between 0 and 20"},
		{`answering = 4`, `answering = 12`, "answering: 12 is not between 2 and 10"},
		{`answering = 4`, `answering = 5`, "answering: 5 is odd"},
		{`seed = 1`, `modules = 9`, "modules: 9 is not between 0 and 8"},
		{`seed = 1`, `members = 9`, "members: 9 is not between 0 and 8"},
		{`seed = 1`, `sede = 1`, "sede: unknown field"},
		{`name = "small"`, ``, "name: is missing"},
		{`mechanism = "feed"`, `mechanism = "mail"`, `mechanism: "mail" is neither discovery nor feed`},
		{`mechanism = "feed"`, `mechanism = "discovery"`, "fault[0].number: 1 of 2 relays"},
		{`name = "south"`, `name = "north"`, `region[1].name: "north" is empty or a duplicate`},
		{`zones = ["s-1"]`, `zones = ["n-2"]`, `region[1].zones[0]: "n-2" is empty or a duplicate`},
		{`zones = ["s-1"]`, `zones = []`, "region[1].zones: empty"},
		{`number = 1`, `number = 2`, "fault[0].number: 2 of 2 relays"},
		{`number = 1`, `number = 0`, "fault[0].number: 0 is not above 0"},
		{`number = 1`, "number = 1\nregion = \"west\"", `fault[0].region: unknown region "west"`},
		{`number = 1`, "number = 1\nzone = \"n-9\"", `fault[0].zone: unknown zone "n-9"`},
		{`what = "kill-relays"`, "what = \"cut-relays\"\nzone = \"n-9\"", `fault[0].zone: unknown zone "n-9"`},
		{`what = "kill-relays"`, `what = "flood"`, `fault[0].what: unknown fault "flood"`},
		{`what = "kill-relays"`, `what = "cut-region"`, `fault[0].region: unknown region ""`},
		{`what = "kill-relays"`, `what = "restart-zone"`, `fault[0].zone: unknown zone ""`},
		{`number = 1`, "number = 1\nfor_s = -1", "fault[0]: for_s"},
	} {
		t.Run(c.says, func(t *testing.T) {
			require.Contains(t, small, c.line)
			_, err := Parse("my.toml", strings.Replace(small, c.line, c.instead, 1))
			require.ErrorContains(t, err, "my.toml: "+c.says)
			require.Equal(t, 0, strings.Count(err.Error(), "\n"), "one message")
		})
	}
	_, err := Parse("my.toml", strings.ReplaceAll(strings.Replace(small, `mechanism = "feed"`, `mechanism = "discovery"`, 1), "targets = [10, 20]", "targets = [9000]"))
	require.ErrorContains(t, err, "my.toml: targets: 9000 in a list sent by discovery, at most 8192 are allowed")
}

// TestCheckMemory checks that a run that needs over half of the machine's memory is rejected, with the amount.
func TestCheckMemory(t *testing.T) {
	s, err := Parse("my.toml", small)
	require.NoError(t, err)
	line := func(name string, each float64) slope.Slope { return slope.Slope{Name: name, Value: each, Power: 1} }
	table := &slope.Table{Slopes: []slope.Slope{line("list.memory", 1<<20)}}
	need, ok := s.MemoryNeeded(table)
	require.True(t, ok)
	require.Equal(t, int64((2+8*20*1.5)*(1<<20)), need)
	require.NoError(t, s.CheckMemory(table, 242<<20))
	require.EqualError(t, s.CheckMemory(table, 242<<20-1), "my.toml: initiators: 8 with 20 targets need about 242 MB, half of this machine's memory is 241 MB")
	s.Modules = 2
	_, ok = s.MemoryNeeded(table)
	require.False(t, ok, "the slope of the scheduler was not measured")
	table.Set(line("module.memory", 1<<20))
	need, ok = s.MemoryNeeded(table)
	require.True(t, ok)
	require.Equal(t, int64((2+(8*20+2*20)*1.5)*(1<<20)), need)
	half, err := halfMemory()
	require.NoError(t, err)
	require.Greater(t, half, int64(1<<28))
}

// TestNotLinked checks that the initiator does not link this package.
func TestNotLinked(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "spindlehitch/cmd/spindlehitch", "spindlehitch/cmd/benchlink").Output()
	require.NoError(t, err)
	require.Contains(t, string(out), "spindlehitch/internal/process/instance")
	require.NotContains(t, string(out), "spindlehitch/internal/testbed/scale")
}
