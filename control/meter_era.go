package control

import (
	"maps"
	"slices"

	"quincewinch/models"
	"quincewinch/peer"
)

// UsageTable is the table that usage is counted in.
type UsageTable interface {
	peer.Table
	// Era returns the latest era of the table that is known here, 0 if none is.
	Era() uint64
}

// observeEra records the era of the table. If the table has returned from an
// older copy, the rows of all records are read again, so that counts which the
// copy lacks are written again. A window that may have been closed in an earlier
// era may have been reported, with no more than the counts that were stored; its
// other counts go to the current window.
func (m *Meter) observeEra(era uint64) {
	now, bound, known := m.platform.At(m.clock.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	if era <= m.era || !known {
		return
	}
	m.era = era
	current := windowStart(now, m.settings.Window)
	firstOpen := min(current, windowStart(now.Add(bound-m.settings.Grace), m.settings.Window))
	m.oldestWindow = max(m.oldestWindow, firstOpen)
	for _, window := range slices.Sorted(maps.Keys(m.records)) {
		record := m.records[window]
		record.uncertain = true
		record.stored = merge(record.stored, record.attempted)
		record.attempted = nil
		record.maybeReported = window < firstOpen
		if !record.maybeReported {
			continue
		}
		late := record.total.minus(record.stored)
		record.total = maps.Clone(record.stored)
		m.record(current).total.add(late)
	}
}

// merge returns the larger of two counts for each entry.
func merge(a, b tally) tally {
	merged := maps.Clone(a)
	if merged == nil {
		merged = tally{}
	}
	for entry, usage := range b {
		merged[entry] = larger(merged[entry], usage)
	}
	return merged
}

func larger(a, b models.Usage) models.Usage {
	return models.Usage{
		Requests:     max(a.Requests, b.Requests),
		Prompt:       max(a.Prompt, b.Prompt),
		Cached:       max(a.Cached, b.Cached),
		Output:       max(a.Output, b.Output),
		ServiceCalls: max(a.ServiceCalls, b.ServiceCalls),
	}
}
