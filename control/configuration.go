package control

import (
	"context"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/table"
)

const (
	// readTimeout limits one read of the table's changes.
	readTimeout = 2 * time.Second
	// evidenceRefreshAge is the age of the evidence from which a daemon looks
	// for newer evidence in other ways: by reading the table itself, or from
	// the answers of other daemons.
	evidenceRefreshAge = 1500 * time.Millisecond
	// fallbackInterval is the minimum time between two reads by a daemon that
	// is not a table reader.
	fallbackInterval = 2 * time.Second
	// maxDeltaRows limits the rows in one message to another daemon.
	maxDeltaRows = 2000
)

// Configuration holds the configuration in force. It never goes back: of two
// versions of a row, the one with the higher revision wins, and one that the
// table lost when it returned from an older copy stays in force.
type Configuration struct {
	table    peer.Table
	clock    peer.Clock
	timeline peer.Timeline
	isReader func() bool

	mu           sync.Mutex
	replica      *Replica
	config       *models.Config
	roster       Roster
	evidence     models.Evidence
	readEra      uint64    // latest era in which all rows were read here
	lastReadAt   time.Time // start of the latest read
	failingSince time.Time // start of the first failed read since the last success; zero: none
	changed      chan struct{}
	updated      bool // rows arrived that have not been propagated yet
}

// NewConfiguration returns an empty configuration without evidence.
func NewConfiguration(t peer.Table, clock peer.Clock, timeline peer.Timeline) *Configuration {
	return &Configuration{
		table:    t,
		clock:    clock,
		timeline: timeline,
		isReader: func() bool { return true },
		replica:  NewReplica(),
		config:   table.NewConfig(),
		roster:   NewRoster(),
		evidence: models.Evidence{Source: models.EvidenceNone},
		changed:  make(chan struct{}),
	}
}

// SetReaderFunc sets the function that reports whether this daemon is a table
// reader, which reads the table at each step. Call it before the first step.
func (c *Configuration) SetReaderFunc(isReader func() bool) {
	c.isReader = isReader
}

// Config implements peer.Configuration.
func (c *Configuration) Config() *models.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config
}

// Evidence implements peer.Configuration.
func (c *Configuration) Evidence() models.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence
}

// Watch implements peer.Configuration.
func (c *Configuration) Watch() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Roster returns the registered daemons.
func (c *Configuration) Roster() Roster {
	c.mu.Lock()
	defer c.mu.Unlock()
	roster := c.roster
	roster.Through = c.replica.Through()
	return roster
}

// StoreFailing returns how long the table has been unreachable, or 0 if the
// latest read succeeded.
func (c *Configuration) StoreFailing() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failingSince.IsZero() {
		return 0
	}
	return max(1, c.clock.Now().Sub(c.failingSince))
}

// Rows returns all rows that operators edit, including tombstones, sorted by
// name.
func (c *Configuration) Rows() []models.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.Rows(models.PartitionConfig)
}

// Row returns this daemon's version of a row, or the zero row if it has none.
func (c *Configuration) Row(key models.RowKey) models.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.rows[key]
}

// Step reads the table's changes if a read is due.
func (c *Configuration) Step(ctx context.Context) {
	if c.readDue() {
		c.Read(ctx)
	}
}

// readDue reports whether to read the table now. Table readers read at each
// step, other daemons when their evidence gets old, the last read failed, or the
// table has returned from an older copy.
func (c *Configuration) readDue() bool {
	if c.isReader() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if now.Sub(c.lastReadAt) < fallbackInterval {
		return false
	}
	return !c.failingSince.IsZero() || now.Sub(c.evidence.At) > evidenceRefreshAge || c.readEra < c.replica.Through().Era()
}

// Read reads the table's changes, then checks with a transaction whether any
// edit is missing from them: a read may lag, a transaction does not.
func (c *Configuration) Read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	c.mu.Lock()
	started := c.clock.Now()
	c.lastReadAt = started
	after := c.replica.Through()
	if c.readEra < after.Era() {
		after = 0 // registrations that the table has lost show only in a list of all rows
	}
	c.mu.Unlock()
	changes, err := c.readChanges(ctx, after)
	if err != nil {
		c.recordReachability(started, false)
		return
	}
	latestEdit, complete := c.applyRead(changes, after)
	_, err = c.table.Transact(ctx, models.Transaction{
		Conditions: []models.Condition{{Key: table.LatestEditKey, Revision: latestEdit}},
	})
	c.recordReachability(started, err == nil || peer.OutcomeOf(err) == peer.OutcomeConflict)
	if err == nil && complete {
		c.AddEvidence(models.Evidence{At: started, Source: models.EvidenceOwnRead})
	}
}

