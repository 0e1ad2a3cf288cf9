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

const (
	maxRequestBytes  = 64 << 10 // bytes of a reader's question: the sums of all buckets fit
	maxAnswerBytes   = 4 << 20  // bytes of a source's answer, unpacked
	minCompressBytes = 1 << 10  // bytes from which on packing saves
	watchPath        = "/v1/feed/watch"
	gzipEncoding     = "gzip"
	encodingHeader   = "Content-Encoding"
)

var gzipWriters = sync.Pool{New: func() any {
	z, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // a level that the library has
	return z
}}

// compress returns text packed where that saves, and whether it is.
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

// acceptsGzip tells whether whoever asked reads packed answers.
func acceptsGzip(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept-Encoding"), gzipEncoding)
}

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
