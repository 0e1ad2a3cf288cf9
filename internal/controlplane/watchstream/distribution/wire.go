package distribution

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

const (
	mostHello  = 64 << 10 // bytes of a reader's question: the sums of all buckets fit
	mostDelta  = 4 << 20  // bytes of a source's answer, unpacked
	worthZip   = 1 << 10  // bytes from which on packing saves
	watchPath  = "/v1/feed/watch"
	zipWord    = "gzip"
	packedHead = "Content-Encoding"
)

var zippers = sync.Pool{New: func() any {
	z, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // a level that the library has
	return z
}}

// pack returns text packed where that saves, and whether it is.
func pack(text []byte) ([]byte, bool) {
	if len(text) < worthZip {
		return text, false
	}
	var b bytes.Buffer
	z := zippers.Get().(*gzip.Writer)
	defer zippers.Put(z)
	z.Reset(&b)
	if _, err := z.Write(text); err != nil || z.Close() != nil || b.Len() >= len(text) {
		return text, false
	}
	return b.Bytes(), true
}

// packs tells whether whoever asked reads packed answers.
func packs(r *http.Request) bool { return strings.Contains(r.Header.Get("Accept-Encoding"), zipWord) }

// readAll reads a body of at most so many bytes, unpacked; a longer one is an error, however little of it was sent.
func readAll(body io.Reader, packed bool, most int) ([]byte, error) {
	if packed {
		z, err := gzip.NewReader(body)
		if err != nil {
			return nil, err
		}
		defer z.Close()
		body = z
	}
	b, err := io.ReadAll(io.LimitReader(body, int64(most)+1))
	if err == nil && len(b) > most {
		err = fmt.Errorf("over %d bytes", most)
	}
	return b, err
}

// meter counts the bytes of connections, both ways.
type meter struct{ in, out atomic.Uint64 }

type dialer func(ctx context.Context, network, addr string) (net.Conn, error)

// around has connections counted.
func (m *meter) around(dial dialer) dialer {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &metered{c, m}, nil
	}
}

type metered struct {
	net.Conn
	m *meter
}

func (c *metered) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.in.Add(uint64(n))
	return n, err
}

func (c *metered) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.out.Add(uint64(n))
	return n, err
}
