package front

import (
	"bytes"
	"errors"
	"slices"
	"strings"
)

const (
	// maxHeadBytes is the largest head of a request, as net/http counts it.
	maxHeadBytes = maxHeaderBytes + 4096
	// maxKeptFields is how many fields of a head are passed on.
	maxKeptFields = 64
	// maxTrailerBytes is how much of a chunked body's trailer is dropped. net/http rejects what is left of a longer one.
	maxTrailerBytes = 8 << 10
)

// errHeadTooLarge means that a head has more bytes than maxHeadBytes, or more fields that are used here than maxKeptFields.
var errHeadTooLarge = errors.New("head is too large")

// usedFields are the names of the fields that this server or net/http uses, in lower case.
var usedFields = map[string]bool{"host": true, "content-length": true, "transfer-encoding": true, "connection": true, "expect": true, "trailer": true, "upgrade": true,
	"request-id": true, "tier": true, "request-timeout-ms": true, "io-info": true, "idempotency-key": true}

// maxFieldName is the length of the longest of usedFields.
const maxFieldName = len("request-timeout-ms")

// section is the part of a request that the next byte from the client belongs to.
type section int

const (
	sectionHead   section = iota
	sectionReady          // the head is whole, and the handler has not said yet how the body is framed
	sectionSized          // a body of a known length
	sectionChunks         // a chunked body
)

// framing follows the boundaries of requests in the bytes of a connection, so that no read goes past the end of a head or a body, and drops the
// fields of heads and trailers that are not used. net/http keeps each field in a map, which takes up to a hundred times the bytes of a short one.
type framing struct {
	section   section
	head      headFilter
	remaining int64 // bytes left of a sized body
	chunks    chunkScan
}

// write appends to out those of the next bytes that are passed on, and returns how many were used: the others belong to the next section.
func (f *framing) write(b, out []byte) (used int, passed []byte, err error) {
	switch f.section {
	case sectionHead:
		used, out, err = f.head.write(b, out)
		if f.head.done {
			f.section = sectionReady
		}
		return used, out, err
	case sectionSized:
		used = int(min(int64(len(b)), f.remaining))
		if f.remaining -= int64(used); f.remaining == 0 {
			f.nextHead()
		}
		return used, append(out, b[:used]...), nil
	case sectionChunks:
		used, out = f.chunks.write(b, out)
		if f.chunks.state == chunksDone {
			f.nextHead()
		}
		return used, out, nil
	}
	return len(b), append(out, b...), nil
}

// atStart reports whether the next byte is the first of a request.
func (f *framing) atStart() bool { return f.section == sectionHead && f.head.size == 0 }

// beginBody sets how the body is framed whose head was passed on last: its length, or -1 for chunks.
func (f *framing) beginBody(length int64) {
	switch {
	case f.section != sectionReady:
	case length == 0:
		f.nextHead()
	case length < 0:
		f.section, f.chunks = sectionChunks, chunkScan{}
	default:
		f.section, f.remaining = sectionSized, length
	}
}

func (f *framing) nextHead() {
	f.section = sectionHead
	f.head.reset()
}

// headFilter passes on the request line and the used fields of a head. A line that net/http would reject is passed on, too.
type headFilter struct {
	line  lineState
	last  lineState // of the line before: lineKept or lineDropped
	name  []byte    // the start of a line, held back until it is known whether the line is passed on; at most maxFieldName+1 bytes
	size  int
	lines int // request line and fields so far
	kept  int // fields that were passed on
	done  bool
	sized bool // one of the fields is a Content-Length
}

type lineState int

const (
	lineName    lineState = iota // before the first colon
	lineKept                     // passed on
	lineDropped                  // not passed on
)

func (h *headFilter) reset() { *h = headFilter{name: h.name[:0]} }

// write scans the next bytes, up to the head's end.
func (h *headFilter) write(b, out []byte) (used int, passed []byte, err error) {
	for i, c := range b {
		if h.size++; h.size > maxHeadBytes || h.kept > maxKeptFields {
			return i, out, errHeadTooLarge
		}
		if out = h.writeByte(c, out); h.done {
			return i + 1, out, nil
		}
	}
	return len(b), out, nil
}

func (h *headFilter) writeByte(c byte, out []byte) []byte {
	switch {
	case h.line == lineName:
		return h.writeName(c, out)
	case h.line == lineKept:
		out = append(out, c)
	case c < ' ' && c != '\t' && c != '\r' && c != '\n' || c == 0x7f:
		out = append(out, c) // as the start of the next line, which net/http rejects as it would have rejected the value
	}
	if c == '\n' {
		h.last, h.line = h.line, lineName
	}
	return out
}

