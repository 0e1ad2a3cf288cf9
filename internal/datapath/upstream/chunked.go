package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"strconv"
)

// chunkedReader reads a chunked body and returns data as soon as there is any. The standard library's reader waits until it has
// filled the caller's buffer, which delays data of a slow target by a quarter of a second. After a missed read deadline it can be read on.
type chunkedReader struct {
	in          *bufio.Reader
	remaining   int64 // bytes of the current chunk
	lineEndDue  bool  // the line end after a chunk's data comes next
	inTrailer   bool  // the trailer comes next, or the rest of it
	trailerSize int   // bytes of the trailer so far
	err         error // returned from now on
}

// maxTrailer is the largest trailer after the last chunk, in bytes.
const maxTrailer = 8 << 10

var errBadChunk = errors.New("malformed chunk")

// Read implements io.Reader. It blocks only until there is at least one byte.
func (c *chunkedReader) Read(b []byte) (n int, err error) {
	if c.err != nil {
		return 0, c.err
	}
	for c.remaining == 0 && err == nil {
		err = c.nextChunk()
	}
	if err == nil {
		n, err = c.in.Read(b[:min(int64(len(b)), c.remaining)])
		c.remaining -= int64(n)
		c.lineEndDue = c.remaining == 0
		err = unexpectedEOF(err)
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.err = err
	}
	return n, err
}

// nextChunk reads up to the next chunk's data. It returns io.EOF after the last chunk and its trailer.
func (c *chunkedReader) nextChunk() error {
	if c.inTrailer {
		return c.readTrailer()
	}
	if c.lineEndDue {
		if line, err := c.readLine(); err != nil {
			return err
		} else if len(line) > 0 {
			return errBadChunk
		}
		c.lineEndDue = false
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte{';'})
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 31)
	if err != nil {
		return errBadChunk
	}
	c.remaining, c.inTrailer = int64(n), n == 0
	return nil
}

// readTrailer reads the trailer. It returns io.EOF at its end.
func (c *chunkedReader) readTrailer() error {
	for c.trailerSize < maxTrailer {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		c.trailerSize += len(line) + 2
	}
	return errBadChunk
}

// readLine reads a line, which must fit the buffer, and returns it without its line end. After an error it has used nothing.
func (c *chunkedReader) readLine() ([]byte, error) {
	for wanted := 1; ; {
		switch _, err := c.in.Peek(wanted); {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errBadChunk
		case err != nil:
			return nil, unexpectedEOF(err)
		}
		seen, _ := c.in.Peek(c.in.Buffered())
		if end := bytes.IndexByte(seen, '\n'); end >= 0 {
			_, _ = c.in.Discard(end + 1)
			return bytes.TrimSuffix(seen[:end], []byte{'\r'}), nil
		}
		wanted = len(seen) + 1
	}
}

// unexpectedEOF converts io.EOF, where more data is due, to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
