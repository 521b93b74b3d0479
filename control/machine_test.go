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

// trouble is what befalls a machine at one of its steps.
type trouble string

const (
	troubleKill  trouble = "kill"  // the process ends
	troublePause trouble = "pause" // the process stands still
	troubleCut   trouble = "cut"   // nothing that it sends arrives
	troubleMute  trouble = "mute"  // what it sends arrives, answers do not
	troubleLate  trouble = "late"  // what it sends arrives after it gave up
	troubleSlow  trouble = "slow"  // what it sends takes its time
)

var troubles = []trouble{troubleKill, troublePause, troubleCut, troubleMute, troubleLate, troubleSlow}

// event is a trouble that begins at a step.
type event struct {
	step  int
	what  trouble
	lasts time.Duration
}

// machine runs one process. Each reading of its clock, and each call that it
// makes, is a step at which trouble may begin; a pause at a reading lets the
// process go on with the old time.
type machine struct {
	peer.Clock
	mu     sync.Mutex
	drawn  []event
	events []event // those of drawn that may still begin
	step   int
	killed bool
	until  map[trouble]time.Time
	struck time.Time // when its first trouble began
}

func newMachine(events ...event) *machine {
	return &machine{Clock: clock, drawn: events, events: events, until: map[trouble]time.Time{}}
}

// point is one step. A killed process gets no further.
func (m *machine) point() {
	m.mu.Lock()
	m.step++
	now := m.Clock.Now()
	for _, e := range m.events {
		if e.step == m.step {
			m.begin(e, now)
		}
	}
	killed, pause := m.killed, m.until[troublePause].Sub(now)
	m.mu.Unlock()
	if killed {
		runtime.Goexit()
	}
	if pause > 0 {
		_ = m.Sleep(context.Background(), pause)
	}
}

func (m *machine) begin(e event, now time.Time) {
	if m.struck.IsZero() {
		m.struck = now
	}
	m.killed = m.killed || e.what == troubleKill
	m.until[e.what] = now.Add(e.lasts)
}

// seen returns how many steps there were, and when trouble first began.
func (m *machine) seen() (steps int, struck time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.step, m.struck
}

// in reports whether a trouble is on.
func (m *machine) in(what trouble) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now().Before(m.until[what])
}

// Now implements peer.Clock.
func (m *machine) Now() time.Time {
	now := m.Clock.Now()
	m.point()
	return now
}

// send carries a call over the machine's network. The deadline of the call is
// checked in the same instant in which it takes effect.
func (m *machine) send(ctx context.Context, call func() error) error {
	m.point()
	if m.in(troubleSlow) {
		_ = clock.Sleep(ctx, slowness)
	}
	if ctx.Err() != nil {
		return peer.NewFailure(peer.OutcomeUnknown, "the call's time was over", ctx.Err())
	}
	if m.in(troubleCut) {
		return silentUntil(ctx)
	}
	err := call()
	m.point()
	if m.in(troubleMute) {
		return silentUntil(ctx)
	}
	return err
}

func silentUntil(ctx context.Context) error {
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
	if t.machine.in(troubleLate) {
		go func() {
			_ = clock.Sleep(context.Background(), lateness)
			_, _ = t.table.Transact(context.Background(), transaction)
		}()
		return 0, silentUntil(ctx)
	}
	err = t.machine.send(ctx, func() error {
		revision, err = t.table.Transact(context.Background(), transaction)
		return err
	})
	return revision, err
}

const slowness = 900 * time.Millisecond

const lateness = 6 * time.Second

// plainEngine takes whatever order it gets, and keeps their history.
type plainEngine struct {
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

const changeTime = 700 * time.Millisecond

// take carries an order out.
func (e *plainEngine) take(daemon models.DaemonID, order models.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced && order.Fence < e.fence {
		return peer.NewFailure(peer.OutcomeStale, "old fencing number", nil)
	}
	now := clock.Now()
	e.fence = order.Fence
	e.last = order.ID
	e.finished = now.Add(changeTime)
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

// taken returns how many orders were taken.
func (e *plainEngine) taken() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.count
}

func (e *plainEngine) state() models.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return models.EngineState{Engine: "e", LastOrder: e.last, Changing: clock.Now().Before(e.finished)}
}

// machineEngine is the engine as a machine reaches it.
type machineEngine struct {
	peer.Engine
	machine *machine
	daemon  models.DaemonID
	engine  *plainEngine
}

func (e machineEngine) Order(ctx context.Context, order models.Order) error {
	return e.machine.send(ctx, func() error { return e.engine.take(e.daemon, order) })
}

func (e machineEngine) State(ctx context.Context) (state models.EngineState, err error) {
	err = e.machine.send(ctx, func() error {
		state = e.engine.state()
		return nil
	})
	return state, err
}

// machineServers is the ordering interface as a machine reaches it.
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

// deployment is a few daemons that give one engine orders.
type deployment struct {
	store    *standin.Store
	engine   *plainEngine
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
		engine:   &plainEngine{store: store, history: history, fenced: fenced},
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
	leases := control.NewLeases(control.Candidate{Daemon: id, Zone: "z"}, table, m, silence{}, nil, names, control.DefaultLeaseSettings())
	engines := oneEngine{machineEngine{machine: m, daemon: id, engine: d.engine}}
	servers := machineServers{machine: m, daemon: id, store: d.store, servers: d.servers, history: d.history}
	orders := control.NewOrders(table, engines, servers, m, silence{}, control.DefaultOrderSettings())
	d.leases = append(d.leases, leases)
	delay := time.Duration(i) * 300 * time.Millisecond // the first one becomes the holder
	d.loop(ctx, m, delay, 250*time.Millisecond, func() { leases.Step(ctx) })
	number := 0
	d.loop(ctx, m, delay, 800*time.Millisecond, func() {
		authority := leases.Authority(zoneLease)
		if authority.Fence == 0 {
			return
		}
		d.charge(id, authority)
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

// charge records that a daemon believes to hold the lease from now on.
func (d *deployment) charge(daemon models.DaemonID, authority models.Authority) {
	now := clock.Now()
	if !authority.Valid(now) {
		return // the process was paused after it had asked
	}
	d.history.Charge(invariant.Charge{
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
			m.point()
			_ = clock.Sleep(ctx, interval)
		}
	})
}

// finish stops the daemons, and waits for what is late.
func (d *deployment) finish() {
	d.stop()
	d.group.Wait()
	_ = clock.Sleep(context.Background(), 2*lateness)
}

// holder returns the holder of a lease by the table's row.
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
