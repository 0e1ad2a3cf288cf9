package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"os"

	"spindlehitch/internal/datapath/targetlist"
)

const (
	targetsSuffix  = ".targets"
	targetsVersion = 1
	// maxTargetsBytes bounds what is read of a file with targets: a list of discovery has 4 MiB at most.
	maxTargetsBytes = 8 << 20
)

// errTargetsCorrupt means that a file with targets is not whole, or was written by a version that is not known.
var errTargetsCorrupt = errors.New("targets: truncated, corrupt or of an unknown version")

// handedTargets is the content of a file with targets. The origin is no part of a list's JSON, which is that of discovery.
type handedTargets struct {
	Origin string           `json:"origin"`
	List   *targetlist.List `json:"list"`
}

// ShareTargets has each younger process that joins find the list of targets that latest returns then; nil: there is none. It must be
// called before ShareRequestIDs.
func (g *Group) ShareTargets(latest func() *targetlist.List) { g.latestTargets = latest }

// publishTargets writes the current list of targets for a process that joins. Without a list, what was published before is removed.
func (g *Group) publishTargets() error {
	if g.latestTargets == nil {
		return nil
	}
	path := g.path(g.self.PID, targetsSuffix)
	list := g.latestTargets()
	if list == nil {
		os.Remove(path)
		return nil
	}
	body, err := json.Marshal(handedTargets{list.Origin, list})
	if err != nil {
		return err
	}
	text := fmt.Appendf(nil, "%d %08x\n", targetsVersion, crc32.ChecksumIEEE(body))
	if err := os.WriteFile(path+".next", append(text, body...), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// HandedTargets returns the list of targets of the youngest of the older processes that has published one; nil: none has. It has the lists of
// all that live once ShareRequestIDs has returned.
func (g *Group) HandedTargets() *targetlist.List {
	others, err := g.others()
	if err != nil {
		return nil
	}
	var newest *targetlist.List
	var from Member
	for _, m := range others {
		if m.StartedAt == 0 || m.StartedAt >= g.self.StartedAt || m.StartedAt < from.StartedAt {
			continue
		}
		list, err := readTargets(g.path(m.PID, targetsSuffix))
		switch {
		case err == nil:
			newest, from = list, m
		case !errors.Is(err, os.ErrNotExist):
			g.log.Warn("targets not handed over", slog.String("reason", "HANDOVER_FAILED"), slog.Any("error", err))
		}
	}
	return newest
}

// readTargets reads and checks a file with targets.
func readTargets(path string) (*targetlist.List, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var version int
	var checksum uint32
	text, err := io.ReadAll(io.LimitReader(f, maxTargetsBytes))
	if err != nil {
		return nil, err
	}
	headLen := len(fmt.Sprintf("%d %08x\n", targetsVersion, 0))
	if len(text) < headLen {
		return nil, errTargetsCorrupt
	}
	if _, err := fmt.Sscanf(string(text[:headLen]), "%d %x\n", &version, &checksum); err != nil || version != targetsVersion {
		return nil, errTargetsCorrupt
	}
	body := text[headLen:]
	if crc32.ChecksumIEEE(body) != checksum {
		return nil, errTargetsCorrupt
	}
	var handed handedTargets
	if err := json.Unmarshal(body, &handed); err != nil || handed.List == nil {
		return nil, errTargetsCorrupt
	}
	if err := handed.List.Check(); err != nil {
		return nil, err
	}
	handed.List.Origin = handed.Origin
	return handed.List, nil
}
