package control_test

import (
	"context"
	"encoding/json"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"quincewinch/control"
	"quincewinch/invariant"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/platform"
	standin "quincewinch/standin/platform"
)

// fault is a kind of failure injected into a machine.
type fault string

const (
	faultKill  fault = "kill"  // the process ends
	faultPause fault = "pause" // the process is paused
	faultCut   fault = "cut"   // its requests are lost
	faultMute  fault = "mute"  // answers to it are lost
	faultLate  fault = "late"  // its writes to the table arrive after it has timed out
	faultSlow  fault = "slow"  // its requests are delayed
)

var faults = []fault{faultKill, faultPause, faultCut, faultMute, faultLate, faultSlow}

// scheduledFault is a fault that begins at a step.
type scheduledFault struct {
	step     int
	kind     fault
	duration time.Duration
}

// machine simulates the clock and network of one process. Each reading of the
// clock and each call is a step at which a fault may begin. A pause at a reading
// of the clock leaves the process with the time from before the pause.
type machine struct {
	peer.Clock
	mu           sync.Mutex
	scheduled    []scheduledFault
	pending      []scheduledFault // those of scheduled that may still begin
	step         int
	killed       bool
	activeUntil  map[fault]time.Time
	firstFaultAt time.Time // when its first fault began
}

func newMachine(scheduled ...scheduledFault) *machine {
	return &machine{Clock: clock, scheduled: scheduled, pending: scheduled, activeUntil: map[fault]time.Time{}}
}

// checkpoint counts one step, starts the faults scheduled for it, and applies a
// pause. It ends the goroutine of a killed process.
func (m *machine) checkpoint() {
	m.mu.Lock()
	m.step++
	now := m.Clock.Now()
	for _, e := range m.pending {
		if e.step == m.step {
			m.startFault(e, now)
		}
	}
	killed, pause := m.killed, m.activeUntil[faultPause].Sub(now)
	m.mu.Unlock()
	if killed {
		runtime.Goexit()
	}
	if pause > 0 {
		_ = m.Sleep(context.Background(), pause)
	}
}

func (m *machine) startFault(e scheduledFault, now time.Time) {
	if m.firstFaultAt.IsZero() {
		m.firstFaultAt = now
	}
	m.killed = m.killed || e.kind == faultKill
	m.activeUntil[e.kind] = now.Add(e.duration)
}

// progress returns the number of steps so far and when the first fault began.
func (m *machine) progress() (steps int, struck time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.step, m.firstFaultAt
}

// faultActive reports whether a fault is in effect.
func (m *machine) faultActive(what fault) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now().Before(m.activeUntil[what])
}

// Now implements peer.Clock.
func (m *machine) Now() time.Time {
	now := m.Clock.Now()
	m.checkpoint()
	return now
}

// send makes a call over the machine's network, subject to its faults. The
// call's deadline is checked at the instant at which the call takes effect.
func (m *machine) send(ctx context.Context, call func() error) error {
	m.checkpoint()
	if m.faultActive(faultSlow) {
		_ = clock.Sleep(ctx, slowDelay)
	}
	if ctx.Err() != nil {
		return peer.NewFailure(peer.OutcomeUnknown, "deadline exceeded before the call arrived", ctx.Err())
	}
	if m.faultActive(faultCut) {
		return blockUntilDone(ctx)
	}
	err := call()
	m.checkpoint()
	if m.faultActive(faultMute) {
		return blockUntilDone(ctx)
	}
	return err
}

func blockUntilDone(ctx context.Context) error {
	<-ctx.Done()
	return peer.NewFailure(peer.OutcomeUnknown, "no answer", ctx.Err())
}

// machineTable is the table as a machine reaches it.
type machineTable struct {
	machine *machine
	table   peer.Table
}

func (t machineTable) Read(ctx context.Context, keys ...models.RowKey) (rows []models.Row, err error) {
	err = t.machine.send(ctx, func() error {
		rows, err = t.table.Read(context.Background(), keys...)
		return err
	})
	return rows, err
}

