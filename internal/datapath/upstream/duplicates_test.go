package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/datapath/core"
	"spindlehitch/internal/policy"
)

// framedAnswer writes a target's answer in one framing.
type framedAnswer func(status, body string) string

func withLength(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func inOneChunk(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", status, len(body), body)
}

func inChunks(status, body string) string {
	half := len(body) / 2
	return fmt.Sprintf("HTTP/1.1 %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
		status, half, body[:half], len(body)-half, body[half:])
}

func withTrailer(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nA: b\r\n\r\n", status, len(body), body)
}

func withoutLength(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n\r\n%s", status, body)
}

// outcomeOf returns an attempt's outcome with its body read to the end.
func outcomeOf(t *testing.T, r core.Result) (code policy.OutcomeCode, body string) {
	t.Helper()
	switch payload := r.Payload.(type) {
	case []byte:
		return r.Code, string(payload)
	case *Stream:
		all, err := io.ReadAll(payload)
		require.NoError(t, err)
		return r.Code, string(all)
	}
	return r.Code, ""
}

// TestLateDuplicateDoesNotShiftAnswers guards against one late second answer that is taken for the next answer, and all later answers on
// the connection for the ones behind: clients got others' data, and writes were answered with 200 before they ran, or without running.
func TestLateDuplicateDoesNotShiftAnswers(t *testing.T) {
	large := strings.Repeat("0123456789", 10_000)
	for _, x := range []struct {
		name   string
		late   time.Duration
		frame  framedAnswer
		status string
		body   func(id string) string
		upload bool
	}{
		{"large, own data", 8 * time.Millisecond, withLength, "200 OK", func(id string) string { return id + large }, false},
		{"large, alike", 8 * time.Millisecond, withLength, "200 OK", func(string) string { return large }, false},
		{"large, in chunks", 8 * time.Millisecond, inChunks, "200 OK", func(id string) string { return id + large }, false},
		{"small, alike", 2400 * time.Microsecond, withLength, "200 OK", func(string) string { return "stored\n" }, false},
		{"small, alike, 30 ms late", 30 * time.Millisecond, withLength, "200 OK", func(string) string { return "stored\n" }, false},
		{"small, alike, in a chunk", 2400 * time.Microsecond, inOneChunk, "200 OK", func(string) string { return "stored\n" }, false},
		{"small, alike, after an upload", 2400 * time.Microsecond, withLength, "200 OK", func(string) string { return "stored\n" }, true},
		{"errors, alike", 2400 * time.Microsecond, withLength, "500 Internal Server Error", func(string) string { return "" }, false},
		{"rejections, alike", 2400 * time.Microsecond, withLength, "503 Service Unavailable\r\nNot-Started: 1", func(string) string { return "" }, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			const requests, duplicated = 24, 8 // the answer that is sent twice
			var done, handled sync.Map         // requests by id: the target has answered, has sent the copy of
			s := newFakeTarget(t, func(n int32, req *http.Request, c net.Conn) bool {
				id := req.Header.Get("Request-Id")
				time.Sleep(40 * time.Millisecond) // the work of a request
				done.Store(id, true)
				answer := x.frame(x.status, x.body(id))
				if _, err := io.WriteString(c, answer); err != nil {
					return false
				}
				if n == duplicated {
					time.Sleep(x.late)
					_, _ = io.WriteString(c, answer)
					handled.Store("copy", true)
				}
				return true
			})
			b := newHarnessWith(s.Addr().String(), Options{MaxConnsPerTarget: 40, MaxConnsTotal: 40, ReuseDelay: DuplicateWindow})
			want := policy.Served
			switch {
			case strings.HasPrefix(x.status, "500"):
				want = policy.AnsweredError
			case strings.HasPrefix(x.status, "503"):
				want = policy.Rejected
			}
			failed := 0
			for n := range requests {
				id := fmt.Sprintf("request-%02d", n)
				a := core.Attempt{RequestID: id, Target: "n", Deadline: time.Now().Add(10 * time.Second), Payload: &Request{Method: "PUT", URI: "/w/1", ID: id, Body: []byte("x")}}
				if x.upload {
					u, err := b.StartUpload(t.Context(), "n", &Request{Method: "PUT", URI: "/w/1", ID: id}, 1, time.Second)
					require.NoError(t, err)
					u.HoldLastPiece([]byte("x"))
					a.Payload = &Request{Method: "PUT", Upload: u}
				}
				b.Send(a)
				code, body := outcomeOf(t, b.result(t))
				if code == policy.ConnectionReset {
					failed++
					continue
				}
				require.Equal(t, want, code)
				_, answered := done.Load(id)
				require.True(t, answered, "%s has an answer before the target gave it one", id)
				if code == policy.Served {
					require.Equal(t, x.body(id), body)
				}
			}
			_, copied := handled.Load("copy")
			require.True(t, copied)
			require.LessOrEqual(t, failed, 1, "requests that failed")
		})
	}
}

