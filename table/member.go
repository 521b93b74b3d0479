package table

import (
	"encoding/json"
	"net/netip"

	"github.com/juju/errors"

	"quincewinch/models"
)

// Member is a daemon's registration, a row of PartitionDaemons.
type Member struct {
	ID       models.DaemonID
	Zone     models.Zone
	Address  netip.AddrPort // where other daemons connect to it
	Revision models.Revision
}

// LatestEditKey is the key of the row that every operator's edit writes along
// with the edited row. A transaction with a condition on its revision fails if
// there has been an edit since; a read could be stale and miss that edit.
var LatestEditKey = models.RowKey{Partition: models.PartitionDaemons, Name: "latest-edit"}

// memberJSON is the JSON form of a Member.
type memberJSON struct {
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
}

// MemberKey returns the key of a daemon's registration.
func MemberKey(id models.DaemonID) models.RowKey {
	return models.RowKey{Partition: models.PartitionDaemons, Name: string(id)}
}

// EncodeMember returns the value of a daemon's registration.
func EncodeMember(member Member) ([]byte, error) {
	raw, err := json.Marshal(memberJSON{Zone: string(member.Zone), Address: member.Address})
	return raw, errors.Trace(err)
}

// ParseMember decodes a daemon's registration.
func ParseMember(row models.Row) (Member, error) {
	var stored memberJSON
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return Member{}, errors.Annotate(err, row.Key.Name)
	}
	return Member{
		ID:       models.DaemonID(row.Key.Name),
		Zone:     models.Zone(stored.Zone),
		Address:  stored.Address,
		Revision: row.Revision,
	}, nil
}
