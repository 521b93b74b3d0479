package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"quincewinch/invariant"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/request"
	"quincewinch/standin/platform"
	"quincewinch/table"
)

const (
	changeBound  = 4 * time.Second // target time for a change to be in force at all daemons
	keyFreshness = 5 * time.Second
	stepInterval = 500 * time.Millisecond
)

// manualClock advances only when it is set or slept on.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) Sleep(_ context.Context, d time.Duration) error {
	c.now = c.now.Add(d)
	return nil
}

func (c *manualClock) NewTimer(time.Duration) peer.Timer { return nil }

// discard drops events and issues zero stamps.
type discard struct{}

func (discard) Record(models.Event)  {}
func (discard) Stamp() models.Stamp  { return models.Stamp{} }
func (discard) Observe(models.Stamp) {}

// world simulates a platform and daemons in one goroutine. It calls onBoundary
// before and after each call between them, which lets a test interleave other
// actions.
type world struct {
	clock      *manualClock
	store      *platform.Store
	daemons    []*testDaemon
	cuts       map[[2]models.DaemonID]bool
	history    *invariant.History
	onBoundary func(td *testDaemon)
	onMessage  func(models.Gossip)
	started    int
	secrets    map[models.KeyID]string
	rows       []models.RowKey
}

func newWorld(zones ...models.Zone) *world {
	w := &world{
		clock:      &manualClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		cuts:       map[[2]models.DaemonID]bool{},
		history:    &invariant.History{},
		onBoundary: func(*testDaemon) {},
		onMessage:  func(models.Gossip) {},
		secrets:    map[models.KeyID]string{},
	}
	w.store = platform.NewStore(w.clock)
	w.seed(table.KindRoute, "model", `{"kind": "model"}`)
	w.seed(table.KindRoute, "open", `{"kind": "service", "open": true}`)
	w.seed(table.KindWorkspace, "w", `{"key-freshness": "5s"}`)
	for _, id := range []models.KeyID{"k0", "k1", "k2"} {
		hash := sha256.Sum256([]byte(id))
		w.seed(table.KindKey, string(id), `{"workspace": "w", "hash": "`+hex.EncodeToString(hash[:])+`"}`)
		w.secrets[id] = string(id)
	}
	for _, zone := range zones {
		w.start(zone, netip.AddrPort{})
	}
	return w
}

func (w *world) seed(kind table.Kind, name, cells string) {
	key := table.Key(kind, name)
	_, _ = w.store.Transact(context.Background(), models.Transaction{Writes: []models.Write{{Key: key, Value: []byte(cells)}}})
	w.rows = append(w.rows, key)
}

// start adds a daemon, at a new address if none is given.
func (w *world) start(zone models.Zone, address netip.AddrPort) *testDaemon {
	w.started++
	if !address.IsValid() {
		address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(w.started))
	}
	td := &testDaemon{world: w, observed: map[models.RowKey]models.Revision{}, self: table.Member{ID: models.DaemonID("d" + strconv.Itoa(w.started)), Zone: zone, Address: address}}
	td.configuration = NewConfiguration(td, w.clock, discard{})
	td.editing = NewEditing(td.self.ID)
	td.membership = NewMembership(td.self, td, td, w.clock, discard{}, td.configuration, td.editing)
	td.gossip = NewGossip(td.self, td, w.clock, discard{}, td.configuration, td.membership, td.editing)
	td.gossip.parallel = 1
	td.propagator = NewPropagator(td.gossip)
	td.editor = NewEditor(td.self.ID, td, td.configuration, td.editing, td.gossip, discard{})
	td.configuration.SetReaderFunc(td.membership.Reader)
	td.admit = request.Authenticate(td.configuration, w.clock)(request.HandlerFunc(func(context.Context, *request.Exchange) error { return nil }))
	w.daemons = append(w.daemons, td)
	return td
}

