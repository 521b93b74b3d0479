// Package platform is a small stand-in for the platform: the transactional
// table service, the object store, the list of VMs, orders for backend servers
// and usage reports. Store, Servers and Usage implement interfaces of package
// peer in memory; Handler serves them over HTTP.
package platform

import (
	"bytes"
	"context"
	"sort"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// Store holds the state of the platform in memory and can inject faults.
type Store struct {
	clock peer.Clock

	mu       sync.Mutex
	revision models.Revision
	rows     map[models.RowKey]models.Row
	replaced []replacedRow // oldest first
	objects  map[string][]byte
	vms      []models.VM
	servers  map[models.EngineID]models.BackendServer
	orders   []models.ServerOrder
	accepted map[string]models.UsageReport
	reports  []models.UsageReport
	faults   Faults
	counts   Counts
	launcher Launcher
}

// replacedRow is a row as it was before a write, kept to restore older copies. A
// row that had never been written has revision 0.
type replacedRow struct {
	row     models.Row
	version uint64 // of the write
	at      time.Time
}

// replacedRetention is how old a copy that Restore returns to may be.
const replacedRetention = time.Minute

// Faults are the faults injected into the platform. The zero value has none.
type Faults struct {
	Down  bool          // every call fails before it takes effect
	Delay time.Duration // added to every call
	// LoseAnswer, if set, is called after each committed write; if it returns
	// true, the answer is dropped.
	LoseAnswer func(transaction models.Transaction) bool
	// CommitDelay, if set, returns how long a transaction is delayed on its
	// way; if it is positive, the sender gets no answer.
	CommitDelay func(transaction models.Transaction) time.Duration
}

// Counts holds the numbers of calls.
type Counts struct {
	Reads  int64
	Writes int64
}

// Launcher starts and stops the backend servers that are ordered.
type Launcher interface {
	Launch(zone models.Zone, cheap bool) (models.BackendServer, error)
	Stop(engine models.EngineID) error
}

// NewStore returns an empty platform.
func NewStore(clock peer.Clock) *Store {
	return &Store{
		clock:    clock,
		rows:     map[models.RowKey]models.Row{},
		objects:  map[string][]byte{},
		servers:  map[models.EngineID]models.BackendServer{},
		accepted: map[string]models.UsageReport{},
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetVMs replaces the list of VMs.
func (s *Store) SetVMs(vms []models.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
}

// SetLauncher sets the launcher of backend servers.
func (s *Store) SetLauncher(launcher Launcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.launcher = launcher
}

// AddServer adds a running backend server.
func (s *Store) AddServer(server models.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[server.Engine] = server
}

// RemoveServer removes a backend server, as an eviction does.
func (s *Store) RemoveServer(engine models.EngineID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.servers, engine)
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// UsageReports returns the accepted usage reports in order of arrival.
func (s *Store) UsageReports() []models.UsageReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]models.UsageReport(nil), s.reports...)
}

// ServerOrders returns the orders for backend servers in order of arrival.
func (s *Store) ServerOrders() []models.ServerOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]models.ServerOrder(nil), s.orders...)
}

// Era returns the era of the table.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision.Era()
}

