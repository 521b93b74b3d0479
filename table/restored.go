package table

import (
	"encoding/json"

	"github.com/juju/errors"

	"quincewinch/models"
)

// latestEditJSON is the JSON form of the row of LatestEditKey.
type latestEditJSON struct {
	Horizon uint64 `json:"horizon"`
}

// EncodeLatestEdit returns the value of the row of LatestEditKey. The horizon is
// a revision of the table's era before the first edit in it: rows up to it are
// from the copy that the table returned from, later ones were edited since.
func EncodeLatestEdit(horizon models.Revision) ([]byte, error) {
	if horizon.Era() == 0 {
		return nil, nil
	}
	raw, err := json.Marshal(latestEditJSON{Horizon: uint64(horizon)})
	return raw, errors.Annotate(err, "cannot encode the latest edit")
}

// ParseLatestEdit returns the horizon in the row of LatestEditKey, 0 if it has
// none.
func ParseLatestEdit(row models.Row) models.Revision {
	var stored latestEditJSON
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return 0
	}
	return models.Revision(stored.Horizon)
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
