package balance

import (
	"slices"
	"strings"
	"time"

	"quincewinch/models"
)

// zoneSumPrefix begins the name under which the sum of a zone's daemons is kept.
const zoneSumPrefix = "zone/"

// receivedShare is a share of another daemon, or the sum of another zone.
type receivedShare struct {
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

// NextShare returns what is to be told to the others; changed is false where the
// previous share said the same.
func (b *Balancer) NextShare() (share models.LoadShare, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	share.Loads = b.ownLoads()
	share.Prompts = b.unsentPrompts
	b.unsentPrompts = nil
	changed = b.changed
	b.changed = false
	b.urgent = false
	return share, changed
}

// NextZoneSum returns the sum of what the daemons of this zone have under way,
// and the prompts that they have sent since the last time.
func (b *Balancer) NextZoneSum() models.LoadShare {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := models.LoadShare{
		From:    zoneSumID(b.settings.Zone),
		Zone:    b.settings.Zone,
		Loads:   b.ownLoads(),
		Prompts: b.zonePrompts,
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

// RelayedSums returns the latest sums of the other zones, to be passed on. Prompts are
// in each sum once.
func (b *Balancer) RelayedSums() []models.LoadShare {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var sums []models.LoadShare
	for from, r := range b.loadShares {
		if !IsZoneSum(from) || now.Sub(r.receivedAt) >= shareTTL {
			continue
		}
		sums = append(sums, r.share)
		r.share.Prompts = nil
		b.loadShares[from] = r
	}
	return sums
}

// ownLoads returns what this daemon has under way. The lock is held.
func (b *Balancer) ownLoads() map[models.EngineID]models.ServerLoad {
	loads := map[models.EngineID]models.ServerLoad{}
	for id, s := range b.states {
		if s.running > 0 || s.prefillTokens > 0 {
			loads[id] = models.ServerLoad{Running: s.running, Reading: s.prefillTokens}
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
	b.sumRemoteLoads(now)
}

// receive takes in one share. The lock is held.
func (b *Balancer) receive(share models.LoadShare, now time.Time) {
	before, ok := b.loadShares[share.From]
	if ok && share.Sequence <= before.share.Sequence && now.Sub(before.receivedAt) < shareTTL {
		return // overtaken by a later one
	}
	if share.Leaving {
		delete(b.loadShares, share.From)
		return
	}
	b.recordPrompts(share, now)
	if share.Zone == b.settings.Zone && totalReading(share.Loads)-totalReading(before.share.Loads) >= urgentPrefillTokens {
		b.zoneUrgent = true
	}
	if IsZoneSum(share.From) && ok {
		// What has not been passed on yet goes with the next sum.
		share.Prompts = slices.Concat(before.share.Prompts, share.Prompts)
		share.Prompts = share.Prompts[max(0, len(share.Prompts)-maxQueuedPrompts):]
	}
	b.loadShares[share.From] = receivedShare{share: share, receivedAt: now}
}

// recordPrompts notes which engines keep the prompts of a share. The lock is
// held.
func (b *Balancer) recordPrompts(share models.LoadShare, now time.Time) {
	snapshot := b.fleet.Snapshot()
	if snapshot == nil {
		return
	}
	for _, sent := range share.Prompts {
		if upstream, ok := snapshot.ByID[sent.Server]; ok {
			b.stateOf(upstream).cache.record(sent.Parts, cacheCapacity(b.capacity[upstream.Service]), now)
		}
	}
	if share.Zone == b.settings.Zone && !IsZoneSum(share.From) {
		b.queueForZone(share.Prompts...)
	}
}

// sumRemoteLoads adds up what the other daemons have under way. The lock is held.
func (b *Balancer) sumRemoteLoads(now time.Time) {
	clear(b.remoteLoads)
	for from, r := range b.loadShares {
		if now.Sub(r.receivedAt) >= shareTTL {
			delete(b.loadShares, from)
			continue
		}
		addLoads(b.remoteLoads, r.share.Loads)
	}
}

// queuePrompt keeps a prompt to be shared. The lock is held.
func (b *Balancer) queuePrompt(server models.EngineID, parts []models.PromptPart) {
	b.changed = true
	sent := models.SentPrompt{Server: server, Parts: parts}
	if len(b.unsentPrompts) < maxQueuedPrompts {
		b.unsentPrompts = append(b.unsentPrompts, sent)
	}
	b.queueForZone(sent)
}

// queueForZone keeps prompts for the next sum of this zone. The lock is held.
func (b *Balancer) queueForZone(prompts ...models.SentPrompt) {
	b.zonePrompts = append(b.zonePrompts, prompts...)
	b.zonePrompts = b.zonePrompts[max(0, len(b.zonePrompts)-maxQueuedPrompts):]
}

// totalReading returns the prompt tokens that are to be read at all servers.
func totalReading(loads map[models.EngineID]models.ServerLoad) int {
	total := 0
	for _, load := range loads {
		total += load.Reading
	}
	return total
}

func addLoads(sum, loads map[models.EngineID]models.ServerLoad) {
	for server, load := range loads {
		total := sum[server]
		total.Running += load.Running
		total.Reading += load.Reading
		sum[server] = total
	}
}

func zoneSumID(zone models.Zone) models.DaemonID {
	return models.DaemonID(zoneSumPrefix + string(zone))
}

// IsZoneSum reports whether a share is the sum of a zone, and not of one daemon.
func IsZoneSum(from models.DaemonID) bool {
	return strings.HasPrefix(string(from), zoneSumPrefix)
}
