package resume

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// maxFollowGap is the longest time between two answers of the store in which no
	// version is assumed to have come and gone unseen. It is longer than a call
	// that waits for changes.
	maxFollowGap = 3 * time.Second
	// staleView is how long a daemon that is cut off from the store may go on to
	// begin streams at servers whose registrations are gone.
	staleView = time.Minute
	// maxLifetime bounds how long a caller may resume a stream, whatever deadline it
	// states: one caller must not keep a version recorded for years.
	maxLifetime = 24 * time.Hour
	// minLifetime is the shortest lifetime of streams that is recorded. It doubles
	// until it is long enough, so that it is seldom written.
	minLifetime = 8 * time.Second
	// recordTimeout bounds how long changes of the registrations wait until a new
	// version is recorded.
	recordTimeout = 250 * time.Millisecond
)

// Table is the platform's table store.
type Table interface {
	// Changes lists all rows of a partition after revision zero.
	Changes(ctx context.Context, partition models.Partition, after models.Revision) (models.Changes, error)
	Transact(ctx context.Context, transaction models.Transaction) (models.Revision, error)
	// Era returns the latest era of the store that is known here, 0 if none is.
	Era() uint64
}

// Versions follows the registrations and keeps, in the platform's store, which
// software versions may have begun streams that callers may still resume. A version is
// recorded before its servers are used and until no caller may resume a stream that it
// began, so that a daemon that knows nothing else can tell from the record alone. It
// implements peer.UpstreamSource and VersionSource.
type Versions struct {
	source peer.UpstreamSource
	table  Table
	clock  peer.Clock
	logger *zap.Logger

	calling turn      // held during calls to the store
	readAt  time.Time // when the last read began; guarded by calling
	readErr error     // of that read; guarded by calling

	mu         sync.Mutex
	registered map[models.EngineID]models.Software
	followedAt time.Time // the last answer about registrations; zero if there was none
	records    map[models.ServiceName]versionRecord
	lifetimes  map[models.ServiceName]time.Duration // the longest needed
	offset     time.Duration                        // from the local clock to the store's
	synced     bool                                 // offset is known
	dirty      bool                                 // the record may differ from what it should be
	failing    bool                                 // the last call to the store failed
	era        uint64                               // of the store, at the last read
}

// NewVersions returns a source that passes on the registrations of another one and
// records their versions in a table.
func NewVersions(source peer.UpstreamSource, table Table, clock peer.Clock, logger *zap.Logger) *Versions {
	return &Versions{
		source:     source,
		table:      table,
		clock:      clock,
		logger:     logger,
		calling:    newTurn(),
		registered: map[models.EngineID]models.Software{},
		records:    map[models.ServiceName]versionRecord{},
		lifetimes:  map[models.ServiceName]time.Duration{},
	}
}

// Follow implements peer.UpstreamSource. A version that is not recorded yet is recorded
// before its registrations are passed on, unless the store does not answer soon.
func (v *Versions) Follow(ctx context.Context, after models.Revision, wait time.Duration) (models.UpstreamChanges, error) {
	changes, err := v.source.Follow(ctx, after, wait)
	if err != nil {
		return changes, err
	}
	if v.apply(changes) {
		call, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		v.sync(call)
	}
	return changes, nil
}

// apply applies changes that were read just now. It reports whether they have a version
// that is not recorded.
func (v *Versions) apply(changes models.UpstreamChanges) (unrecorded bool) {
	now := v.clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.followedAt = now
	before := v.current()
	if changes.All {
		clear(v.registered)
	}
	for _, id := range changes.Removed {
		delete(v.registered, id)
	}
	for _, upstream := range changes.Present {
		v.registered[upstream.ID] = upstream.Software()
	}
	after := v.current()
	if maps.Equal(before, after) {
		return false
	}
	v.dirty = true
	for software := range after {
		if until, ok := v.records[software.Service].versions[software.Version]; !ok || !until.IsZero() {
			unrecorded = unrecorded || !before[software]
		}
	}
	return unrecorded
}

// current returns the versions that are registered. The caller must hold v.mu.
func (v *Versions) current() map[models.Software]bool {
	versions := map[models.Software]bool{}
	for _, software := range v.registered {
		versions[software] = true
	}
	return versions
}

// Began implements VersionSource.
func (v *Versions) Began(service models.ServiceName, lifetime time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if lifetime <= max(v.lifetimes[service], v.records[service].lifetime) {
		return
	}
	v.lifetimes[service] = roundLifetime(lifetime)
	v.dirty = true
}

// Candidates implements VersionSource.
func (v *Versions) Candidates(service models.ServiceName) (versions []string, current bool) {
	now := v.clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.candidates(service, now), !v.followedAt.IsZero() && now.Sub(v.followedAt) <= maxFollowGap
}

