package front

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/datapath/upstream"
)

const chunkedHead = validHead + "Transfer-Encoding: chunked\r\n"

// TestChunkedBodies takes a body in chunks, with a trailer, cut anywhere, and several on one connection; it refuses what is
// no body, what has a length as well, and what was read ahead of its turn so that nobody can tell.
func TestChunkedBodies(t *testing.T) {
	_, b, addr := newFront(t, 64)
	go func() {
		for j := range b.jobs {
			j.Done(core.Response{Payload: j.Payload.(*upstream.Message).Body})
		}
	}()
	defer close(b.jobs)
	coded := chunkedHead + "\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nA: b\r\n\r\n"
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for cut := range len(coded) {
		if cut%7 == 0 {
			_, _ = io.WriteString(c, coded[:cut])
			time.Sleep(2 * time.Millisecond)
			if resp, body, _ := roundTrip(t, c, coded[cut:]); resp.StatusCode != 200 || body != "abcde" {
				t.Fatalf("cut at %d: %d, %q", cut, resp.StatusCode, body)
			}
		}
	}
	for name, raw := range map[string]string{
		"a length in front":  strings.Replace(coded, "Tier:", "Content-Length: 4\r\nTier:", 1),
		"a length behind":    strings.Replace(coded, "chunked\r\n", "chunked\r\nCONTENT-length: 0\r\n", 1),
		"no number":          chunkedHead + "\r\nzz\r\nabc\r\n0\r\n\r\n",
		"a number below 0":   chunkedHead + "\r\n-3\r\nabc\r\n0\r\n\r\n",
		"a number past all":  chunkedHead + "\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n",
		"more than it tells": chunkedHead + "\r\n2\r\nabc\r\n0\r\n\r\n",
		"an endless trailer": chunkedHead + "\r\n0\r\n" + strings.Repeat("A: b\r\n", 10<<10),
	} {
		if resp, _, _ := sendRequest(t, addr, raw); resp.StatusCode != 400 || !resp.Close {
			t.Errorf("%s: status %d, closes %v", name, resp.StatusCode, resp.Close)
		}
	}
	// A second request in the first one's packet: its head cannot be vouched for.
	both, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer both.Close()
	both.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(both, validRequest+strings.Replace(coded, "id1", "id2", 1))
	in := bufio.NewReader(both)
	for _, want := range []int{200, 400} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != want {
			t.Errorf("two in one packet: %d, want %d", resp.StatusCode, want)
		}
	}
}

// TestContinue has a client wait for the word to go on before it sends its body.
func TestExpectContinue(t *testing.T) {
	_, b, addr := newFront(t, 64)
	go func() { (<-b.jobs).Done(core.Response{Payload: []byte("x")}) }()
	resp, _, c := sendRequest(t, addr, validHead+"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	if resp.StatusCode != 100 {
		t.Fatalf("before the body: %d", resp.StatusCode)
	}
	if resp, _, _ := roundTrip(t, c, "body"); resp.StatusCode != 200 {
		t.Errorf("after the body: %d", resp.StatusCode)
	}
}

// TestSlowBody guards against a limit on a body's whole time: it may take as long as its bytes keep coming, and no longer.
func TestSlowBody(t *testing.T) {
	_, b, addr := newFront(t, 64)
	go func() { (<-b.jobs).Done(core.Response{Payload: []byte("x")}) }()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", validHead, 60<<10)
	for range 15 {
		_, _ = c.Write(make([]byte, 4<<10))
		time.Sleep(bodyTimeout / 12)
	}
	if resp, _, _ := roundTrip(t, c, ""); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// TestHeadScan cuts heads anywhere: what is asked of them is seen all the same, and nothing is seen in garbage.
func TestHeadScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.Bool().Draw(t, "length")
		head := "PUT /put/x HTTP/1.1\r\nHost: a\r\nX-Content-Length: 1\r\n"
		if length {
			head += rapid.SampledFrom([]string{"Content-Length", "content-length", "CONTENT-LENGTH"}).Draw(t, "as") + ": 4\r\n"
		}
		raw := []byte(head + "Transfer-Encoding: chunked\r\n\r\nContent-Length: 9\r\n\r\n")
		var h headScan
		h.write([]byte("GET / HTTP/1.1\r\n"))
		h.reset()
		for len(raw) > 0 {
			n := rapid.IntRange(1, len(raw)).Draw(t, "cut")
			h.write(raw[:n])
			raw = raw[n:]
		}
		r := &http.Request{Method: "PUT", RequestURI: "/put/x", Proto: "HTTP/1.1"}
		if h.verifiedNoLength(r) == length {
			t.Fatalf("a length %v, seen alone %v", length, !length)
		}
		h.reset()
		h.write(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
		if h.verifiedNoLength(r) {
			t.Fatal("garbage passed")
		}
	})
}

