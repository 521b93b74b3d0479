package limit_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/limit"
)

const (
	jointTick   = 10 * time.Millisecond
	jointWindow = 8 * time.Second
	jointZones  = 4
	// allowed on top of the limit, as a share and in tokens for each daemon
	jointOver, jointSlack = 0.1, 2900
	meshLimit             = 12
	maxHeeded             = 2 * time.Second // of a Retry-After
)

// jointCase is a schedule of one workspace with a limit.
type jointCase struct {
	name                     string
	demand                   float64 // of the limit, from onset on
	few, move                bool    // its callers sit at few VMs; move every 4 s
	kill, lose, cut, add     bool
	factor                   float64 // by which the limit changes; 0: it does not
	alone                    bool    // daemons hear nothing of each other
	shaped                   bool    // no more is asked than 0.7 of the rate and the burst allow
	daemons                  int
	seed                     uint64
	random                   *rand.Rand
	nodes                    []*jointNode
	now                      time.Duration
	mail                     map[time.Duration][]func()
	again                    map[time.Duration][]float64
	arrivals, ideal          []float64 // amount admitted in each tick, and by one exact bucket
	level, shape             float64
	refused, offered         float64
	limitFrom, limitUntil    time.Duration // in which the change of the limit arrives
	mostOfAllowance, deficit float64
}

// jointNode is a daemon in the schedule.
type jointNode struct {
	name      models.DaemonID
	zone      int
	joint     *limit.Joint
	downUntil time.Duration
	sendAt    time.Duration
	limitAt   time.Duration // when it hears of the changed limit
	relay     map[models.DaemonID]map[models.Workspace]models.LimitUse
	sums      map[models.DaemonID]map[models.Workspace]models.LimitUse
}

func (c *jointCase) at() time.Time { return time.Unix(1000, 0).Add(c.now) }

func (c *jointCase) limit(changed bool) models.RateLimit {
	l := models.RateLimit{PerSecond: 4000 * float64(c.daemons), Burst: 4000 * float64(c.daemons), Tokens: true}
	if changed && c.factor > 0 {
		l.PerSecond *= c.factor
		l.Burst *= c.factor
	}
	return l
}

const (
	jointOnset  = 5 * time.Second
	jointChange = 15 * time.Second
	jointEnd    = 40 * time.Second
)

// run plays the schedule.
func (c *jointCase) run() *jointCase {
	c.random = rand.New(rand.NewPCG(c.seed, 11))
	c.mail, c.again = map[time.Duration][]func(){}, map[time.Duration][]float64{}
	c.limitFrom, c.limitUntil = jointChange, jointChange+3*time.Second
	for i := range c.daemons {
		c.nodes = append(c.nodes, c.start(i, true))
	}
	c.level = c.limit(false).Burst
	c.now = -2 * time.Second // callers come once the daemons have run for a while
	for ; c.now < jointEnd; c.now += jointTick {
		c.disturb()
		for _, call := range c.mail[c.now] {
			call()
		}
		delete(c.mail, c.now)
		for i, n := range c.nodes {
			if c.now == n.limitAt {
				c.setLimit(n)
			}
			if c.up(n) && c.now >= n.sendAt && !c.alone {
				c.send(i)
			}
		}
		if c.now >= 0 {
			c.arrive()
		}
	}
	c.measure()
	return c
}

func (c *jointCase) start(i int, first bool) *jointNode {
	n := &jointNode{
		name: id(i), zone: i % jointZones, joint: limit.NewJoint(limit.JointSettings{Filled: first, Over: jointOver, Seed: c.seed + uint64(i)*7919}, c.at()), sendAt: c.now + time.Duration(c.random.IntN(20))*jointTick,
		limitAt: jointChange + time.Duration(c.random.IntN(300))*jointTick,
		relay:   map[models.DaemonID]map[models.Workspace]models.LimitUse{}, sums: map[models.DaemonID]map[models.Workspace]models.LimitUse{},
	}
	c.setGroup(n, max(len(c.nodes), c.daemons))
	c.setLimit(n)
	return n
}