func (t machineTable) Changes(ctx context.Context, partition models.Partition, after models.Revision) (changes models.Changes, err error) {
	err = t.machine.send(ctx, func() error {
		changes, err = t.table.Changes(context.Background(), partition, after)
		return err
	})
	return changes, err
}

func (t machineTable) Transact(ctx context.Context, transaction models.Transaction) (revision models.Revision, err error) {
	if t.machine.faultActive(faultLate) {
		go func() {
			_ = clock.Sleep(context.Background(), lateDelay)
			_, _ = t.table.Transact(context.Background(), transaction)
		}()
		return 0, blockUntilDone(ctx)
	}
	err = t.machine.send(ctx, func() error {
		revision, err = t.table.Transact(context.Background(), transaction)
		return err
	})
	return revision, err
}

const slowDelay = 900 * time.Millisecond

const lateDelay = 6 * time.Second

// orderedEngine accepts orders and records them. If fenced, it rejects orders
// with a fencing number lower than the last one's.
type orderedEngine struct {
	peer.Engine
	store   *standin.Store
	history *invariant.History
	fenced  bool

	mu       sync.Mutex
	fence    uint64
	last     string
	finished time.Time
	count    int
}

const changeDuration = 700 * time.Millisecond

// accept carries out an order, or rejects it as stale.
func (e *orderedEngine) accept(daemon models.DaemonID, order models.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced && order.Fence < e.fence {
		return peer.NewFailure(peer.OutcomeStale, "stale fencing number", nil)
	}
	now := clock.Now()
	e.fence = order.Fence
	e.last = order.ID
	e.finished = now.Add(changeDuration)
	e.count++
	e.history.EngineOrder(invariant.EngineOrder{
		At:         now,
		Order:      order,
		Daemon:     daemon,
		Authorised: holds(e.store, zoneLease, daemon),
		Finished:   e.finished,
	})
	return nil
}

// orderCount returns the number of orders accepted.
func (e *orderedEngine) orderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.count
}

func (e *orderedEngine) state() models.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return models.EngineState{Engine: "e", LastOrder: e.last, Changing: clock.Now().Before(e.finished)}
}

// machineEngine is the engine as a machine reaches it.
type machineEngine struct {
	peer.Engine
	machine *machine
	daemon  models.DaemonID
	engine  *orderedEngine
}

func (e machineEngine) Order(ctx context.Context, order models.Order) error {
	return e.machine.send(ctx, func() error { return e.engine.accept(e.daemon, order) })
}

func (e machineEngine) State(ctx context.Context) (state models.EngineState, err error) {
	err = e.machine.send(ctx, func() error {
		state = e.engine.state()
		return nil
	})
	return state, err
}

// machineServers is the interface for ordering backend servers as a machine
// reaches it.
type machineServers struct {
	peer.Servers
	machine *machine
	daemon  models.DaemonID
	store   *standin.Store
	servers *standin.Servers
	history *invariant.History
}

func (s machineServers) Order(ctx context.Context, order models.ServerOrder) error {
	return s.machine.send(ctx, func() error {
		s.history.ServerOrder(invariant.ServerOrder{
			At:         clock.Now(),
			Order:      order,
			Daemon:     s.daemon,
			Authorised: holds(s.store, zoneLease, s.daemon),
		})
		return s.servers.Order(context.Background(), order)
	})
}

const zoneLease = models.LeaseName("engines/z")

// holds reports whether the table shows a daemon as the holder of a lease.
func holds(store *standin.Store, name models.LeaseName, daemon models.DaemonID) bool {
	return holder(store, name) == daemon
}

// deployment is a set of daemons that send orders to one engine.
type deployment struct {
	store    *standin.Store
	engine   *orderedEngine
	servers  *standin.Servers
	history  *invariant.History
	machines []*machine
	leases   []*control.Leases
	stop     context.CancelFunc
	group    sync.WaitGroup
}

