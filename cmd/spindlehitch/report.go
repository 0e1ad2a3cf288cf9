package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/spf13/cobra"

	"spindlehitch/internal/controlplane/lease/leasework"
	"spindlehitch/internal/observability/accounts"
	"spindlehitch/internal/observability/accounts/disk"
)

func reportCommand() *cobra.Command { //nolint:gocognit // to be split with its package, see docs/left.md
	var paths, instances []string
	var since, until, volume, format, outPath, fleetDir string
	var logPaths []string
	var minShare float64
	var showShares bool
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Tell where the time of each volume's requests went, and what they waited behind",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if fleetDir != "" {
				return writeFleetReports(cmd.OutOrStdout(), fleetDir, format)
			}
			from, to, err := parseWindow(since, until)
			if err != nil {
				return err
			}
			var snapshots []accounts.Snapshot
			for _, path := range paths {
				read, skipped, err := disk.ReadAll(path, from, to)
				if err != nil {
					return fmt.Errorf("report: %w", err)
				}
				for _, err := range skipped {
					fmt.Fprintln(cmd.ErrOrStderr(), "skipped:", err)
				}
				snapshots = append(snapshots, read...)
			}
			for _, addr := range instances {
				s, err := fetchSnapshot(addr)
				if err != nil {
					return fmt.Errorf("report: instance %s: %w", addr, err)
				}
				snapshots = append(snapshots, s)
			}
			for _, path := range logPaths {
				s, err := readShares(path)
				if err != nil {
					return fmt.Errorf("report: %w", err)
				}
				snapshots = append(snapshots, s)
			}
			if len(snapshots) > 0 && (showShares || len(logPaths) > 0) {
				merged := accounts.MergeShares(snapshots...)
				list, sum := merged.Shares(minShare)
				if format == "json" {
					return json.NewEncoder(cmd.OutOrStdout()).Encode(map[string]any{"shares": list, "all": sum})
				}
				return accounts.WriteShares(cmd.OutOrStdout(), list, sum)
			}
			if len(snapshots) == 0 {
				return errors.New("report: no accounts in that window; name files or a folder by --from, instances by --instances")
			}
			merged, err := accounts.Merge(snapshots...)
			if err != nil {
				return fmt.Errorf("report: %w", err)
			}
			r, err := accounts.NewReport(merged, volume)
			if err != nil {
				return fmt.Errorf("report: %w", err)
			}
			return writeReport(cmd.OutOrStdout(), r, format, outPath)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&paths, "from", nil, "files of accounts, or folders of them")
	f.StringSliceVar(&instances, "instances", nil, "addresses at which running instances tell theirs")
	f.BoolVar(&showShares, "shares", false, "tell the served share of each class, plan and volume, the least served first")
	f.StringSliceVar(&logPaths, "logs", nil, "logs of instances with [accounts] log = true, or folders of them: their shares")
	f.Float64Var(&minShare, "least", 0.05, "of shares, only those with at least this part of all worth asked")
	f.StringVar(&fleetDir, "fleet", "", "list the reports in the folder of the fleet's account, and nothing else")
	f.StringVar(&since, "since", "", "only files that go past this time (RFC 3339)")
	f.StringVar(&until, "until", "", "only files that begin before this time")
	f.StringVar(&volume, "volume", "", "only this volume")
	f.StringVar(&format, "format", "text", "text, json or parquet")
	f.StringVarP(&outPath, "output", "o", "", "a file to write to; parquet needs one")
	return cmd
}

func parseWindow(since, until string) (from, to time.Time, err error) {
	for _, x := range []struct {
		flag, text string
		dest       *time.Time
	}{{"since", since, &from}, {"until", until, &to}} {
		if x.text == "" {
			continue
		}
		if *x.dest, err = time.Parse(time.RFC3339, x.text); err != nil {
			return from, to, fmt.Errorf("report: --%s: %q is not a time such as 2026-12-01T18:00:00Z", x.flag, x.text)
		}
	}
	if !from.IsZero() && !to.IsZero() && !from.Before(to) {
		return from, to, errors.New("report: --since is not before --until")
	}
	return from, to, nil
}

// writeFleetReports lists the reports of the fleet accounting task, one per window.
func writeFleetReports(out io.Writer, dir, format string) error {
	reports, err := leasework.Reports(dir)
	if err != nil {
		return fmt.Errorf("report: --fleet: %w", err)
	}
	if format == "json" {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(reports)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "WINDOW\tLENGTH\tINSTANCES\tMISSING\tBY\tTOKEN\tFILE")
	for _, x := range reports {
		missing := strings.Join(x.Missing, "; ")
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%d\t%s\n", time.Unix(x.Start, 0).UTC().Format(time.RFC3339), time.Duration(x.WindowS)*time.Second, len(x.Instances), missing, x.Member, x.Token, x.File)
	}
	return w.Flush()
}

const fetchTimeout, maxSnapshotBytes = 5 * time.Second, 64 << 20

// fetchSnapshot requests the accounts of a running instance.
func fetchSnapshot(addr string) (s accounts.Snapshot, err error) {
	client := http.Client{Timeout: fetchTimeout}
	resp, err := client.Get("http://" + addr + "/accounts")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.NewDecoder(io.LimitReader(resp.Body, maxSnapshotBytes)).Decode(&s); err != nil {
		return s, err
	}
	return s, s.Validate()
}

func writeReport(w io.Writer, r accounts.Report, format, outPath string) (err error) {
	if format != "text" && format != "json" && format != "parquet" {
		return fmt.Errorf("report: --format: %q is not text, json or parquet", format)
	}
	if format == "parquet" && outPath == "" {
		return errors.New("report: --format parquet needs --output")
	}
	if outPath != "" {
		f, err := os.Create(outPath)
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		defer func() { err = errors.Join(err, f.Close()) }()
		w = f
	}
	switch format {
	case "json":
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	case "parquet":
		return r.Parquet(w)
	}
	return r.Text(w)
}

// readShares reads the served shares from a log file, or from all files in a folder, and merges them.
func readShares(path string) (accounts.Snapshot, error) {
	var snapshots []accounts.Snapshot
	err := filepath.WalkDir(path, func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		s, err := accounts.ReadShares(f)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		snapshots = append(snapshots, s)
		return nil
	})
	return accounts.MergeShares(snapshots...), err
}
