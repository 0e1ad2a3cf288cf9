package instance

import (
	"log/slog"
	"os"

	"spindlehitch/internal/process/config"
)

// Load reads the platform's configuration and, where one is named, the operator's file.
func Load(getenv func(string) string, operator string) (*config.Config, *config.OperatorFile, error) {
	return read(config.Load, getenv, operator)
}

func read(load func(func(string) string) (*config.Config, error), getenv func(string) string, operator string) (*config.Config, *config.OperatorFile, error) {
	cfg, err := load(getenv)
	if err != nil || operator == "" {
		return cfg, &config.OperatorFile{}, err
	}
	op, err := config.ReadOperatorFile(operator, cfg)
	return cfg, op, err
}

// Reloads reads the configuration and the operator's file again at each SIGHUP and passes on where discovery is and which
// namespaces there are from then on; the rest of them waits for the next start. What cannot be served changes nothing.
func ReloadOnSignal(hup <-chan os.Signal, getenv func(string) string, discovery, operator string, log *slog.Logger) <-chan Change {
	changes := make(chan Change)
	go func() {
		for range hup {
			cfg, op, err := read(config.Reload, getenv, operator)
			if err != nil {
				notTaken(log, slog.Any("error", err))
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

// notTaken logs a configuration that cannot be served and changes nothing.
func notTaken(log *slog.Logger, about ...any) {
	log.Error("configuration not taken", append([]any{slog.String("reason", "BAD_CONFIG")}, about...)...)
}
