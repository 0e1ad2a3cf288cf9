package listing

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spindlehitch/internal/policy"
	"spindlehitch/internal/testbed/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

const one = `{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":3,"state":"SERVING","weight":1.0,"started_ms":7}`

func list(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// TestBadLists names the field that cannot be used.
func TestBadLists(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"no version", `{"full":true,"servers":[]}`, "version is missing"},
		{"no id", list(1, true, strings.Replace(one, `"id":"a",`, "", 1)), "servers[0].id"},
		{"no cell", list(1, true, one, strings.Replace(one, `"cell":3,`, "", 1)), "servers[1].cell"},
		{"odd state", list(1, true, strings.Replace(one, "SERVING", "ODD", 1)), `unknown state "ODD"`},
		{"two things of one target", list(1, true, one, one, strings.Replace(one, "SERVING", "DRAINING", 1)), "servers[2].id: servers[1] says otherwise"},
		{"not a list", `{"version":1,"full":true,"servers":{}}`, "servers"},
		{"wrong types", `{"version":1,"full":true,"servers":[{"id":7}]}`, "id"},
		{"odd address", list(1, true, strings.Replace(one, "127.0.0.1:1", "here", 1)), "servers[0].addr"},
	} {
		if _, err := Decode([]byte(c.in)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
	l, err := Decode([]byte(list(1, false, one, `{"id":"b","state":"DELETED"}`, one, one)))
	if err != nil {
		t.Fatal(err)
	}
	want := policy.Endpoint{ID: "a", Zone: "z", Shard: 3, Started: 7 * time.Millisecond}
	if got := l.Targets[0].Endpoint(); got != want {
		t.Errorf("entry %+v, want %+v", got, want)
	}
	if got := l.Targets[1].Endpoint(); got.State != policy.Removed {
		t.Errorf("deleted entry %+v", got)
	}
}

// TestListCuts cuts a valid list anywhere and feeds garbage: no part passes for the whole.
func TestListCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := list(rapid.IntRange(0, 99).Draw(t, "version"), rapid.Bool().Draw(t, "full"), one, one)
		if _, err := Decode([]byte(whole)); err != nil {
			t.Fatal(err)
		}
		cut := whole[:rapid.IntRange(0, len(whole)-1).Draw(t, "cut")]
		if l, err := Decode([]byte(cut)); err == nil {
			t.Fatalf("%q passed as %+v", cut, l)
		}
		_, _ = Decode(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
	})
}

// TestBombs bounds the memory that a list takes, whatever its body holds: the largest that is read from discovery.
func TestBombs(t *testing.T) {
	const size = 4 << 20
	fill := func(head, piece, tail string) []byte {
		return []byte(head + strings.Repeat(piece, size/len(piece)) + tail)
	}
	for name, body := range map[string][]byte{
		"small entries":  fill(`{"version":1,"servers":[{}`, `,{}`, `]}`),
		"null entries":   fill(`{"version":1,"servers":[null`, `,null`, `]}`),
		"lists in lists": fill(`{"version":1,"servers":`, `[`, ``),
		"in a field":     fill(`{"version":1,"more":`, `{"a":`, ``),
		"many versions":  fill(`{"version":1`, `,"version":1`, `}`),
		"a long number":  fill(`{"version":`, `1`, `}`),
		"a long word":    fill(`{"version":1,"servers":[{"id":"`, `a`, `"}]}`),
		"spaces":         fill(``, ` `, ``),
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, _ = Decode(body)
		runtime.ReadMemStats(&after)
		require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(40<<20), name)
	}
	_, err := Decode(fill(`{"version":1,"servers":[{}`, `,{}`, `]}`))
	require.ErrorIs(t, err, ErrTooManyEntries)
}

// many is a list of so many targets.
func many(count int) []byte {
	entries := make([]string, count)
	for i := range entries {
		entries[i] = strings.Replace(one, `"id":"a"`, fmt.Sprintf(`"id":"target-%d"`, i), 1)
	}
	return []byte(list(1, true, entries...))
}

// TestLargeLists reads lists of as many targets as there may be, at a cost that grows with their number alone.
func TestLargeLists(t *testing.T) {
	var per [2]float64
	for i, count := range []int{200, 20000} {
		body := many(count)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		l, err := Decode(body)
		runtime.ReadMemStats(&after)
		require.NoError(t, err)
		require.Len(t, l.Targets, count)
		require.Equal(t, fmt.Sprintf("target-%d", count-1), l.Targets[count-1].ID)
		per[i] = float64(after.TotalAlloc-before.TotalAlloc) / float64(count)
	}
	t.Logf("%.0f bytes an entry of 200, %.0f of 20000", per[0], per[1])
	require.Less(t, per[1], 1.5*per[0])
	_, err := Decode(many(mostEntries))
	require.NoError(t, err)
	_, err = Decode(many(mostEntries + 1))
	require.ErrorIs(t, err, ErrTooManyEntries)
}

// BenchmarkDecode reads a whole list of so many targets.
func BenchmarkDecode(b *testing.B) {
	for _, count := range []int{200, 2000, 20000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			body := many(count)
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Decode(body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
