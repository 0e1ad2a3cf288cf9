package explore

import (
	"cmp"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// Mistake is a mistake to plant: its name, the file, the correct text in it, the wrong text, and a
// pattern of the tests that must find it (empty: the pattern that Plant is given). A mistake that
// changes several places has their texts separated by PlaceSeparator; the file is then either one for
// all places, or one for each place, separated likewise.
type Mistake [5]string

// PlaceSeparator separates the files and texts of the places of a Mistake.
const PlaceSeparator = "\n----\n"

// Plant builds the tests of the current package once with each mistake in the code below root, by an
// overlay, and runs those that match run. A mistake that they don't find fails the test, since they
// would not find it in the real code either. It returns the number of mistakes found.
func Plant(t *testing.T, root, run string, all []Mistake) (found int) { //nolint:gocognit // to be split with its package, see docs/left.md
	root, err := filepath.Abs(root)
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex // guards found
	t.Run("each", func(t *testing.T) {
		for _, m := range all {
			t.Run(m[0], func(t *testing.T) {
				t.Parallel()
				files, rights, wrongs := strings.Split(m[1], PlaceSeparator), strings.Split(m[2], PlaceSeparator), strings.Split(m[3], PlaceSeparator)
				dir := t.TempDir()
				texts, replace := map[string]string{}, map[string]string{}
				for i, right := range rights {
					path := filepath.Join(root, files[min(i, len(files)-1)])
					if texts[path] == "" {
						b, err := os.ReadFile(path)
						if err != nil {
							t.Fatal(err)
						}
						texts[path] = string(b)
					}
					if n := strings.Count(texts[path], right); n != 1 {
						t.Fatalf("the correct text occurs %d times in %s, want once: %q", n, path, right)
					}
					texts[path] = strings.Replace(texts[path], right, wrongs[i], 1)
				}
				for path, text := range texts {
					replace[path] = filepath.Join(dir, filepath.Base(path))
					if err := os.WriteFile(replace[path], []byte(text), 0o600); err != nil {
						t.Fatal(err)
					}
				}
				overlay := filepath.Join(dir, "overlay.json")
				list, _ := json.Marshal(map[string]map[string]string{"Replace": replace})
				if err := os.WriteFile(overlay, list, 0o600); err != nil {
					t.Fatal(err)
				}
				run := cmp.Or(m[4], run)
				cmd := exec.Command("go", "test", "-overlay", overlay, "-count=1", "-vet=off", "-failfast", "-run", run, ".")
				cmd.Env = append(os.Environ(), "SPINDLEHITCH_PROOF=", "GOMAXPROCS=2")
				out, err := cmd.CombinedOutput()
				// Only a violated invariant counts, not a failed build or a test that fails for another reason.
				at := strings.Index(string(out), "broken: ")
				if err == nil || at < 0 {
					t.Fatalf("mistake not found: %.2000s", out)
				}
				line, _, _ := strings.Cut(string(out[at:]), "\n")
				t.Logf("%.300s", line)
				mu.Lock()
				found++
				mu.Unlock()
			})
		}
	})
	return found
}
