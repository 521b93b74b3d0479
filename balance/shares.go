package balance

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"quincewinch/models"
)

// zoneSumPrefix is the prefix of the sender ID of a zone sum.
const zoneSumPrefix = "zone/"

// receivedShare is the latest load share of another daemon, or the latest sum of
// another zone.
type receivedShare struct {
	share      models.LoadShare
	receivedAt time.Time
	direct     bool // sent by the daemon itself rather than relayed by another one
	relayed    bool // by this daemon
}

// Urgent reports whether the load should be shared sooner than usual: own is set
// if this daemon has sent a long prompt or a limit is nearly used up, zone if another daemon of its zone has.
func (b *Balancer) Urgent() (own, zone bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pressed := b.settings.Uses.Urgent()
	return b.urgent || pressed, b.zoneUrgent
}

// Changed reports whether the load has changed since the last load share.
func (b *Balancer) Changed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// NextShare returns the next load share, and removes its prompts from the queue.
func (b *Balancer) NextShare() models.LoadShare {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.observeOverdue(now)
	var share models.LoadShare
	share.Loads = b.ownLoads(now)
	share.Limits = b.limitReports(originAnswer, now)
	share.Speeds = b.takeSpeeds(b.unsharedSpeeds, now)
	share.Uses = b.settings.Uses.Report(false)
	share.Demand = b.nextDemand(false, now)
	share.Prompts = b.unsharedPrompts
	b.unsharedPrompts = nil
	b.changed = false
	b.urgent = false
	return share
}

// Requeue takes back what a load share that got lost says once.
func (b *Balancer) Requeue(share models.LoadShare) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unsharedPrompts = slices.Concat(share.Prompts, b.unsharedPrompts)
	b.unsharedPrompts = b.unsharedPrompts[max(0, len(b.unsharedPrompts)-maxQueuedPrompts):]
	for _, report := range share.Speeds {
		queueSpeed(b.unsharedSpeeds, report, now)
	}
	b.requeueDemand(share.Demand)
	b.changed = true
}

// NextZoneSum returns the sum of the loads of this zone's daemons, and the
// prompts that they had prefilled since the previous sum.
func (b *Balancer) NextZoneSum() models.LoadShare {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := models.LoadShare{
		From:    zoneSumID(b.settings.Zone),
		Zone:    b.settings.Zone,
		Loads:   b.ownLoads(now),
		Prompts: b.zonePrompts,
		Limits:  b.limitReports(originZone, now),
		Speeds:  b.takeSpeeds(b.zoneSpeeds, now),
		Uses:    b.settings.Uses.Report(true),
		Demand:  b.nextDemand(true, now),
	}
	b.zonePrompts = nil
	b.zoneUrgent = false
	for _, r := range b.loadShares {
		if r.share.Zone == b.settings.Zone && now.Sub(r.receivedAt) < shareTTL {
			addLoads(sum.Loads, r.share.Loads)
		}
	}
	return sum
}

// RelayedSums returns the latest sums of the other zones for relaying within this
// zone. The prompts of each sum are relayed only once.
func (b *Balancer) RelayedSums() []models.LoadShare {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var sums []models.LoadShare
	for from, r := range b.loadShares {
		if !IsZoneSum(from) || now.Sub(r.receivedAt) >= shareTTL {
			continue
		}
		sum := r.share
		sum.Limits = agedLimits(sum.Limits, now.Sub(r.receivedAt))
		sum.Speeds = b.agedSpeeds(sum.Speeds, now.Sub(r.receivedAt))
		sums = append(sums, sum)
		r.share.Prompts = nil
		r.share.Speeds = nil
		r.share.Demand = withoutNews(r.share.Demand)
		b.loadShares[from] = r
	}
	return sums
}

// relayMode is which load shares of its zone's daemons a daemon passes on.
type relayMode int

const (
	relayNone   relayMode = iota // each daemon sends to all others
	relayDirect                  // to the leader, those of daemons that do not reach it
	relayAll                     // to the others of the zone, as its leader
)

// setRelaying sets which load shares this daemon passes on.
func (b *Balancer) setRelaying(mode relayMode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.relaying = mode
	if mode != relayAll {
		clear(b.zoneSpeeds)
		b.clearZoneDemand()
	}
}

// relays reports whether this daemon passes on a load share that was sent to it, or
// relayed to it by another daemon. The caller must hold b.mu.
func (b *Balancer) relays(share models.LoadShare, direct bool) bool {
	return b.isZonePeer(share) && (b.relaying == relayAll || b.relaying == relayDirect && direct)
}

