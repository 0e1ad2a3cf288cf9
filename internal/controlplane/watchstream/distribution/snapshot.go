package distribution

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/renameio/v2"

	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/monotone"
)

// The snapshot is one file: a magic number, the length and the checksum (xxhash) of the body, and the body. It is replaced
// atomically, so that a start reads a complete earlier state, or none.
const (
	snapshotName     = "feed.copy"
	maxSnapshotBytes = 256 << 20 // bytes
)

// The body is CBOR, which takes a tenth of the time that JSON takes.
var (
	cborEncoder = must(cbor.EncOptions{}.EncMode())
	cborDecoder = must(cbor.DecOptions{MaxArrayElements: 1 << 18, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

// must returns m; the options are constants, so that an error is a mistake in the code.
func must[M any](m M, err error) M {
	if err != nil {
		panic(err)
	}
	return m
}

// snapshotMagic is how the file starts.
var snapshotMagic = [8]byte{'s', 'h', 'f', 'e', 'e', 'd', '0', '1'}

// errDamagedSnapshot says that a snapshot is not complete.
var errDamagedSnapshot = errors.New("the copy is torn")

// writeSnapshot replaces the snapshot under dir.
func writeSnapshot(dir string, body []byte) error {
	header := binary.BigEndian.AppendUint64(bytes.Clone(snapshotMagic[:]), uint64(len(body)))
	header = binary.BigEndian.AppendUint64(header, xxhash.Sum64(body))
	return renameio.WriteFile(filepath.Join(dir, snapshotName), append(header, body...), 0o600)
}

// readSnapshot returns the body of the snapshot under dir; nil if there is none. An incomplete one is
// errDamagedSnapshot.
func readSnapshot(dir string) ([]byte, error) {
	f, err := os.Open(filepath.Join(dir, snapshotName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var header [24]byte
	if _, err := io.ReadFull(f, header[:]); err != nil {
		return nil, fmt.Errorf("%w: %w", errDamagedSnapshot, err)
	}
	size, sum := binary.BigEndian.Uint64(header[8:]), binary.BigEndian.Uint64(header[16:])
	info, err := f.Stat()
	switch {
	case err != nil:
		return nil, err
	case !bytes.Equal(header[:8], snapshotMagic[:]):
		return nil, fmt.Errorf("%w: it does not begin as one", errDamagedSnapshot)
	case size > maxSnapshotBytes || info.Size() != int64(len(header))+int64(size):
		return nil, fmt.Errorf("%w: %d bytes, %d are told", errDamagedSnapshot, info.Size()-int64(len(header)), size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(f, body); err != nil {
		return nil, fmt.Errorf("%w: %w", errDamagedSnapshot, err)
	}
	if xxhash.Sum64(body) != sum {
		return nil, fmt.Errorf("%w: its checksum differs", errDamagedSnapshot)
	}
	return body, nil
}

// storedSnapshot is the body of the file.
type storedSnapshot struct {
	Generation uint64               `json:"turn"`
	Scope      watchstream.Scope    `json:"scope"` // with another scope, other layers are needed
	Snapshot   watchstream.Snapshot `json:"copy"`
}

// generationGap is more than the generations that a run can have between two snapshots.
const generationGap = 1 << 20

// loadSnapshot starts with the snapshot on disk. One that is damaged, or of another fleet or scope, is
// ignored: the follower starts empty.
func (f *Follower) loadSnapshot() {
	if f.opt.Dir == "" {
		return
	}
	if err := os.MkdirAll(f.opt.Dir, 0o700); err != nil {
		f.snapshotUnusable(err)
		return
	}
	body, err := readSnapshot(f.opt.Dir)
	if err != nil {
		f.snapshotUnusable(err)
		return
	}
	if body == nil {
		return
	}
	var s storedSnapshot
	if err = cborDecoder.Unmarshal(body, &s); err == nil {
		err = f.restoreSnapshot(&s)
	}
	if err != nil {
		f.snapshotUnusable(err)
		return
	}
}

// applySnapshot passes on what the snapshot had applied.
func (f *Follower) applySnapshot() {
	f.mu.Lock()
	watermark := f.replica.Consistent()
	records := append(f.replica.Records(watchstream.Targets), f.replica.Records(watchstream.Config)...)
	f.mu.Unlock()
	if watermark.Epoch == "" {
		return
	}
	f.log.Info("started from snapshot", slog.String("reason", "FEED_COPY"), slog.Int("records", len(records)), slog.Uint64("targets", watermark.Targets),
		slog.Uint64("config", watermark.Config))
	f.notify(Update{Records: records, Full: true, Position: watermark.Position}, watermark)
}

// restoreSnapshot takes over a snapshot, before Run.
func (f *Follower) restoreSnapshot(s *storedSnapshot) error {
	if s.Scope != f.replica.Scope() {
		return fmt.Errorf("the copy is for %+v, and this is %+v", s.Scope, f.replica.Scope())
	}
	generation := f.replica.Generation()
	if generation <= s.Generation {
		generation = s.Generation + generationGap // the machine's clock was set back
	}
	r := watchstream.NewReplica(f.opt.Fleet, f.replica.Scope(), generation, watchstream.Limits{})
	if err := r.Restore(s.Snapshot); err != nil {
		return err
	}
	f.replica = r
	return nil
}

// snapshotUnusable counts and logs a snapshot that is ignored.
func (f *Follower) snapshotUnusable(err error) {
	f.state.SnapshotsUnusable++
	f.log.Warn("snapshot ignored", slog.String("reason", "FEED_COPY_BAD"), slog.String("dir", f.opt.Dir), slog.Any("error", err))
}

// saveSnapshot replaces the snapshot if it is due, or at the end. A snapshot that lags in position
// alone stays usable for long: an empty delta brings it up to date.
func (f *Follower) saveSnapshot(final bool) {
	now := monotone.Now()
	due := f.recordsChanged && now >= f.nextSaveAt || f.positionChanged && now-f.lastSaveAt >= positionSaveInterval || final && (f.recordsChanged || f.positionChanged)
	if f.opt.Dir == "" || !due {
		return
	}
	f.mu.Lock()
	s := storedSnapshot{Generation: f.replica.Generation(), Scope: f.replica.Scope(), Snapshot: f.replica.Store().Snapshot()}
	f.mu.Unlock()
	body, err := cborEncoder.Marshal(&s)
	if err == nil {
		err = writeSnapshot(f.opt.Dir, body)
	}
	duration := monotone.Now() - now
	f.lastSaveAt, f.nextSaveAt = now, now+max(saveInterval, saveCostFactor*duration)
	if err != nil {
		f.log.Warn("snapshot not written", slog.String("reason", "FEED_COPY_FAILED"), slog.String("dir", f.opt.Dir), slog.Any("error", err))
		return
	}
	f.recordsChanged, f.positionChanged = false, false
	f.mu.Lock()
	f.state.SnapshotsSaved++
	f.mu.Unlock()
}
