package leasework

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"spindlehitch/internal/controlplane/agent"
	"spindlehitch/internal/controlplane/lease/casfile"
	"spindlehitch/internal/controlplane/lease/fencing"
	"spindlehitch/internal/controlplane/quota"
	"spindlehitch/internal/controlplane/quota/allocator"
	"spindlehitch/internal/observability/accounts"
	"spindlehitch/internal/process/failpoint"
)

// Constants of the report.
const (
	// KeptWindows is how many windows an instance keeps for the report: a window is asked for
	// while it is one of these.
	KeptWindows          = 4
	windowSettleDelay    = 2 * time.Second // after a window's end, since instances cut windows by their own clocks
	maxConcurrentQueries = 16              // instances that are queried at a time
	maxSnapshotBytes     = 64 << 20        // of one instance's accounts
)

// ReportState is the state of a report folder.
type ReportState struct {
	fencing.Guard
	Windows []ReportWindow `json:"windows"` // written, in order of time
}

// ReportWindow is one report. Its file is complete, and no other report of that window is written.
type ReportWindow struct {
	Start     int64    `json:"start"` // Unix seconds
	WindowS   int64    `json:"window_s"`
	File      string   `json:"file"`
	Token     uint64   `json:"token"`
	Member    string   `json:"member"`    // the instance that wrote it
	Instances []string `json:"instances"` // that delivered their accounts
	Missing   []string `json:"missing"`   // that could not be asked, each with the reason
}

// Reports returns the reports of a folder.
func Reports(dir string) ([]ReportWindow, error) {
	s, n, err := casfile.Read[ReportState](dir)
	if err == nil && n == 0 {
		err = fmt.Errorf("%s: no report was ever written there", dir)
	}
	return s.Windows, err
}

// FleetReport collects the latency accounts of all instances by window and writes one report for the
// fleet.
type FleetReport struct {
	Name   string // of the instance
	Agents *agent.Client
	client http.Client
}

// Run implements Job: it writes at most one window, the oldest that is over and not written.
func (r *FleetReport) Run(ctx context.Context, op *Operation) error {
	dir := op.Task.Dir
	state, err := casfile.Update(dir, func(s *ReportState) error { return s.Begin(op.Token, op.Number) })
	if err != nil {
		return err
	}
	failpoint.Hit("account.begun")
	if start, due := nextWindow(state.Windows, op.Task.Window(), time.Now()); due {
		if err := r.writeReport(ctx, op, dir, start); err != nil {
			return err
		}
	}
	_, err = casfile.Update(dir, func(s *ReportState) error { return s.End(op.Token, op.Number) })
	return err
}

// nextWindow returns the start of the oldest window that is over, still kept by the instances, and
// later than all that were written. The wall clock only names windows; the fencing guard ensures that
// each is written at most once.
func nextWindow(written []ReportWindow, window time.Duration, now time.Time) (start time.Time, due bool) {
	end := now.Add(-windowSettleDelay).Truncate(window)
	start = end.Add(-(KeptWindows - 1) * window)
	if n := len(written); n > 0 {
		if after := time.Unix(written[n-1].Start, 0).Add(window); after.After(start) {
			start = after
		}
	} else {
		start = end.Add(-window) // the first report
	}
	return start, !start.Add(window).After(end)
}

// writeReport queries all instances for a window and writes its report: first a complete file under a
// name of its own, then one atomic step that makes it the window's report.
func (r *FleetReport) writeReport(ctx context.Context, op *Operation, dir string, start time.Time) error {
	v, err := r.Agents.Fleet(ctx)
	if err != nil {
		return fmt.Errorf("members: %w", err)
	}
	w := ReportWindow{Start: start.Unix(), WindowS: op.Task.WindowS, Token: op.Token, Member: r.Name, Instances: []string{}, Missing: []string{}}
	snapshots := r.queryInstances(ctx, v.Members, start, op.Task.Window(), &w)
	failpoint.Hit("account.asked")
	if ctx.Err() != nil {
		return errExpired
	}
	w.File = fmt.Sprintf("fleet-%s-%d.parquet", start.UTC().Format("20060102T150405Z"), op.Token)
	report, about, err := mergeReport(snapshots, start, op.Task.Window(), &w)
	if err != nil {
		return err
	}
	if !op.MayProceed() {
		return errExpired
	}
	if err := writeReportFile(filepath.Join(dir, w.File), report, about); err != nil {
		return err
	}
	if !op.MayProceed() {
		return errExpired
	}
	state, err := casfile.Update(dir, func(s *ReportState) error {
		if err := s.CheckChange(op.Token, op.Number); err != nil {
			return err
		}
		if n := len(s.Windows); n > 0 && s.Windows[n-1].Start >= w.Start {
			return nil // made by this operation; its answer was lost
		}
		s.Windows = append(s.Windows, w)
		s.Windows = s.Windows[max(0, len(s.Windows)-op.Task.KeepReports):]
		return nil
	})
	if err != nil {
		return err
	}
	failpoint.Hit("account.committed")
	removeUnreferenced(dir, state, op.Token)
	return nil
}