// RelayedShares returns the load shares of this zone's daemons that this daemon has to
// relay and has not relayed yet: all of them if it leads the zone, otherwise those that
// were sent to it because their senders do not reach the leader.
func (b *Balancer) RelayedShares() []models.LoadShare {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var shares []models.LoadShare
	for from, r := range b.loadShares {
		if r.relayed || !b.relays(r.share, r.direct) || now.Sub(r.receivedAt) >= shareTTL {
			continue
		}
		share := r.share
		share.Limits = agedLimits(share.Limits, now.Sub(r.receivedAt))
		share.Speeds = b.agedSpeeds(share.Speeds, now.Sub(r.receivedAt))
		shares = append(shares, share)
		r.share.Prompts = nil
		r.share.Speeds = nil
		r.share.Demand = withoutNews(r.share.Demand)
		r.relayed = true
		b.loadShares[from] = r
	}
	return shares
}

// FirstZone returns the address of the leader of the first zone of which a sum has
// arrived of late; other is false if this daemon's zone comes before it.
func (b *Balancer) FirstZone() (address netip.AddrPort, other bool) {
	first := b.settings.Zone
	for _, sum := range b.recentShares(IsZoneSum) {
		if sum.Zone < first {
			first, address, other = sum.Zone, sum.Address, true
		}
	}
	return address, other
}

// zonesBefore returns the number of zones before this daemon's of which a sum has
// arrived of late.
func (b *Balancer) zonesBefore() int {
	before := 0
	for _, sum := range b.recentShares(IsZoneSum) {
		if sum.Zone < b.settings.Zone {
			before++
		}
	}
	return before
}

// daemonsBefore returns the number of daemons with a lower ID whose load shares have
// arrived of late.
func (b *Balancer) daemonsBefore() int {
	return len(b.recentShares(func(from models.DaemonID) bool { return !IsZoneSum(from) && from < b.settings.Self }))
}

// recentShares returns the load shares and zone sums of senders that are valid.
func (b *Balancer) recentShares(of func(from models.DaemonID) bool) []models.LoadShare {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var shares []models.LoadShare
	for from, r := range b.loadShares {
		if of(from) && now.Sub(r.receivedAt) < shareTTL {
			shares = append(shares, r.share)
		}
	}
	return shares
}

// ownLoads returns the load of this daemon at each backend server. The caller
// must hold b.mu.
func (b *Balancer) ownLoads(now time.Time) map[models.EngineID]models.ServerLoad {
	loads := map[models.EngineID]models.ServerLoad{}
	for id, s := range b.states {
		if s.running > 0 || s.prefillTokens > 0 || s.heldTokens > 0 {
			load := models.ServerLoad{Running: s.running, PrefillTokens: s.prefillTokens, HeldTokens: s.heldTokens}
			if s.work != nil {
				load.Work = s.work.own.Left(now)
			}
			loads[id] = load
		}
	}
	return loads
}

// ReceiveShare applies the load share of another daemon, and the zone sums and load
// shares that it relays. Each replaces the previous one from the same sender.
func (b *Balancer) ReceiveShare(share models.LoadShare) {
	now := b.clock.Now()
	relayed := share.Relayed
	share.Relayed = nil
	b.mu.Lock()
	defer b.mu.Unlock()
	b.receive(share, true, now)
	for _, sum := range relayed {
		if IsZoneSum(sum.From) && sum.Zone == b.settings.Zone || sum.From == b.settings.Self {
			continue
		}
		b.receive(sum, false, now)
	}
	b.expireShares(now)
}

// receive applies one load share or zone sum; direct is false if another daemon than
// its sender relayed it. The caller must hold b.mu.
func (b *Balancer) receive(share models.LoadShare, direct bool, now time.Time) {
	previous, ok := b.loadShares[share.From]
	if ok && share.Sequence <= previous.share.Sequence && now.Sub(previous.receivedAt) < shareTTL {
		return // stale: a later one has arrived first
	}
	if share.Leaving {
		b.dropShare(share.From)
		b.settings.Uses.Leave(share.From)
		return
	}
	b.settings.Uses.Learn(share.From, share.Uses)
	b.recordPrompts(share, now)
	b.receiveLimits(share, now)
	b.receiveSpeeds(share, now)
	b.receiveDemand(share, previous.share, now)
	if !ok && b.isZonePeer(share) {
		b.countZonePeers(1)
	}
	if share.Zone == b.settings.Zone && totalPrefillTokens(share.Loads)-totalPrefillTokens(previous.share.Loads) >= urgentPrefillTokens {
		b.zoneUrgent = true
	}
	relays := b.relays(share, direct)
	b.changed = b.changed || relays && b.relaying == relayDirect
	if ok && (IsZoneSum(share.From) || relays) {
		// Keep the prompts and speeds that have not been relayed yet.
		share.Speeds = slices.Concat(b.agedSpeeds(previous.share.Speeds, now.Sub(previous.receivedAt)), share.Speeds)
		share.Speeds = share.Speeds[max(0, len(share.Speeds)-maxQueuedSpeeds):]
		share.Prompts = slices.Concat(previous.share.Prompts, share.Prompts)
		share.Prompts = share.Prompts[max(0, len(share.Prompts)-maxQueuedPrompts):]
	}
	share.Demand = b.keptDemand(share, previous.share, relays)
	subtractLoads(b.remoteLoads, previous.share.Loads)
	addLoads(b.remoteLoads, share.Loads)
	b.loadShares[share.From] = receivedShare{share: share, receivedAt: now, direct: direct}
}

