package trace

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Row holds the results of the strategies on one trace.
type Row struct {
	Trace     string
	Fixed     Result
	Greedy    Result
	Planned   Result
	Hindsight Result
}

// Share returns the goodput of a result relative to the hindsight best.
func (r Row) Share(result Result) float64 {
	return result.Goodput / r.Hindsight.Goodput
}

// Compare replays the traces generated from a seed with each strategy.
func Compare(seed uint64) []Row {
	var rows []Row
	for _, trace := range Traces(seed) {
		rows = append(rows, Row{
			Trace:     trace.Name,
			Fixed:     Replay(trace, [zoneCount]Strategy{Fixed{}, Fixed{}}),
			Greedy:    Replay(trace, [zoneCount]Strategy{Greedy{}, Greedy{}}),
			Planned:   Replay(trace, [zoneCount]Strategy{NewPlanned(), NewPlanned()}),
			Hindsight: Hindsight(trace),
		})
	}
	return rows
}

// Write writes the rows as a table.
func Write(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := []string{
		"trace\tgoodput over the hindsight best\t\t\trole changes\t\t\t\tworst workspace\t\t",
		"\tfixed\tgreedy\tours\tfixed\tgreedy\tours\tbest\tfixed\tgreedy\tours",
	}
	for _, r := range rows {
		lines = append(lines, fmt.Sprintf("%s\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f", r.Trace,
			r.Share(r.Fixed), r.Share(r.Greedy), r.Share(r.Planned),
			r.Fixed.Changes, r.Greedy.Changes, r.Planned.Changes, r.Hindsight.Changes,
			r.Fixed.WorstShare, r.Greedy.WorstShare, r.Planned.WorstShare))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(t, line); err != nil {
			return err
		}
	}
	return t.Flush()
}

// WriteSpending writes a table that compares the spending of a day under each
// deployment's limits with the spending under the same limits without cheap
// servers.
func WriteSpending(w io.Writer, seed uint64) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := []string{"cells\tspending per good engine-hour\tover all-on-demand\tserved\twork on cheap servers\tharmed by evictions\torders"}
	for _, cells := range Deployments {
		planned := Spend(seed, cells.Limits)
		noCheap := cells.Limits
		noCheap.CheapShare = 0
		onDemand := Spend(seed, noCheap)
		lines = append(lines, fmt.Sprintf("%s\t%.3f\t%.3f\t%.4f\t%.3f\t%.6f\t%d", cells.Name,
			planned.PerServedHour(), planned.PerServedHour()/onDemand.PerServedHour(), planned.Served/planned.Offered,
			planned.ServedOnCheap/planned.Served, planned.LostToEvictions/planned.Offered, planned.Orders))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(t, line); err != nil {
			return err
		}
	}
	return t.Flush()
}
