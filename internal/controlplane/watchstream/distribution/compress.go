package distribution

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
)

// Limits and headers of message bodies.
const (
	maxRequestBytes  = 64 << 10 // fits a request with the digests of all buckets
	maxAnswerBytes   = 4 << 20  // decompressed
	minCompressBytes = 1 << 10  // smaller bodies are sent uncompressed, since compression would hardly save bytes
	watchPath        = "/v1/feed/watch"
	gzipEncoding     = "gzip"
	encodingHeader   = "Content-Encoding"
)

// gzipWriters holds writers for reuse, since their buffers are large.
var gzipWriters = sync.Pool{New: func() any {
	z, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // never fails with a valid level
	return z
}}

// compress returns the text compressed if that saves bytes, and whether it did so.
func compress(text []byte) ([]byte, bool) {
	if len(text) < minCompressBytes {
		return text, false
	}
	var b bytes.Buffer
	z := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(z)
	z.Reset(&b)
	if _, err := z.Write(text); err != nil || z.Close() != nil || b.Len() >= len(text) {
		return text, false
	}
	return b.Bytes(), true
}

// acceptsGzip reports whether the client accepts compressed responses.
func acceptsGzip(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept-Encoding"), gzipEncoding)
}

// readAll reads and decompresses a body. More than maxBytes decompressed bytes are an error, however few
// bytes were sent.
func readAll(body io.Reader, compressed bool, maxBytes int) ([]byte, error) {
	if compressed {
		z, err := gzip.NewReader(body)
		if err != nil {
			return nil, err
		}
		defer z.Close()
		body = z
	}
	b, err := io.ReadAll(io.LimitReader(body, int64(maxBytes)+1))
	if err == nil && len(b) > maxBytes {
		err = fmt.Errorf("over %d bytes", maxBytes)
	}
	return b, err
}
