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

// The copy is one file: a mark, the length and the checksum (xxhash) of what follows, and that. It is replaced as a whole, so that what
// is read at a start is what was once had, or nothing.
const (
	snapshotName     = "feed.copy"
	maxSnapshotBytes = 256 << 20 // bytes
)

// What follows is CBOR: a record takes a tenth of the time that it takes in JSON.
var (
	encode = must(cbor.EncOptions{}.EncMode())
	decode = must(cbor.DecOptions{MaxArrayElements: 1 << 18, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

func must[M any](m M, err error) M {
	if err != nil {
		panic(err) // by options that are constants
	}
	return m
}

var snapshotMagic = [8]byte{'s', 'h', 'f', 'e', 'e', 'd', '0', '1'}

// errDamagedSnapshot says that a copy on disk is not whole.
var errDamagedSnapshot = errors.New("the copy is torn")

// writeSnapshot replaces the copy under dir.
func writeSnapshot(dir string, text []byte) error {
	head := binary.BigEndian.AppendUint64(bytes.Clone(snapshotMagic[:]), uint64(len(text)))
	head = binary.BigEndian.AppendUint64(head, xxhash.Sum64(text))
	return renameio.WriteFile(filepath.Join(dir, snapshotName), append(head, text...), 0o600)
}

// readSnapshot returns the copy under dir; nil where there is none. A copy that is not whole is errTorn.
func readSnapshot(dir string) ([]byte, error) {
	f, err := os.Open(filepath.Join(dir, snapshotName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var head [24]byte
	if _, err := io.ReadFull(f, head[:]); err != nil {
		return nil, fmt.Errorf("%w: %w", errDamagedSnapshot, err)
	}
	size, sum := binary.BigEndian.Uint64(head[8:]), binary.BigEndian.Uint64(head[16:])
	info, err := f.Stat()
	switch {
	case err != nil:
		return nil, err
	case !bytes.Equal(head[:8], snapshotMagic[:]):
		return nil, fmt.Errorf("%w: it does not begin as one", errDamagedSnapshot)
	case size > maxSnapshotBytes || info.Size() != int64(len(head))+int64(size):
		return nil, fmt.Errorf("%w: %d bytes, %d are told", errDamagedSnapshot, info.Size()-int64(len(head)), size)
	}
	text := make([]byte, size)
	if _, err := io.ReadFull(f, text); err != nil {
		return nil, fmt.Errorf("%w: %w", errDamagedSnapshot, err)
	}
	if xxhash.Sum64(text) != sum {
		return nil, fmt.Errorf("%w: its checksum differs", errDamagedSnapshot)
	}
	return text, nil
}

// storedSnapshot is what the copy on disk holds.
type storedSnapshot struct {
	Generation uint64               `json:"turn"`
	Scope      watchstream.Scope    `json:"scope"` // another one is owed other layers
	Snapshot   watchstream.Snapshot `json:"copy"`
}

// generationGap are more than a life has between two copies on disk.
const generationGap = 1 << 20

// loadSnapshot begins with the copy on disk. One that is torn, of another fleet or of another scope is passed over: the follower starts from nothing.
func (f *Follower) loadSnapshot() {
	if f.opt.Dir == "" {
		return
	}
	if err := os.MkdirAll(f.opt.Dir, 0o700); err != nil {
		f.snapshotUnusable(err)
		return
	}
	text, err := readSnapshot(f.opt.Dir)
	if err != nil {
		f.snapshotUnusable(err)
		return
	}
	if text == nil {
		return
	}
	var k storedSnapshot
	if err = decode.Unmarshal(text, &k); err == nil {
		err = f.restoreSnapshot(&k)
	}
	if err != nil {
		f.snapshotUnusable(err)
		return
	}
}

// applySnapshot has what the copy on disk had applied.
func (f *Follower) applySnapshot() {
	f.mu.Lock()
	mark := f.replica.Consistent()
	records := append(f.replica.Records(watchstream.Targets), f.replica.Records(watchstream.Config)...)
	f.mu.Unlock()
	if mark.Epoch == "" {
		return
	}
	f.log.Info("feed copy", slog.String("reason", "FEED_COPY"), slog.Int("records", len(records)), slog.Uint64("targets", mark.Targets),
		slog.Uint64("config", mark.Config))
	f.notify(Update{Records: records, Full: true, Position: mark.Position}, mark)
}

// restoreSnapshot takes a copy, before there is anyone else.
func (f *Follower) restoreSnapshot(k *storedSnapshot) error {
	if k.Scope != f.replica.Scope() {
		return fmt.Errorf("the copy is for %+v, and this is %+v", k.Scope, f.replica.Scope())
	}
	turn := f.replica.Generation()
	if turn <= k.Generation {
		turn = k.Generation + generationGap // the machine's clock was set back
	}
	r := watchstream.NewReplica(f.opt.Fleet, f.replica.Scope(), turn, watchstream.Limits{})
	if err := r.Restore(k.Snapshot); err != nil {
		return err
	}
	f.replica = r
	return nil
}

func (f *Follower) snapshotUnusable(err error) {
	f.state.SnapshotsDamaged++
	f.log.Warn("feed copy passed over", slog.String("reason", "FEED_COPY_BAD"), slog.String("dir", f.opt.Dir), slog.Any("error", err))
}

// saveSnapshot replaces the copy on disk, now and then or at the end. One whose records are all there is good for long: what is behind in position
// alone is brought up by a delta of nothing.
func (f *Follower) saveSnapshot(last bool) {
	now := monotone.Now()
	due := f.recordsChanged && now >= f.nextSaveAt || f.positionChanged && now-f.lastSaveAt >= positionSaveInterval || last && (f.recordsChanged || f.positionChanged)
	if f.opt.Dir == "" || !due {
		return
	}
	f.mu.Lock()
	k := storedSnapshot{Generation: f.replica.Generation(), Scope: f.replica.Scope(), Snapshot: f.replica.Store().Snapshot()}
	f.mu.Unlock()
	text, err := encode.Marshal(&k)
	if err == nil {
		err = writeSnapshot(f.opt.Dir, text)
	}
	took := monotone.Now() - now
	f.lastSaveAt, f.nextSaveAt = now, now+max(saveInterval, saveCostFactor*took)
	if err != nil {
		f.log.Warn("feed copy not written", slog.String("reason", "FEED_COPY_FAILED"), slog.String("dir", f.opt.Dir), slog.Any("error", err))
		return
	}
	f.recordsChanged, f.positionChanged = false, false
	f.mu.Lock()
	f.state.SnapshotsSaved++
	f.mu.Unlock()
}
