package quarantine

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/policy/blame"
)

// Evidence implements balance.EvidenceLog.
func (q *Quarantine) Evidence(since uint64) *models.CrashEvidence {
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prune(now)
	if len(q.crashes) == 0 && len(q.sound) == 0 && len(q.blocks) == 0 {
		return nil
	}
	evidence := &models.CrashEvidence{}
	for _, c := range q.crashes {
		if c.revision > since {
			evidence.Crashes = append(evidence.Crashes, c.share(now))
		}
	}
	for part, at := range q.sound {
		if q.soundRevisions[part] <= since {
			continue
		}
		evidence.Sound = append(evidence.Sound, models.SoundPart{ID: part, Age: now.Sub(at)})
	}
	for part, b := range q.blocks {
		evidence.Blocks = append(evidence.Blocks, models.PartBlock{
			ID: part, Whole: b.whole, Age: now.Sub(b.since), CrashAge: now.Sub(b.lastCrash), Duration: b.duration, Count: b.count,
		})
	}
	return evidence
}

func (c *crash) share(now time.Time) models.Crash {
	shared := models.Crash{Engine: c.engine, Started: c.started, Age: now.Sub(c.At), Refuted: c.refuted}
	runs := c.Runs
	if c.refuted {
		runs = runs[:min(len(runs), 1)] // by which the crash is known
	}
	for _, run := range runs {
		// The receiver may mark parts as served while this daemon does too.
		parts := append([]models.SuspectPart(nil), run.Parts...)
		shared.Runs = append(shared.Runs, models.CrashedRun{Request: run.Request, SentAge: now.Sub(run.SentAt), Parts: parts})
	}
	return shared
}

// Learn adds what another daemon knows. Merging the same evidence again changes
// nothing.
func (q *Quarantine) Learn(evidence *models.CrashEvidence) {
	if evidence == nil {
		return
	}
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prune(now)
	for _, shared := range evidence.Crashes {
		if shared.Age < evidenceRetention {
			q.learnCrash(shared, now)
		}
	}
	for _, shared := range evidence.Sound {
		if shared.Age < evidenceRetention && q.noteSound(shared.ID, now.Add(-shared.Age)) {
			q.soundRevisions[shared.ID] = q.changed(false)
		}
	}
	for _, shared := range evidence.Blocks {
		q.learnBlock(shared, now)
	}
}

// learnCrash merges a crash. The caller must hold q.mu.
func (q *Quarantine) learnCrash(shared models.Crash, now time.Time) {
	c, found := q.knownCrash(shared)
	if !found {
		c, found = q.crashOf(shared.Engine, shared.Started, now.Add(-shared.Age))
	}
	changed := !found
	if shared.Refuted && !c.refuted {
		q.refute(c, now)
		changed = true
	}
	for _, run := range shared.Runs {
		merged := blame.Run{Request: run.Request, SentAt: c.At.Add(shared.Age - run.SentAge)}
		for _, part := range run.Parts {
			_, served := q.lastServed(part.ID)
			merged.Parts = append(merged.Parts, models.SuspectPart{ID: part.ID, Whole: part.Whole, Served: part.Served || served})
		}
		changed = q.add(c, merged, false) || changed
		q.defend(c, merged.Parts)
	}
	if changed {
		c.revision = q.changed(false)
	}
}

// knownCrash returns the crash that has a request of a shared one: no request is sent
// to an engine twice. The share may have been delayed, and its ages be too low. The
// caller must hold q.mu.
func (q *Quarantine) knownCrash(shared models.Crash) (c *crash, found bool) {
	for _, c := range q.crashes {
		if c.engine == shared.Engine && c.started.Equal(shared.Started) && slices.ContainsFunc(shared.Runs, c.hasRun) {
			return c, true
		}
	}
	return nil, false
}

func (c *crash) hasRun(shared models.CrashedRun) bool {
	return slices.ContainsFunc(c.Runs, func(run blame.Run) bool { return run.Request == shared.Request })
}

// defend notes which parts this daemon has seen answered since a crash. The caller
// must hold q.mu.
func (q *Quarantine) defend(c *crash, parts []models.SuspectPart) {
	for _, part := range parts {
		if begun, ok := q.lastServed(part.ID); ok && begun.After(c.At) && q.noteSound(part.ID, begun) {
			q.soundRevisions[part.ID] = q.changed(true)
		}
	}
}

// learnBlock takes over a block unless the part has been answered since. The caller
// must hold q.mu.
func (q *Quarantine) learnBlock(shared models.PartBlock, now time.Time) {
	b := &block{
		part:      shared.ID,
		whole:     shared.Whole,
		since:     now.Add(-shared.Age),
		lastCrash: now.Add(-shared.CrashAge),
		duration:  min(shared.Duration, maxBlockDuration),
		count:     shared.Count,
	}
	if begun, ok := q.lastServed(shared.ID); ok && begun.After(b.lastCrash) && !q.sound[shared.ID].After(b.lastCrash) {
		q.sound[shared.ID] = begun
		q.soundRevisions[shared.ID] = q.changed(true)
	}
	if q.sound[shared.ID].After(b.lastCrash) || b.expired(now) || b.count == 1 && q.unfounded(shared.ID, now) {
		return
	}
	known, ok := q.blocks[shared.ID]
	if ok && known.count >= b.count || !ok && len(q.blocks) >= maxBlocks {
		return
	}
	q.blocks[shared.ID] = b
	q.dropUnfounded(now)
	q.changed(false)
	q.logger.Warn("requests blocked, as another daemon found", b.field(), zap.Int("times", b.count), zap.Duration("for", b.until().Sub(now)))
}