// applyRead applies the changes read. It returns the revision of the latest
// edit known, and whether all edits up to it are known.
func (c *Configuration) applyRead(changes models.Changes, after models.Revision) (latestEdit models.Revision, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(changes.Rows, after, changes.Through)
	if era := changes.Through.Era(); era > c.readEra && era == c.replica.Through().Era() {
		c.readEra = era
		c.roster = c.roster.with(c.replica.DropRegistrations())
	}
	latestEdit = c.replica.rows[table.LatestEditKey].Revision
	return latestEdit, latestEdit <= c.replica.Through()
}

// recordReachability records whether a read started at the given time reached
// the table.
func (c *Configuration) recordReachability(started time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case ok:
		c.failingSince = time.Time{}
	case c.failingSince.IsZero():
		c.failingSince = started
	}
}

// readChanges reads the changes of the partitions that all daemons replicate.
func (c *Configuration) readChanges(ctx context.Context, after models.Revision) (models.Changes, error) {
	changes, err := c.table.Changes(ctx, models.PartitionDaemons, after)
	if err != nil {
		return models.Changes{}, err
	}
	edits, err := c.table.Changes(ctx, models.PartitionConfig, after)
	if err != nil {
		return models.Changes{}, err
	}
	changes.Rows = append(changes.Rows, edits.Rows...)
	changes.Through = min(changes.Through, edits.Through)
	return changes, nil
}

// ApplyCommitted applies rows that are known to be committed.
func (c *Configuration) ApplyCommitted(rows []models.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(rows, 0, 0)
}

// ApplyDelta applies a peer's rows with revisions above base, complete through
// the given revision. It reports whether rows up to base may be missing here.
func (c *Configuration) ApplyDelta(rows []models.Row, base, through models.Revision) (missing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing = base > c.replica.Through()
	c.apply(rows, base, through)
	return missing
}

// Delta returns the rows written after a revision, the revision through which
// the list is complete, and the evidence for it: none if the limit on rows cut
// the list short.
func (c *Configuration) Delta(after models.Revision) (rows []models.Row, through models.Revision, evidence models.Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows, through, more := c.replica.RowsAfter(after, maxDeltaRows)
	if more {
		return rows, through, models.Evidence{Source: models.EvidenceNone}
	}
	return rows, through, c.evidence
}

// Lost returns the rows in force that the table may lack, since it returned from
// an older copy.
func (c *Configuration) Lost() []models.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.Lost()
}

// NextEdit returns what to store in the row of the latest edit, see
// Replica.NextEdit.
func (c *Configuration) NextEdit(name string, original models.Revision) table.LatestEdit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.NextEdit(name, original)
}

// AddEvidence records evidence for rows that have already been applied.
func (c *Configuration) AddEvidence(evidence models.Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addEvidence(evidence)
}

// ConsumeUpdated reports whether rows arrived since the last call.
func (c *Configuration) ConsumeUpdated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	updated := c.updated
	c.updated = false
	return updated
}

// addEvidence replaces older evidence. The caller holds the lock.
func (c *Configuration) addEvidence(evidence models.Evidence) {
	if evidence.Source != models.EvidenceNone && evidence.At.After(c.evidence.At) {
		c.evidence = evidence
	}
}

// apply applies rows to the replica and updates the configuration from it. The
// caller holds the lock.
func (c *Configuration) apply(rows []models.Row, base, through models.Revision) {
	var edits, registrations []table.Change
	for _, change := range c.replica.Apply(rows) {
		switch {
		case change.New.Key == table.LatestEditKey:
		case change.New.Key.Partition == models.PartitionDaemons:
			registrations = append(registrations, change)
		default:
			edits = append(edits, change)
		}
	}
	c.replica.Advance(base, through)
	if len(registrations) > 0 {
		c.updated = true
		c.roster = c.roster.with(registrations)
	}
	if len(edits) == 0 && c.replica.Through() == c.config.Through {
		return
	}
	config, faults := table.Apply(c.config, c.replica.Through(), edits)
	for _, fault := range faults {
		c.timeline.Record(models.Event{Kind: models.EventConfig, What: "row left out", Why: fault.Error()})
	}
	c.config = config
	if len(edits) > 0 {
		c.updated = true
		close(c.changed)
		c.changed = make(chan struct{})
	}
}
