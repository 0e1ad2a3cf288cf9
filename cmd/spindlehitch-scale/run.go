package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"

	"github.com/spf13/cobra"

	"spindlehitch/internal/testbed/scale/run"
	"spindlehitch/internal/testbed/scale/slope"
)

// exitLimitNotHeld is the exit code of a run that exceeded a limit or did not measure it; the last line of its output has the count.
const exitLimitNotHeld = 5

// runCommand runs a scale run and prints its results as tables; the last line has the number of limits that were held.
func runCommand() *cobra.Command {
	var asJSON bool
	var plotDir, program, dir string
	cmd := &cobra.Command{Use: "run [short|full|wide|burst|before|FILE.toml]", Short: "Run hollow and real initiators under changes and faults", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			spec, err := run.Read(append(args, "short")[0])
			if err != nil {
				return err
			}
			table, err := slope.Load()
			if err != nil {
				return err
			}
			if err := run.CheckMemory(spec, table); err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			if program == "" {
				program = filepath.Join(filepath.Dir(self), "spindlehitch")
			}
			if _, err := os.Stat(program); err != nil {
				return fmt.Errorf("--program: %w; run make build", err)
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			r, err := run.Run(ctx, spec, run.Options{Self: self, Program: program, Dir: dir, Log: cmd.ErrOrStderr()})
			if err != nil {
				return err
			}
			r.Cores = runtime.NumCPU()
			if plotDir != "" {
				if err := r.WritePlots(plotDir, "scale-"+spec.Name); err != nil {
					return err
				}
			}
			if asJSON {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", "  ")
				if err := e.Encode(r); err != nil {
					return err
				}
				fmt.Fprintln(cmd.ErrOrStderr(), r.Verdict())
			} else if err := r.WriteTable(cmd.OutOrStdout()); err != nil {
				return err
			}
			for _, c := range r.Checks {
				if !c.Held() {
					os.Exit(exitLimitNotHeld)
				}
			}
			return nil
		}}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON in place of tables")
	cmd.Flags().StringVar(&plotDir, "plots", "", "draw into this folder")
	cmd.Flags().StringVar(&program, "program", "", "spindlehitch; the one beside this program where it is not told")
	cmd.Flags().StringVar(&dir, "dir", "", "keep logs and state in this folder")
	return cmd
}

// showCommand prints the tables of a run saved as JSON, and optionally its plots.
func showCommand() *cobra.Command {
	var plotDir string
	cmd := &cobra.Command{Use: "show RESULT.json", Short: "Print the tables of a run that was kept by --json", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		data, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		var r run.Result
		if err := json.Unmarshal(data, &r); err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		if plotDir != "" {
			if err := r.WritePlots(plotDir, "scale-"+r.Name); err != nil {
				return err
			}
		}
		return r.WriteTable(cmd.OutOrStdout())
	}}
	cmd.Flags().StringVar(&plotDir, "plots", "", "draw into this folder")
	return cmd
}

// hostCommand is the hidden command with which a run starts a process of hollow initiators.
func hostCommand() *cobra.Command {
	return &cobra.Command{Use: "host", Hidden: true, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		// An interrupt from the keyboard reaches every process of the run; the controlling process stops this one in order.
		signal.Ignore(os.Interrupt)
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		go func() {
			<-ctx.Done()
			os.Stdin.Close()
		}()
		return run.ServeHost(ctx, os.Stdin, os.Stdout)
	}}
}
