package control

import (
	"maps"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// closeAfterOutage is how long the table has to be unreachable before a daemon
// closes to edits.
const closeAfterOutage = 2 * time.Second

// Editing decides whether this daemon accepts operators' edits, and records
// which other daemons may. A daemon opens to edits only after every other
// registered daemon has confirmed that it records that daemon as open. A daemon
// is recorded as closed only where all edits made through it are known. So if
// every daemon recorded as open answers, and all others are recorded as closed,
// no edit can be missing here.
type Editing struct {
	self models.DaemonID

	mu         sync.Mutex
	epoch      uint64
	wantOpen   bool // open, or waiting for the others to confirm
	open       bool
	unsettled  int                                 // edits in progress or of unknown outcome
	confirmed  map[models.DaemonID]uint64          // own epoch that each has confirmed
	statements map[models.DaemonID]models.Editing  // latest valid one of each
	answeredAt map[models.DaemonID]time.Time       // when the request of the latest usable answer was sent
	expelled   map[models.DaemonID]models.Revision // registrations to be removed
}

// NewEditing returns the state of a daemon that is closed to edits.
func NewEditing(self models.DaemonID) *Editing {
	return &Editing{
		self:       self,
		confirmed:  map[models.DaemonID]uint64{},
		statements: map[models.DaemonID]models.Editing{},
		answeredAt: map[models.DaemonID]time.Time{},
		expelled:   map[models.DaemonID]models.Revision{},
	}
}

// Begin starts an edit, which Settle ends. It fails if this daemon does not
// accept edits.
func (e *Editing) Begin() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.open {
		return peer.NewFailure(peer.OutcomeNotDone, "this daemon takes no edits now: the table is out of reach, or a registered daemon has yet to confirm it", nil)
	}
	e.unsettled++
	return nil
}

// Settle ends an edit whose outcome is known. If the edit was committed, its
// row has to be applied first.
func (e *Editing) Settle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unsettled--
}

// Open reports whether this daemon accepts edits.
func (e *Editing) Open() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

// SetWantOpen opens or closes this daemon to edits. New edits are rejected as
// soon as it is to close, but it states that it has closed only once all edits
// are settled. It opens once all members have confirmed.
func (e *Editing) SetWantOpen(wantOpen bool, roster Roster) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if wantOpen != e.wantOpen {
		if !wantOpen {
			e.open = false // no further edit begins
		}
		if !wantOpen && e.unsettled > 0 {
			return
		}
		e.wantOpen = wantOpen
		e.epoch++
	}
	e.open = wantOpen && e.allConfirmed(roster)
}

func (e *Editing) allConfirmed(roster Roster) bool {
	if e.open {
		return true
	}
	for id := range roster.Members {
		if id != e.self && e.confirmed[id] != e.epoch {
			return false
		}
	}
	return true
}

// Statement returns this daemon's statement to another daemon. The registration
// is the other daemon's as known here, or 0 for none.
func (e *Editing) Statement(to models.DaemonID, registration models.Revision) models.Editing {
	e.mu.Lock()
	defer e.mu.Unlock()
	if registration <= e.expelled[to] {
		registration = 0
	}
	statement := models.Editing{Epoch: e.epoch, Open: e.wantOpen, Settled: e.unsettled == 0, Member: registration}
	if recorded, ok := e.statements[to]; ok && recorded.Open {
		statement.Confirmed = recorded.Epoch
	}
	return statement
}

// RecordStatement records another daemon's statement. Complete means that all
// rows known to the other daemon are known here; registration is this daemon's
// own.
func (e *Editing) RecordStatement(from models.DaemonID, statement models.Editing, complete bool, registration models.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmed[from] = max(e.confirmed[from], statement.Confirmed)
	recorded, ok := e.statements[from]
	if ok && statement.Epoch < recorded.Epoch {
		return // a newer statement has arrived before it
	}
	if statement.Open || e.provesComplete(statement, complete, registration) {
		e.statements[from] = statement
	}
}

// RecordAnswer records another daemon's answer to a request sent at sentAt.
func (e *Editing) RecordAnswer(from models.DaemonID, statement models.Editing, complete bool, registration models.Revision, sentAt time.Time) {
	e.RecordStatement(from, statement, complete, registration)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.provesComplete(statement, complete, registration) && sentAt.After(e.answeredAt[from]) {
		e.answeredAt[from] = sentAt
	}
}

// provesComplete reports whether a statement proves that no edit made through
// its sender is missing here. The sender has to know this daemon's current
// registration: otherwise it would open without waiting for its confirmation.
func (e *Editing) provesComplete(statement models.Editing, complete bool, registration models.Revision) bool {
	return complete && statement.Settled && registration > 0 && statement.Member == registration
}

// Expel records that this daemon is about to remove another's registration.
// From then on, statements to that daemon do not name it as registered, so that
// they prove nothing to it.
func (e *Editing) Expel(id models.DaemonID, registration models.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expelled[id] = registration
}

// Reset drops the recorded statements and answers. It is called before this
// daemon registers again: while it was not registered, others may have opened
// without its confirmation.
func (e *Editing) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.statements)
	clear(e.answeredAt)
}

// CompleteUntil returns the time up to which no edit can be missing here: the
// earliest of the latest answer times of the daemons that may be open. It
// returns false if one of them has not answered, or an edit is not settled.
func (e *Editing) CompleteUntil(now time.Time, roster Roster) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unsettled > 0 {
		return time.Time{}, false
	}
	proven := now
	for id := range e.mayBeOpen(roster) {
		at, ok := e.answeredAt[id]
		if !ok {
			return time.Time{}, false
		}
		if at.Before(proven) {
			proven = at
		}
	}
	return proven, true
}

// MembersToAsk returns the daemons whose answers are needed for CompleteUntil.
func (e *Editing) MembersToAsk(roster Roster) map[models.DaemonID]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mayBeOpen(roster)
}

// Unconfirmed returns the members whose confirmation this daemon still needs
// in order to open.
func (e *Editing) Unconfirmed(roster Roster) map[models.DaemonID]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids := map[models.DaemonID]bool{}
	for id := range roster.Members {
		if id != e.self && e.wantOpen && !e.open && e.confirmed[id] != e.epoch {
			ids[id] = true
		}
	}
	return ids
}

// mayBeOpen returns the daemons that are not recorded as closed and whose edits
// may be missing here. The caller holds the lock.
func (e *Editing) mayBeOpen(roster Roster) map[models.DaemonID]bool {
	ids := map[models.DaemonID]bool{}
	for id := range roster.Members {
		ids[id] = true
	}
	for id := range roster.Removed {
		ids[id] = true
	}
	for id := range e.statements {
		ids[id] = true
	}
	maps.DeleteFunc(ids, func(id models.DaemonID, _ bool) bool {
		recorded, ok := e.statements[id]
		return id == e.self || roster.Gone(id) || ok && !recorded.Open
	})
	return ids
}