// setLimit makes the limit that a daemon knows of take effect there.
func (c *jointCase) setLimit(n *jointNode) {
	n.joint.SetLimits(map[models.Workspace]models.RateLimit{"w": c.limit(c.now >= n.limitAt)}, c.at())
}

// setGroup makes a daemon share the limit with the others, as balance.ReportSources does.
func (c *jointCase) setGroup(n *jointNode, daemons int) {
	group := limit.Group{Sources: map[models.DaemonID]int{}, Zone: map[models.DaemonID]bool{}, Listed: true}
	for i := range daemons {
		switch {
		case id(i) == n.name || c.alone:
		case i%jointZones == n.zone:
			group.Sources[id(i)], group.Zone[id(i)] = 1, true
		case daemons <= meshLimit+1:
			group.Sources[id(i)] = 1
		default:
			group.Sources[zoneID(i%jointZones)]++
		}
	}
	n.joint.SetGroup(group, c.at())
}

func zoneID(zone int) models.DaemonID { return models.DaemonID(fmt.Sprintf("zone-%d", zone)) }

func (c *jointCase) up(n *jointNode) bool { return c.now >= n.downUntil }

// reach reports whether two daemons hear each other.
func (c *jointCase) reach(a, b *jointNode) bool {
	separated := c.cut && c.now >= 12*time.Second && c.now < 25*time.Second && (a.zone == 0) != (b.zone == 0)
	return c.up(a) && c.up(b) && !separated
}

// disturb plays what happens to the daemons.
func (c *jointCase) disturb() {
	switch {
	case c.now == jointChange && (c.kill || c.lose):
		for i, n := range c.nodes {
			if c.lose || c.random.IntN(3) == 0 {
				c.nodes[i] = c.start(i, false)
				c.nodes[i].downUntil = c.now + time.Duration(100+c.random.IntN(150))*jointTick
				c.nodes[i].limitAt = n.limitAt
			}
		}
	case c.now == jointChange && c.add:
		for range c.daemons / 3 {
			c.nodes = append(c.nodes, c.start(len(c.nodes), false))
		}
		for _, n := range c.nodes {
			c.setGroup(n, len(c.nodes))
		}
	}
}

// send sends the report of a daemon to all others, or through the leader of its zone.
func (c *jointCase) send(i int) {
	n := c.nodes[i]
	own, unit := n.joint.Report(false, c.at()), 50*time.Millisecond
	if n.joint.Pressed(c.at()) {
		unit = 20 * time.Millisecond
	}
	if len(c.nodes) <= meshLimit+1 {
		for _, to := range c.nodes {
			if to != n {
				c.post(n, to, func() { to.joint.Learn(n.name, own, c.at()) })
			}
		}
		n.sendAt = c.now + 3*unit
		return
	}
	inZone := len(c.nodes) / jointZones
	leader := c.leader(n.zone)
	if leader != n {
		c.post(n, leader, func() {
			leader.joint.Learn(n.name, own, c.at())
			leader.relay[n.name] = own
		})
		n.sendAt = c.now + unit*time.Duration(1+inZone/12)
		return
	}
	n.sendAt = c.now + unit*time.Duration(1+(inZone+jointZones)/6)
	relayed, sums := n.relay, n.sums
	n.relay, n.sums = map[models.DaemonID]map[models.Workspace]models.LimitUse{}, map[models.DaemonID]map[models.Workspace]models.LimitUse{}
	relayed[n.name] = own
	for _, to := range c.nodes {
		if to == n || to.zone != n.zone {
			continue
		}
		c.post(n, to, func() {
			for _, from := range slices.Sorted(maps.Keys(relayed)) {
				to.joint.Learn(from, relayed[from], c.at())
			}
			for _, from := range slices.Sorted(maps.Keys(sums)) {
				to.joint.Learn(from, sums[from], c.at())
			}
		})
	}
	sum := n.joint.Report(true, c.at())
	for zone := range jointZones {
		if to := c.leader(zone); zone != n.zone && to != nil {
			c.post(n, to, func() {
				to.joint.Learn(zoneID(n.zone), sum, c.at())
				to.sums[zoneID(n.zone)] = sum
			})
		}
	}
}