// TestFirstAnswersTwice guards against a copy that is taken for the next answer while it is not yet known that the target repeats itself:
// the request fails, and no later one gets the answer of another.
func TestFirstAnswersTwice(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Internal Server Error", "503 Service Unavailable\r\nNot-Started: 1"} {
		var answered atomic.Int32
		s := newFakeTarget(t, func(n int32, _ *http.Request, c net.Conn) bool {
			time.Sleep(100 * time.Millisecond) // a copy that comes 3 ms late is well before the next answer
			answered.Store(n)
			respond(c, status, "")
			if n == 1 {
				time.Sleep(3 * time.Millisecond)
				respond(c, status, "")
			}
			return true
		})
		b := newHarnessWith(s.Addr().String(), Options{MaxConnsPerTarget: 40, MaxConnsTotal: 40, ReuseDelay: DuplicateWindow})
		failed := 0
		for n := range int32(6) {
			b.send(10 * time.Second)
			if b.result(t).Code == policy.ConnectionReset {
				failed++
				continue
			}
			require.GreaterOrEqual(t, answered.Load(), n+1, "%s: answered before the target did", status)
		}
		require.LessOrEqual(t, failed, 1, status)
	}
}

// TestLateOwnAnswerShiftsNone lets the first copy come and the request's own answer only after the check for it: the connection ends, so
// that no later request gets the answer of another.
func TestLateOwnAnswerShiftsNone(t *testing.T) {
	const requests = 6
	var answered [requests + 1]atomic.Bool // by the request's number, from 1 on
	s := newFakeTarget(t, func(n int32, _ *http.Request, c net.Conn) bool {
		if n == 2 {
			time.Sleep(duplicateCheckTimeout + 100*time.Millisecond)
		}
		time.Sleep(60 * time.Millisecond)
		answered[n].Store(true)
		respond(c, "200 OK", "")
		if n == 1 {
			time.Sleep(3 * time.Millisecond)
			respond(c, "200 OK", "")
		}
		return true
	})
	b := newHarnessWith(s.Addr().String(), Options{MaxConnsPerTarget: 1, MaxConnsTotal: 1, ReuseDelay: DuplicateWindow})
	for n := 1; n <= requests; n++ {
		b.send(10 * time.Second)
		b.result(t)
		if n != 2 { // the second request may get the copy
			require.True(t, answered[n].Load(), "request %d is answered before the target did", n)
		}
	}
	require.EqualValues(t, 2, s.accepted.Load())
}

// TestEqualAnswersAreNotDelayed guards against a check for second answers that holds back the equal answers of a target that sends each
// once: every second request on a connection had no answer for 10 s where small answers came in chunks.
func TestEqualAnswersAreNotDelayed(t *testing.T) {
	frames := map[string]framedAnswer{"length": withLength, "one chunk": inOneChunk, "chunks": inChunks, "trailer": withTrailer, "no length": withoutLength}
	for framing, frame := range frames {
		for status, want := range map[string]policy.OutcomeCode{
			"200 OK": policy.Served, "500 Internal Server Error": policy.AnsweredError,
			"503 Service Unavailable\r\nNot-Started: 1": policy.Rejected,
		} {
			for _, work := range []time.Duration{0, 30 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %.3s, %v", framing, status, work), func(t *testing.T) {
					t.Parallel()
					s := newFakeTarget(t, func(_ int32, _ *http.Request, c net.Conn) bool {
						time.Sleep(work)
						_, err := io.WriteString(c, frame(status, "stored\n"))
						return err == nil && framing != "no length"
					})
					const requests, attemptTimeout = 12, time.Second
					b := newHarnessWith(s.Addr().String(), Options{MaxConnsPerTarget: 40, MaxConnsTotal: 40, ReuseDelay: DuplicateWindow})
					var waited time.Duration
					for range requests {
						begun := time.Now()
						b.send(attemptTimeout)
						code, _ := outcomeOf(t, b.result(t))
						require.Equal(t, want, code)
						require.Less(t, time.Since(begun), attemptTimeout)
						waited += time.Since(begun) - work
					}
					require.Less(t, waited, 2*duplicateCheckTimeout, "over all requests; the check is made once")
				})
			}
		}
	}
}

// TestRestingConnectionIsAwaited guards against an early reuse where no connection can be added: a request waits until the only
// connection has rested, and no longer.
func TestRestingConnectionIsAwaited(t *testing.T) {
	const large = MaxBufferedBody + 1
	s := newFakeTarget(t, func(_ int32, _ *http.Request, c net.Conn) bool {
		return respond(c, "200 OK", strings.Repeat("x", large))
	})
	b := newHarnessWith(s.Addr().String(), Options{MaxConnsPerTarget: 1, MaxConnsTotal: 1, ReuseDelay: DuplicateWindow})
	var ended time.Time
	for n := range 4 {
		b.send(10 * time.Second)
		r := b.result(t)
		require.Equal(t, policy.Served, r.Code)
		if n > 0 {
			require.GreaterOrEqual(t, r.SendStarted.Sub(ended), DuplicateWindow)
			require.Less(t, r.SendStarted.Sub(ended), 5*time.Second)
		}
		ended = time.Now()
		_, err := io.Copy(io.Discard, r.Payload.(*Stream))
		require.NoError(t, err)
	}
	require.EqualValues(t, 1, s.accepted.Load())
}

// TestRepeatedAnswersAreBounded adds more answers than a target's set holds: the ones added last are kept.
func TestRepeatedAnswersAreBounded(t *testing.T) {
	var s answerSet
	for sum := range uint64(3 * maxRepeatedAnswers) {
		s.add(sum)
		s.add(sum)
	}
	require.Len(t, s.sums, maxRepeatedAnswers)
	require.False(t, s.contains(2*maxRepeatedAnswers-1))
	require.True(t, s.contains(2*maxRepeatedAnswers))
	require.True(t, s.contains(3*maxRepeatedAnswers-1))
}
