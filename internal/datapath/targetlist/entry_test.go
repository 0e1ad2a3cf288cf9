package targetlist

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDecodeEntry decodes single entries, valid and invalid: each is checked as in a list.
func TestDecodeEntry(t *testing.T) {
	e, err := DecodeEntry([]byte(`{"id":"a","addr":"127.0.0.1:1","zone":"z","cell":3,"state":"DRAINING","started_ms":5}`))
	require.NoError(t, err)
	cell := 3
	require.Equal(t, Entry{ID: "a", Addr: "127.0.0.1:1", Zone: "z", Shard: &cell, State: "DRAINING", StartedMs: 5}, e)
	_, err = DecodeEntry([]byte(`{"id":"a","state":"DELETED"}`))
	require.NoError(t, err)
	for text, want := range map[string]string{
		`{"id":"a"`: "entry: ",
		`{"addr":"127.0.0.1:1","cell":0,"state":"SERVING"}`:          "id is missing",
		`{"id":"a","addr":"127.0.0.1:1","cell":0,"state":"serving"}`: "unknown state",
		`{"id":"a","addr":"127.0.0.1:1","state":"SERVING"}`:          "cell is missing",
		`{"id":"a","addr":"nowhere","cell":0,"state":"SERVING"}`:     "addr: ",
	} {
		_, err := DecodeEntry([]byte(text))
		require.ErrorContains(t, err, want, text)
	}
}
