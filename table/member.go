package table

import (
	"encoding/json"
	"net/netip"

	"github.com/juju/errors"

	"quincewinch/models"
)

// Member is a registered daemon: a row of PartitionDaemons.
type Member struct {
	ID       models.DaemonID
	Zone     models.Zone
	Address  netip.AddrPort // where the other daemons reach it
	Revision models.Revision
}

// LatestEditKey names the row that every operator's edit writes along with its
// own. Whoever knows its revision can ask in a transaction's condition whether
// there has been an edit since, which a lagging read could not tell.
var LatestEditKey = models.RowKey{Partition: models.PartitionDaemons, Name: "latest-edit"}

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

// ParseMember reads a daemon's registration.
func ParseMember(row models.Row) (Member, error) {
	var form memberJSON
	if err := json.Unmarshal(row.Value, &form); err != nil {
		return Member{}, errors.Annotate(err, row.Key.Name)
	}
	return Member{
		ID:       models.DaemonID(row.Key.Name),
		Zone:     models.Zone(form.Zone),
		Address:  form.Address,
		Revision: row.Revision,
	}, nil
}
