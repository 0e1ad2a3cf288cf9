package main

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"
	"github.com/spf13/cobra"

	"spindlehitch/internal/observability/accounts"
)

func topCommand() *cobra.Command {
	var instances []string
	var every time.Duration
	cmd := &cobra.Command{
		Use:   "top",
		Short: "Show live which volumes wait, and behind what",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(instances) == 0 {
				return errors.New("top: --instances names none")
			}
			_, err := tea.NewProgram(top{instances: instances, every: max(every, 100*time.Millisecond), height: 24},
				tea.WithInput(cmd.InOrStdin()), tea.WithOutput(cmd.OutOrStdout()), tea.WithContext(cmd.Context())).Run()
			return err
		},
	}
	cmd.Flags().StringSliceVar(&instances, "instances", nil, "addresses at which running instances tell their accounts")
	cmd.Flags().DurationVar(&every, "every", time.Second, "how often they are asked")
	return cmd
}

// top is the state of the screen.
type top struct {
	instances []string
	every     time.Duration
	height    int
	order     int // by which of orders
	report    accounts.Report
	failed    []string // instances that did not answer
}

// orders are by what volumes may be listed, the most first.
var orders = []struct {
	name string
	of   func(accounts.Row) float64
}{
	{"waiting", func(r accounts.Row) float64 { return r.LimitWait }},
	{"p99", func(r accounts.Row) float64 { return r.P99 }},
	{"requests", func(r accounts.Row) float64 { return float64(r.Requests) }},
	{"still nodes", func(r accounts.Row) float64 { return r.Stalled }},
}

// news is what the instances told.
type news struct {
	report accounts.Report
	failed []string
}

// look asks the instances and makes one report of those that answer.
func (t top) look() tea.Msg {
	var n news
	var all []accounts.Snapshot
	for _, addr := range t.instances {
		s, err := ask(addr)
		if err != nil {
			n.failed = append(n.failed, fmt.Sprintf("%s: %v", addr, err))
			continue
		}
		all = append(all, s)
	}
	merged, err := accounts.Merge(all...)
	if err == nil {
		n.report, err = accounts.NewReport(merged, "")
	}
	if err != nil {
		n.failed = append(n.failed, err.Error())
	}
	return n
}

func (t top) Init() tea.Cmd { return t.look }

func (t top) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	switch m := m.(type) {
	case news:
		t.report, t.failed = m.report, m.failed
		return t, tea.Tick(t.every, func(time.Time) tea.Msg { return t.look() })
	case tea.WindowSizeMsg:
		t.height = m.Height
	case tea.KeyPressMsg:
		switch m.String() {
		case "q", "ctrl+c", "esc":
			return t, tea.Quit
		case "o", "space":
			t.order = (t.order + 1) % len(orders)
		}
	}
	return t, nil
}

func (t top) View() tea.View {
	v := tea.NewView(t.screen())
	v.AltScreen = true
	return v
}

// screen is the text shown: as many volumes as there is room for, ordered, and what did not answer.
func (t top) screen() string {
	var b strings.Builder
	r, by := t.report, orders[t.order]
	rows := slices.Clone(r.Volumes)
	slices.SortStableFunc(rows, func(x, y accounts.Row) int { return cmp.Compare(by.of(y), by.of(x)) })
	const around = 8 // lines beside the volumes'
	hidden := max(0, len(rows)-max(1, t.height-around-len(t.failed)))
	r.Volumes = rows[:len(rows)-hidden]
	fmt.Fprintf(&b, "volumes by %s (o: other order, q: quit)\n", by.name)
	if len(r.Instances) > 0 {
		r.Targets = nil
		if err := r.Text(&b); err != nil {
			fmt.Fprintln(&b, err)
		}
	}
	if hidden > 0 {
		fmt.Fprintf(&b, "%d volumes more\n", hidden)
	}
	for _, f := range t.failed {
		fmt.Fprintf(&b, "no answer: %s\n", f)
	}
	return b.String()
}
