package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spindlehitch/internal/process/config"
	"spindlehitch/internal/process/instance"
)

// BenchmarkSmallRequest alternates small reads and small writes on one connection, through the whole initiator to a fake target in the
// same process.
func BenchmarkSmallRequest(b *testing.B) {
	f := newFixture(b)
	cfg, err := config.Parse([]byte(f.config()), func(string) string { return "" })
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- instance.Serve(ctx, cfg, &config.OperatorFile{}, instance.Options{Log: discardLog})
	}()
	var conn net.Conn
	require.Eventually(b, func() bool { status, _ := f.get(); return status == 200 }, 20*time.Second, 10*time.Millisecond, "no request was served")
	if conn, err = net.Dial("tcp", f.listen); err != nil {
		b.Fatal(err)
	}
	in := bufio.NewReader(conn)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		method, body := "GET", ""
		if i%2 == 1 {
			method, body = "PUT", "Content-Length: 200\r\n"
		}
		raw := fmt.Sprintf("%s /position-read/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nRequest-Id: b%d\r\nTier: base\r\nRequest-Timeout-Ms: 20000\r\n"+
			"IO-Info: volume=00000003b4d60021,units=0,shard=0,hosts=1\r\n%s\r\n", method, i, body)
		if body != "" {
			raw += string(make([]byte, 200))
		}
		_, _ = io.WriteString(conn, raw)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			b.Fatal(err)
		}
		if n, _ := io.Copy(io.Discard, resp.Body); n == 0 || resp.StatusCode != 200 {
			b.Fatalf("status %d", resp.StatusCode)
		}
	}
	b.StopTimer()
	conn.Close()
	cancel()
	if err := <-serveErr; err != nil {
		b.Error(err)
	}
}
