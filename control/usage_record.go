package control

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
)

// Prefixes of the row names in the usage partition. WINDOW is the start of a
// window in Unix seconds.
//   - count/WINDOW/DAEMON holds the totals counted by one daemon;
//   - closed/WINDOW blocks further writes of counts;
//   - frozen/WINDOW holds the sums over all daemons;
//   - reported/WINDOW records that the platform accepted all reports.
const (
	countPrefix    = "count/"
	closedPrefix   = "closed/"
	frozenPrefix   = "frozen/"
	reportedPrefix = "reported/"
)

// usageEntry identifies the usage of a workspace in a window.
type usageEntry struct {
	window    int64 // start, in Unix seconds of the platform's time
	workspace models.Workspace
}

// tally holds usage by window and workspace.
type tally map[usageEntry]models.Usage

// add adds the usage of another tally.
func (t tally) add(other tally) {
	for entry, usage := range other {
		t[entry] = t[entry].Add(usage)
	}
}

// minus returns the usage added since an earlier state of the tally.
func (t tally) minus(earlier tally) tally {
	rest := tally{}
	for entry, usage := range t {
		if left := subtract(usage, earlier[entry]); left != (models.Usage{}) {
			rest[entry] = left
		}
	}
	return rest
}

func subtract(a, b models.Usage) models.Usage {
	return models.Usage{
		Requests:     a.Requests - b.Requests,
		Prompt:       a.Prompt - b.Prompt,
		Cached:       a.Cached - b.Cached,
		Output:       a.Output - b.Output,
		ServiceCalls: a.ServiceCalls - b.ServiceCalls,
	}
}

func usageKey(prefix string, window int64, rest string) models.RowKey {
	return models.RowKey{Partition: models.PartitionUsage, Name: prefix + strconv.FormatInt(window, 10) + rest}
}

func countKey(window int64, daemon models.DaemonID) models.RowKey {
	return usageKey(countPrefix, window, "/"+string(daemon))
}

// parseUsageKey returns the prefix of a row's name and the window that the row
// belongs to.
func parseUsageKey(key models.RowKey) (prefix string, window int64, ok bool) {
	for _, prefix := range []string{countPrefix, closedPrefix, frozenPrefix, reportedPrefix} {
		rest, found := strings.CutPrefix(key.Name, prefix)
		if !found {
			continue
		}
		number, _, _ := strings.Cut(rest, "/")
		window, err := strconv.ParseInt(number, 10, 64)
		return prefix, window, err == nil
	}
	return "", 0, false
}

// usageEntryJSON is one entry of a stored tally.
type usageEntryJSON struct {
	Window       int64  `json:"window"`
	Workspace    string `json:"workspace"`
	Requests     int64  `json:"requests"`
	Prompt       int64  `json:"prompt"`
	Cached       int64  `json:"cached"`
	Output       int64  `json:"output"`
	ServiceCalls int64  `json:"service-calls"`
}

// encodeTally encodes a tally in a fixed order, so that equal tallies have equal
// encodings.
func encodeTally(t tally) ([]byte, error) {
	entries := make([]usageEntryJSON, 0, len(t))
	for _, entry := range t.entries() {
		usage := t[entry]
		entries = append(entries, usageEntryJSON{
			Window:       entry.window,
			Workspace:    string(entry.workspace),
			Requests:     usage.Requests,
			Prompt:       usage.Prompt,
			Cached:       usage.Cached,
			Output:       usage.Output,
			ServiceCalls: usage.ServiceCalls,
		})
	}
	value, err := json.Marshal(entries)
	return value, errors.Annotate(err, "cannot encode usage")
}

func decodeTally(value []byte) (tally, error) {
	var entries []usageEntryJSON
	if err := json.Unmarshal(value, &entries); err != nil {
		return nil, errors.Annotate(err, "cannot decode usage")
	}
	t := tally{}
	for _, entry := range entries {
		t[usageEntry{entry.Window, models.Workspace(entry.Workspace)}] = models.Usage{
			Requests:     entry.Requests,
			Prompt:       entry.Prompt,
			Cached:       entry.Cached,
			Output:       entry.Output,
			ServiceCalls: entry.ServiceCalls,
		}
	}
	return t, nil
}

// entries returns the entries ordered by window, then by workspace.
func (t tally) entries() []usageEntry {
	return slices.SortedFunc(maps.Keys(t), func(a, b usageEntry) int {
		if a.window != b.window {
			return int(min(max(a.window-b.window, -1), 1))
		}
		return strings.Compare(string(a.workspace), string(b.workspace))
	})
}

// buildReports returns the reports of a window, one per workspace, ordered by
// name. Usage that belongs to other windows becomes an adjustment.
func buildReports(window int64, length time.Duration, t tally) []models.UsageReport {
	reports := map[models.Workspace]models.UsageReport{}
	for _, entry := range t.entries() {
		report := reports[entry.workspace]
		report.ID = strconv.FormatInt(window, 10) + "-" + string(entry.workspace)
		report.Workspace = entry.workspace
		report.Window = time.Unix(window, 0).UTC()
		report.Length = length
		if entry.window == window {
			report.Usage = t[entry]
		} else {
			start := time.Unix(entry.window, 0).UTC()
			report.Adjustments = append(report.Adjustments, models.Adjustment{Window: start, Usage: t[entry]})
		}
		reports[entry.workspace] = report
	}
	var ordered []models.UsageReport
	for _, workspace := range slices.Sorted(maps.Keys(reports)) {
		ordered = append(ordered, reports[workspace])
	}
	return ordered
}