func (c *jointCase) leader(zone int) *jointNode {
	for _, n := range c.nodes {
		if n.zone == zone && c.up(n) {
			return n
		}
	}
	return nil
}

func (c *jointCase) post(from, to *jointNode, deliver func()) {
	at := c.now + jointTick*time.Duration(1+c.random.IntN(3))
	c.mail[at] = append(c.mail[at], func() {
		if c.reach(from, to) {
			deliver()
		}
	})
}

// arrive plays the requests of one tick: new ones, and those that come back.
func (c *jointCase) arrive() {
	sizes := []float64{17000, 9200, 1500}
	demand := min(c.demand, 0.5)
	if c.now >= jointOnset {
		demand = c.demand
	}
	base := c.limit(c.factor > 1 && c.now >= c.limitUntil)
	if c.choose() == nil {
		c.arrivals, c.ideal = append(c.arrivals, 0), append(c.ideal, 0)
		return // nobody to ask
	}
	requests := poisson(c.random, demand*base.PerSecond*jointTick.Seconds()/9233)
	var admitted, exact float64
	now := c.limit(c.now >= jointChange)
	c.level = min(c.level+now.PerSecond*jointTick.Seconds(), now.Burst)
	c.shape = min(c.shape+0.7*now.PerSecond*jointTick.Seconds(), now.Burst)
	for range requests {
		amount := sizes[c.random.IntN(len(sizes))]
		if c.shaped && c.shape < amount {
			continue
		}
		c.shape -= amount
		c.offered += amount
		if c.level > 0 {
			c.level -= amount
			exact += amount
		}
		admitted += c.ask(amount, true)
	}
	for _, amount := range c.again[c.now] {
		admitted += c.ask(amount, false)
	}
	delete(c.again, c.now)
	c.arrivals, c.ideal = append(c.arrivals, admitted), append(c.ideal, exact)
}

// ask sends a request to a daemon and returns what it admits.
func (c *jointCase) ask(amount float64, first bool) float64 {
	n := c.choose()
	if n == nil {
		return 0
	}
	d := n.joint.Admit("w", amount, c.at())
	if d.Admitted {
		return amount
	}
	if first {
		back := c.now + min(d.RetryAfter, maxHeeded).Round(jointTick)
		c.again[back] = append(c.again[back], amount)
		return 0
	}
	c.refused += amount
	return 0
}

// choose returns the daemon that a request arrives at.
func (c *jointCase) choose() *jointNode {
	for range 200 {
		i := c.random.IntN(len(c.nodes))
		if c.few || c.move {
			i = c.random.IntN(max(len(c.nodes)/30, 1))
		}
		if c.move {
			i = (i + int(c.now/(4*time.Second))*17) % len(c.nodes)
		}
		if c.up(c.nodes[i]) {
			return c.nodes[i]
		}
		if c.few {
			return nil
		}
	}
	return nil
}

// measure sets what the daemons together reach of what is allowed in any window, and what
// they admit less than one exact bucket would.
func (c *jointCase) measure() {
	width := int(jointWindow / jointTick)
	var inWindow, total, exact float64
	for i, amount := range c.arrivals {
		inWindow += amount
		if i >= width {
			inWindow -= c.arrivals[i-width]
		}
		end := time.Duration(i) * jointTick
		if c.factor == 0 || end < c.limitFrom || end > c.limitUntil+time.Second {
			total += amount
			exact += c.ideal[i]
		}
		changed := end-jointWindow > c.limitUntil // a lower limit binds one window after all have it
		if c.factor > 1 {
			changed = end > c.limitFrom
		}
		l := c.limit(changed)
		allowed := (l.PerSecond*jointWindow.Seconds()+l.Burst)*(1+jointOver) + jointSlack*float64(c.daemons)
		c.mostOfAllowance = max(c.mostOfAllowance, inWindow/allowed)
	}
	c.deficit = max(1-total/exact, 0)
}