// run steps all daemons every stepInterval for a duration.
func (w *world) run(d time.Duration) {
	for end := w.clock.now.Add(d); w.clock.now.Before(end); {
		w.clock.now = w.clock.now.Add(stepInterval)
		for _, td := range slices.Clone(w.daemons) {
			td.step()
		}
	}
}

// cut sets whether two daemons are cut off from each other.
func (w *world) cut(a, b *testDaemon, cut bool) {
	w.cuts[[2]models.DaemonID{a.self.ID, b.self.ID}] = cut
	w.cuts[[2]models.DaemonID{b.self.ID, a.self.ID}] = cut
}

// isolate sets whether daemons are cut off from all others and the platform.
func (w *world) isolate(cut bool, daemons ...*testDaemon) {
	for _, td := range daemons {
		td.storeCut = cut
		td.listCut = cut
		for _, other := range w.daemons {
			if !slices.Contains(daemons, other) {
				w.cut(td, other, cut)
			}
		}
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.store.SetFaults(platform.Faults{})
	clear(w.cuts)
	w.onBoundary = func(*testDaemon) {}
	for _, td := range w.daemons {
		td.storeCut = false
		td.listCut = false
		td.laggedReads = nil
	}
}

// kill ends a daemon without notice to the others.
func (w *world) kill(td *testDaemon) {
	td.dead = true
	w.daemons = slices.DeleteFunc(w.daemons, func(other *testDaemon) bool { return other == td })
}

// testDaemon is one daemon and its connections to the platform and the others.
type testDaemon struct {
	world         *world
	self          table.Member
	configuration *Configuration
	editing       *Editing
	membership    *Membership
	gossip        *Gossip
	propagator    *Propagator
	editor        *Editor
	admit         request.Handler
	dead          bool
	busy          bool // a step is in progress
	storeCut      bool // cut off from the table
	listCut       bool // cut off from the list of VMs
	observed      map[models.RowKey]models.Revision
	laggedReads   map[models.Partition]models.Changes // if set, what reads return
}

var errCut = peer.NewFailure(peer.OutcomeNotDone, "cut off", nil)

// step runs each task once, unless a step is in progress.
func (td *testDaemon) step() {
	if td.dead || td.busy {
		return
	}
	td.busy = true
	defer func() { td.busy = false }()
	ctx := context.Background()
	for _, task := range []Task{td.configuration, td.membership, td.gossip, td.propagator, td.editor} {
		task.Step(ctx)
		if td.dead {
			return
		}
	}
	td.observe(false)
}

// observe records in the history the rows in force and the keys admitted. With
// ready unset it skips rows that have not changed since the last call.
func (td *testDaemon) observe(ready bool) {
	for _, key := range td.world.rows {
		row := td.configuration.Row(key)
		row.Key = key
		if !ready && row.Revision == td.observed[key] {
			continue // recorded before
		}
		td.observed[key] = row.Revision
		td.world.history.Observed(invariant.ObservedRow{At: td.world.clock.now, Daemon: td.self.ID, Row: row, Ready: ready})
	}
	for id := range td.world.secrets {
		if td.admits(id) {
			td.world.history.Run(invariant.Run{At: td.world.clock.now, Request: models.RequestID(td.self.ID), Workspace: "w", Key: id, Backend: "e"})
		}
	}
}

// admits reports whether a request with a key would be admitted here.
func (td *testDaemon) admits(id models.KeyID) bool {
	return td.admit.Handle(context.Background(), &request.Exchange{RouteName: "model", Key: td.world.secrets[id]}) == nil
}

// withdraw withdraws a key and records an accepted withdrawal.
func (td *testDaemon) withdraw(id models.KeyID) (models.Withdrawal, error) {
	w, err := td.editor.WithdrawKey(context.Background(), id)
	if err == nil {
		td.world.history.Withdrawal(invariant.Withdrawal{At: td.world.clock.now, Key: id, Bound: keyFreshness})
		td.recordAccepted(table.Key(table.KindKey, string(id)), w.Revision)
	}
	return w, err
}

// put edits the workspace, expecting the version known here.
func (td *testDaemon) put(weight int) error {
	key := table.Key(table.KindWorkspace, "w")
	row, err := td.editor.Put(context.Background(), "workspace", "w", td.configuration.Row(key).Revision, []byte(`{"weight": `+strconv.Itoa(weight)+`}`))
	if err == nil {
		td.recordAccepted(key, row.Version)
	}
	return err
}

func (td *testDaemon) recordAccepted(key models.RowKey, revision models.Revision) {
	td.world.history.Accepted(invariant.AcceptedRow{At: td.world.clock.now, Row: models.Row{Key: key, Revision: revision}, Bound: changeBound})
}

// call runs a call to the platform between two boundaries.
func (td *testDaemon) call(do func() error) error {
	td.world.onBoundary(td)
	if td.dead || td.storeCut {
		return errCut
	}
	err := do()
	td.world.onBoundary(td)
	if td.dead || td.storeCut {
		return peer.NewFailure(peer.OutcomeUnknown, "answer lost", nil)
	}
	return err
}

// Read implements peer.Table.
func (td *testDaemon) Read(ctx context.Context, keys ...models.RowKey) (rows []models.Row, err error) {
	err = td.call(func() (err error) {
		rows, err = td.world.store.Read(ctx, keys...)
		return err
	})
	if td.laggedReads != nil && err == nil {
		rows = slices.DeleteFunc(rows, func(row models.Row) bool { return row.Revision > td.laggedReads[row.Key.Partition].Through })
	}
	return rows, err
}

// Changes implements peer.Table.
func (td *testDaemon) Changes(ctx context.Context, partition models.Partition, after models.Revision) (changes models.Changes, err error) {
	err = td.call(func() (err error) {
		changes, err = td.world.store.Changes(ctx, partition, after)
		if lag, ok := td.laggedReads[partition]; ok && err == nil {
			changes = models.Changes{Through: lag.Through}
			for _, row := range lag.Rows {
				if row.Revision > after {
					changes.Rows = append(changes.Rows, row)
				}
			}
		}
		return err
	})
	return changes, err
}

// freezeReads makes this daemon's reads return the current state from now on.
func (td *testDaemon) freezeReads() {
	td.laggedReads = map[models.Partition]models.Changes{}
	for _, partition := range []models.Partition{models.PartitionConfig, models.PartitionDaemons} {
		if changes, err := td.world.store.Changes(context.Background(), partition, 0); err == nil {
			td.laggedReads[partition] = changes
		}
	}
}

// Transact implements peer.Table.
func (td *testDaemon) Transact(ctx context.Context, transaction models.Transaction) (revision models.Revision, err error) {
	err = td.call(func() (err error) {
		revision, err = td.world.store.Transact(ctx, transaction)
		return err
	})
	return revision, err
}

// List implements peer.VMs.
func (td *testDaemon) List(ctx context.Context) ([]models.VM, error) {
	if td.listCut {
		return nil, errCut
	}
	return td.world.store.List(ctx)
}

// Exchange implements peer.Daemons.
func (td *testDaemon) Exchange(_ context.Context, to models.VM, message models.Gossip) (models.Gossip, error) {
	td.world.onBoundary(td)
	other := td.reachable(to)
	if other == nil {
		return models.Gossip{}, errCut
	}
	answer := other.gossip.Receive(message)
	td.world.onMessage(message)
	td.world.onMessage(answer)
	td.world.onBoundary(td)
	if td.reachable(to) != other {
		return models.Gossip{}, errCut
	}
	return answer, nil
}

// Events implements peer.Daemons.
func (td *testDaemon) Events(context.Context, models.VM, models.EventFilter) ([]models.Event, error) {
	return nil, nil
}

// reachable returns the daemon at a VM's address if this one can reach it, or
// nil.
func (td *testDaemon) reachable(vm models.VM) *testDaemon {
	for _, other := range td.world.daemons {
		if other.self.Address == vm.Address && !td.dead && !td.world.cuts[[2]models.DaemonID{td.self.ID, other.self.ID}] {
			return other
		}
	}
	return nil
}
