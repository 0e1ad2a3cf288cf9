package targetlist

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

const entryJSON = `{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":3,"state":"SERVING","weight":1.0,"started_ms":7}`

func listJSON(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// TestInvalidLists checks that the error names the missing or invalid field.
func TestInvalidLists(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"no version", `{"full":true,"servers":[]}`, "version is missing"},
		{"no id", listJSON(1, true, strings.Replace(entryJSON, `"id":"a",`, "", 1)), "servers[0].id"},
		{"no cell", listJSON(1, true, entryJSON, strings.Replace(entryJSON, `"cell":3,`, "", 1)), "servers[1].cell"},
		{"unknown state", listJSON(1, true, strings.Replace(entryJSON, "SERVING", "ODD", 1)), `unknown state "ODD"`},
		{"two different entries for one target", listJSON(1, true, entryJSON, entryJSON, strings.Replace(entryJSON, "SERVING", "DRAINING", 1)), "servers[2].id: servers[1] says otherwise"},
		{"not a list", `{"version":1,"full":true,"servers":{}}`, "servers"},
		{"wrong types", `{"version":1,"full":true,"servers":[{"id":7}]}`, "id"},
		{"invalid address", listJSON(1, true, strings.Replace(entryJSON, "127.0.0.1:1", "here", 1)), "servers[0].addr"},
	} {
		if _, err := Decode([]byte(c.in)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
	l, err := Decode([]byte(listJSON(1, false, entryJSON, `{"id":"b","state":"DELETED"}`, entryJSON, entryJSON)))
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

// TestTruncatedAndRandomLists checks that no truncated list is accepted, and that random bytes cause no panic.
func TestTruncatedAndRandomLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		complete := listJSON(rapid.IntRange(0, 99).Draw(t, "version"), rapid.Bool().Draw(t, "full"), entryJSON, entryJSON)
		if _, err := Decode([]byte(complete)); err != nil {
			t.Fatal(err)
		}
		cut := complete[:rapid.IntRange(0, len(complete)-1).Draw(t, "cut")]
		if l, err := Decode([]byte(cut)); err == nil {
			t.Fatalf("truncated list %q accepted as %+v", cut, l)
		}
		_, _ = Decode(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
	})
}

// TestDecodeMemoryIsBounded checks that decoding a body of the largest size read from discovery takes bounded memory, whatever it holds.
func TestDecodeMemoryIsBounded(t *testing.T) {
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

// listOfSize returns a full list of count targets.
func listOfSize(count int) []byte {
	entries := make([]string, count)
	for i := range entries {
		entries[i] = strings.Replace(entryJSON, `"id":"a"`, fmt.Sprintf(`"id":"target-%d"`, i), 1)
	}
	return []byte(listJSON(1, true, entries...))
}

// TestLargeLists decodes lists of up to the largest number of targets, at a cost that is linear in that number.
func TestLargeLists(t *testing.T) {
	var bytesPerEntry [2]float64
	for i, count := range []int{200, 20000} {
		body := listOfSize(count)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		l, err := Decode(body)
		runtime.ReadMemStats(&after)
		require.NoError(t, err)
		require.Len(t, l.Targets, count)
		require.Equal(t, fmt.Sprintf("target-%d", count-1), l.Targets[count-1].ID)
		bytesPerEntry[i] = float64(after.TotalAlloc-before.TotalAlloc) / float64(count)
	}
	t.Logf("%.0f bytes an entry in a list of 200, %.0f in one of 20000", bytesPerEntry[0], bytesPerEntry[1])
	require.Less(t, bytesPerEntry[1], 1.5*bytesPerEntry[0])
	_, err := Decode(listOfSize(maxEntries))
	require.NoError(t, err)
	_, err = Decode(listOfSize(maxEntries + 1))
	require.ErrorIs(t, err, ErrTooManyEntries)
}

// BenchmarkDecode decodes full lists of several lengths.
func BenchmarkDecode(b *testing.B) {
	for _, count := range []int{200, 2000, 20000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			body := listOfSize(count)
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

// TestLatest applies lists and changes, and begins another one with the result: a removed target stays removed, and the list keeps the version and
// the address that it came from.
func TestLatest(t *testing.T) {
	entry := func(id, state string) Entry { return Entry{ID: id, Addr: "127.0.0.1:1", State: state} }
	version := func(n int64) *int64 { return &n }
	first := NewLatest(nil)
	require.Nil(t, first.Full())
	require.Nil(t, NewLatest(first).Full())
	first.Apply(&List{Version: version(1), Full: true, Origin: "a", Targets: Entries{entry("x", "SERVING"), entry("y", "SERVING")}})
	first.Apply(&List{Version: version(2), Origin: "a", Targets: Entries{entry("y", "DELETED"), entry("x", "DRAINING"), entry("z", "SERVING")}})
	second := NewLatest(first)
	first.Apply(&List{Version: version(1), Full: true, Origin: "b"})
	require.Equal(t, &List{Version: version(2), Full: true, Origin: "a", Targets: Entries{entry("x", "DRAINING"), entry("z", "SERVING")}}, second.Full())
	require.Empty(t, first.Full().Targets)
	require.Equal(t, "b", first.Full().Origin)
}
