package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/watchstream"
	"spindlehitch/internal/process/config"
)

// lastName is the file in the feed's folder with the configuration that was last in force.
const lastName = "config.last"

// errLeaving says that a configuration came while the instance leaves.
var errLeaving = errors.New("the instance leaves")

// FollowFeed serves what the feed says of this instance: what is shared, then its region's, its zone's and its own, each over the ones before
// (RFC 7396). A configuration that cannot be served is turned down, which the feed's tally hears, and the last one in force stays: also over
// a restart, since it is kept in the feed's folder.
func ServeFromFeed(stop context.Context, getenv func(string) string, operator string, log *slog.Logger) error {
	name := getenv("PROXY_NAME")
	if name == "" {
		return config.MissingField("PROXY_NAME")
	}
	if operator == "" {
		return config.MissingField("--operator")
	}
	f, err := config.ReadFeed(operator)
	if err != nil {
		return err
	}
	c := &layered{name: name, fleet: f.Fleet, dir: f.Dir, log: log}
	s, err := newStream(f, name, log, c.take)
	if err != nil {
		return err
	}
	// It is followed until the last instance has left: what drains meanwhile gets nothing more.
	follow := &loop{run: s.follower.Run}
	err = succession(stop, operator, log, s, func(watch context.Context, offers chan<- offer) {
		c.watch, c.offers = watch, offers
		c.last()
		_ = follow.Start(watch)
		<-watch.Done()
	})
	within, done := context.WithTimeout(context.Background(), 3*time.Second)
	defer done()
	return errors.Join(err, follow.Stop(within))
}

// layered is a configuration of layers, as the feed brings it.
type layered struct {
	name, fleet, dir string
	log              *slog.Logger
	watch            context.Context // until the instance leaves
	offers           chan<- offer
	inForce          []byte
}

// kept is what the file has.
type kept struct {
	Name    string          `json:"name"`
	Fleet   string          `json:"fleet"`
	Version uint64          `json:"version"`
	Config  json.RawMessage `json:"config"`
}

// take serves the layers; an error says why that cannot be, and what was in force is.
func (l *layered) take(records []watchstream.Record, version uint64) error {
	merged, err := watchstream.MergeLayers(records)
	if err == nil {
		merged, err = named(merged, l.name)
	}
	if err != nil {
		notTaken(l.log, slog.Uint64("version", version), slog.Any("error", err))
		return err
	}
	if bytes.Equal(merged, l.inForce) {
		return nil
	}
	if err := l.serve(merged, version); err != nil {
		return err
	}
	if l.dir == "" {
		return nil
	}
	text, err := json.Marshal(kept{l.name, l.fleet, version, merged})
	if err == nil {
		err = renameio.WriteFile(filepath.Join(l.dir, lastName), text, 0o600, renameio.WithTempDir(l.dir))
	}
	if err != nil {
		l.log.Warn("configuration not kept", slog.String("reason", "FEED_NOT_KEPT"), slog.Uint64("version", version), slog.Any("error", err))
	}
	return nil
}

// serve offers a configuration and waits for what becomes of it.
func (l *layered) serve(merged []byte, version uint64) error {
	answer := make(chan error, 1)
	select {
	case l.offers <- offer{agent.Entry{Name: l.name, Version: version, Config: merged}, answer}:
	case <-l.watch.Done():
		return errLeaving
	}
	err := <-answer
	if err == nil {
		l.inForce = bytes.Clone(merged)
	}
	return err
}

// last serves what was last in force, where the folder has it. What the feed says comes after it.
func (l *layered) last() {
	if l.dir == "" {
		return
	}
	text, err := os.ReadFile(filepath.Join(l.dir, lastName))
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var k kept
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	if err == nil && (k.Name != l.name || k.Fleet != l.fleet) {
		err = fmt.Errorf("it is that of %s in fleet %s", k.Name, k.Fleet)
	}
	if err != nil {
		l.log.Warn("configuration last in force not usable", slog.String("reason", "FEED_NOT_KEPT"), slog.Any("error", err))
		return
	}
	_ = l.serve(k.Config, k.Version) // which says itself why it can't be
}

// named has a configuration name its instance, where its layers do not.
func named(merged []byte, name string) ([]byte, error) {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(merged, &all); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if _, told := all["name"]; told || all == nil {
		return merged, nil // it is held against the instance's when it is served
	}
	all["name"], _ = json.Marshal(name)
	return json.Marshal(all)
}
