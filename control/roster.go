package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quincewinch/models"
	"quincewinch/table"
)

// Roster lists the registered daemons. Callers must not modify its maps.
type Roster struct {
	Members map[models.DaemonID]table.Member
	List    []table.Member                      // the members, sorted by ID
	Removed map[models.DaemonID]models.Revision // the revision that removed a registration
	Through models.Revision                     // all registrations through this revision are known
}

// NewRoster returns an empty roster.
func NewRoster() Roster {
	return Roster{Members: map[models.DaemonID]table.Member{}, Removed: map[models.DaemonID]models.Revision{}}
}

// Gone reports whether a daemon's registration was removed and all rows up to
// the removal are known here. The daemon cannot have made an edit since.
func (r Roster) Gone(id models.DaemonID) bool {
	_, member := r.Members[id]
	at, removed := r.Removed[id]
	return !member && removed && at <= r.Through
}

// Registration returns the revision of a daemon's registration, 0 for none.
func (r Roster) Registration(id models.DaemonID) models.Revision {
	return r.Members[id].Revision
}

// with returns a copy of the roster with changes to registrations applied.
func (r Roster) with(changes []table.Change) Roster {
	next := Roster{Members: maps.Clone(r.Members), Removed: maps.Clone(r.Removed), Through: r.Through}
	for _, change := range changes {
		id := models.DaemonID(change.New.Key.Name)
		delete(next.Members, id)
		delete(next.Removed, id)
		if change.New.Revision == 0 {
			continue // lost from the table
		}
		if change.New.Deleted {
			next.Removed[id] = change.New.Revision
			continue
		}
		if member, err := table.ParseMember(change.New); err == nil {
			next.Members[id] = member
		}
	}
	next.List = slices.SortedFunc(maps.Values(next.Members), func(a, b table.Member) int { return cmp.Compare(a.ID, b.ID) })
	return next
}

// topRanked returns the n members that rank highest for a subject by rendezvous
// hashing. Daemons that know the same members choose the same ones, and adding
// or removing a member does not change the order of the others.
func topRanked(members []table.Member, subject string, n int) []table.Member {
	if len(members) <= n {
		return members
	}
	ranks := make(map[models.DaemonID]uint64, len(members))
	for _, member := range members {
		ranks[member.ID] = rendezvousHash(member.ID, subject)
	}
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b table.Member) int {
		return cmp.Or(cmp.Compare(ranks[b.ID], ranks[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return ranked[:n]
}

func rendezvousHash(id models.DaemonID, subject string) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + subject)
}
