package billing

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"quincewinch/models"
)

const (
	countPrefix  = "count/"
	frozenPrefix = "frozen/"
	horizonRow   = "horizon"
)

// countRowPrefix returns the prefix of the names of a window's count rows.
// Window numbers are zero-padded so that rows sort by window.
func countRowPrefix(number int64) string {
	return fmt.Sprintf("%s%012d/", countPrefix, number)
}

func countRowName(number int64, daemon models.DaemonID, sequence uint64) string {
	return fmt.Sprintf("%s%s/%d", countRowPrefix(number), daemon, sequence)
}

func frozenRowName(number int64) string {
	return fmt.Sprintf("%s%012d", frozenPrefix, number)
}

// parseFrozenRowName returns the window that a frozen row belongs to.
func parseFrozenRowName(name string) (number int64, ok bool) {
	rest, found := strings.CutPrefix(name, frozenPrefix)
	if !found {
		return 0, false
	}
	number, err := strconv.ParseInt(rest, 10, 64)
	return number, err == nil
}

// parseCountRowName returns the daemon that wrote a count row, and the row's
// sequence number among that daemon's writes.
func parseCountRowName(name string, number int64) (daemon models.DaemonID, sequence uint64, ok bool) {
	rest, found := strings.CutPrefix(name, countRowPrefix(number))
	if !found {
		return "", 0, false
	}
	i := strings.LastIndexByte(rest, '/')
	if i < 0 {
		return "", 0, false
	}
	sequence, err := strconv.ParseUint(rest[i+1:], 10, 64)
	return models.DaemonID(rest[:i]), sequence, err == nil
}

// countsJSON is the JSON form of counts.
type countsJSON struct {
	VM       string           `json:"vm,omitempty"`
	Final    bool             `json:"final,omitempty"`
	Era      uint64           `json:"era,omitempty"`
	Requests map[string]int64 `json:"requests"`
}

// counts is the value of a count row or of a frozen row.
type counts struct {
	vm       string // VM that counted; empty in a frozen row
	final    bool   // written after the window's end
	era      uint64 // of the table when a window was frozen; 0 in a count row
	requests map[models.Workspace]int64
}

func encodeCounts(c counts) ([]byte, error) {
	stored := countsJSON{VM: c.vm, Final: c.final, Era: c.era, Requests: make(map[string]int64, len(c.requests))}
	for workspace, n := range c.requests {
		stored.Requests[string(workspace)] = n
	}
	raw, err := json.Marshal(stored)
	return raw, errors.Trace(err)
}

func decodeCounts(raw []byte) (counts, error) {
	var stored countsJSON
	if err := json.Unmarshal(raw, &stored); err != nil {
		return counts{}, errors.Trace(err)
	}
	c := counts{vm: stored.VM, final: stored.Final, era: stored.Era, requests: make(map[models.Workspace]int64, len(stored.Requests))}
	for workspace, n := range stored.Requests {
		c.requests[models.Workspace(workspace)] = n
	}
	return c, nil
}

// horizonJSON is the JSON form of a horizon.
type horizonJSON struct {
	Era    uint64 `json:"era"`
	Window int64  `json:"window"`
}

// horizon is the last window that may have been reported before an era of the
// table began.
type horizon struct {
	era    uint64
	window int64
}

// trusts reports whether the counts of a frozen row are the only ones that the
// window can have been reported with. A row of an earlier era may be older than
// the report, or may have been written late.
func (h horizon) trusts(frozen counts, number int64) bool {
	return frozen.era == h.era || number > h.window
}

func encodeHorizon(h horizon) ([]byte, error) {
	raw, err := json.Marshal(horizonJSON{Era: h.era, Window: h.window})
	return raw, errors.Trace(err)
}

func decodeHorizon(raw []byte) (horizon, error) {
	var stored horizonJSON
	if err := json.Unmarshal(raw, &stored); err != nil {
		return horizon{}, errors.Trace(err)
	}
	return horizon{era: stored.Era, window: stored.Window}, nil
}
