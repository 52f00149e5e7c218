package flood

import (
	"bytes"
	"fmt"
	"io"
)

// WriteMarkdown writes the figures as Markdown tables.
func (r *Report) WriteMarkdown(w io.Writer) error {
	var b bytes.Buffer
	b.WriteString("### Targets\n\n| Figure (Weighted) | Measured | Target | Met |\n|---|---:|---|---|\n")
	for _, c := range r.Checks() {
		fmt.Fprintf(&b, "| %s | %.3f | %s | %s |\n", c.Name, c.Measured, c.Target, yesNo(c.OK))
	}
	r.writeShares(&b)
	r.writeRows(&b)
	r.writeSummaries(&b)
	_, err := w.Write(b.Bytes())
	return err
}

func yesNo(ok bool) string {
	if ok {
		return "yes"
	}
	return "**no**"
}

func (r *Report) writeShares(b *bytes.Buffer) {
	if len(r.Shares) == 0 {
		return
	}
	b.WriteString("\n### Part of the answers while all customers are saturated\n\n| Policy |")
	for _, c := range Customers() {
		fmt.Fprintf(b, " %s (share %.2f) |", c.Name, shareFraction(c.Name))
	}
	b.WriteString("\n|---|---:|---:|---:|\n")
	for _, p := range Policies() {
		if r.Shares[p.Name] == nil {
			continue
		}
		fmt.Fprintf(b, "| %s |", p.Name)
		for _, c := range Customers() {
			fmt.Fprintf(b, " %.3f |", r.Shares[p.Name][c.Name])
		}
		b.WriteString("\n")
	}
}

func (r *Report) writeRows(b *bytes.Buffer) {
	b.WriteString("\n### Work at the flooded service during the flood\n\n" +
		"| Scenario | Policy | Customer | Demand | Kept | Without flood | Covered | Kept/without | Kept/covered | " +
		"p50 ms | p99 ms | p99.9 ms | Refused at once | Refused late | Late answer | May have run |\n" +
		"|---|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n")
	for _, row := range r.Rows {
		name := row.Customer
		if row.Flooding {
			name += " (floods)"
		}
		withoutFlood, keptRatio := "-", "-"
		if row.HasBaseline {
			withoutFlood, keptRatio = fmt.Sprint(row.KeptWithoutFlood), fmt.Sprintf("%.3f", ratio(row.Kept, row.KeptWithoutFlood))
		}
		fmt.Fprintf(b, "| %s | %s | %s | %d | %d | %s | %d | %s | %.3f | %.0f | %.0f | %.0f | %d | %d | %d | %d |\n",
			row.Scenario, row.Policy, name, row.Demand, row.Kept, withoutFlood, row.Covered, keptRatio, ratio(row.Kept, row.Covered),
			row.P50, row.P99, row.P999, row.Counts.RefusedImmediately, row.Counts.RefusedAfterWait, row.Counts.Late, row.Counts.Unknown)
	}
}

func (r *Report) writeSummaries(b *bytes.Buffer) {
	b.WriteString("\n### Whole runs\n\n" +
		"| Scenario | Policy | Flood sent | × capacity | Sent late | Answered | Refused at once | Refused late | " +
		"May have run (all) | Rate/capacity | Runs | Waste | Other services kept | Recovery, others s | Recovery, all s |\n" +
		"|---|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n")
	for _, s := range r.Summaries {
		fmt.Fprintf(b, "| %s | %s | %d | %.1f | %d | %d | %d | %d | %d | %.2f | %d | %d (%.1f%%) | %d of %d | %s |\n",
			s.Scenario, s.Policy, s.Flood.Total(), s.FloodFactor, s.FloodDelayed+s.WorkDelayed, s.Flood.InTime, s.Flood.RefusedImmediately,
			s.Flood.RefusedAfterWait, s.Unknown, s.RelativeRate, s.Runs, s.WastedRuns, 100*float64(s.WastedRuns)/float64(max(s.Runs, 1)),
			s.OtherServicesKept, s.OtherServicesDemand, s.recoveryColumns())
	}
}

func (s Summary) recoveryColumns() string {
	if s.Flood.Total() == 0 {
		return "- | -"
	}
	return fmt.Sprintf("%.2f | %.2f", s.RecoveryOthers.Seconds(), s.Recovery.Seconds())
}
