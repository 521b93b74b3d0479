package control

import (
	"maps"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// closeAfterOutage is how long the table is out of reach before a daemon stops
// taking edits.
const closeAfterOutage = 2 * time.Second

// Editing decides whether operators' edits may go through this daemon, and
// keeps what the other daemons state about theirs. A daemon that opens waits
// until each registered daemon has noted it as open; one that has closed has
// made no edit that the others do not know. So while every daemon noted as
// open answers, and the rest are noted as closed, no edit can be missed.
type Editing struct {
	self models.DaemonID

	mu         sync.Mutex
	epoch      uint64
	wantOpen   bool // open, or waiting for the others to note it
	open       bool
	unsettled  int
	confirmed  map[models.DaemonID]uint64
	statements map[models.DaemonID]models.Editing
	answeredAt map[models.DaemonID]time.Time // when the answered question was sent
	expelled   map[models.DaemonID]models.Revision
}

// NewEditing returns the state of a daemon that has yet to open.
func NewEditing(self models.DaemonID) *Editing {
	return &Editing{
		self:       self,
		confirmed:  map[models.DaemonID]uint64{},
		statements: map[models.DaemonID]models.Editing{},
		answeredAt: map[models.DaemonID]time.Time{},
		expelled:   map[models.DaemonID]models.Revision{},
	}
}

// Begin starts an edit, which Settle ends.
func (e *Editing) Begin() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.open {
		return peer.NewFailure(peer.OutcomeNotDone, "this daemon takes no edits now: the table is out of reach, or a registered daemon has yet to confirm it", nil)
	}
	e.unsettled++
	return nil
}

// Settle notes that the outcome of an edit is known, and its row learnt.
func (e *Editing) Settle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unsettled--
}

// Open reports whether edits may go through this daemon.
func (e *Editing) Open() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}

// SetWantOpen opens or closes this daemon to edits. It closes only once all edits
// are settled, and opens once all members have confirmed.
func (e *Editing) SetWantOpen(wanted bool, roster Roster) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if wanted != e.wantOpen {
		if !wanted {
			e.open = false // no further edit begins
		}
		if !wanted && e.unsettled > 0 {
			return
		}
		e.wantOpen = wanted
		e.epoch++
	}
	e.open = wanted && e.allConfirmed(roster)
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

// Statement returns what this daemon states to another, whose registration is
// given, 0 for none.
func (e *Editing) Statement(to models.DaemonID, registration models.Revision) models.Editing {
	e.mu.Lock()
	defer e.mu.Unlock()
	if registration <= e.expelled[to] {
		registration = 0
	}
	statement := models.Editing{Epoch: e.epoch, Open: e.wantOpen, Settled: e.unsettled == 0, Member: registration}
	if noted, ok := e.statements[to]; ok && noted.Open {
		statement.Confirmed = noted.Epoch
	}
	return statement
}

// RecordStatement takes in what another daemon states. Whole tells that all rows that
// the other knew are known here; registration is this daemon's own.
func (e *Editing) RecordStatement(from models.DaemonID, statement models.Editing, whole bool, registration models.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmed[from] = max(e.confirmed[from], statement.Confirmed)
	noted, ok := e.statements[from]
	if ok && statement.Epoch < noted.Epoch {
		return // it came late
	}
	if statement.Open || e.provesComplete(statement, whole, registration) {
		e.statements[from] = statement
	}
}

// RecordAnswer notes that another daemon answered a question sent at a time.
func (e *Editing) RecordAnswer(from models.DaemonID, statement models.Editing, whole bool, registration models.Revision, sentAt time.Time) {
	e.RecordStatement(from, statement, whole, registration)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.provesComplete(statement, whole, registration) && sentAt.After(e.answeredAt[from]) {
		e.answeredAt[from] = sentAt
	}
}

// provesComplete reports whether a statement rules out that an edit of its sender is
// missing here. The sender has to count this daemon as registered, or it
// would not wait for its confirmation.
func (e *Editing) provesComplete(statement models.Editing, whole bool, registration models.Revision) bool {
	return whole && statement.Settled && registration > 0 && statement.Member == registration
}

// Expel notes that this daemon is about to remove another's registration:
// from now on nothing is stated that the other could take for proof.
func (e *Editing) Expel(id models.DaemonID, registration models.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expelled[id] = registration
}

// Reset drops all notes: this daemon is about to register anew, and the
// others may have opened without asking it.
func (e *Editing) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.statements)
	clear(e.answeredAt)
}

// CompleteUntil returns the time before which no edit can have been missed: the
// oldest of the latest answers of all members that may be open.
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

// MembersToAsk returns the members to ask for proof.
func (e *Editing) MembersToAsk(roster Roster) map[models.DaemonID]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mayBeOpen(roster)
}

// Unconfirmed returns the members that have yet to note this daemon as open.
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

// mayBeOpen returns the daemons that are not noted as closed and whose edits
// may be missing here. The lock is held.
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
		noted, ok := e.statements[id]
		return id == e.self || roster.Gone(id) || ok && !noted.Open
	})
	return ids
}
