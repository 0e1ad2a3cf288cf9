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

// exitNotHeld is the exit code of a run of which a limit is not held, or was not measured: its last line says how many.
const exitNotHeld = 5

// runCommand is the scale run: the table of what was found, and as its last line how many limits are held.
func runCommand() *cobra.Command {
	var asJSON bool
	var plots, program, dir string
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
				return fmt.Errorf("--program: %w; make build makes it", err)
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			r, err := run.Run(ctx, spec, run.Options{Self: self, Program: program, Dir: dir, Log: cmd.ErrOrStderr()})
			if err != nil {
				return err
			}
			r.Cores = runtime.NumCPU()
			if plots != "" {
				if err := r.WritePlots(plots, "scale-"+spec.Name); err != nil {
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
					os.Exit(exitNotHeld)
				}
			}
			return nil
		}}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON in place of tables")
	cmd.Flags().StringVar(&plots, "plots", "", "draw into this folder")
	cmd.Flags().StringVar(&program, "program", "", "spindlehitch; the one beside this program where it is not told")
	cmd.Flags().StringVar(&dir, "dir", "", "keep logs and state in this folder")
	return cmd
}

// showCommand writes the tables of a run that was kept as JSON, and draws it.
func showCommand() *cobra.Command {
	var plots string
	cmd := &cobra.Command{Use: "show RESULT.json", Short: "Print the tables of a run that was kept by --json", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		var r run.Result
		if err := json.Unmarshal(text, &r); err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		if plots != "" {
			if err := r.WritePlots(plots, "scale-"+r.Name); err != nil {
				return err
			}
		}
		return r.WriteTable(cmd.OutOrStdout())
	}}
	cmd.Flags().StringVar(&plots, "plots", "", "draw into this folder")
	return cmd
}

// hostCommand is a process of hollow initiators, which a run starts.
func hostCommand() *cobra.Command {
	return &cobra.Command{Use: "host", Hidden: true, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		// An interrupt from the keyboard reaches all processes of the run: the one that gives the orders ends this one.
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
