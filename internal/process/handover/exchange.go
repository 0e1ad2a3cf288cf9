package handover

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"sync"
	"time"

	"spindlehitch/internal/datapath/requestid"
)

const (
	// joinTimeout is how long a process that starts waits until the older ones tell it their request IDs. One that does not in that
	// time is hung, and the upgrade goes on without it.
	joinTimeout = 2 * time.Second
	// joinPollInterval is how often a process that waits looks for that.
	joinPollInterval = 5 * time.Millisecond
)

// idExchange has the live processes of a group tell each other the IDs of their requests. While a process is alone it publishes nothing.
// The mutex guards own, sharing and peers.
type idExchange struct {
	group    *Group
	registry *requestid.Registry
	mu       sync.Mutex
	own      *journalWriter
	sharing  bool
	peers    map[int64]*journalReader // by start time

	logOnce sync.Once
}

// ShareRequestIDs has this process and the others of the group tell each other the IDs of their requests from now on, until Close. It
// returns once the other processes that can do so read the IDs of this one, and it knows theirs, so that this process may accept
// requests; a process that does not answer is waited for joinTimeout at most.
func (g *Group) ShareRequestIDs(ctx context.Context, registry *requestid.Registry) error {
	own, err := createJournal(g.path(g.self.PID, journalSuffix))
	if err != nil {
		return err
	}
	x := &idExchange{group: g, registry: registry, own: own, peers: map[int64]*journalReader{}}
	registry.OnFailure(x.logFailure)
	g.exchange.Store(x)
	for until := time.Now().Add(joinTimeout); ; {
		others, err := g.others()
		if err != nil {
			return err
		}
		waiting := x.sync(others)
		if waiting == 0 || ctx.Err() != nil {
			return nil
		}
		if !time.Now().Before(until) {
			g.log.Warn("request ids not shared", slog.String("reason", "HANDOVER_FAILED"), slog.Int("processes", waiting))
			return nil
		}
		time.Sleep(joinPollInterval)
	}
}

// sync follows the processes that have joined, and no longer those that have ended. It returns how many of the older processes have a
// journal and do not read this process's yet.
func (x *idExchange) sync(others []Member) (waiting int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.dropEnded(others)
	if len(others) == 0 {
		x.sharing = false
		x.registry.StopSharing()
		return 0
	}
	if !x.sharing && !x.startSharing() {
		return 0
	}
	var followed []int64
	for _, m := range others {
		joins := x.peers[m.StartedAt] == nil && m.StartedAt > x.group.self.StartedAt
		following, err := x.follow(m)
		if joins && following { // before it is told that its journal is read, for which it waits
			err = x.group.publishTargets()
		}
		switch {
		case errors.Is(err, fs.ErrNotExist): // an older version of the program, or one that has yet to begin
		case err != nil:
			x.logFailure(err)
		case following:
			followed = append(followed, m.StartedAt)
		default:
			waiting++
		}
	}
	if err := x.own.writeReaders(followed); err != nil {
		x.logFailure(err)
	}
	return waiting
}

// startSharing publishes this process's IDs, in a new journal if the present one has records of an earlier upgrade.
func (x *idExchange) startSharing() bool {
	if x.own.length > 0 {
		own, err := createJournal(x.group.path(x.group.self.PID, journalSuffix))
		if err != nil {
			x.logFailure(err)
			return false
		}
		x.own.close()
		x.own = own
	}
	if err := x.registry.Share(x.own); err != nil {
		x.logFailure(err)
		return false
	}
	x.sharing = true
	return true
}

// follow has the registry follow a process's journal, if it does not yet. That of an older process is followed once that process reads
// this one's: it may replace its journal until then.
func (x *idExchange) follow(m Member) (following bool, err error) {
	if x.peers[m.StartedAt] != nil {
		return true, nil
	}
	if m.StartedAt == 0 {
		return false, fs.ErrNotExist // its state file can't be read
	}
	r, err := openJournal(x.group.path(m.PID, journalSuffix))
	if err != nil {
		return false, err
	}
	if m.StartedAt < x.group.self.StartedAt {
		if reads, err := r.readBy(x.group.self.StartedAt); !reads || err != nil {
			r.close()
			return false, err
		}
	}
	x.peers[m.StartedAt] = r
	x.registry.Follow(r, time.Now())
	return true, nil
}

// dropEnded ends following processes that have ended.
func (x *idExchange) dropEnded(others []Member) {
	for startedAt := range x.peers {
		alive := false
		for _, m := range others {
			alive = alive || m.StartedAt == startedAt
		}
		if !alive {
			x.unfollow(startedAt)
		}
	}
}

func (x *idExchange) unfollow(startedAt int64) {
	r := x.peers[startedAt]
	delete(x.peers, startedAt)
	x.registry.Unfollow(r, time.Now())
	r.close()
}

// close ends the exchange. The other processes keep what they have read.
func (x *idExchange) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.registry.StopSharing()
	x.dropEnded(nil)
	x.own.close()
}

// logFailure logs the first failure only.
func (x *idExchange) logFailure(err error) {
	x.logOnce.Do(func() {
		x.group.log.Warn("request ids not shared", slog.String("reason", "HANDOVER_FAILED"), slog.Any("error", err))
	})
}
