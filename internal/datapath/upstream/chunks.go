package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// chunks reads a body in chunks. The standard library's reader waits until all of a buffer is filled, which holds back
// for a quarter of a second what a slow target has long written; this one brings what is there.
type chunks struct {
	in   *bufio.Reader
	left int64 // of the chunk under way
	end  bool  // the end of a chunk's line is due
	err  error
}

// maxTrailer is how much may come behind the last chunk.
const maxTrailer = 8 << 10

var errChunk = errors.New("chunk cannot be read")

// Read implements io.Reader. It waits only while there is not a byte.
func (c *chunks) Read(b []byte) (int, error) {
	for c.err == nil && c.left == 0 {
		c.err = c.next()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.in.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	c.end = c.left == 0
	c.err = early(err)
	return n, c.err
}

// next reads up to the next chunk's data; io.EOF after the last one and its trailer.
func (c *chunks) next() error {
	if c.end {
		if line, err := c.line(); err != nil || len(line) > 0 {
			return errors.Join(errChunk, err)
		}
		c.end = false
	}
	line, err := c.line()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte{';'})
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 31)
	if err != nil {
		return errChunk
	}
	if c.left = int64(n); n > 0 {
		return nil
	}
	for most := maxTrailer; most > 0; most -= len(line) + 2 {
		if line, err = c.line(); err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
	}
	return errChunk
}

// line reads one line, which has to fit the buffer, without its end.
func (c *chunks) line() ([]byte, error) {
	line, err := c.in.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, errChunk
	case err != nil:
		return nil, early(err)
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

// early is an end that comes where more was due.
func early(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
