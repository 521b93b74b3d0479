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
	changeBound  = 4 * time.Second // the stated aim for a change to be in force
	keyFreshness = 5 * time.Second
	round        = 500 * time.Millisecond
)

// manualClock moves only when told to.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) Sleep(_ context.Context, d time.Duration) error {
	c.now = c.now.Add(d)
	return nil
}

func (c *manualClock) NewTimer(time.Duration) peer.Timer { return nil }

// nowhere drops events and orders nothing.
type nowhere struct{}

func (nowhere) Record(models.Event)  {}
func (nowhere) Stamp() models.Stamp  { return models.Stamp{} }
func (nowhere) Observe(models.Stamp) {}

// world is a platform and some daemons in one thread. At every boundary of a
// call between them, boundary may let something else happen.
type world struct {
	clock    *manualClock
	store    *platform.Store
	nodes    []*node
	cuts     map[[2]models.DaemonID]bool
	history  *invariant.History
	boundary func(n *node)
	sent     func(models.Gossip)
	started  int
	secrets  map[models.KeyID]string
	rows     []models.RowKey
}

func newWorld(zones ...models.Zone) *world {
	w := &world{
		clock:    &manualClock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		cuts:     map[[2]models.DaemonID]bool{},
		history:  &invariant.History{},
		boundary: func(*node) {},
		sent:     func(models.Gossip) {},
		secrets:  map[models.KeyID]string{},
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

// start adds a daemon, at an address of its own where none is given.
func (w *world) start(zone models.Zone, address netip.AddrPort) *node {
	w.started++
	if !address.IsValid() {
		address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(w.started))
	}
	n := &node{world: w, observed: map[models.RowKey]models.Revision{}, self: table.Member{ID: models.DaemonID("d" + strconv.Itoa(w.started)), Zone: zone, Address: address}}
	n.configuration = NewConfiguration(n, w.clock, nowhere{})
	n.editing = NewEditing(n.self.ID)
	n.membership = NewMembership(n.self, n, n, w.clock, nowhere{}, n.configuration, n.editing)
	n.gossip = NewGossip(n.self, n, w.clock, nowhere{}, n.configuration, n.membership, n.editing)
	n.gossip.parallel = 1
	n.spread = NewSpread(n.gossip)
	n.editor = NewEditor(n.self.ID, n, n.configuration, n.editing, n.gossip, nowhere{})
	n.configuration.ReadWhen(n.membership.Reader)
	n.admit = request.Authenticate(n.configuration, w.clock)(request.HandlerFunc(func(context.Context, *request.Exchange) error { return nil }))
	w.nodes = append(w.nodes, n)
	return n
}

// run steps all daemons for a time.
func (w *world) run(d time.Duration) {
	for end := w.clock.now.Add(d); w.clock.now.Before(end); {
		w.clock.now = w.clock.now.Add(round)
		for _, n := range slices.Clone(w.nodes) {
			n.step()
		}
	}
}

// cut separates two daemons, or joins them again.
func (w *world) cut(a, b *node, cut bool) {
	w.cuts[[2]models.DaemonID{a.self.ID, b.self.ID}] = cut
	w.cuts[[2]models.DaemonID{b.self.ID, a.self.ID}] = cut
}

// isolate cuts nodes off from all others and the platform, or joins them again.
func (w *world) isolate(cut bool, nodes ...*node) {
	for _, n := range nodes {
		n.storeCut = cut
		n.listCut = cut
		for _, other := range w.nodes {
			if !slices.Contains(nodes, other) {
				w.cut(n, other, cut)
			}
		}
	}
}

// heal ends all troubles.
func (w *world) heal() {
	w.store.SetFaults(platform.Faults{})
	clear(w.cuts)
	w.boundary = func(*node) {}
	for _, n := range w.nodes {
		n.storeCut = false
		n.listCut = false
		n.lag = nil
	}
}

// kill ends a daemon without a word.
func (w *world) kill(n *node) {
	n.dead = true
	w.nodes = slices.DeleteFunc(w.nodes, func(other *node) bool { return other == n })
}

// node is one daemon, and its view of the platform and of the others.
type node struct {
	world         *world
	self          table.Member
	configuration *Configuration
	editing       *Editing
	membership    *Membership
	gossip        *Gossip
	spread        *Spread
	editor        *Editor
	admit         request.Handler
	dead          bool
	busy          bool
	storeCut      bool // from the table
	listCut       bool // from the list of VMs
	observed      map[models.RowKey]models.Revision
	lag           map[models.Partition]models.Changes // what lagging reads show
}

var errCut = peer.NewFailure(peer.OutcomeNotDone, "cut off", nil)

// step runs each task once, unless a step is under way.
func (n *node) step() {
	if n.dead || n.busy {
		return
	}
	n.busy = true
	defer func() { n.busy = false }()
	ctx := context.Background()
	for _, task := range []Task{n.configuration, n.membership, n.gossip, n.spread, n.editor} {
		task.Step(ctx)
		if n.dead {
			return
		}
	}
	n.observe(false)
}

// observe records the rows in force and which keys are admitted.
func (n *node) observe(ready bool) {
	for _, key := range n.world.rows {
		row := n.configuration.Row(key)
		row.Key = key
		if !ready && row.Revision == n.observed[key] {
			continue // seen the last time
		}
		n.observed[key] = row.Revision
		n.world.history.Observed(invariant.ObservedRow{At: n.world.clock.now, Daemon: n.self.ID, Row: row, Ready: ready})
	}
	for id := range n.world.secrets {
		if n.admits(id) {
			n.world.history.Run(invariant.Run{At: n.world.clock.now, Request: models.RequestID(n.self.ID), Workspace: "w", Key: id, Backend: "e"})
		}
	}
}

// admits reports whether a request with a key would run here.
func (n *node) admits(id models.KeyID) bool {
	return n.admit.Handle(context.Background(), &request.Exchange{RouteName: "model", Key: n.world.secrets[id]}) == nil
}

// withdraw withdraws a key, and records the answer.
func (n *node) withdraw(id models.KeyID) (models.Withdrawal, error) {
	w, err := n.editor.WithdrawKey(context.Background(), id)
	if err == nil {
		n.world.history.Withdrawal(invariant.Withdrawal{At: n.world.clock.now, Key: id, Bound: keyFreshness})
		n.accepted(table.Key(table.KindKey, string(id)), w.Revision)
	}
	return w, err
}

// put edits the workspace under the version known here.
func (n *node) put(weight int) error {
	key := table.Key(table.KindWorkspace, "w")
	row, err := n.editor.Put(context.Background(), "workspace", "w", n.configuration.Row(key).Revision, []byte(`{"weight": `+strconv.Itoa(weight)+`}`))
	if err == nil {
		n.accepted(key, row.Version)
	}
	return err
}

func (n *node) accepted(key models.RowKey, revision models.Revision) {
	n.world.history.Accepted(invariant.AcceptedRow{At: n.world.clock.now, Row: models.Row{Key: key, Revision: revision}, Bound: changeBound})
}

// call runs a call to the platform between two boundaries.
func (n *node) call(do func() error) error {
	n.world.boundary(n)
	if n.dead || n.storeCut {
		return errCut
	}
	err := do()
	n.world.boundary(n)
	if n.dead || n.storeCut {
		return peer.NewFailure(peer.OutcomeUnknown, "answer lost", nil)
	}
	return err
}

// Read implements peer.Table.
func (n *node) Read(ctx context.Context, keys ...models.RowKey) (rows []models.Row, err error) {
	err = n.call(func() (err error) {
		rows, err = n.world.store.Read(ctx, keys...)
		return err
	})
	if n.lag != nil && err == nil {
		rows = slices.DeleteFunc(rows, func(row models.Row) bool { return row.Revision > n.lag[row.Key.Partition].Through })
	}
	return rows, err
}

// Changes implements peer.Table.
func (n *node) Changes(ctx context.Context, partition models.Partition, after models.Revision) (changes models.Changes, err error) {
	err = n.call(func() (err error) {
		changes, err = n.world.store.Changes(ctx, partition, after)
		if lag, ok := n.lag[partition]; ok && err == nil {
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

// freeze makes this daemon's reads lag behind from now on.
func (n *node) freeze() {
	n.lag = map[models.Partition]models.Changes{}
	for _, partition := range []models.Partition{models.PartitionConfig, models.PartitionDaemons} {
		if changes, err := n.world.store.Changes(context.Background(), partition, 0); err == nil {
			n.lag[partition] = changes
		}
	}
}

// Transact implements peer.Table.
func (n *node) Transact(ctx context.Context, transaction models.Transaction) (revision models.Revision, err error) {
	err = n.call(func() (err error) {
		revision, err = n.world.store.Transact(ctx, transaction)
		return err
	})
	return revision, err
}

// List implements peer.VMs.
func (n *node) List(ctx context.Context) ([]models.VM, error) {
	if n.listCut {
		return nil, errCut
	}
	return n.world.store.List(ctx)
}

// Exchange implements peer.Daemons.
func (n *node) Exchange(_ context.Context, to models.VM, message models.Gossip) (models.Gossip, error) {
	n.world.boundary(n)
	other := n.other(to)
	if other == nil {
		return models.Gossip{}, errCut
	}
	answer := other.gossip.Receive(message)
	n.world.sent(message)
	n.world.sent(answer)
	n.world.boundary(n)
	if n.other(to) != other {
		return models.Gossip{}, errCut
	}
	return answer, nil
}

// Events implements peer.Daemons.
func (n *node) Events(context.Context, models.VM, models.EventFilter) ([]models.Event, error) {
	return nil, nil
}

// other returns the daemon that a VM's address reaches from here, if any.
func (n *node) other(vm models.VM) *node {
	for _, other := range n.world.nodes {
		if other.self.Address == vm.Address && !n.dead && !n.world.cuts[[2]models.DaemonID{n.self.ID, other.self.ID}] {
			return other
		}
	}
	return nil
}