// jointCases are the disruptions.
func jointCases(demand float64) []jointCase {
	cases := []jointCase{
		{name: "none", demand: demand},
		{name: "callers at few VMs", demand: demand, few: true},
		{name: "callers that move", demand: demand, move: true},
		{name: "a third killed", demand: demand, kill: true},
		{name: "a zone cut off", demand: demand, cut: true},
		{name: "VMs added", demand: demand, add: true},
		{name: "all lost", demand: demand, lose: true},
		{name: "limit lowered tenfold", demand: demand, factor: 0.1},
		{name: "limit raised fourfold", demand: demand, factor: 4},
	}
	for i := range cases {
		cases[i].shaped = demand < 1
	}
	return cases
}

// TestJointLimit checks that the daemons together stay within what is allowed, and that a
// limit that is not used up refuses nobody; little while daemons are out of touch.
func TestJointLimit(t *testing.T) {
	for seed := range uint64(3) {
		for _, daemons := range []int{7, 20} {
			for i, used := range jointCases(4) {
				t.Run(fmt.Sprintf("%s/%d/seed %d", used.name, daemons, seed), func(t *testing.T) {
					is := is.New(t)
					used.seed, used.daemons = seed, daemons
					is.True(used.run().mostOfAllowance <= 1) // within what is allowed
					is.True(used.deficit <= 0.2)             // what is owed is admitted
					unused := jointCases(0.7)[i]
					unused.seed, unused.daemons = seed, daemons
					tolerated := 0.0
					if unused.kill || unused.lose || unused.cut || unused.add {
						tolerated = 0.06
					}
					is.True(unused.run().refused <= tolerated*unused.offered)
				})
			}
		}
	}
	t.Run("is broken without reports", func(t *testing.T) {
		c := jointCase{demand: 4, daemons: 7, alone: true}
		is.New(t).True(c.run().mostOfAllowance > 2)
	})
}

// BenchmarkJointLimit prints the table of docs/design/workspace-limits.md.
func BenchmarkJointLimit(b *testing.B) {
	for _, daemons := range []int{7, 65, 410} {
		for i, c := range jointCases(4) {
			b.Run(fmt.Sprintf("%s/%d", c.name, daemons), func(b *testing.B) {
				var most, deficit, refused float64
				for seed := range uint64(b.N) {
					used, unused := c, jointCases(0.7)[i]
					used.seed, used.daemons, unused.seed, unused.daemons = seed, daemons, seed, daemons
					used.run()
					unused.run()
					most, deficit = max(most, used.mostOfAllowance), max(deficit, used.deficit)
					refused = max(refused, unused.refused/unused.offered)
				}
				b.ReportMetric(100*most, "%allowed")
				b.ReportMetric(100*deficit, "%short")
				b.ReportMetric(100*refused, "%refused-unused")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// TestRequestThatNeverFits guards against one request of an absurd size that uses up the
// limit of its workspace by being refused.
func TestRequestThatNeverFits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	j := limit.NewJoint(limit.JointSettings{Filled: true, Seed: 1}, now)
	j.SetGroup(limit.Group{Listed: true}, now)
	j.SetLimits(map[models.Workspace]models.RateLimit{"w": {PerSecond: 200_000, Burst: 200_000, Tokens: true}}, now)
	is.True(!j.Admit("w", 1<<27, now).Admitted)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		is.True(j.Admit("w", 5000, now).Admitted)
	}
}
