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
func countPrefixOf(number int64) string {
	return fmt.Sprintf("%s%012d/", countPrefix, number)
}

func countName(number int64, daemon models.DaemonID, write uint64) string {
	return fmt.Sprintf("%s%s/%d", countPrefixOf(number), daemon, write)
}

func frozenName(number int64) string {
	return fmt.Sprintf("%s%012d", frozenPrefix, number)
}

// parseCountName returns the daemon that wrote a row and the number of the
// write.
func parseCountName(name string, number int64) (daemon models.DaemonID, write uint64, ok bool) {
	rest, found := strings.CutPrefix(name, countPrefixOf(number))
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

func encodeCounts(requests map[models.Workspace]int64) ([]byte, error) {
	form := make(map[string]int64, len(requests))
	for workspace, n := range requests {
		form[string(workspace)] = n
	}
	raw, err := json.Marshal(form)
	return raw, errors.Trace(err)
}

func decodeCounts(raw []byte) (map[models.Workspace]int64, error) {
	var form map[string]int64
	if err := json.Unmarshal(raw, &form); err != nil {
		return nil, errors.Trace(err)
	}
	requests := make(map[models.Workspace]int64, len(form))
	for workspace, n := range form {
		requests[models.Workspace(workspace)] = n
	}
	return requests, nil
}
