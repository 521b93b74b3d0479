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

// Window numbers are padded, so that rows sort by window.
func countRowPrefix(number int64) string {
	return fmt.Sprintf("%s%012d/", countPrefix, number)
}

func countRowName(number int64, daemon models.DaemonID, write uint64) string {
	return fmt.Sprintf("%s%s/%d", countRowPrefix(number), daemon, write)
}

func frozenRowName(number int64) string {
	return fmt.Sprintf("%s%012d", frozenPrefix, number)
}

// parseCountRowName returns the daemon that wrote a row and the number of the
// write.
func parseCountRowName(name string, number int64) (daemon models.DaemonID, write uint64, ok bool) {
	rest, found := strings.CutPrefix(name, countRowPrefix(number))
	if !found {
		return "", 0, false
	}
	i := strings.LastIndexByte(rest, '/')
	if i < 0 {
		return "", 0, false
	}
	write, err := strconv.ParseUint(rest[i+1:], 10, 64)
	return models.DaemonID(rest[:i]), write, err == nil
}

type countsJSON struct {
	VM       string           `json:"vm,omitempty"`
	Final    bool             `json:"final,omitempty"`
	Requests map[string]int64 `json:"requests"`
}

// counts is the value of a row.
type counts struct {
	vm       string // that counted; empty for the sum of all
	final    bool   // the window was over when they were written
	requests map[models.Workspace]int64
}

func encodeCounts(c counts) ([]byte, error) {
	form := countsJSON{VM: c.vm, Final: c.final, Requests: make(map[string]int64, len(c.requests))}
	for workspace, n := range c.requests {
		form.Requests[string(workspace)] = n
	}
	raw, err := json.Marshal(form)
	return raw, errors.Trace(err)
}

func decodeCounts(raw []byte) (counts, error) {
	var form countsJSON
	if err := json.Unmarshal(raw, &form); err != nil {
		return counts{}, errors.Trace(err)
	}
	c := counts{vm: form.VM, final: form.Final, requests: make(map[models.Workspace]int64, len(form.Requests))}
	for workspace, n := range form.Requests {
		c.requests[models.Workspace(workspace)] = n
	}
	return c, nil
}
