package distribution

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spindlehitch/internal/controlplane/watchstream"
)

// TestGarbageAsked sends what is no hello: each is refused with a status of its own, and nothing of it is kept.
func TestGarbageAsked(t *testing.T) {
	b := newBook(t, watchstream.SourceOptions{})
	b.put(target(0, 0))
	good := mustJSON(t, watchstream.SubscribeRequest{Fleet: fleet, Scope: watchstream.Scope{Name: "i1"}, Generation: 1, Seq: 1})
	var bomb bytes.Buffer
	z := gzip.NewWriter(&bomb)
	_, err := z.Write(make([]byte, 64<<20))
	require.NoError(t, err)
	require.NoError(t, z.Close())
	packed := http.Header{encodingHeader: {gzipEncoding}}
	for _, c := range []struct {
		name string
		body []byte
		head http.Header
		want int
	}{
		{"nothing", nil, nil, http.StatusBadRequest},
		{"no JSON", []byte("hello"), nil, http.StatusBadRequest},
		{"cut", good[:len(good)/2], nil, http.StatusBadRequest},
		{"wrong types", []byte(`{"fleet":7}`), nil, http.StatusBadRequest},
		{"too long", bytes.Repeat([]byte(" "), maxRequestBytes+1), nil, http.StatusBadRequest},
		{"a bomb", bomb.Bytes(), packed, http.StatusBadRequest},
		{"not packed", good, packed, http.StatusBadRequest},
		{"no name", []byte(`{"fleet":"campus","turn":1,"seq":1}`), nil, http.StatusUnprocessableEntity},
		{"odd sums", []byte(`{"fleet":"campus","name":"x","turn":1,"seq":1,"sums":"AAAAAAAAAAA="}`), nil, http.StatusUnprocessableEntity},
		{"another fleet", bytes.Replace(good, []byte(fleet), []byte("other"), 1), nil, http.StatusConflict},
		{"another epoch", bytes.Replace(good, []byte(`"turn"`), []byte(`"epoch":"odd","turn"`), 1), nil, http.StatusConflict},
	} {
		status, text := post(t, b.addr, c.body, c.head)
		require.Equal(t, c.want, status, "%s: %s", c.name, text)
		var rejected RejectedError
		require.NoError(t, json.Unmarshal(text, &rejected), c.name)
		require.NotEmpty(t, rejected.Reason, c.name)
	}
	b.WithSource(func(_ time.Duration, s *watchstream.Source) { require.Zero(t, s.ReaderCount()) })
	status, _ := post(t, b.addr, good, nil)
	require.Equal(t, http.StatusOK, status)
	status, _ = post(t, b.addr, good, nil)
	require.Equal(t, http.StatusConflict, status, "a hello is said once")
	rapid.Check(t, func(rt *rapid.T) {
		at := rapid.IntRange(0, len(good)-1).Draw(rt, "at")
		bent := bytes.Clone(good)
		bent[at] = rapid.Byte().Draw(rt, "byte")
		status, _ := post(t, b.addr, bent, nil)
		require.Less(rt, status, 500)
	})
}

// TestGarbageAnswered has sources answer what is no delta, or not this follower's: each is refused and counted, nothing is changed,
// and the next good one is taken.
func TestGarbageAnswered(t *testing.T) {
	b := newBook(t, watchstream.SourceOptions{})
	v := b.put(append(targets(5), layer("shared", `{"a":1}`))...)
	delta := func(bend func(*watchstream.Delta)) []byte {
		d := watchstream.Delta{Fleet: fleet, Epoch: "first", Scope: watchstream.Scope{Name: "i1", Region: "north"}, To: watchstream.Position{Targets: 1, Config: 1},
			Head: watchstream.Position{Targets: 1, Config: 1}, Records: []watchstream.Record{{Kind: watchstream.Targets, Key: "bad", Version: 1, Value: target(0, 0).Value}}}
		bend(&d)
		return mustJSON(t, d)
	}
	var bomb bytes.Buffer
	z := gzip.NewWriter(&bomb)
	_, err := z.Write(make([]byte, 64<<20))
	require.NoError(t, err)
	require.NoError(t, z.Close())
	for _, c := range []struct {
		name, count string
		status      int
		packed      bool
		body        []byte
	}{
		{"a page", "malformed", 200, false, []byte("<html>")},
		{"nothing", "malformed", 200, false, nil},
		{"cut", "malformed", 200, false, delta(func(*watchstream.Delta) {})[:90]},
		{"a bomb", "failed", 200, true, bomb.Bytes()},
		{"not packed", "failed", 200, true, []byte("{}")},
		{"another status", "failed", 418, false, nil},
		{"another fleet", string(watchstream.ReasonForeignFleet), 200, false, delta(func(d *watchstream.Delta) { d.Fleet = "other" })},
		{"another reader", string(watchstream.ReasonMisdirected), 200, false, delta(func(d *watchstream.Delta) { d.Scope.Region = "south" })},
		{"a gap", string(watchstream.ReasonGap), 200, false, delta(func(d *watchstream.Delta) { d.From.Targets = 1 })},
		{"out of order", string(watchstream.ReasonDisorder), 200, false, delta(func(d *watchstream.Delta) { d.Records[0].Version = 2 })},
		{"a layer of others", string(watchstream.ReasonOutOfScope), 200, false, delta(func(d *watchstream.Delta) {
			d.Records[0] = watchstream.Record{Kind: watchstream.Config, Key: "region/south", Version: 1, Value: json.RawMessage("{}")}
		})},
		{"a hello refused", string(watchstream.ReasonForeignFleet), 409, false, []byte(`{"reason":"foreign","why":"not here"}`)},
	} {
		var bad sync.Once
		odd := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			served := true
			bad.Do(func() {
				served = false
				if c.packed {
					w.Header().Set(encodingHeader, gzipEncoding)
				}
				w.WriteHeader(c.status)
				_, _ = w.Write(c.body)
			})
			if served {
				b.http.Config.Handler.ServeHTTP(w, r)
			}
		}))
		f := follow(t, FollowerOptions{Name: "i1", Relays: to(odd.Listener.Addr().String()), Generation: uint64(time.Now().UnixNano())})
		f.at(v)
		s := f.State()
		if c.count == "failed" {
			require.NotZero(t, s.Failed, c.name)
		} else {
			require.Equal(t, uint64(1), s.Rejected[c.count], "%s: %v", c.name, s.Rejected)
		}
		for _, r := range f.Records(watchstream.Targets) {
			require.NotEqual(t, "bad", r.Key, c.name)
		}
		f.stop()
		odd.CloseClientConnections()
		odd.Close()
	}
}
