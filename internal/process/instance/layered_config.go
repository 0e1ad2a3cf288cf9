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

// lastConfigFile is the name of the file in the feed's folder that stores the configuration that was last in force.
const lastConfigFile = "config.last"

// errStopping rejects a configuration that arrives while the instance stops.
var errStopping = errors.New("the instance is stopping")

// ServeFromFeed runs an instance with the configuration that the feed has for it: the shared layer, then those of its region, its zone and
// the instance itself, each merged over the ones before (RFC 7396). A configuration that can't be served is rejected, which is reported to
// the feed, and the last one stays in force, even after a restart, since it is stored in the feed's folder.
func ServeFromFeed(ctx context.Context, getenv func(string) string, operator string, log *slog.Logger) error {
	name := getenv("PROXY_NAME")
	if name == "" {
		return config.MissingField("PROXY_NAME")
	}
	if operator == "" {
		return config.MissingField("--operator")
	}
	feed, err := config.ReadFeed(operator)
	if err != nil {
		return err
	}
	layers := &layeredConfig{name: name, fleet: feed.Fleet, dir: feed.Dir, log: log}
	stream, err := newFeedStream(feed, name, log, layers.applyLayers)
	if err != nil {
		return err
	}
	// The feed is followed until the last generation has ended: targets that start to drain in the meantime get no more requests.
	followLoop := &loop{run: stream.follower.Run}
	err = serveGenerations(ctx, operator, log, stream, func(sourceCtx context.Context, offers chan<- configOffer) {
		layers.sourceCtx, layers.offers = sourceCtx, offers
		layers.restoreLast()
		_ = followLoop.Start(sourceCtx)
		<-sourceCtx.Done()
	})
	stopCtx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return errors.Join(err, followLoop.Stop(stopCtx))
}

// layeredConfig merges the configuration layers that the feed delivers, and offers the result to the instance.
type layeredConfig struct {
	name, fleet, dir string
	log              *slog.Logger
	sourceCtx        context.Context // ends when the instance stops
	offers           chan<- configOffer
	applied          []byte
}

// storedConfig is the content of lastConfigFile.
type storedConfig struct {
	Name    string          `json:"name"`
	Fleet   string          `json:"fleet"`
	Version uint64          `json:"version"`
	Config  json.RawMessage `json:"config"`
}

// applyLayers merges the layers and puts the result in force. After an error, the previous configuration stays in force.
func (l *layeredConfig) applyLayers(records []watchstream.Record, version uint64) error {
	merged, err := watchstream.MergeLayers(records)
	if err == nil {
		merged, err = withInstanceName(merged, l.name)
	}
	if err != nil {
		logRejected(l.log, slog.Uint64("version", version), slog.Any("error", err))
		return err
	}
	if bytes.Equal(merged, l.applied) {
		return nil
	}
	if err := l.offerConfig(merged, version); err != nil {
		return err
	}
	if l.dir == "" {
		return nil
	}
	text, err := json.Marshal(storedConfig{l.name, l.fleet, version, merged})
	if err == nil {
		err = renameio.WriteFile(filepath.Join(l.dir, lastConfigFile), text, 0o600, renameio.WithTempDir(l.dir))
	}
	if err != nil {
		l.log.Warn("configuration not kept", slog.String("reason", "FEED_NOT_KEPT"), slog.Uint64("version", version), slog.Any("error", err))
	}
	return nil
}

// offerConfig offers a configuration and waits until it is in force or rejected.
func (l *layeredConfig) offerConfig(merged []byte, version uint64) error {
	result := make(chan error, 1)
	select {
	case l.offers <- configOffer{agent.Entry{Name: l.name, Version: version, Config: merged}, result}:
	case <-l.sourceCtx.Done():
		return errStopping
	}
	err := <-result
	if err == nil {
		l.applied = bytes.Clone(merged)
	}
	return err
}

// restoreLast offers the stored configuration, if there is one, before the feed is followed.
func (l *layeredConfig) restoreLast() {
	if l.dir == "" {
		return
	}
	text, err := os.ReadFile(filepath.Join(l.dir, lastConfigFile))
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	var stored storedConfig
	if err == nil {
		err = json.Unmarshal(text, &stored)
	}
	if err == nil && (stored.Name != l.name || stored.Fleet != l.fleet) {
		err = fmt.Errorf("it belongs to instance %s of fleet %s", stored.Name, stored.Fleet)
	}
	if err != nil {
		l.log.Warn("configuration last in force not usable", slog.String("reason", "FEED_NOT_KEPT"), slog.Any("error", err))
		return
	}
	_ = l.offerConfig(stored.Config, stored.Version) // serveGenerations logs a rejection
}

// withInstanceName adds the instance's name to a configuration whose layers don't name one.
func withInstanceName(merged []byte, name string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(merged, &fields); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if _, hasName := fields["name"]; hasName || fields == nil {
		return merged, nil // parseEntry compares it with the instance's
	}
	fields["name"], _ = json.Marshal(name)
	return json.Marshal(fields)
}