// deploy starts a daemon for each machine.
func deploy(t *testing.T, fenced bool, machines ...*machine) *deployment {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	store := standin.NewStore(clock)
	history := &invariant.History{}
	d := &deployment{
		store:    store,
		servers:  standin.NewServers(store),
		history:  history,
		engine:   &orderedEngine{store: store, history: history, fenced: fenced},
		machines: machines,
		stop:     stop,
	}
	for i, m := range machines {
		d.start(ctx, i, m)
	}
	return d
}

func (d *deployment) start(ctx context.Context, i int, m *machine) {
	id := models.DaemonID("d" + strconv.Itoa(i))
	table := platform.NewRetryTable(machineTable{m, d.store}, m, platform.DefaultRetrySettings(time.Second, uint64(i)))
	names := func() []models.LeaseName { return []models.LeaseName{zoneLease} }
	leases := control.NewLeases(control.Candidate{Daemon: id, Zone: "z"}, table, m, discardTimeline{}, nil, names, control.DefaultLeaseSettings())
	engines := oneEngine{machineEngine{machine: m, daemon: id, engine: d.engine}}
	servers := machineServers{machine: m, daemon: id, store: d.store, servers: d.servers, history: d.history}
	orders := control.NewOrders(table, engines, servers, m, discardTimeline{}, control.DefaultOrderSettings())
	d.leases = append(d.leases, leases)
	delay := time.Duration(i) * 300 * time.Millisecond // the first daemon becomes the holder
	d.loop(ctx, m, delay, 250*time.Millisecond, func() { leases.Step(ctx) })
	number := 0
	d.loop(ctx, m, delay, 800*time.Millisecond, func() {
		authority := leases.Authority(zoneLease)
		if authority.Fence == 0 {
			return
		}
		d.recordAuthority(id, authority)
		number++
		order := models.Order{ID: string(id) + "-" + strconv.Itoa(number), Kind: models.OrderRole}
		_ = orders.Send(ctx, authority, server, order)
	})
	d.loop(ctx, m, delay, 1900*time.Millisecond, func() {
		authority := leases.Authority(zoneLease)
		if authority.Fence == 0 {
			return
		}
		id := string(id) + "-servers-" + strconv.FormatInt(clock.Now().UnixNano(), 10)
		_ = orders.SendServerOrder(ctx, authority, models.ServerOrder{ID: id, Zone: "z", Count: 1})
	})
}

// recordAuthority records the time for which a daemon believes that it holds the
// lease.
func (d *deployment) recordAuthority(daemon models.DaemonID, authority models.Authority) {
	now := clock.Now()
	if !authority.Valid(now) {
		return // the process was paused after reading its authority
	}
	d.history.LeaseTerm(invariant.LeaseTerm{
		Lease:  authority.Lease,
		Daemon: daemon,
		Fence:  authority.Fence,
		From:   now,
		Until:  authority.Deadline,
	})
}

// loop runs a task of a machine until the deployment stops.
func (d *deployment) loop(ctx context.Context, m *machine, delay, interval time.Duration, step func()) {
	d.group.Go(func() {
		_ = clock.Sleep(ctx, delay)
		for ctx.Err() == nil {
			step()
			m.checkpoint()
			_ = clock.Sleep(ctx, interval)
		}
	})
}

// finish stops the daemons and waits for delayed writes to arrive.
func (d *deployment) finish() {
	d.stop()
	d.group.Wait()
	_ = clock.Sleep(context.Background(), 2*lateDelay)
}

// holder returns the holder of a lease according to the table.
func holder(store *standin.Store, name models.LeaseName) models.DaemonID {
	key := models.RowKey{Partition: models.PartitionLeases, Name: "holder/" + string(name)}
	rows, err := store.Read(context.Background(), key)
	if err != nil || len(rows) == 0 {
		return ""
	}
	var form struct{ Holder models.DaemonID }
	if err := json.Unmarshal(rows[0].Value, &form); err != nil {
		return ""
	}
	return form.Holder
}
