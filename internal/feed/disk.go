package feed

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
)

// The copy is one file: a mark, the length and the checksum (xxhash) of what follows, and that. It is replaced as a whole, so that what
// is read at a start is what was once had, or nothing.
const (
	copyName = "feed.copy"
	mostCopy = 256 << 20 // bytes
)

var copyMark = [8]byte{'s', 'h', 'f', 'e', 'e', 'd', '0', '1'}

// errTorn says that a copy on disk is not whole.
var errTorn = errors.New("the copy is torn")

// saveCopy replaces the copy under dir.
func saveCopy(dir string, text []byte) error {
	head := binary.BigEndian.AppendUint64(bytes.Clone(copyMark[:]), uint64(len(text)))
	head = binary.BigEndian.AppendUint64(head, xxhash.Sum64(text))
	return renameio.WriteFile(filepath.Join(dir, copyName), append(head, text...), 0o600)
}

// readCopy returns the copy under dir; nil where there is none. A copy that is not whole is errTorn.
func readCopy(dir string) ([]byte, error) {
	f, err := os.Open(filepath.Join(dir, copyName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var head [24]byte
	if _, err := io.ReadFull(f, head[:]); err != nil {
		return nil, fmt.Errorf("%w: %w", errTorn, err)
	}
	size, sum := binary.BigEndian.Uint64(head[8:]), binary.BigEndian.Uint64(head[16:])
	info, err := f.Stat()
	switch {
	case err != nil:
		return nil, err
	case !bytes.Equal(head[:8], copyMark[:]):
		return nil, fmt.Errorf("%w: it does not begin as one", errTorn)
	case size > mostCopy || info.Size() != int64(len(head))+int64(size):
		return nil, fmt.Errorf("%w: %d bytes, %d are told", errTorn, info.Size()-int64(len(head)), size)
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(f, text); err != nil {
		return nil, fmt.Errorf("%w: %w", errTorn, err)
	}
	if xxhash.Sum64(text) != sum {
		return nil, fmt.Errorf("%w: its checksum differs", errTorn)
	}
	return text, nil
}
