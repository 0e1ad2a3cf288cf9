package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"sync"

	"spindlehitch/internal/datapath/requestid"
)

// A journal is a file in which one process appends records for the others to read. It has a header of 8-byte words in little-endian
// order (the format, the number of records appended so far, and the start times of the processes whose journals its owner reads) and
// a ring of the last records. The owner writes a record before the number that covers it, and readers only read.
const (
	journalFormat      = 0x316c6e6a646e6873 // "shndjnl1"
	wordBytes          = 8
	lengthOffset       = wordBytes
	readersOffset      = 2 * wordBytes
	ringOffset         = 4096
	journalSuffix      = ".ids"
	maxJournalRecords  = 4 * requestid.MaxExecuted // a ring of 2 MB holds all that a process publishes when it begins to share
	readRecordsAtATime = 8192
)

var (
	errJournalFormat = errors.New("journal of an unknown format")
	errJournalLost   = errors.New("journal: records were overwritten before they were read")
)

// journalWriter is the owner's side of a journal.
type journalWriter struct {
	file   *os.File
	length uint64
}

// createJournal creates an empty journal. It replaces an earlier one of the same name, which its readers keep reading.
func createJournal(path string) (*journalWriter, error) {
	next := path + ".next"
	if err := os.Remove(next); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	f, err := os.OpenFile(next, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	header := make([]byte, ringOffset)
	binary.LittleEndian.PutUint64(header, journalFormat)
	_, err = f.WriteAt(header, 0)
	if err == nil {
		err = os.Rename(next, path)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return &journalWriter{file: f}, nil
}

// Append implements requestid.Publisher.
func (j *journalWriter) Append(records ...requestid.Record) error {
	for len(records) > 0 {
		at := j.length % maxJournalRecords
		n := min(len(records), int(maxJournalRecords-at))
		words := make([]byte, 0, n*wordBytes)
		for _, r := range records[:n] {
			words = binary.LittleEndian.AppendUint64(words, uint64(r))
		}
		if _, err := j.file.WriteAt(words, ringOffset+int64(at)*wordBytes); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
		if err := j.writeWord(lengthOffset, j.length+uint64(n)); err != nil {
			return err
		}
		j.length += uint64(n)
		records = records[n:]
	}
	return nil
}

// writeReaders publishes the start times of the processes whose journals the owner reads.
func (j *journalWriter) writeReaders(startTimes []int64) error {
	words := make([]byte, 0, (maxMembers+1)*wordBytes)
	for _, at := range startTimes[:min(len(startTimes), maxMembers)] {
		words = binary.LittleEndian.AppendUint64(words, uint64(at))
	}
	words = binary.LittleEndian.AppendUint64(words, 0)
	if _, err := j.file.WriteAt(words, readersOffset); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

func (j *journalWriter) writeWord(offset int64, word uint64) error {
	if _, err := j.file.WriteAt(binary.LittleEndian.AppendUint64(nil, word), offset); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

func (j *journalWriter) close() { j.file.Close() }

// journalReader reads another process's journal. The mutex guards next and records.
type journalReader struct {
	file    *os.File
	mu      sync.Mutex
	next    uint64 // the first record that was not read
	records []requestid.Record
}

// openJournal opens another process's journal, from its oldest record on.
func openJournal(path string) (*journalReader, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	r := &journalReader{file: f}
	format, err := r.readWord(0)
	if err == nil && format != journalFormat {
		err = errJournalFormat
	}
	var length uint64
	if err == nil {
		length, err = r.readWord(lengthOffset)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	if length > maxJournalRecords {
		r.next = length - maxJournalRecords
	}
	return r, nil
}

// Next implements requestid.Source. After errJournalLost it goes on with the records appended from then on.
func (r *journalReader) Next() ([]requestid.Record, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	length, err := r.readWord(lengthOffset)
	if err != nil || length == r.next {
		return nil, err
	}
	r.records = r.records[:0]
	first := r.next
	buf := make([]byte, min(length-r.next, readRecordsAtATime)*wordBytes)
	for r.next < length {
		at := r.next % maxJournalRecords
		n := min(length-r.next, readRecordsAtATime, maxJournalRecords-at)
		if _, err := r.file.ReadAt(buf[:n*wordBytes], ringOffset+int64(at)*wordBytes); err != nil {
			return nil, fmt.Errorf("journal: %w", err)
		}
		for i := range n {
			r.records = append(r.records, requestid.Record(binary.LittleEndian.Uint64(buf[i*wordBytes:])))
		}
		r.next += n
	}
	if length, err = r.readWord(lengthOffset); err == nil && length-first > maxJournalRecords {
		r.next, err = length, errJournalLost
	}
	if err != nil {
		return nil, err
	}
	return r.records, nil
}

// readBy reports whether the journal's owner reads the journal of the process that started at this time.
func (r *journalReader) readBy(startedAt int64) (bool, error) {
	for i := range int64(maxMembers) {
		at, err := r.readWord(readersOffset + i*wordBytes)
		if err != nil || at == 0 {
			return false, err
		}
		if int64(at) == startedAt {
			return true, nil
		}
	}
	return false, nil
}

func (r *journalReader) readWord(offset int64) (uint64, error) {
	var word [wordBytes]byte
	if _, err := r.file.ReadAt(word[:], offset); err != nil {
		return 0, fmt.Errorf("journal: %w", err)
	}
	return binary.LittleEndian.Uint64(word[:]), nil
}

func (r *journalReader) close() { r.file.Close() }
