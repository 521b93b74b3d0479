package control

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
)

const (
	holderPrefix  = "holder/"
	renewalPrefix = "renewal/"
)

type holderJSON struct {
	Holder     string `json:"holder"`
	Fence      uint64 `json:"fence"`
	DurationMS int64  `json:"duration-ms"`
	Released   bool   `json:"released"`
	Era        uint64 `json:"era,omitempty"`
}

type renewalJSON struct {
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fence"`
	Renewal uint64 `json:"renewal"`
}

// holderKey returns the key of the row that changes only with the holder.
func holderKey(name models.LeaseName) models.RowKey {
	return models.RowKey{Partition: models.PartitionLeases, Name: holderPrefix + string(name)}
}

// renewalKey returns the key of the row that changes with each renewal.
func renewalKey(name models.LeaseName) models.RowKey {
	return models.RowKey{Partition: models.PartitionLeases, Name: renewalPrefix + string(name)}
}

// parseLeaseKey returns the name of the lease that a row belongs to, and whether
// it is the holder row or the renewal row.
func parseLeaseKey(key models.RowKey) (name models.LeaseName, isHolder, ok bool) {
	if rest, found := strings.CutPrefix(key.Name, holderPrefix); found {
		return models.LeaseName(rest), true, true
	}
	rest, found := strings.CutPrefix(key.Name, renewalPrefix)
	return models.LeaseName(rest), false, found
}

func holderWrite(state models.LeaseState) (models.Write, error) {
	value, err := json.Marshal(holderJSON{
		Holder:     string(state.Holder),
		Fence:      state.Fence,
		DurationMS: state.Duration.Milliseconds(),
		Released:   state.Released,
		Era:        state.Era,
	})
	return models.Write{Key: holderKey(state.Name), Value: value}, errors.Annotate(err, "cannot encode a lease")
}

func renewalWrite(state models.LeaseState) (models.Write, error) {
	value, err := json.Marshal(renewalJSON{
		Holder:  string(state.Holder),
		Fence:   state.Fence,
		Renewal: state.Renewal,
	})
	return models.Write{Key: renewalKey(state.Name), Value: value}, errors.Annotate(err, "cannot encode a renewal")
}

func decodeHolder(name models.LeaseName, value []byte) (models.LeaseState, error) {
	var decoded holderJSON
	if err := json.Unmarshal(value, &decoded); err != nil {
		return models.LeaseState{}, errors.Annotate(err, "cannot decode a lease")
	}
	return models.LeaseState{
		Name:     name,
		Holder:   models.DaemonID(decoded.Holder),
		Fence:    decoded.Fence,
		Duration: time.Duration(decoded.DurationMS) * time.Millisecond,
		Released: decoded.Released,
		Era:      decoded.Era,
	}, nil
}

type cursorJSON struct {
	Through uint64 `json:"through"`
}

func encodeCursor(through models.Revision) []byte {
	value, err := json.Marshal(cursorJSON{Through: uint64(through)})
	if err != nil {
		return nil
	}
	return value
}

// decodeCursor returns 0, the start of the partition, for a malformed value.
func decodeCursor(value []byte) models.Revision {
	var decoded cursorJSON
	if err := json.Unmarshal(value, &decoded); err != nil {
		return 0
	}
	return models.Revision(decoded.Through)
}
