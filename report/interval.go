package report

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

const (
	median = 0.5
	tail   = 0.95
	// thousand scales the tokens of a table.
	thousand = 1000.0
)

// Interval summarizes the requests that arrived in one interval. Those without a
// prompt count only in the first group of fields.
type Interval struct {
	Start                  time.Time
	Requests, Served, Late int
	NotServed              int
	NotRun                 int // of these

	First           Spread // time to the first event
	PredictionError Spread // of that time, real less predicted
	Prompts         int    // sent to engines
	Apart           int    // prompts prefilled by another engine than the one that generates
	Copied          int    // prompts with parts copied from another engine
	PrefillTokens   int
	Engines         int // different engines that generated
	Prefillers      int // different engines that prefilled for others
}

// Spread is the median and the 95th percentile of durations.
type Spread struct {
	Median, Tail time.Duration
}

// Summarize returns the intervals of a length from the first request to the last
// one.
func Summarize(requests []Request, length time.Duration) []Interval {
	if len(requests) == 0 {
		return nil
	}
	byStart := map[time.Time][]Request{}
	for _, r := range requests {
		start := r.Arrived.Truncate(length)
		byStart[start] = append(byStart[start], r)
	}
	var intervals []Interval
	for start, group := range byStart {
		intervals = append(intervals, summarize(start, group))
	}
	slices.SortFunc(intervals, func(a, b Interval) int { return a.Start.Compare(b.Start) })
	return intervals
}

func summarize(start time.Time, requests []Request) Interval {
	n := Interval{Start: start, Requests: len(requests)}
	engines, prefillers := map[string]bool{}, map[string]bool{}
	var first, errs []time.Duration
	for _, r := range requests {
		n.countOutcome(r)
		if r.PromptTokens == 0 || r.Engine == "" {
			continue
		}
		n.Prompts++
		n.PrefillTokens += r.Prefilled
		engines[r.Engine] = true
		if r.Prefiller != "" {
			n.Apart++
			prefillers[r.Prefiller] = true
		}
		if r.CopiedFrom != "" {
			n.Copied++
		}
		if r.Served() {
			first = append(first, r.First)
			errs = append(errs, r.First-r.Predicted)
		}
	}
	n.First, n.PredictionError = spreadOf(first), spreadOf(errs)
	n.Engines, n.Prefillers = len(engines), len(prefillers)
	return n
}

func (n *Interval) countOutcome(r Request) {
	switch {
	case r.Late():
		n.Late++
		n.Served++
	case r.Served():
		n.Served++
	case r.NotRun:
		n.NotServed++
		n.NotRun++
	default:
		n.NotServed++
	}
}

func spreadOf(durations []time.Duration) Spread {
	if len(durations) == 0 {
		return Spread{}
	}
	slices.Sort(durations)
	at := func(share float64) time.Duration {
		return durations[int(share*float64(len(durations)-1))]
	}
	return Spread{Median: at(median), Tail: at(tail)}
}

// Write writes intervals as a table. Times are in milliseconds, tokens in
// thousands a second.
func Write(w io.Writer, intervals []Interval, length time.Duration) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "time\trequests\tserved\tlate\tnot served\tof these not run\tfirst p50\tp95\terror p50\tp95\tapart\tcopied\tktok/s\tengines\tprefillers\t")
	for _, n := range intervals {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.0f\t%d\t%d\t\n",
			n.Start.Format("15:04:05.0"), n.Requests, n.Served, n.Late, n.NotServed, n.NotRun,
			n.First.Median.Milliseconds(), n.First.Tail.Milliseconds(),
			n.PredictionError.Median.Milliseconds(), n.PredictionError.Tail.Milliseconds(),
			share(n.Apart, n.Prompts), share(n.Copied, n.Prompts),
			float64(n.PrefillTokens)/thousand/length.Seconds(), n.Engines, n.Prefillers)
	}
	return errors.Annotate(table.Flush(), "cannot write the report")
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