// Read implements peer.Table.
func (s *Store) Read(ctx context.Context, keys ...models.RowKey) ([]models.Row, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []models.Row
	for _, key := range keys {
		if row, ok := s.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Changes implements peer.Table.
func (s *Store) Changes(ctx context.Context, partition models.Partition, after models.Revision) (models.Changes, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return models.Changes{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := models.Changes{Through: s.revision, PlatformTime: s.clock.Now()}
	for key, row := range s.rows {
		if key.Partition == partition && row.Revision > after {
			changes.Rows = append(changes.Rows, row)
		}
	}
	sort.Slice(changes.Rows, func(i, j int) bool {
		a, b := changes.Rows[i], changes.Rows[j]
		if a.Revision != b.Revision {
			return a.Revision < b.Revision
		}
		return a.Key.Name < b.Key.Name
	})
	return changes, nil
}

// Transact implements peer.Table.
func (s *Store) Transact(ctx context.Context, transaction models.Transaction) (models.Revision, error) {
	if err := s.beginCall(ctx, true); err != nil {
		return 0, err
	}
	if delay := s.commitDelay(transaction); delay > 0 {
		go s.commitLater(transaction, delay)
		return 0, peer.NewFailure(peer.OutcomeUnknown, "the platform did not answer", nil)
	}
	revision, lose, err := s.commit(transaction)
	if err != nil {
		return 0, err
	}
	if lose {
		return 0, peer.NewFailure(peer.OutcomeUnknown, "the platform's answer was lost", nil)
	}
	return revision, nil
}

func (s *Store) commitDelay(transaction models.Transaction) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CommitDelay == nil {
		return 0
	}
	return s.faults.CommitDelay(transaction)
}

// commitLater commits a transaction that was delayed on its way. Its result is
// discarded.
func (s *Store) commitLater(transaction models.Transaction, delay time.Duration) {
	if err := s.clock.Sleep(context.Background(), delay); err != nil {
		return
	}
	_, _, _ = s.commit(transaction)
}

func (s *Store) commit(transaction models.Transaction) (models.Revision, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if transaction.Basis > 0 && transaction.Basis.Era() != s.revision.Era() {
		return 0, false, peer.NewFailure(peer.OutcomeRestored, "the table has returned from an older copy", nil)
	}
	for _, condition := range transaction.Conditions {
		if condition.Revision > 0 && condition.Revision.Era() != s.revision.Era() {
			return 0, false, peer.NewFailure(peer.OutcomeRestored, "the table has returned from an older copy", nil)
		}
		if s.rows[condition.Key].Revision != condition.Revision {
			return 0, false, peer.NewFailure(peer.OutcomeConflict, "row "+condition.Key.Name+" has changed", nil)
		}
	}
	s.revision++
	for _, write := range transaction.Writes {
		s.keepReplaced(write.Key)
		s.rows[write.Key] = models.Row{
			Key:      write.Key,
			Revision: s.revision,
			Value:    bytes.Clone(write.Value),
			Deleted:  write.Delete,
		}
	}
	lose := s.faults.LoseAnswer != nil && s.faults.LoseAnswer(transaction)
	return s.revision, lose, nil
}

// keepReplaced keeps a row that is about to be written. The caller holds s.mu.
func (s *Store) keepReplaced(key models.RowKey) {
	row := s.rows[key]
	row.Key = key
	now := s.clock.Now()
	s.replaced = append(s.replaced, replacedRow{row: row, version: s.revision.Version(), at: now})
	old := 0
	for now.Sub(s.replaced[old].at) > replacedRetention {
		old++
	}
	s.replaced = s.replaced[old:]
}

// Restore returns the table to a copy as of a version of at most
// replacedRetention ago, and starts the next era. Later versions are given out
// again. The platform's other services keep their state.
func (s *Store) Restore(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(s.replaced); n > 0 && s.replaced[n-1].version > version; n-- {
		row := s.replaced[n-1].row
		s.replaced = s.replaced[:n-1]
		s.rows[row.Key] = row
		if row.Revision == 0 {
			delete(s.rows, row.Key)
		}
	}
	era := s.revision.Era() + 1
	s.revision = models.NewRevision(era, min(s.revision.Version(), version))
	for key, row := range s.rows {
		row.Revision = models.NewRevision(era, row.Revision.Version())
		s.rows[key] = row
	}
}

// Revision returns the revision of the latest transaction.
func (s *Store) Revision() models.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Get implements peer.Objects.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[name]
	if !ok {
		return nil, peer.NewFailure(peer.OutcomeMissing, "no object "+name, nil)
	}
	return bytes.Clone(value), nil
}

// Put implements peer.Objects.
func (s *Store) Put(ctx context.Context, name string, value []byte) error {
	if err := s.beginCall(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[name]; ok && !bytes.Equal(old, value) {
		return peer.NewFailure(peer.OutcomeConflict, "object "+name+" exists", nil)
	}
	s.objects[name] = bytes.Clone(value)
	return nil
}

// Delete implements peer.Objects.
func (s *Store) Delete(ctx context.Context, name string) error {
	if err := s.beginCall(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}

// List implements peer.VMs.
func (s *Store) List(ctx context.Context) ([]models.VM, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]models.VM(nil), s.vms...), nil
}

// beginCall counts a call, waits for the injected delay and fails while the
// platform is down.
func (s *Store) beginCall(ctx context.Context, write bool) error {
	s.mu.Lock()
	faults := s.faults
	if write {
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
	s.mu.Unlock()
	if faults.Delay > 0 {
		if err := s.clock.Sleep(ctx, faults.Delay); err != nil {
			return peer.NewFailure(peer.OutcomeNotDone, "gave up waiting for the platform", err)
		}
	}
	if faults.Down {
		return peer.NewFailure(peer.OutcomeNotDone, "the platform is down", nil)
	}
	return nil
}
