package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// modelCommand hands over to the program beside this one: what serves has nothing of it linked in.
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
				return fmt.Errorf("model: %s is not there; make build makes it", path)
			}
			return fmt.Errorf("model: %w", err)
		}}
}
