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
	"spindlehitch/internal/process/monotonic"
)

// The snapshot is one file: a magic number, the length and the checksum (xxhash) of the body, and the body. It is replaced
// atomically, so that a starting follower reads a complete earlier state or none.
const (
	snapshotName     = "feed.copy"
	maxSnapshotBytes = 256 << 20 // of the body
)

// The body is encoded as CBOR, which takes a tenth of the time of JSON.
var (
	cborEncoder = must(cbor.EncOptions{}.EncMode())
	cborDecoder = must(cbor.DecOptions{MaxArrayElements: 1 << 18, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

// must returns m. It panics on an error, which with constant options is a bug.
func must[M any](m M, err error) M {
	if err != nil {
		panic(err)
	}
	return m
}

// snapshotMagic are the first bytes of the file.
var snapshotMagic = [8]byte{'s', 'h', 'f', 'e', 'e', 'd', '0', '1'}

// errDamagedSnapshot reports a snapshot file that is incomplete or altered.
var errDamagedSnapshot = errors.New("snapshot file is damaged")

// writeSnapshot replaces the snapshot under dir.
func writeSnapshot(dir string, body []byte) error {
	header := binary.BigEndian.AppendUint64(bytes.Clone(snapshotMagic[:]), uint64(len(body)))
	header = binary.BigEndian.AppendUint64(header, xxhash.Sum64(body))
	return renameio.WriteFile(filepath.Join(dir, snapshotName), append(header, body...), 0o600)
}

// readSnapshot returns the body of the snapshot under dir; nil if there is none. For a damaged one the
// error wraps errDamagedSnapshot.
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
		return nil, fmt.Errorf("%w: magic number is missing", errDamagedSnapshot)
	case size > maxSnapshotBytes || info.Size() != int64(len(header))+int64(size):
		return nil, fmt.Errorf("%w: body has %d bytes, header says %d", errDamagedSnapshot, info.Size()-int64(len(header)), size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(f, body); err != nil {
		return nil, fmt.Errorf("%w: %w", errDamagedSnapshot, err)
	}
	if xxhash.Sum64(body) != sum {
		return nil, fmt.Errorf("%w: checksum mismatch", errDamagedSnapshot)
	}
	return body, nil
}

// storedSnapshot is the body of the file.
type storedSnapshot struct {
	Generation uint64               `json:"turn"`
	Scope      watchstream.Scope    `json:"scope"` // a snapshot of another scope has other layers and is not used
	Snapshot   watchstream.Snapshot `json:"copy"`
}

// generationGap exceeds the number of generations that a run can go through between two snapshots.
const generationGap = 1 << 20

// loadSnapshot restores the replica from the snapshot on disk. A snapshot that is damaged, or of another
// fleet or scope, is ignored, and the follower starts empty.
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

// applySnapshot calls OnChange with all records of the snapshot, if one was restored.
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

// restoreSnapshot replaces the replica by one with the snapshot's state. It must be called before Run.
func (f *Follower) restoreSnapshot(s *storedSnapshot) error {
	if s.Scope != f.replica.Scope() {
		return fmt.Errorf("the snapshot is for %+v, the follower is %+v", s.Scope, f.replica.Scope())
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

// saveSnapshot writes the snapshot if it is due, or if final is set and anything has changed. It is written
// less often if only the position has changed, since an empty delta then brings an old one up to date.
func (f *Follower) saveSnapshot(final bool) {
	now := monotonic.Now()
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
	duration := monotonic.Now() - now
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
