package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/policy/blame"
)

const (
	// firstBlockDuration is how long a part is blocked at first; each crash of a probe
	// multiplies it by blockGrowth up to maxBlockDuration.
	firstBlockDuration = time.Minute
	blockGrowth        = 2
	maxBlockDuration   = time.Hour
	// firstRequestBlock is how long a request as a whole is blocked at first: short, as a
	// sound one may have been on all engines that crashed together. Each crash of a probe
	// multiplies it by requestBlockGrowth, to at least firstBlockDuration.
	firstRequestBlock  = 10 * time.Second
	requestBlockGrowth = 4
	// probeInterval is the time between two probes, which are sent in the first
	// probeWindow of it. A probe has ended, and the other daemons know how, within the
	// rest.
	probeInterval = 10 * time.Second
	probeWindow   = 4 * time.Second
	// probePeriod is how long probes are allowed. A block that has had none by then
	// is forgotten.
	probePeriod = 10 * time.Minute
	// maxBlocks bounds the blocked parts.
	maxBlocks = 256
)

// block keeps requests with a part from engines until it ends, and all but probes
// afterwards.
type block struct {
	part      models.PartID
	whole     bool // it is a request
	since     time.Time
	lastCrash time.Time
	duration  time.Duration
	count     int // how often the part has been blocked

	probes int // interval of the last probe of this daemon, from 1; 0: none
	probe  models.RequestHash
}

func (b *block) until() time.Time {
	return b.since.Add(b.duration)
}

// subject describes what is blocked.
func (b *block) subject() string {
	if b.whole {
		return "the request"
	}
	return "a part of the prompt"
}

// prolong blocks for longer than before, from a time on.
func (b *block) prolong(since time.Time) {
	b.since = since
	next := blockGrowth * b.duration
	if b.whole {
		next = requestBlockGrowth * b.duration
	}
	b.duration = min(max(next, firstBlockDuration), maxBlockDuration)
	b.count++
	b.probes = 0
}

// endEarly makes the next probe due now, if it is not already.
func (b *block) endEarly(now time.Time) {
	b.duration = min(b.duration, now.Sub(b.since))
}

func (b *block) expired(now time.Time) bool {
	return now.Sub(b.until()) >= probePeriod
}

// block blocks a part. The caller must hold q.mu.
func (q *Quarantine) block(finding blame.Finding, now time.Time) {
	b := &block{part: finding.Part, whole: finding.Whole, since: now, lastCrash: finding.LastCrash, duration: firstBlockDuration, count: 1}
	if b.whole {
		b.duration = firstRequestBlock
	}
	q.blocks[finding.Part] = b
	q.changed(true)
	q.logger.Warn("requests blocked: backend servers crashed on what they have in common",
		b.field(),
		zap.Int("crashes", finding.Crashes),
		zap.Int("requests", finding.Requests),
		zap.Duration("for", b.duration),
	)
}

// dropUnfounded lifts the blocks that nothing supports any more. The caller must hold
// q.mu.
func (q *Quarantine) dropUnfounded(now time.Time) {
	for part, b := range q.blocks {
		if b.count == 1 && q.unfounded(part, now) {
			delete(q.blocks, part)
			q.logger.Info("requests no longer blocked: the crashes have another reason", b.field())
		}
	}
}

// unfounded reports whether a crash with a part has been refuted, or is explained by
// another blocked part, and the others do not suffice to blame it. The caller must hold
// q.mu.
func (q *Quarantine) unfounded(part models.PartID, now time.Time) bool {
	otherReason := slices.ContainsFunc(q.crashes, func(c *crash) bool {
		return c.has(part) && (c.refuted || q.blockedBeside(c, part))
	})
	settled, _ := q.settled(now)
	return otherReason && !blame.Supports(settled, q.sound, q.blocked, part)
}

// blockedBeside reports whether a crash has another part that is blocked. The caller
// must hold q.mu.
func (q *Quarantine) blockedBeside(c *crash, part models.PartID) bool {
	for other := range q.blocks {
		if other != part && c.has(other) {
			return true
		}
	}
	return false
}

// field is the log field of what is blocked.
func (b *block) field() zap.Field {
	if b.whole {
		return zap.String("identity", b.part.String())
	}
	return zap.String("part", b.part.String())
}

// renew blocks a part again after a probe has crashed its engine. The caller must
// hold q.mu.
func (q *Quarantine) renew(b *block, crashedAt, now time.Time) {
	b.lastCrash = crashedAt
	b.prolong(now)
	q.changed(true)
	q.logger.Warn("requests blocked again: the probe was broken off", b.field(), zap.Int("times", b.count), zap.Duration("for", b.duration))
}

// lift removes the block of a part if an answer began after the last crash that it
// rests on. The caller must hold q.mu.
func (q *Quarantine) lift(part models.PartID, answered time.Time) {
	b, ok := q.blocks[part]
	if !ok || !answered.After(b.lastCrash) {
		return
	}
	delete(q.blocks, part)
	q.logger.Info("requests no longer blocked: one was answered", b.field(), zap.Int("times", b.count))
}

// admits reports whether a request with a blocked part may be sent: as the probe
// of the interval, at the one daemon that sends it. The caller must hold q.mu.
func (q *Quarantine) admits(b *block, request models.RequestHash, now time.Time) bool {
	if now.Before(b.until()) {
		return false
	}
	if b.expired(now) {
		delete(q.blocks, b.part)
		return true
	}
	lapsed := now.Sub(b.until())
	interval := 1 + int(lapsed/probeInterval)
	if b.probes == interval {
		return b.probe == request
	}
	if lapsed%probeInterval >= probeWindow || !q.sendsProbe(b.part, interval) {
		return false
	}
	b.probes = interval
	b.probe = request
	q.logger.Info("request sent as a probe of blocked ones", b.field(), zap.Int("interval", interval))
	return true
}

// sendsProbe reports whether this daemon sends the probe of an interval. All
// daemons with the same members choose the same one, another for each interval.
func (q *Quarantine) sendsProbe(part models.PartID, interval int) bool {
	own := probeRank(part, interval, q.self)
	for id := range q.peers.Others() {
		if probeRank(part, interval, id) > own {
			return false
		}
	}
	return true
}

func probeRank(part models.PartID, interval int, id models.DaemonID) uint64 {
	key := binary.BigEndian.AppendUint64(nil, uint64(part))
	key = binary.BigEndian.AppendUint64(key, uint64(interval))
	return xxhash.Sum64(append(key, id...))
}