// forms are one request in forms that HTTP/1.1 has for it.
var requestForms = map[string]string{
	"as usual":            validRequest,
	"names in capitals":   strings.NewReplacer("Request-Id", "REQUEST-ID", "Tier", "tIER", "IO-Info", "io-info", "Content-Length", "content-length").Replace(validRequest),
	"no space, and tabs":  strings.NewReplacer("Host: ", "Host:", "Tier: std", "Tier:\t std \t", "Content-Length: 4", "Content-Length:4  ").Replace(validRequest),
	"lines end bare":      strings.ReplaceAll(validRequest, "\r\n", "\n"),
	"more fields":         strings.Replace(validRequest, "Tier:", "X: "+strings.Repeat("x", 5000)+"\r\nAccept: */*\r\nTier:", 1),
	"kept alive":          strings.Replace(validRequest, "Tier:", "Connection: keep-alive\r\nTier:", 1),
	"in chunks":           chunkedHead + "\r\n4\r\nbody\r\n0\r\n\r\n",
	"a chunk a byte":      chunkedHead + "\r\n1\r\nb\r\n001\r\no\r\n1\r\nd\r\n1\r\ny\r\n000\r\n\r\n",
	"chunks with more":    chunkedHead + "\r\n2;a=b\r\nbo\r\n2;c=\"d\"\r\ndy\r\n0;e\r\nX-Y: z\r\n\r\n",
	"chunked in capitals": validHead + "TRANSFER-ENCODING: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"IO-Info in order":    strings.Replace(validRequest, "volume=00000003b4d60021,units=2,shard=5,hosts=3", "hosts=3, shard=5,units=2.0 , volume=00000003B4D60021,new=1", 1),
}

// TestInPieces has requests come in all forms that net/http takes, cut anywhere, one after another on a connection: each is taken as what it is, however it came.
func TestRequestsInPieces(t *testing.T) {
	_, b, addr := newFront(t, 64)
	for name, raw := range requestForms {
		t.Run(name, func(t *testing.T) {
			c := dial(t, addr)
			in := bufio.NewReader(c)
			rng := rand.New(rand.NewPCG(1, uint64(len(raw))))
			for range 12 {
				for rest := []byte(raw); len(rest) > 0; {
					n := min(1+rng.IntN(max(len(raw)/4, 1)), len(rest))
					_, _ = c.Write(rest[:n])
					if rest = rest[n:]; rng.IntN(2) == 0 {
						time.Sleep(time.Millisecond)
					}
				}
				select {
				case j := <-b.jobs:
					m := j.Payload.(*upstream.Message)
					require.Equal(t, "body", string(m.Body))
					require.Equal(t, "PUT /put/x/7f3a9c21e0b4d655?q=1 id1", m.Method+" "+m.URI+" "+m.ID)
					require.Equal(t, "00000003b4d60021 2 5 3 std put", fmt.Sprint(strings.ToLower(j.Volume), " ", j.Units, j.Shard, j.VolumeInitiators, " ", j.Plan, " ", j.Class))
					j.Done(core.Response{Payload: []byte("x")})
				case <-time.After(10 * time.Second):
					t.Error("it was not taken")
				}
				resp, err := http.ReadResponse(in, nil)
				require.NoError(t, err)
				_, _ = io.Copy(io.Discard, resp.Body)
				require.Equal(t, 200, resp.StatusCode)
			}
		})
	}
}