// candidates returns the versions of a service that are registered or recorded. The
// caller must hold v.mu.
func (v *Versions) candidates(service models.ServiceName, now time.Time) []string {
	found := map[string]bool{}
	for _, software := range v.registered {
		if software.Service == service {
			found[software.Version] = true
		}
	}
	for version, until := range v.records[service].versions {
		if until.IsZero() || now.Add(v.offset).Before(until) {
			found[version] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// MayHaveBegun returns the software of some services that may have begun a stream which
// a caller resumes now. It reads the record anew: what this daemon has followed so far
// may be old, for a reason that it cannot notice.
func (v *Versions) MayHaveBegun(ctx context.Context, services []models.ServiceName) ([]models.Software, error) {
	arrived := v.clock.Now()
	if err := v.readSince(ctx, arrived); err != nil {
		return nil, err
	}
	now := v.clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var found []models.Software
	for _, service := range services {
		for _, version := range v.candidates(service, now) {
			found = append(found, models.Software{Service: service, Version: version})
		}
	}
	return found, nil
}

// readSince returns once the record was read by a call that began after a time. Requests
// that come while one is read share the next call.
func (v *Versions) readSince(ctx context.Context, at time.Time) error {
	if err := v.calling.take(ctx); err != nil {
		return err
	}
	defer v.calling.release()
	if !v.readAt.After(at) {
		// The callers that wait need the result, also if this one has gone.
		v.syncLocked(context.WithoutCancel(ctx))
	}
	return v.readErr
}

// Step brings the record up to date.
func (v *Versions) Step(ctx context.Context) {
	era := v.table.Era()
	v.mu.Lock()
	due := v.dirty || v.synced && era != v.era
	v.mu.Unlock()
	if due {
		v.sync(ctx)
	}
}

func (v *Versions) sync(ctx context.Context) {
	if v.calling.take(ctx) != nil {
		return // the version is recorded by the next Step
	}
	defer v.calling.release()
	v.syncLocked(ctx)
}

// syncLocked reads the record and writes what has changed. The caller must have
// v.calling.
func (v *Versions) syncLocked(ctx context.Context) {
	v.setDirty(false)
	v.readAt = v.clock.Now()
	changes, err := v.table.Changes(ctx, models.PartitionVersions, 0)
	v.readErr = err
	if err != nil {
		v.report(err)
		return
	}
	transaction := v.update(changes)
	if len(transaction.Writes) == 0 {
		v.report(nil)
		return
	}
	if _, err := v.table.Transact(ctx, transaction); err != nil && peer.OutcomeOf(err) != peer.OutcomeConflict {
		v.report(err)
		return
	}
	// Another daemon may have written first, and the revisions are new.
	changes, err = v.table.Changes(ctx, models.PartitionVersions, 0)
	if err == nil && len(v.update(changes).Writes) > 0 {
		v.setDirty(true)
	}
	v.report(err)
}

func (v *Versions) setDirty(dirty bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dirty = dirty
}

// report notes the result of calls to the store. After a failure they are repeated.
func (v *Versions) report(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.dirty = true
		if !v.failing {
			v.logger.Warn("versions of backend servers not recorded; retrying until the store answers", zap.Error(err))
		}
	}
	v.failing = err != nil
}

// update takes over the record as read, and returns a transaction that makes it what it
// should be.
func (v *Versions) update(changes models.Changes) models.Transaction {
	now := v.clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.era = changes.Through.Era()
	v.synced = true
	v.offset = changes.PlatformTime.Sub(now)
	v.records = map[models.ServiceName]versionRecord{}
	for _, row := range changes.Rows {
		record, err := decodeVersions(row)
		if err != nil {
			v.logger.Warn("record of versions not readable", zap.String("service", row.Key.Name), zap.Error(err))
		}
		v.records[models.ServiceName(row.Key.Name)] = record
	}
	registered := map[models.ServiceName]map[string]bool{}
	for software := range v.current() {
		if registered[software.Service] == nil {
			registered[software.Service] = map[string]bool{}
		}
		registered[software.Service][software.Version] = true
	}
	var ends time.Time // zero: what is missing here may be registered all the same
	if !v.followedAt.IsZero() && now.Sub(v.followedAt) <= maxFollowGap {
		ends = changes.PlatformTime
	}
	var transaction models.Transaction
	for service := range allKeys(v.records, registered) {
		record := v.records[service]
		next, changed := record.updated(registered[service], v.lifetimes[service], ends)
		if !changed {
			continue
		}
		v.logger.Info("versions of a service change",
			zap.String("service", string(service)), zap.Strings("from", record.names()), zap.Strings("to", next.names()), zap.Duration("lifetime", next.lifetime))
		key := models.RowKey{Partition: models.PartitionVersions, Name: string(service)}
		transaction.Conditions = append(transaction.Conditions, models.Condition{Key: key, Revision: record.revision})
		transaction.Writes = append(transaction.Writes, models.Write{Key: key, Value: next.encode()})
	}
	return transaction
}

// allKeys returns the keys of two maps.
func allKeys[K comparable, A, B any](a map[K]A, b map[K]B) map[K]bool {
	keys := map[K]bool{}
	for key := range a {
		keys[key] = true
	}
	for key := range b {
		keys[key] = true
	}
	return keys
}

// storeTime returns the time of the store's clock at a local time. It reports false
// before the first answer of the store.
func (v *Versions) storeTime(at time.Time) (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return at.Add(v.offset), v.synced
}

// roundLifetime returns the lifetime to record for streams that callers may resume for
// as long.
func roundLifetime(lifetime time.Duration) time.Duration {
	rounded := minLifetime
	for rounded < lifetime {
		rounded *= 2
	}
	return rounded
}
