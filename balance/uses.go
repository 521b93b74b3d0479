package balance

import (
	"quincewinch/models"
	"quincewinch/policy/limit"
)

// LimitUses is what the daemons use of the limits of workspaces. It is safe for
// concurrent use.
type LimitUses interface {
	// Report returns what this daemon uses, or with zone set what its zone uses.
	Report(zone bool) map[models.Workspace]models.LimitUse
	// Learn applies the report of a daemon or a zone; it may be empty.
	Learn(from models.DaemonID, uses map[models.Workspace]models.LimitUse)
	// Leave notes that a daemon has ended.
	Leave(from models.DaemonID)
	// Urgent reports whether the other daemons need to hear of the use soon.
	Urgent() bool
}

// noUses stands for daemons that do not exchange what they use of limits.
type noUses struct{}

// Report implements LimitUses.
func (noUses) Report(bool) map[models.Workspace]models.LimitUse { return nil }

// Learn implements LimitUses.
func (noUses) Learn(models.DaemonID, map[models.Workspace]models.LimitUse) {}

// Leave implements LimitUses.
func (noUses) Leave(models.DaemonID) {}

// Urgent implements LimitUses.
func (noUses) Urgent() bool { return false }

// ReportSources returns the senders of load shares that stand for the other daemons, as a
// daemon of a zone hears of them: each daemon, or those of its zone and the other zones.
func ReportSources(zone models.Zone, members Members) limit.Group {
	others := members.Others()
	group := limit.Group{Listed: members.Listed(), Sources: map[models.DaemonID]int{}, Zone: map[models.DaemonID]bool{}}
	for id, other := range others {
		switch {
		case other.Zone == zone:
			group.Sources[id] = 1
			group.Zone[id] = true
		case len(others) <= fullMeshLimit:
			group.Sources[id] = 1
		default:
			group.Sources[zoneSumID(other.Zone)]++
		}
	}
	return group
}
