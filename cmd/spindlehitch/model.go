package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// modelCommand executes spindlehitch-model from this program's own folder, which keeps the fleet model out of the production binary.
func modelCommand() *cobra.Command {
	return &cobra.Command{Use: "model", Short: "A fleet in virtual time: experiments, plots, replays", DisableFlagParsing: true,
		RunE: func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			path := filepath.Join(filepath.Dir(self), "spindlehitch-model")
			err = syscall.Exec(path, append([]string{path}, args...), os.Environ())
			if errors.Is(err, os.ErrNotExist) {
				return fmt.Errorf("model: %s not found; run make build", path)
			}
			return fmt.Errorf("model: %w", err)
		}}
}
