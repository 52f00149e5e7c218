package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// WriteJSON writes the report as an indented JSON document.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes the report as a table with one row per service and customer, followed by the reasons, the findings
// and the totals of the backend servers.
func (r *Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "service\tcustomer\tsent\tanswered\tfailed\trefused not run\tmay have run\tbroken\twrong\tlate\t"+
		"retries\tdoubled\tlost\tswapped\tfalse not-run\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, g := range r.Groups {
		writeRow(tw, g.Service, g.Customer, &g.Counts)
		_, _ = fmt.Fprintf(tw, "%.1f\t%.1f\t%.1f\t\n", g.P50Ms, g.P99Ms, g.P999Ms)
	}
	writeRow(tw, "total", "", &r.Totals)
	_, _ = fmt.Fprintln(tw, "\t\t\t")
	if err := tw.Flush(); err != nil {
		return err
	}
	return r.writeNotes(w)
}

func writeRow(w io.Writer, service, customer string, c *Counts) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", service, customer,
		c.Sent, c.Answered, c.Failed, c.NotRun, c.MayHaveRun, c.Broken, c.Wrong, c.Late,
		c.Retries, c.Doubled, c.Lost, c.Swapped, c.FalseNotRun)
}

func (r *Report) writeNotes(w io.Writer) error {
	reasons := make([]string, 0, len(r.Reasons))
	for reason := range r.Reasons {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		_, _ = fmt.Fprintf(w, "%6d × %s\n", r.Reasons[reason], reason)
	}
	if r.Delayed > 0 {
		_, _ = fmt.Fprintf(w, "%d requests were sent late because the maximum number of requests was in flight\n", r.Delayed)
	}
	for _, f := range r.Findings {
		_, _ = fmt.Fprintf(w, "%s: %s %s: %s\n", f.Kind, f.Service, f.ID, f.Detail)
	}
	_, err := fmt.Fprintf(w, "%.1f s; %d backend servers, %d runs; at most %d running requests and %d connections at one server\n",
		r.Seconds, r.Backends.Servers, r.Backends.Total, r.Backends.MaxRunning, r.Backends.MaxConnections)
	return err
}
