package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quincewinch/models"
	"quincewinch/table"
)

// Roster lists the registered daemons as of a revision. Its maps are not to be
// changed.
type Roster struct {
	Members map[models.DaemonID]table.Member
	List    []table.Member                      // the members in order of identity
	Removed map[models.DaemonID]models.Revision // when a registration was removed
	Through models.Revision                     // all registrations up to here are known
}

// NewRoster returns an empty roster.
func NewRoster() Roster {
	return Roster{Members: map[models.DaemonID]table.Member{}, Removed: map[models.DaemonID]models.Revision{}}
}

// Gone reports whether a daemon's registration was removed, and all rows
// before that are known here. The daemon can have made no edit since.
func (r Roster) Gone(id models.DaemonID) bool {
	_, member := r.Members[id]
	at, removed := r.Removed[id]
	return !member && removed && at <= r.Through
}

// Registration returns the revision of a daemon's registration, 0 for none.
func (r Roster) Registration(id models.DaemonID) models.Revision {
	return r.Members[id].Revision
}

// with returns the roster after changes to registrations.
func (r Roster) with(changes []table.Change) Roster {
	next := Roster{Members: maps.Clone(r.Members), Removed: maps.Clone(r.Removed), Through: r.Through}
	for _, change := range changes {
		id := models.DaemonID(change.New.Key.Name)
		delete(next.Members, id)
		delete(next.Removed, id)
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
// hashing: all who know the same members choose the same, and one member's
// coming or going moves no other choice.
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
