package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// chunkedReader reads a chunked body and returns data as soon as there is any. The standard library's reader waits until it has
// filled the caller's buffer, which delays data of a slow target by a quarter of a second.
type chunkedReader struct {
	in         *bufio.Reader
	remaining  int64 // bytes of the current chunk
	lineEndDue bool  // the line end after a chunk's data comes next
	err        error // returned from now on
}

// maxTrailer is the largest trailer after the last chunk, in bytes.
const maxTrailer = 8 << 10

var errBadChunk = errors.New("malformed chunk")

// Read implements io.Reader. It blocks only until there is at least one byte.
func (c *chunkedReader) Read(b []byte) (int, error) {
	for c.err == nil && c.remaining == 0 {
		c.err = c.nextChunk()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.in.Read(b[:min(int64(len(b)), c.remaining)])
	c.remaining -= int64(n)
	c.lineEndDue = c.remaining == 0
	c.err = unexpectedEOF(err)
	return n, c.err
}

// nextChunk reads up to the next chunk's data. It returns io.EOF after the last chunk and its trailer.
func (c *chunkedReader) nextChunk() error {
	if c.lineEndDue {
		if line, err := c.readLine(); err != nil || len(line) > 0 {
			return errors.Join(errBadChunk, err)
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
	if c.remaining = int64(n); n > 0 {
		return nil
	}
	for trailerLeft := maxTrailer; trailerLeft > 0; trailerLeft -= len(line) + 2 {
		if line, err = c.readLine(); err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
	}
	return errBadChunk
}

// readLine reads a line, which must fit the buffer, and returns it without its line end.
func (c *chunkedReader) readLine() ([]byte, error) {
	line, err := c.in.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, errBadChunk
	case err != nil:
		return nil, unexpectedEOF(err)
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

// unexpectedEOF converts io.EOF, where more data is due, to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
