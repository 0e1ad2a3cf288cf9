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
	var files, instances []string
	var since, until, volume, form, out, folder string
	var logs []string
	var least float64
	var shares bool
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Tell where the time of each volume's requests went, and what they waited behind",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if folder != "" {
				return fleetReports(cmd.OutOrStdout(), folder, form)
			}
			from, to, err := window(since, until)
			if err != nil {
				return err
			}
			var all []accounts.Snapshot
			for _, path := range files {
				some, skipped, err := disk.ReadAll(path, from, to)
				if err != nil {
					return fmt.Errorf("report: %w", err)
				}
				for _, err := range skipped {
					fmt.Fprintln(cmd.ErrOrStderr(), "skipped:", err)
				}
				all = append(all, some...)
			}
			for _, addr := range instances {
				s, err := ask(addr)
				if err != nil {
					return fmt.Errorf("report: instance %s: %w", addr, err)
				}
				all = append(all, s)
			}
			for _, path := range logs {
				s, err := sharesOf(path)
				if err != nil {
					return fmt.Errorf("report: %w", err)
				}
				all = append(all, s)
			}
			if len(all) > 0 && (shares || len(logs) > 0) {
				merged := accounts.MergeShares(all...)
				list, sum := merged.Shares(least)
				if form == "json" {
					return json.NewEncoder(cmd.OutOrStdout()).Encode(map[string]any{"shares": list, "all": sum})
				}
				return accounts.WriteShares(cmd.OutOrStdout(), list, sum)
			}
			if len(all) == 0 {
				return errors.New("report: no accounts in that window; name files or a folder by --from, instances by --instances")
			}
			merged, err := accounts.Merge(all...)
			if err != nil {
				return fmt.Errorf("report: %w", err)
			}
			r, err := accounts.NewReport(merged, volume)
			if err != nil {
				return fmt.Errorf("report: %w", err)
			}
			return write(cmd.OutOrStdout(), r, form, out)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&files, "from", nil, "files of accounts, or folders of them")
	f.StringSliceVar(&instances, "instances", nil, "addresses at which running instances tell theirs")
	f.BoolVar(&shares, "shares", false, "tell the served share of each class, plan and volume, the least served first")
	f.StringSliceVar(&logs, "logs", nil, "logs of instances with [accounts] log = true, or folders of them: their shares")
	f.Float64Var(&least, "least", 0.05, "of shares, only those with at least this part of all worth asked")
	f.StringVar(&folder, "fleet", "", "list the reports in the folder of the fleet's account, and nothing else")
	f.StringVar(&since, "since", "", "only files that go past this time (RFC 3339)")
	f.StringVar(&until, "until", "", "only files that begin before this time")
	f.StringVar(&volume, "volume", "", "only this volume")
	f.StringVar(&form, "format", "text", "text, json or parquet")
	f.StringVarP(&out, "output", "o", "", "a file to write to; parquet needs one")
	return cmd
}

func window(since, until string) (from, to time.Time, err error) {
	for _, x := range []struct {
		flag, text string
		into       *time.Time
	}{{"since", since, &from}, {"until", until, &to}} {
		if x.text == "" {
			continue
		}
		if *x.into, err = time.Parse(time.RFC3339, x.text); err != nil {
			return from, to, fmt.Errorf("report: --%s: %q is not a time such as 2026-12-01T18:00:00Z", x.flag, x.text)
		}
	}
	if !from.IsZero() && !to.IsZero() && !from.Before(to) {
		return from, to, errors.New("report: --since is not before --until")
	}
	return from, to, nil
}

// fleetReports lists the windows of the fleet's account.
func fleetReports(w io.Writer, dir, form string) error {
	all, err := leasework.Reports(dir)
	if err != nil {
		return fmt.Errorf("report: --fleet: %w", err)
	}
	if form == "json" {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(all)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "WINDOW\tLENGTH\tINSTANCES\tMISSING\tBY\tTOKEN\tFILE")
	for _, x := range all {
		missing := strings.Join(x.Missing, "; ")
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%d\t%s\n", time.Unix(x.Start, 0).UTC().Format(time.RFC3339), time.Duration(x.WindowS)*time.Second, len(x.Instances), missing, x.Member, x.Token, x.File)
	}
	return t.Flush()
}

const askWithin, mostAccounts = 5 * time.Second, 64 << 20

// ask has a running instance tell its accounts.
func ask(addr string) (s accounts.Snapshot, err error) {
	client := http.Client{Timeout: askWithin}
	resp, err := client.Get("http://" + addr + "/accounts")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.NewDecoder(io.LimitReader(resp.Body, mostAccounts)).Decode(&s); err != nil {
		return s, err
	}
	return s, s.Validate()
}

func write(w io.Writer, r accounts.Report, form, out string) (err error) {
	if form != "text" && form != "json" && form != "parquet" {
		return fmt.Errorf("report: --format: %q is none of text, json and parquet", form)
	}
	if form == "parquet" && out == "" {
		return errors.New("report: --format parquet needs --output")
	}
	if out != "" {
		f, err := os.Create(out)
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		defer func() { err = errors.Join(err, f.Close()) }()
		w = f
	}
	switch form {
	case "json":
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	case "parquet":
		return r.Parquet(w)
	}
	return r.Text(w)
}

// sharesOf reads the shares in a log, or in all files of a folder.
func sharesOf(path string) (accounts.Snapshot, error) {
	var all []accounts.Snapshot
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
		all = append(all, s)
		return nil
	})
	return accounts.MergeShares(all...), err
}
