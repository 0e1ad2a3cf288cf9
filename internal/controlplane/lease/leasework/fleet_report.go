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

// Bounds of the report.
const (
	// KeptWindows is how many windows an instance keeps for the report: a window can be queried while it
	// is one of these.
	KeptWindows          = 4
	windowSettleDelay    = 2 * time.Second // wait after a window's end, since instances end windows by their own clocks
	maxConcurrentQueries = 16              // instances that are queried at a time
	maxSnapshotBytes     = 64 << 20        // size of one instance's accounts
)

// ReportState is the state of a report folder.
type ReportState struct {
	fencing.Guard
	Windows []ReportWindow `json:"windows"` // reports written, in order of time
}

// ReportWindow is the report of one window. Its file is complete, and it is the only one of its window.
type ReportWindow struct {
	Start     int64    `json:"start"` // Unix seconds
	WindowS   int64    `json:"window_s"`
	File      string   `json:"file"`
	Token     uint64   `json:"token"`
	Member    string   `json:"member"`    // the instance that wrote it
	Instances []string `json:"instances"` // instances whose accounts are included
	Missing   []string `json:"missing"`   // instances whose accounts are not, each with the reason
}

// Reports returns the reports that are listed in a report folder.
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
	Name   string        // of the instance
	Agents *agent.Client // gives the list of instances
	client http.Client
}

// Run implements Job. It writes the report of at most one window, the oldest that has ended and has no
// report.
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

// nextWindow returns the start of the oldest window that has ended, is still kept by the instances, and
// is later than all windows with a report. The wall clock only names windows; the fencing guard ensures
// that each is written at most once.
func nextWindow(windows []ReportWindow, window time.Duration, now time.Time) (start time.Time, due bool) {
	end := now.Add(-windowSettleDelay).Truncate(window)
	start = end.Add(-(KeptWindows - 1) * window)
	if n := len(windows); n > 0 {
		if next := time.Unix(windows[n-1].Start, 0).Add(window); next.After(start) {
			start = next
		}
	} else {
		start = end.Add(-window) // the first report
	}
	return start, !start.Add(window).After(end)
}

// writeReport queries all instances for a window and writes its report: first a complete file under a
// unique name, then one atomic change of the folder's state that makes it the window's report.
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
	report, metadata, err := mergeReport(snapshots, start, op.Task.Window(), &w)
	if err != nil {
		return err
	}
	if !op.MayProceed() {
		return errExpired
	}
	if err := writeReportFile(filepath.Join(dir, w.File), report, metadata); err != nil {
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
			return nil // an earlier attempt of this update has already added it
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

// queryInstances gets the accounts of all instances, a bounded number at a time, and records in w which of them
// delivered theirs.
func (r *FleetReport) queryInstances(ctx context.Context, members []allocator.MemberStatus, start time.Time, window time.Duration, w *ReportWindow) []accounts.Snapshot {
	var mu sync.Mutex // guards w and all
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

// mergeReport merges the instances' accounts into a report; metadata is written to the file with it.
func mergeReport(snapshots []accounts.Snapshot, start time.Time, window time.Duration, w *ReportWindow) (report accounts.Report, metadata map[string]string, err error) {
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
	metadata = map[string]string{"instances": strings.Join(w.Instances, ","), "window": start.UTC().Format(time.RFC3339),
		"token": fmt.Sprint(w.Token), "missing": string(missing)}
	return report, metadata, nil
}

// writeReportFile writes the report to a file and syncs it to disk.
func writeReportFile(path string, report accounts.Report, metadata map[string]string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	err = report.ParquetWithMetadata(f, metadata)
	failpoint.Hit("account.written")
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	failpoint.Hit("account.synced")
	return nil
}

// removeUnreferenced removes report files that no window refers to and that no operation can add any
// more, as their token is not newer than the given one.
func removeUnreferenced(dir string, s ReportState, token uint64) {
	referenced := map[string]bool{}
	for _, w := range s.Windows {
		referenced[w.File] = true
	}
	files, _ := filepath.Glob(filepath.Join(dir, "fleet-*.parquet"))
	for _, path := range files {
		var fileToken uint64
		name := filepath.Base(path)
		if _, after, found := strings.Cut(strings.TrimPrefix(name, "fleet-"), "-"); found {
			_, _ = fmt.Sscanf(after, "%d.parquet", &fileToken)
		}
		if !referenced[name] && fileToken > 0 && fileToken <= token {
			os.Remove(path)
		}
	}
}

// fetchSnapshot gets one instance's accounts of a window.
func (r *FleetReport) fetchSnapshot(ctx context.Context, m quota.Member, start time.Time, window time.Duration) (s accounts.Snapshot, err error) {
	if m.Accounts == "" {
		return s, errors.New("it keeps no accounts")
	}
	// Half of the time is reserved for writing the report, even if an instance does not answer.
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
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
		detail, _ := io.ReadAll(io.LimitReader(body, 200))
		return s, fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(detail)))
	}
	if err := json.NewDecoder(body).Decode(&s); err != nil {
		return s, err
	}
	return s, s.Validate()
}
