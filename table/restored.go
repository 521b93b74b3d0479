package table

import (
	"encoding/json"

	"github.com/juju/errors"

	"quincewinch/models"
)

// LatestEdit is the content of the row of LatestEditKey.
type LatestEdit struct {
	// Horizon is a revision of the table's era before the first edit in it: rows up
	// to it are from the copy that the table returned from, later ones were written
	// since. It is 0 if the table has never returned from an older copy.
	Horizon models.Revision
	// Rewritten has the rows above the horizon that were not edited since, only
	// written again, by name, with the revision that was lost.
	Rewritten map[string]models.Revision
}

// latestEditJSON is the JSON form of a LatestEdit.
type latestEditJSON struct {
	Horizon   uint64            `json:"horizon"`
	Rewritten map[string]uint64 `json:"rewritten,omitempty"`
}

// EncodeLatestEdit returns the value of the row of LatestEditKey.
func EncodeLatestEdit(edit LatestEdit) ([]byte, error) {
	if edit.Horizon.Era() == 0 {
		return nil, nil
	}
	stored := latestEditJSON{Horizon: uint64(edit.Horizon), Rewritten: map[string]uint64{}}
	for name, revision := range edit.Rewritten {
		stored.Rewritten[name] = uint64(revision)
	}
	raw, err := json.Marshal(stored)
	return raw, errors.Annotate(err, "cannot encode the latest edit")
}

// ParseLatestEdit returns the content of the row of LatestEditKey, the zero
// LatestEdit if it has none.
func ParseLatestEdit(row models.Row) LatestEdit {
	var stored latestEditJSON
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return LatestEdit{}
	}
	edit := LatestEdit{Horizon: models.Revision(stored.Horizon), Rewritten: map[string]models.Revision{}}
	for name, revision := range stored.Rewritten {
		edit.Rewritten[name] = models.Revision(revision)
	}
	return edit
}

// KeyEnded reports whether a row is that of a caller's key that was withdrawn or
// deleted. Such a key never works again.
func KeyEnded(row models.Row) bool {
	kind, _ := SplitName(row.Key)
	if kind != KindKey || row.Revision == 0 {
		return false
	}
	cells, err := Parse(kind, row.Value)
	return row.Deleted || err == nil && cells.boolean("withdrawn")
}
