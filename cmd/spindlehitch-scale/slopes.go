package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spindlehitch/internal/testbed/scale/slope"
)

// slopesCommand measures the slopes of docs/CAPACITY.md.
func slopesCommand() *cobra.Command { //nolint:gocognit // to be split with its package, see docs/left.md
	var asJSON, write, short, afterFix bool
	var root string
	cmd := &cobra.Command{Use: "slopes [NAME...]", Short: "Measure what each role costs by size", RunE: func(cmd *cobra.Command, names []string) error {
		if short && write {
			return errors.New("--write cannot be used with --short: the table takes full measurements only")
		}
		probes, err := slope.FindProbes(names)
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		table, err := slope.Load()
		if write { // the file may be newer than the table built into this program
			table, err = readTable(root)
		}
		if err != nil {
			return err
		}
		measured := &slope.Table{Size: table.Size, Limits: table.Limits}
		for _, p := range probes {
			var slopes []slope.Slope
			if short {
				slopes, err = slope.MeasureShort(ctx, p, time.Now())
			} else {
				slopes, err = slope.Measure(ctx, p, p.Sizes, time.Now())
			}
			if err != nil {
				return err
			}
			for _, s := range slopes {
				if afterFix {
					table.SetBefore(s.Name)
				}
				measured.Set(s)
				table.Set(s)
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: %.0f s\n", p.Metrics[0].Name, slopes[0].DurationSeconds)
		}
		if write {
			if err := table.Check(); err != nil {
				return fmt.Errorf("table not written: %w", err)
			}
			text, err := table.Text()
			if err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(root, slope.File), text, 0o644); err != nil {
				return err
			}
		}
		if asJSON {
			text, err := measured.Text()
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(text)
			return err
		}
		return printSlopes(cmd.OutOrStdout(), measured.Slopes)
	}}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON in place of a table")
	cmd.Flags().BoolVar(&write, "write", false, "put what was measured into the repository's table")
	cmd.Flags().BoolVar(&short, "short", false, "small sizes, for a check")
	cmd.Flags().BoolVar(&afterFix, "mended", false, "keep the figures so far as those from before what they measure was mended")
	cmd.Flags().StringVar(&root, "root", ".", "the repository")
	return cmd
}

// pageCommand regenerates the tables of docs/CAPACITY.md from the table of slopes.
func pageCommand() *cobra.Command {
	var root string
	cmd := &cobra.Command{Use: "page", Short: "Write the tables of " + slope.PageFile, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		table, err := readTable(root)
		if err != nil {
			return err
		}
		path := filepath.Join(root, slope.PageFile)
		old, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		page, err := table.Page(old)
		if err != nil {
			return err
		}
		return os.WriteFile(path, page, 0o644)
	}}
	cmd.Flags().StringVar(&root, "root", ".", "the repository")
	return cmd
}

func readTable(root string) (*slope.Table, error) {
	text, err := os.ReadFile(filepath.Join(root, slope.File))
	if err != nil {
		return nil, err
	}
	return slope.Read(slope.File, text)
}

func printSlopes(out io.Writer, slopes []slope.Slope) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SLOPE\tVALUE\tERROR\tUNIT\tPER\tBASE\tRANGE\tLARGEST FORETOLD, OFF BY\tOF")
	for _, s := range slopes {
		per := s.Per
		if s.Power == 2 {
			per += " squared"
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.2g\t%s\t%s\t%.4g\t%g to %g\t%+.0f%%\t%s\n", s.Name, s.Value, s.StdError, s.Unit, per, s.Base, s.MinSize, s.MaxSize, 100*s.PredictionError, s.Subject)
	}
	return w.Flush()
}