// queryInstances gets the accounts of all instances, a bounded number at a time, and records in w which delivered them.
func (r *FleetReport) queryInstances(ctx context.Context, members []allocator.MemberStatus, start time.Time, window time.Duration, w *ReportWindow) []accounts.Snapshot {
	var mu sync.Mutex
	var all []accounts.Snapshot
	var queries sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, m := range members {
		queries.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			s, err := r.fetchSnapshot(ctx, m.Member, start, window)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				w.Missing = append(w.Missing, fmt.Sprintf("%s: %v", m.Name, err))
				return
			}
			w.Instances = append(w.Instances, m.Name)
			all = append(all, s)
		})
	}
	queries.Wait()
	slices.Sort(w.Instances)
	slices.Sort(w.Missing)
	return all
}

// mergeReport merges the instances' accounts; about goes into the file's metadata.
func mergeReport(snapshots []accounts.Snapshot, start time.Time, window time.Duration, w *ReportWindow) (report accounts.Report, about map[string]string, err error) {
	merged, err := accounts.Merge(snapshots...)
	if err != nil {
		return report, nil, err
	}
	if len(snapshots) == 0 {
		merged.From, merged.To = start, start.Add(window)
	}
	if report, err = accounts.NewReport(merged, ""); err != nil {
		return report, nil, err
	}
	missing, err := json.Marshal(w.Missing)
	if err != nil {
		return report, nil, err
	}
	about = map[string]string{"instances": strings.Join(w.Instances, ","), "window": start.UTC().Format(time.RFC3339),
		"token": fmt.Sprint(w.Token), "missing": string(missing)}
	return report, about, nil
}

// writeReportFile writes the file and has it on the medium when it returns.
func writeReportFile(path string, report accounts.Report, about map[string]string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	err = report.ParquetWithMetadata(f, about)
	failpoint.Hit("account.written")
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	failpoint.Hit("account.synced")
	return nil
}

// removeUnreferenced removes files that no window refers to and that no operation can refer to any
// more.
func removeUnreferenced(dir string, s ReportState, token uint64) {
	has := map[string]bool{}
	for _, w := range s.Windows {
		has[w.File] = true
	}
	files, _ := filepath.Glob(filepath.Join(dir, "fleet-*.parquet"))
	for _, path := range files {
		var of uint64
		name := filepath.Base(path)
		if _, after, found := strings.Cut(strings.TrimPrefix(name, "fleet-"), "-"); found {
			_, _ = fmt.Sscanf(after, "%d.parquet", &of)
		}
		if !has[name] && of > 0 && of <= token {
			os.Remove(path)
		}
	}
}

// fetchSnapshot gets one instance's accounts of a window.
func (r *FleetReport) fetchSnapshot(ctx context.Context, m quota.Member, start time.Time, window time.Duration) (s accounts.Snapshot, err error) {
	if m.Accounts == "" {
		return s, errors.New("it keeps no accounts")
	}
	// An instance that does not answer must leave time for the report.
	if end, bounded := ctx.Deadline(); bounded {
		var done context.CancelFunc
		ctx, done = context.WithTimeout(ctx, time.Until(end)/2)
		defer done()
	}
	url := fmt.Sprintf("http://%s/accounts?window=%d&window_s=%d", m.Accounts, start.Unix(), int64(window.Seconds()))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return s, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return s, errors.Unwrap(err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxSnapshotBytes)
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(body, 200))
		return s, fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	}
	if err := json.NewDecoder(body).Decode(&s); err != nil {
		return s, err
	}
	return s, s.Validate()
}
