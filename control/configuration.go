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
	// readTimeout bounds one read of the table's changes.
	readTimeout = 2 * time.Second
	// evidenceDue is the age at which evidence is looked for by other ways.
	evidenceDue = 1500 * time.Millisecond
	// fallbackEvery is the least time between two reads of a daemon that is
	// no table reader.
	fallbackEvery = 2 * time.Second
	// deltaRows bounds the rows of one message to another daemon.
	deltaRows = 2000
)

// Configuration keeps the configuration in force. It only moves forward: of
// two versions of a row the one with the higher revision stands.
type Configuration struct {
	table    peer.Table
	clock    peer.Clock
	timeline peer.Timeline
	reader   func() bool

	mu       sync.Mutex
	replica  *Replica
	config   *models.Config
	roster   Roster
	evidence models.Evidence
	readAt   time.Time // start of the latest read
	failing  time.Time // start of the first of the reads that have failed since; zero: none
	changed  chan struct{}
	news     bool // rows came in that were not spread yet
}

// NewConfiguration returns an empty configuration that is not ready.
func NewConfiguration(t peer.Table, clock peer.Clock, timeline peer.Timeline) *Configuration {
	return &Configuration{
		table:    t,
		clock:    clock,
		timeline: timeline,
		reader:   func() bool { return true },
		replica:  NewReplica(),
		config:   table.NewConfig(),
		roster:   NewRoster(),
		evidence: models.Evidence{Source: models.EvidenceNone},
		changed:  make(chan struct{}),
	}
}

// ReadWhen sets who tells whether this daemon is a table reader, one that
// reads the table at each step. Call it before the first step.
func (c *Configuration) ReadWhen(reader func() bool) {
	c.reader = reader
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

// StoreFailing returns how long the table has been out of reach; 0 where the
// latest read succeeded.
func (c *Configuration) StoreFailing() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing.IsZero() {
		return 0
	}
	return max(1, c.clock.Now().Sub(c.failing))
}

// Rows returns all rows that operators edit, tombstones included, in order of
// name.
func (c *Configuration) Rows() []models.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.Rows(models.PartitionConfig)
}

// Row returns a row as this daemon knows it, the zero row if it does not.
func (c *Configuration) Row(key models.RowKey) models.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.rows[key]
}

// Step reads what has changed where it is this daemon's turn.
func (c *Configuration) Step(ctx context.Context) {
	if c.due() {
		c.Read(ctx)
	}
}

// due reports whether to read the table: table readers at each step, others
// where their evidence gets old or the table was out of reach.
func (c *Configuration) due() bool {
	if c.reader() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if now.Sub(c.readAt) < fallbackEvery {
		return false
	}
	return !c.failing.IsZero() || now.Sub(c.evidence.At) > evidenceDue
}

// Read reads what has changed in the table, and then asks the table whether
// that is all: a read may lag, a transaction does not.
func (c *Configuration) Read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	c.mu.Lock()
	started := c.clock.Now()
	c.readAt = started
	after := c.replica.Through()
	c.mu.Unlock()
	changes, err := c.changes(ctx, after)
	if err != nil {
		c.reached(started, false)
		return
	}
	mark, complete := c.takeRead(changes, after)
	_, err = c.table.Transact(ctx, models.Transaction{
		Conditions: []models.Condition{{Key: table.EditMarkKey, Revision: mark}},
	})
	c.reached(started, err == nil || peer.OutcomeOf(err) == peer.OutcomeConflict)
	if err == nil && complete {
		c.Prove(models.Evidence{At: started, Source: models.EvidenceOwnRead})
	}
}

// takeRead takes in what was read, and returns the latest edit known and
// whether all edits up to it are.
func (c *Configuration) takeRead(changes models.Changes, after models.Revision) (mark models.Revision, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.take(changes.Rows, after, changes.Through)
	mark = c.replica.rows[table.EditMarkKey].Revision
	return mark, mark <= c.replica.Through()
}

// reached notes whether the table was in reach of a read begun at a time.
func (c *Configuration) reached(started time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case ok:
		c.failing = time.Time{}
	case c.failing.IsZero():
		c.failing = started
	}
}

// changes reads the partitions that all daemons share.
func (c *Configuration) changes(ctx context.Context, after models.Revision) (models.Changes, error) {
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

// Learn takes in rows that are known to be committed.
func (c *Configuration) Learn(rows []models.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.take(rows, 0, 0)
}

// TakeDelta takes in the rows after base that a peer sent, complete up to
// through, and reports whether rows before base may be missing here.
func (c *Configuration) TakeDelta(rows []models.Row, base, through models.Revision) (missing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing = base > c.replica.Through()
	c.take(rows, base, through)
	return missing
}

// Delta returns the rows written after a revision, the revision up to which
// the list is complete, and the evidence that goes with it: none where rows
// had to be left out.
func (c *Configuration) Delta(after models.Revision) (rows []models.Row, through models.Revision, evidence models.Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows, through, more := c.replica.Newer(after, deltaRows)
	if more {
		return rows, through, models.Evidence{Source: models.EvidenceNone}
	}
	return rows, through, c.evidence
}

// Prove takes in evidence that rests on rows already taken.
func (c *Configuration) Prove(evidence models.Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prove(evidence)
}

// TakeNews reports whether rows came in since the last call.
func (c *Configuration) TakeNews() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	news := c.news
	c.news = false
	return news
}

// prove replaces older evidence. The lock is held.
func (c *Configuration) prove(evidence models.Evidence) {
	if evidence.Source != models.EvidenceNone && evidence.At.After(c.evidence.At) {
		c.evidence = evidence
	}
}

// take lays rows over the replica and brings the configuration up to it. The
// lock is held.
func (c *Configuration) take(rows []models.Row, base, through models.Revision) {
	var edits, registrations []table.Change
	for _, change := range c.replica.Take(rows) {
		switch {
		case change.New.Key == table.EditMarkKey:
		case change.New.Key.Partition == models.PartitionDaemons:
			registrations = append(registrations, change)
		default:
			edits = append(edits, change)
		}
	}
	c.replica.Advance(base, through)
	if len(registrations) > 0 {
		c.news = true
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
		c.news = true
		close(c.changed)
		c.changed = make(chan struct{})
	}
}
