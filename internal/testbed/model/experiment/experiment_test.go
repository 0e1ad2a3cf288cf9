package experiment

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validExperiment = `name = "try"
length_s = 4
step_s = 0.5
seeds = [1, 2]

[fleet]
instances = 6
zones = 2
clock_ppm = 200
cold_units = 30

[load]
rate = 60
tries = 2

[targets]
count = 3
units_per_s = 60

[net]
delay_ms = 0.5

[budgets]
seats = 20
renew_ms = 200
part_ms = 1000
seat_s = 6

[[budgets.budget]]
name = "work"
use = "work"
whole = 90
burst = 60

[[fault]]
at_s = 1
for_s = 1
what = "kill"
on = [0, 1]

[[fault]]
at_s = 2
for_s = 0.5
what = "agent-pause"
on = [0]

[vary]
"load.rate" = [60, 90]

[[variant]]
name = "even"
without = ["budgets"]

[[variant]]
name = "fleet"
`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func readResults(t *testing.T, dir string) string {
	t.Helper()
	var all bytes.Buffer
	for _, name := range []string{"results.parquet", "summary.json"} {
		b, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		all.Write(b)
	}
	return all.String()
}

// TestSameBytes runs an experiment on one core, on eight, and interrupted after each run with an incomplete file: the results
// must be equal byte for byte. Results of another program must not be reused.
func TestSameBytes(t *testing.T) { //nolint:gocognit // one scenario in order
	x, err := Read(writeFile(t, validExperiment))
	if err != nil || len(x.Runs) != 8 {
		t.Fatalf("%d runs, %v", len(x.Runs), err)
	}
	run := func(dir string, cores int, ctx context.Context, progress func(int, int)) error {
		_, err := x.Run(ctx, dir, cores, progress)
		return err
	}
	ignoreProgress := func(int, int) {}
	one, eight, cut := t.TempDir(), t.TempDir(), t.TempDir()
	if err := errors.Join(run(one, 1, t.Context(), ignoreProgress), run(eight, 8, t.Context(), ignoreProgress)); err != nil {
		t.Fatal(err)
	}
	for n := 1; ; n++ {
		ctx, stop := context.WithCancel(t.Context())
		err := run(cut, 1, ctx, func(done, _ int) {
			if done == n {
				stop()
			}
		})
		stop()
		_ = os.WriteFile(filepath.Join(cut, "runs", "000007.json"), []byte(`{"n":7,"re`), 0o600)
		if err == nil || n > 8 {
			break
		}
	}
	os.Remove(filepath.Join(cut, "runs", "000007.json"))
	if err := run(cut, 2, t.Context(), ignoreProgress); err != nil {
		t.Fatal(err)
	}
	if a := readResults(t, one); a != readResults(t, eight) || a != readResults(t, cut) {
		t.Error("results differ between one core, eight cores and interrupted runs")
	}
	x.Program = 7
	if _, had := load(one, x.Runs[0], x.checksum(x.Runs[0])); had {
		t.Error("another program's run was reused")
	}
	list, err := Summaries(one)
	if err != nil || len(list) != 4 || list[0].Figures["served"].Mean < 0.3 {
		t.Errorf("%v, %+v", err, list)
	}
	worse := Summarize(nil)
	for _, s := range list {
		f := s.Figures["served"]
		g := Estimate{f.Mean / 2, 0, []float64{f.Mean / 2, f.Mean / 2}}
		figures := map[string]Estimate{}
		for k, v := range s.Figures {
			figures[k] = v
		}
		figures["served"] = g
		worse = append(worse, Summary{Setting: s.Setting, Figures: figures})
	}
	differ := map[string]int{}
	for _, d := range Compare(list, worse) {
		if d.Significant {
			differ[d.Figure]++
		}
	}
	if len(differ) != 1 || differ["served"] < 2 {
		t.Errorf("figures that differ: %v, want served alone", differ)
	}
	for _, name := range []string{"plot.svg", "plot.png"} {
		out := filepath.Join(one, name)
		if err := Plot(one, "served", true, "a title", out); err != nil {
			t.Fatal(err)
		}
		if b, _ := os.ReadFile(out); len(b) < 1000 {
			t.Errorf("%s has %d bytes", name, len(b))
		}
	}
	if err := Plot(one, "srved", false, "", filepath.Join(one, "p.svg")); err == nil || !strings.Contains(err.Error(), `metric: "srved"`) {
		t.Errorf("an unknown metric: %v", err)
	}
}

// TestInvalidFiles checks that invalid files are rejected with a message of one line that names file, line and field.
func TestInvalidFiles(t *testing.T) {
	for _, c := range []struct{ what, from, to, says string }{
		{"unknown field", "rate = 60\n", "rate = 60\nraet = 3\n", ":14: load.raet: unknown field"},
		{"a unit in a number", "delay_ms = 0.5", `delay_ms = "5ms"`, ":21: net.delay_ms: "},
		{"not a number", "length_s = 4", "length_s = x", ":2: "},
		{"out of bounds", "instances = 6", "instances = 0", ":7: fleet.instances: 0 is not from 1"},
		{"a million runs", "[60, 90]", "[" + strings.Repeat("60, ", 30_000) + "60]", ":48: vary.load.rate: more than 20000 runs"},
		{"an unknown field varied", `"load.rate"`, `"lode.rate"`, "vary.lode.rate: lode.rate: there is no lode"},
		{"a fault on a missing instance", "on = [0, 1]", "on = [0, 9]", ":39: fault[0].on: there is no instance 9"},
		{"an unknown fault", `"agent-pause"`, `"agent-nap"`, ":44: fault[1].what: unknown kind"},
		{"a fault after the end", "at_s = 2", "at_s = 20", ":42: fault[1].at_s: 20 is not within"},
		{"clocks past the fleet's bound", "clock_ppm = 200", "clock_ppm = 2000", ":9: fleet.clock_ppm: 2000 is over"},
		{"a bad budget", "burst = 60", "burst = 10", "budgets.budget[0].burst: 10 holds no unit"},
		{"two variants of a name", `name = "fleet"`, `name = "even"`, "variant[1].name: missing or there twice"},
		{"a variant that removes a missing field", `["budgets"]`, `["budget"]`, "variant[0].without: the file has no budget"},
		{"no seeds", "seeds = [1, 2]", "seeds = []", ":4: seeds: at least one"},
		{"a missing schedule", "seeds = [1, 2]", "seeds = [1, 2]\nschedule = \"none.json\"", ":5: schedule: "},
	} {
		text := strings.Replace(validExperiment, c.from, c.to, 1)
		if text == validExperiment {
			t.Fatalf("%s: the replaced text is missing", c.what)
		}
		path := writeFile(t, text)
		_, err := Read(path)
		if err == nil || !strings.HasPrefix(err.Error(), path+":") || !strings.Contains(err.Error(), c.says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, wanted %q", c.what, err, c.says)
		}
	}
}