// writeName handles a byte of the request line's start, or of a field's name.
func (h *headFilter) writeName(c byte, out []byte) []byte {
	start := len(h.name) == 0
	switch {
	case c == '\n':
		h.done = h.lines > 0 && len(bytes.TrimSuffix(h.name, []byte{'\r'})) == 0 // empty lines before a request are not part of it
		out = append(append(out, h.name...), c)
		h.name = h.name[:0]
	case h.lines == 0 && c != '\r':
		out = h.beginLine(lineKept, c, out) // the request line
	case start && (c == ' ' || c == '\t') && h.lines > 1:
		return h.beginLine(h.last, c, out) // continues the line before
	case c == ':' && h.dropsName():
		h.lines++
		return h.beginLine(lineDropped, c, out)
	case c == ':' || !isNameByte(c):
		h.kept++
		h.sized = h.sized || strings.EqualFold(string(h.name), "Content-Length")
		out = h.beginLine(lineKept, c, out)
	case len(h.name) <= maxFieldName:
		h.name = append(h.name, c)
		return out
	default:
		return out
	}
	h.lines++
	return out
}

// beginLine decides on a line whose start was held back.
func (h *headFilter) beginLine(state lineState, c byte, out []byte) []byte {
	if state == lineKept {
		out = append(append(out, h.name...), c)
	}
	h.name, h.line = h.name[:0], state
	return out
}

// dropsName reports whether the field whose name is complete is valid and not used.
func (h *headFilter) dropsName() bool {
	return len(h.name) > 0 && !slices.Contains(h.name, '\r') && !usedFields[string(bytes.ToLower(h.name))]
}

// isNameByte reports whether a byte can be part of a field's name, or ends an empty line.
func isNameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || bytes.IndexByte([]byte("!#$%&'*+-.^_`|~\r"), c) >= 0
}

// chunkScan finds the end of a chunked body. On one that is malformed it passes on all that follows, and net/http rejects it.
type chunkScan struct {
	state     chunkState
	size      int64 // of the current chunk, or what is left of it
	digits    int
	lineBytes int // of the current trailer line, without its end
	lineCR    bool
	trailer   int // bytes of the trailer
}

type chunkState int

const (
	chunkSize      chunkState = iota
	chunkExtension            // up to the line's end
	chunkData
	chunkDataEnd // the line end after the data
	chunkTrailer
	chunksDone
	chunksMalformed
)

// maxChunkDigits is the most digits of a chunk's size, leading zeros included.
const maxChunkDigits = 16

// write scans the next bytes, up to the body's end.
func (s *chunkScan) write(b, out []byte) (used int, passed []byte) {
	for used < len(b) && s.state != chunksDone {
		if s.state == chunkData {
			n := int(min(int64(len(b)-used), s.size))
			out = append(out, b[used:used+n]...)
			used += n
			if s.size -= int64(n); s.size == 0 {
				s.state = chunkDataEnd
			}
			continue
		}
		out = s.writeByte(b[used], out)
		used++
	}
	return used, out
}

// writeByte scans a byte outside of the chunks' data.
func (s *chunkScan) writeByte(c byte, out []byte) []byte {
	switch s.state {
	case chunkSize:
		s.scanSize(c)
	case chunkExtension:
		if c == '\n' {
			s.endSize()
		}
	case chunkDataEnd:
		switch c {
		case '\r':
		case '\n':
			s.state, s.size, s.digits = chunkSize, 0, 0
		default:
			s.state = chunksMalformed
		}
	case chunkTrailer:
		return s.scanTrailer(c, out)
	}
	return append(out, c)
}

func (s *chunkScan) scanSize(c byte) {
	digit := bytes.IndexByte([]byte("0123456789abcdef"), c|0x20)
	switch {
	case c >= '0' && digit >= 0 && s.digits < maxChunkDigits:
		s.size = s.size<<4 | int64(digit)
		s.digits++
	case s.digits == 0 || s.size < 0:
		s.state = chunksMalformed
	case c == '\n':
		s.endSize()
	case c == ';' || c == ' ' || c == '\t' || c == '\r':
		s.state = chunkExtension
	default:
		s.state = chunksMalformed
	}
}

func (s *chunkScan) endSize() {
	switch {
	case s.size < 0:
		s.state = chunksMalformed
	case s.size == 0:
		s.state = chunkTrailer
	default:
		s.state = chunkData
	}
}

// scanTrailer drops the lines of the trailer but the empty one at its end.
func (s *chunkScan) scanTrailer(c byte, out []byte) []byte {
	if s.trailer++; s.trailer > maxTrailerBytes {
		s.state = chunksMalformed
		return append(out, c)
	}
	switch {
	case c == '\r':
		s.lineCR = true
		return out
	case c != '\n':
		s.lineBytes++
		return out
	case s.lineBytes > 0:
		s.lineBytes, s.lineCR = 0, false
		return out
	}
	s.state = chunksDone
	if s.lineCR {
		out = append(out, '\r')
	}
	return append(out, c)
}
