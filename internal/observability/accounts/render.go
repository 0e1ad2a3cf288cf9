package accounts

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/parquet-go/parquet-go"
	"github.com/parquet-go/parquet-go/compress/zstd"
)

// Row is a volume's line in a report. Each field is a field of the JSON and a column of the Parquet file. Times are in seconds.
type Row struct {
	Volume     string  `json:"volume" parquet:"volume,dict"`
	Requests   uint64  `json:"requests" parquet:"requests"`
	P50        float64 `json:"p50_s" parquet:"p50_s"`
	P90        float64 `json:"p90_s" parquet:"p90_s"`
	P99        float64 `json:"p99_s" parquet:"p99_s"`
	BucketWait float64 `json:"bucket_s" parquet:"bucket_s"`
	LimitWait  float64 `json:"bound_s" parquet:"bound_s"`
	Connect    float64 `json:"connect_s" parquet:"connect_s"`
	AtTarget   float64 `json:"node_s" parquet:"node_s"`
	Stalled    float64 `json:"still_s" parquet:"still_s"`
	Reply      float64 `json:"reply_s" parquet:"reply_s"`
	Causes     []Cause `json:"causes" parquet:"causes,list"`
}

// Cause is what a volume waited behind, with the time attributed to it.
type Cause struct {
	Cause        string  `json:"cause" parquet:"cause,dict"`
	Stall        bool    `json:"stall" parquet:"stall"`
	Waited       float64 `json:"waited_s" parquet:"waited_s"`
	Overestimate float64 `json:"at_most_over_by_s" parquet:"at_most_over_by_s"`
}

// Report is a Snapshot prepared for output.
type Report struct {
	Instances []string      `json:"instances"`
	From      time.Time     `json:"from"`
	To        time.Time     `json:"to"`
	Volumes   []Row         `json:"volumes"`
	Targets   []TargetTimes `json:"nodes"`
	Dropped   Dropped       `json:"dropped"`
}

const maxCauses = 5 // causes of a volume that a report lists

// NewReport returns a report of all volumes, or of the one volume that is named.
func NewReport(s Snapshot, volume string) (Report, error) {
	r := Report{Instances: s.Instances, From: s.From, To: s.To, Targets: s.Targets, Dropped: s.Dropped, Volumes: []Row{}}
	causes := map[string][]Cause{}
	for _, b := range s.Attributions { // in the order of heaviestFirst
		if len(causes[b.Volume]) < maxCauses {
			causes[b.Volume] = append(causes[b.Volume], Cause{b.Cause, b.Stall, b.Waited.Seconds(), b.Overestimate.Seconds()})
		}
	}
	for i := range s.Volumes {
		v := &s.Volumes[i]
		if volume != "" && v.Volume != volume {
			continue
		}
		p, err := v.Percentiles(0.5, 0.9, 0.99)
		if err != nil {
			return r, err
		}
		t := v.Times
		r.Volumes = append(r.Volumes, Row{v.Volume, v.Requests, p[0].Seconds(), p[1].Seconds(), p[2].Seconds(), t[BucketWait].Seconds(),
			t[LimitWait].Seconds(), t[Connect].Seconds(), t[AtTarget].Seconds(), t[Stalled].Seconds(), t[Reply].Seconds(), causes[v.Volume]})
	}
	if volume != "" && len(r.Volumes) == 0 {
		return r, fmt.Errorf("volume %q has no account from %s to %s", volume, s.From.Format(time.RFC3339), s.To.Format(time.RFC3339))
	}
	return r, nil
}

// Text writes the report as a table with a line for each volume. Times are means per request in milliseconds.
func (r Report) Text(w io.Writer) error {
	fmt.Fprintf(w, "%s, %s to %s\n\n", strings.Join(r.Instances, ", "), r.From.Format(time.RFC3339), r.To.Format(time.RFC3339))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "volume\trequests\tp50\tp90\tp99\tbucket\tbound\tconnect\tnode\tstill\treply\t  waited behind\n")
	for _, v := range r.Volumes {
		var behind []string
		for _, c := range v.Causes {
			name := c.Cause
			switch {
			case c.Stall:
				name = "node " + c.Cause + " standing still"
			case c.Cause == v.Volume:
				name = "itself"
			}
			behind = append(behind, fmt.Sprintf("%s %.2f s", name, c.Waited))
		}
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\t%.0f\t", v.Volume, v.Requests, v.P50*1000, v.P90*1000, v.P99*1000)
		for _, x := range []float64{v.BucketWait, v.LimitWait, v.Connect, v.AtTarget, v.Stalled, v.Reply} {
			fmt.Fprintf(t, "%.1f\t", 1000*x/float64(max(v.Requests, 1)))
		}
		fmt.Fprintf(t, "  %s\n", strings.Join(behind, ", "))
	}
	if len(r.Targets) > 0 {
		fmt.Fprint(t, "\t\t\t\t\t\t\t\t\t\t\t\nnode\tanswers\tstalls\tstood still\t\t\t\t\t\t\t\t\n")
	}
	for _, n := range r.Targets {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.2f s\t\t\t\t\t\t\t\t\n", n.Target, n.Answers, n.Stalls, n.StalledFor.Seconds())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\nnot kept for want of room: %d volumes, %d requests\n", r.Dropped.Volumes, r.Dropped.Requests)
	return err
}

// Parquet writes the volumes as a Parquet file.
func (r Report) Parquet(w io.Writer) error { return r.ParquetWithMetadata(w, nil) }

// ParquetWithMetadata is Parquet with key-value metadata.
func (r Report) ParquetWithMetadata(w io.Writer, metadata map[string]string) error {
	options := []parquet.WriterOption{parquet.Compression(&zstd.Codec{})}
	for _, key := range slices.Sorted(maps.Keys(metadata)) {
		options = append(options, parquet.KeyValueMetadata(key, metadata[key]))
	}
	p := parquet.NewGenericWriter[Row](w, options...)
	if _, err := p.Write(r.Volumes); err != nil {
		return err
	}
	return p.Close()
}