// recordPrompts records the prompts of a load share as cached by their engines.
// The caller must hold b.mu.
func (b *Balancer) recordPrompts(share models.LoadShare, now time.Time) {
	snapshot := b.fleet.Snapshot()
	if snapshot == nil {
		return
	}
	for _, cached := range share.Prompts {
		if upstream, ok := snapshot.ByID[cached.Server]; ok {
			b.stateOf(upstream).cache.record(cached.Parts, cacheCapacity(b.capacity[upstream.Service]), now)
		}
	}
	if share.Zone == b.settings.Zone && !IsZoneSum(share.From) {
		b.queueForZoneSum(share.Prompts...)
	}
}

// expireShares removes expired load shares. The caller must hold b.mu.
func (b *Balancer) expireShares(now time.Time) {
	for from := range b.loadShares {
		if now.Sub(b.loadShares[from].receivedAt) >= shareTTL {
			b.dropShare(from)
		}
	}
}

// dropShare removes the load share of a daemon or a zone. The caller must hold b.mu.
func (b *Balancer) dropShare(from models.DaemonID) {
	r, ok := b.loadShares[from]
	if !ok {
		return
	}
	if b.isZonePeer(r.share) {
		b.countZonePeers(-1)
	}
	subtractLoads(b.remoteLoads, r.share.Loads)
	b.replaceQueued(r.share.Demand, nil)
	delete(b.loadShares, from)
}

// queueCachedPrompt queues a cached prompt for the next load share and zone sum. The
// caller must hold b.mu.
func (b *Balancer) queueCachedPrompt(server models.EngineID, parts []models.PromptPart) {
	b.changed = true
	cached := models.CachedPrompt{Server: server, Parts: parts}
	if len(b.unsharedPrompts) < maxQueuedPrompts {
		b.unsharedPrompts = append(b.unsharedPrompts, cached)
	}
	b.queueForZoneSum(cached)
}

// queueForZoneSum queues prompts for the next sum of this zone; the oldest are
// dropped above maxQueuedPrompts. The caller must hold b.mu.
func (b *Balancer) queueForZoneSum(prompts ...models.CachedPrompt) {
	b.zonePrompts = append(b.zonePrompts, prompts...)
	b.zonePrompts = b.zonePrompts[max(0, len(b.zonePrompts)-maxQueuedPrompts):]
}

// totalPrefillTokens returns the prompt tokens to be prefilled at all servers.
func totalPrefillTokens(loads map[models.EngineID]models.ServerLoad) int {
	total := 0
	for _, load := range loads {
		total += load.PrefillTokens
	}
	return total
}

func addLoads(sum, loads map[models.EngineID]models.ServerLoad) {
	for server, load := range loads {
		total := sum[server]
		total.Running += load.Running
		total.PrefillTokens += load.PrefillTokens
		total.Work += load.Work
		total.HeldTokens += load.HeldTokens
		sum[server] = total
	}
}

// subtractLoads removes what addLoads has added.
func subtractLoads(sum, loads map[models.EngineID]models.ServerLoad) {
	for server, load := range loads {
		total := sum[server]
		total.Running -= load.Running
		total.PrefillTokens -= load.PrefillTokens
		total.Work -= load.Work
		total.HeldTokens -= load.HeldTokens
		if total == (models.ServerLoad{}) {
			delete(sum, server)
			continue
		}
		sum[server] = total
	}
}

func zoneSumID(zone models.Zone) models.DaemonID {
	return models.DaemonID(zoneSumPrefix + string(zone))
}

// IsZoneSum reports whether a load share from this sender is the sum of a zone
// rather than the load of one daemon.
func IsZoneSum(from models.DaemonID) bool {
	return strings.HasPrefix(string(from), zoneSumPrefix)
}
