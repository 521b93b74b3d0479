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
	Requests map[string]int64 `json:"requests"`
}

// counts is the value of a count row or of a frozen row.
type counts struct {
	vm       string // VM that counted; empty in a frozen row
	final    bool   // written after the window's end
	requests map[models.Workspace]int64
}

func encodeCounts(c counts) ([]byte, error) {
	stored := countsJSON{VM: c.vm, Final: c.final, Requests: make(map[string]int64, len(c.requests))}
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
	c := counts{vm: stored.VM, final: stored.Final, requests: make(map[models.Workspace]int64, len(stored.Requests))}
	for workspace, n := range stored.Requests {
		c.requests[models.Workspace(workspace)] = n
	}
	return c, nil
}
