package instance

import (
	"log/slog"
	"os"

	"spindlehitch/internal/process/config"
)

// Load reads the platform's configuration and, if operator is the path of one, the operator's file.
func Load(getenv func(string) string, operator string) (*config.Config, *config.OperatorFile, error) {
	return loadFiles(config.Load, getenv, operator)
}

// loadFiles reads the configuration with load, and the operator's file.
func loadFiles(load func(func(string) string) (*config.Config, error), getenv func(string) string, operator string) (*config.Config, *config.OperatorFile, error) {
	cfg, err := load(getenv)
	if err != nil || operator == "" {
		return cfg, &config.OperatorFile{}, err
	}
	op, err := config.ReadOperatorFile(operator, cfg)
	return cfg, op, err
}

// ReloadOnSignal reads the configuration and the operator's file again at each signal (SIGHUP) and sends the address of
// discovery and the namespaces on the returned channel. With a change, certificateReloader also reads the certificate files
// again; everything else takes effect at the next start. An invalid configuration is logged and changes nothing. The
// goroutine ends when hup is closed; a change waits there until it is received. The returned channel is never closed.
func ReloadOnSignal(hup <-chan os.Signal, getenv func(string) string, discovery, operator string, log *slog.Logger) <-chan Change {
	changes := make(chan Change)
	go func() {
		for range hup {
			cfg, op, err := loadFiles(config.Reload, getenv, operator)
			if err != nil {
				logRejected(log, slog.Any("error", err))
				continue
			}
			log.Info("configuration taken", slog.String("discovery", cfg.Discovery))
			var c Change
			if cfg.Discovery != discovery {
				discovery = cfg.Discovery
				c.Discovery = discovery
			}
			if op.NVMe != nil {
				c.Namespaces = op.NVMe.Namespaces
			}
			if c.Discovery != "" || c.Namespaces != nil {
				changes <- c
			}
		}
	}()
	return changes
}

// logRejected logs a configuration that was rejected.
func logRejected(log *slog.Logger, attrs ...any) {
	log.Error("configuration not taken", append([]any{slog.String("reason", "BAD_CONFIG")}, attrs...)...)
}
