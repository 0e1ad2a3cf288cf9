package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"spindlehitch/internal/process/config"
	"spindlehitch/internal/process/instance"
)

// startInstance runs an initiator with this configuration until the test ends.
func startInstance(t *testing.T, text string) {
	t.Helper()
	cfg, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- instance.Serve(ctx, cfg, &config.OperatorFile{}, instance.Options{Log: discardLog})
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-serveErr; err != nil {
			t.Error(err)
		}
	})
}

// newHandlerFixture returns a fixture whose target responds with handler.
func newHandlerFixture(t *testing.T, handler http.HandlerFunc) *fixture {
	t.Helper()
	target := httptest.NewServer(handler)
	t.Cleanup(target.Close)
	discovery := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(rw, `{"version":1,"full":true,"servers":[{"id":"t","addr":%q,"cell":0,"state":"SERVING"}]}`,
			strings.TrimPrefix(target.URL, "http://"))
	}))
	t.Cleanup(discovery.Close)
	f := &fixture{listen: freeAddr(t), discovery: strings.TrimPrefix(discovery.URL, "http://")}
	return f
}

const requestHeaders = "Host: a\r\nTier: base\r\nRequest-Timeout-Ms: 20000\r\nIO-Info: volume=00000003b4d60021,units=1,shard=0,hosts=1\r\n"

// TestLargeBothWays checks uploads and downloads of 32 MB by six concurrent clients, some with chunked bodies, with memory_mb set to 16. The
// target must receive each body intact, and the heap of the whole process must stay below the size of one body.
func TestLargeBothWays(t *testing.T) { //nolint:gocognit // one scenario, in order
	const size = 32 << 20
	f := newHandlerFixture(t, func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			sum := sha256.New()
			n, err := io.Copy(sum, r.Body)
			if err != nil {
				return
			}
			fmt.Fprintf(rw, "%d %x", n, sum.Sum(nil))
			return
		}
		for range size >> 14 {
			_, _ = rw.Write(make([]byte, 1<<14))
		}
	})
	// The dial timeout is long because the machine may be busy: a body whose target can't be reached in time is rejected.
	startInstance(t, strings.NewReplacer(`"settings":`, `"limits":{"memory_mb":16},"settings":`, `"sendCap":3`, `"sendCap":3,"dialTimeoutUs":20000000`).Replace(f.config()))
	waitReady(t, "http://"+f.listen+"/-/ready")
	peakHeap, stopSampling := uint64(0), make(chan bool)
	go func() {
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peakHeap = max(peakHeap, m.HeapInuse)
			select {
			case stopSampling <- true:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			c, err := net.Dial("tcp", f.listen)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(time.Minute))
			in := bufio.NewReader(c)
			if i%3 == 0 {
				fmt.Fprintf(c, "GET /position-read/7f3a9c21e0b4d655 HTTP/1.1\r\nRequest-Id: l%d\r\n%s\r\n", i, requestHeaders)
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Error(err)
					return
				}
				if n, err := io.Copy(io.Discard, resp.Body); n != size || err != nil {
					t.Errorf("read %d bytes, %v", n, err)
				}
				return
			}
			framing := fmt.Sprintf("Content-Length: %d\r\n", size)
			if i%3 == 1 {
				framing = "Transfer-Encoding: chunked\r\n"
			}
			fmt.Fprintf(c, "PUT /position-read/7f3a9c21e0b4d655 HTTP/1.1\r\nRequest-Id: l%d\r\n%s%s\r\n", i, requestHeaders, framing)
			sum, rng := sha256.New(), rand.NewChaCha8([32]byte{byte(i)})
			for remaining := size; remaining > 0; {
				chunk := make([]byte, min(remaining, 1+int(rng.Uint64()%70000)))
				rng.Read(chunk)
				sum.Write(chunk)
				remaining -= len(chunk)
				if i%3 == 1 {
					fmt.Fprintf(c, "%x\r\n%s\r\n", len(chunk), chunk)
				} else {
					_, _ = c.Write(chunk)
				}
			}
			if i%3 == 1 {
				_, _ = io.WriteString(c, "0\r\n\r\n")
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Error(err)
				return
			}
			got, _ := io.ReadAll(resp.Body)
			if want := fmt.Sprintf("%d %x", size, sum.Sum(nil)); resp.StatusCode != 200 || string(got) != want {
				t.Errorf("written: %d %q, want %q", resp.StatusCode, got, want)
			}
		})
	}
	wg.Wait()
	<-stopSampling
	// The heap includes the test's clients and target; buffering one whole body would exceed this limit.
	if peakHeap > size {
		t.Errorf("heap grew to %d MB", peakHeap>>20)
	}
}

// TestLargeBroken aborts bodies and responses midway: a request whose target failed while receiving its body is rejected and never
// retried, and a truncated response must not look complete to its client.
func TestLargeBroken(t *testing.T) {
	attempts := make(chan string, 64)
	f := newHandlerFixture(t, func(rw http.ResponseWriter, r *http.Request) {
		attempts <- r.Method
		if r.Method == http.MethodPut {
			_, _ = io.CopyN(io.Discard, r.Body, 100<<10)
		} else {
			rw.Header().Set("Content-Length", "1000000")
			_, _ = rw.Write(make([]byte, 500000))
		}
		panic(http.ErrAbortHandler)
	})
	startInstance(t, f.config())
	waitReady(t, "http://"+f.listen+"/-/ready") // an upload before the first list of targets is rejected without being sent
	send := func(raw string, remaining int) (*http.Response, error) {
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			c, err := net.Dial("tcp", f.listen)
			if err != nil && time.Now().Before(deadline) {
				continue
			} else if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			c.SetDeadline(time.Now().Add(20 * time.Second))
			_, _ = io.WriteString(c, raw)
			for ; remaining > 0; remaining -= 10000 {
				if _, err := c.Write(make([]byte, 10000)); err != nil {
					break
				}
				time.Sleep(time.Millisecond)
			}
			return http.ReadResponse(bufio.NewReader(c), nil)
		}
	}
	resp, err := send("PUT /position-read/7f3a9c21e0b4d655 HTTP/1.1\r\nRequest-Id: b1\r\n"+requestHeaders+"Content-Length: 1000000\r\n\r\n", 1000000)
	if err != nil || resp.StatusCode != 503 {
		t.Errorf("upload whose target aborted: %+v, %v; want status 503", resp, err)
	}
	resp, err = send("GET /position-read/7f3a9c21e0b4d655 HTTP/1.1\r\nRequest-Id: b2\r\n"+requestHeaders+"\r\n", 0)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("response that will be truncated: %+v, %v; want status 200", resp, err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Errorf("%d bytes of a truncated response were accepted as complete, want an error", n)
	}
	if len(attempts) != 2 || <-attempts != "PUT" {
		t.Errorf("%d attempts reached the target, want one for each request", len(attempts)+1)
	}
}
