// Package disk keeps snapshots of the accounts in files: versioned, checksummed, never half written under their name.
package disk

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"spindlehitch/internal/observability/accounts"
)

// A file is the magic, a version byte, the length and CRC-32C of what follows, and that: JSON, compressed by gzip.
const (
	magic   = "SPHACCT"
	version = 1
	headLen = len(magic) + 1 + 8 + 4
	most    = 64 << 20 // bytes of one file, and of what is in it
	suffix  = ".accounts"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors of files that are not used.
var (
	ErrNotAccounts = errors.New("not a file of accounts")
	ErrVersion     = errors.New("of another version")
	ErrTruncated   = errors.New("cut short")
	ErrCorrupt     = errors.New("damaged")
)

// Write puts a snapshot into the folder, under a name by its time, and drops the oldest past so many.
func Write(dir string, s accounts.Snapshot, keep int) (err error) {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	var body bytes.Buffer
	z := gzip.NewWriter(&body)
	if _, err := z.Write(text); err != nil {
		return err
	}
	if err := z.Close(); err != nil {
		return err
	}
	b := append([]byte(magic), version)
	b = binary.LittleEndian.AppendUint64(b, uint64(body.Len()))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(body.Bytes(), castagnoli))
	b = append(b, body.Bytes()...)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	// Under a name that no reader looks at, until it is on the medium whole.
	f, err := os.CreateTemp(dir, "writing-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.Remove(f.Name())
		}
	}()
	_, err = f.Write(b)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%020d%s", strings.Join(s.Instances, "+"), s.To.UnixNano(), suffix)
	if err = os.Rename(f.Name(), filepath.Join(dir, name)); err != nil {
		return err
	}
	if d, derr := os.Open(dir); derr == nil {
		_ = d.Sync()
		d.Close()
	}
	return drop(dir, keep)
}

// drop removes the oldest files past so many, and what a process that was killed left half written.
func drop(dir string, keep int) error {
	names, err := list(dir)
	if err != nil {
		return err
	}
	var errs []error
	for len(names) > max(keep, 1) {
		errs = append(errs, os.Remove(names[0]))
		names = names[1:]
	}
	left, _ := filepath.Glob(filepath.Join(dir, "writing-*"))
	for _, name := range left {
		if i, err := os.Stat(name); err == nil && time.Since(i.ModTime()) > time.Minute {
			errs = append(errs, os.Remove(name))
		}
	}
	return errors.Join(errs...)
}

// list has the folder's files, the oldest first.
func list(dir string) ([]string, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*"+suffix))
	stamp := func(name string) string { return name[max(0, len(name)-20-len(suffix)):] }
	slices.SortFunc(names, func(a, b string) int { return strings.Compare(stamp(a), stamp(b)) })
	return names, err
}

// Read reads one file. What is wrong with it is one of the errors above.
func Read(path string) (accounts.Snapshot, error) {
	var s accounts.Snapshot
	bad := func(err error) (accounts.Snapshot, error) {
		return accounts.Snapshot{}, fmt.Errorf("%s: %w", path, err)
	}
	f, err := os.Open(path)
	if err != nil {
		return s, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, most))
	switch {
	case err != nil:
		return bad(err)
	case !strings.HasPrefix(string(b), magic[:min(len(magic), len(b))]) || len(b) == 0:
		return bad(ErrNotAccounts)
	case len(b) < headLen:
		return bad(ErrTruncated)
	case b[len(magic)] != version:
		return bad(fmt.Errorf("%w: %d, this program reads %d", ErrVersion, b[len(magic)], version))
	}
	length, sum := binary.LittleEndian.Uint64(b[len(magic)+1:]), binary.LittleEndian.Uint32(b[len(magic)+9:])
	body := b[headLen:]
	switch {
	case uint64(len(body)) < length:
		return bad(ErrTruncated)
	case uint64(len(body)) > length, crc32.Checksum(body, castagnoli) != sum:
		return bad(ErrCorrupt)
	}
	z, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return bad(fmt.Errorf("%w: %w", ErrCorrupt, err))
	}
	if err := json.NewDecoder(io.LimitReader(z, most)).Decode(&s); err != nil {
		return bad(fmt.Errorf("%w: %w", ErrCorrupt, err))
	}
	if err := s.Validate(); err != nil {
		return bad(fmt.Errorf("%w: %w", ErrCorrupt, err))
	}
	return s, nil
}

// ReadAll reads a file, or a folder's files that touch the window; what cannot be used is named and skipped.
func ReadAll(path string, from, to time.Time) (all []accounts.Snapshot, skipped []error, err error) {
	names := []string{path}
	if i, err := os.Stat(path); err != nil {
		return nil, nil, err
	} else if i.IsDir() {
		if names, err = list(path); err != nil {
			return nil, nil, err
		}
	}
	for _, name := range names {
		s, err := Read(name)
		switch {
		case err != nil:
			skipped = append(skipped, err)
		case (to.IsZero() || s.From.Before(to)) && (from.IsZero() || s.To.After(from)):
			all = append(all, s)
		}
	}
	return all, skipped, nil
}
