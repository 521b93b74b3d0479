package balance

import (
	"slices"
	"strings"
	"time"

	"quincewinch/models"
)

// sumPrefix begins the name under which the sum of a zone's daemons is kept.
const sumPrefix = "zone/"

// received is a share of another daemon, or the sum of another zone.
type received struct {
	share      models.LoadShare
	receivedAt time.Time
}

// Urgent reports whether the others should be told at once: own is set where
// this daemon has sent a long prompt, zone where another one of its zone has.
func (b *Balancer) Urgent() (own, zone bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.urgent, b.zoneUrgent
}

// Share returns what is to be told to the others; changed is false where the
// previous share said the same.
func (b *Balancer) Share() (share models.LoadShare, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	share.Loads = b.ownLoads()
	share.Prompts = b.unshared
	b.unshared = nil
	changed = b.changed
	b.changed = false
	b.urgent = false
	return share, changed
}

// ZoneShare returns the sum of what the daemons of this zone have under way,
// and the prompts that they have sent since the last time.
func (b *Balancer) ZoneShare() models.LoadShare {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := models.LoadShare{
		From:    sumName(b.settings.Zone),
		Zone:    b.settings.Zone,
		Loads:   b.ownLoads(),
		Prompts: b.zonePrompts,
	}
	b.zonePrompts = nil
	b.zoneUrgent = false
	for _, r := range b.shares {
		if r.share.Zone == b.settings.Zone && now.Sub(r.receivedAt) < shareLife {
			add(sum.Loads, r.share.Loads)
		}
	}
	return sum
}

// Sums returns the latest sums of the other zones, to be passed on. Prompts are
// in each sum once.
func (b *Balancer) Sums() []models.LoadShare {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var sums []models.LoadShare
	for from, r := range b.shares {
		if !IsSum(from) || now.Sub(r.receivedAt) >= shareLife {
			continue
		}
		sums = append(sums, r.share)
		r.share.Prompts = nil
		b.shares[from] = r
	}
	return sums
}

// ownLoads returns what this daemon has under way. The lock is held.
func (b *Balancer) ownLoads() map[models.EngineID]models.ServerLoad {
	loads := map[models.EngineID]models.ServerLoad{}
	for id, s := range b.states {
		if s.running > 0 || s.reading > 0 {
			loads[id] = models.ServerLoad{Running: s.running, Reading: s.reading}
		}
	}
	return loads
}

// ReceiveShare takes in another daemon's share and the sums that it passes on.
// Each replaces the one before.
func (b *Balancer) ReceiveShare(share models.LoadShare) {
	now := b.clock.Now()
	relayed := share.Relayed
	share.Relayed = nil
	b.mu.Lock()
	defer b.mu.Unlock()
	b.receive(share, now)
	for _, sum := range relayed {
		if sum.Zone != b.settings.Zone {
			b.receive(sum, now)
		}
	}
	b.sumShares(now)
}

// receive takes in one share. The lock is held.
func (b *Balancer) receive(share models.LoadShare, now time.Time) {
	before, ok := b.shares[share.From]
	if ok && share.Sequence <= before.share.Sequence && now.Sub(before.receivedAt) < shareLife {
		return // overtaken by a later one
	}
	if share.Leaving {
		delete(b.shares, share.From)
		return
	}
	b.noteReceived(share, now)
	if share.Zone == b.settings.Zone && reading(share.Loads)-reading(before.share.Loads) >= longReading {
		b.zoneUrgent = true
	}
	if IsSum(share.From) && ok {
		// What has not been passed on yet goes with the next sum.
		share.Prompts = slices.Concat(before.share.Prompts, share.Prompts)
		share.Prompts = share.Prompts[max(0, len(share.Prompts)-mostPrompts):]
	}
	b.shares[share.From] = received{share: share, receivedAt: now}
}

// noteReceived notes which engines keep the prompts of a share. The lock is
// held.
func (b *Balancer) noteReceived(share models.LoadShare, now time.Time) {
	snapshot := b.fleet.Snapshot()
	if snapshot == nil {
		return
	}
	for _, sent := range share.Prompts {
		if upstream, ok := snapshot.ByID[sent.Server]; ok {
			b.state(upstream).cache.use(sent.Parts, cacheTokens(b.capacity[upstream.Service]), now)
		}
	}
	if share.Zone == b.settings.Zone && !IsSum(share.From) {
		b.keepForZone(share.Prompts...)
	}
}

// sumShares adds up what the other daemons have under way. The lock is held.
func (b *Balancer) sumShares(now time.Time) {
	clear(b.others)
	for from, r := range b.shares {
		if now.Sub(r.receivedAt) >= shareLife {
			delete(b.shares, from)
			continue
		}
		add(b.others, r.share.Loads)
	}
}

// noteSent keeps a prompt to be shared. The lock is held.
func (b *Balancer) noteSent(server models.EngineID, parts []models.PromptPart) {
	b.changed = true
	sent := models.SentPrompt{Server: server, Parts: parts}
	if len(b.unshared) < mostPrompts {
		b.unshared = append(b.unshared, sent)
	}
	b.keepForZone(sent)
}

// keepForZone keeps prompts for the next sum of this zone. The lock is held.
func (b *Balancer) keepForZone(prompts ...models.SentPrompt) {
	b.zonePrompts = append(b.zonePrompts, prompts...)
	b.zonePrompts = b.zonePrompts[max(0, len(b.zonePrompts)-mostPrompts):]
}

// reading returns the prompt tokens that are to be read at all servers.
func reading(loads map[models.EngineID]models.ServerLoad) int {
	total := 0
	for _, load := range loads {
		total += load.Reading
	}
	return total
}

func add(sum, loads map[models.EngineID]models.ServerLoad) {
	for server, load := range loads {
		total := sum[server]
		total.Running += load.Running
		total.Reading += load.Reading
		sum[server] = total
	}
}

func sumName(zone models.Zone) models.DaemonID {
	return models.DaemonID(sumPrefix + string(zone))
}

// IsSum reports whether a share is the sum of a zone, and not of one daemon.
func IsSum(from models.DaemonID) bool {
	return strings.HasPrefix(string(from), sumPrefix)
}
