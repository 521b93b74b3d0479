package quarantine

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/policy/blame"
	"quincewinch/relay"
)

const (
	// crashSpan is the time within which the requests that a process breaks off
	// belong to one crash. It is not longer than signDelay, so that what a process
	// breaks off after it has answered is not taken for a part of that crash.
	crashSpan = signDelay
	// signDelay is the time after a crash from which a response shows that there was
	// none: an earlier one may have been sent before.
	signDelay = 500 * time.Millisecond
	// minRestartTime is the shortest time in which an engine is back after a crash.
	minRestartTime = 1500 * time.Millisecond
	// registrationLag is the longest time after which a restarted engine has
	// registered its new process.
	registrationLag = 8 * time.Second
	// maxCrashes bounds the crashes that are remembered, maxEvidenceParts the parts of
	// their requests, and maxCrashParts those of one crash, so that as many crashes as it
	// takes to blame a part always have room. Where a part stands in its prompt, and how
	// many others do, makes no difference.
	maxCrashes       = 32
	maxEvidenceParts = models.MaxEvidenceParts
	maxCrashParts    = maxEvidenceParts / 4
)

// crash is the moment at which a process of an engine broke off requests.
type crash struct {
	blame.Crash
	engine  models.EngineID
	started time.Time // the process
	refuted bool      // the process has answered since

	parts     map[models.PartID]bool // of all runs
	size      int                    // the number of parts, counted in each run
	truncated bool                   // there was no room for some of the runs
	revision  uint64                 // of the last change
}

// isOf reports whether requests that a process broke off at a time belong to the
// crash.
func (c *crash) isOf(engine models.EngineID, started, at time.Time) bool {
	return c.engine == engine && c.started.Equal(started) && at.Sub(c.At).Abs() < crashSpan
}

// refutedBy reports whether a response shows that the process has not crashed. A late
// one may come from the next process, if that had not registered when it was asked.
func (c *crash) refutedBy(r response) bool {
	if !c.started.Equal(r.started) {
		return false
	}
	after := r.at.Sub(c.At)
	return after >= signDelay && after < minRestartTime || r.sentAt.Sub(c.At) >= registrationLag && !c.started.IsZero()
}

// has reports whether a request with a part was broken off.
func (c *crash) has(part models.PartID) bool {
	return c.parts[part]
}

// addRun adds a request unless it is known or there is no room. It reports whether that
// has changed anything.
func (c *crash) addRun(run blame.Run) bool {
	for _, known := range c.Runs {
		if known.Request == run.Request {
			return markServed(known.Parts, run.Parts)
		}
	}
	if c.size+len(run.Parts) > maxCrashParts {
		c.truncated = true
		return false
	}
	c.Runs = append(c.Runs, run)
	c.size += len(run.Parts)
	for _, part := range run.Parts {
		c.parts[part.ID] = true
	}
	return true
}

// markServed marks the parts that are marked in another list of the same parts. It
// reports whether that has changed any.
func markServed(parts, marked []models.SuspectPart) bool {
	changed := false
	for i := range min(len(parts), len(marked)) {
		if parts[i].ID == marked[i].ID && marked[i].Served && !parts[i].Served {
			parts[i].Served = true
			changed = true
		}
	}
	return changed
}

// Responded implements relay.Guard.
func (q *Quarantine) Responded(server models.Upstream, sentAt time.Time) {
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	r := response{started: server.Started, sentAt: sentAt, at: now}
	q.responses[server.ID] = r
	for _, c := range q.crashes {
		if c.engine == server.ID && !c.refuted && c.refutedBy(r) {
			q.refute(c, now)
			c.revision = q.changed(true)
		}
	}
}

// refute notes that the process has not crashed, and undoes what rests on that. The
// caller must hold q.mu.
func (q *Quarantine) refute(c *crash, now time.Time) {
	c.refuted = true
	for _, b := range q.blocks {
		if b.count > 1 && b.lastCrash.Sub(c.At).Abs() < crashSpan && c.has(b.part) {
			b.endEarly(now)
		}
	}
	q.dropUnfounded(now)
}

// Completed implements relay.Guard.
func (q *Quarantine) Completed(run relay.Run) {
	q.Responded(run.Server, run.SentAt)
	identity := run.Identity
	if identity != nil && !identity.Cheap() && !q.hasEvidence() {
		identity = nil
	}
	parts := suspects(run.Prompt, identity)
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, part := range parts {
		if part.Whole {
			q.servedRequests.add(part.ID, run.BegunAt)
		} else {
			q.served.add(part.ID, run.BegunAt)
		}
		if _, ok := q.suspected[part.ID]; ok && q.noteSound(part.ID, run.BegunAt) {
			q.soundRevisions[part.ID] = q.changed(true)
		}
	}
}

// lastServed returns when the last answer to a request with a part, or to a request as
// a whole, began. The caller must hold q.mu.
func (q *Quarantine) lastServed(part models.PartID) (time.Time, bool) {
	if at, ok := q.served.last(part); ok {
		return at, true
	}
	return q.servedRequests.last(part)
}

// noteSound notes that the answer to a request with a part began at a time. It
// reports whether that is news: whether it clears the part of a crash. The caller must
// hold q.mu.
func (q *Quarantine) noteSound(part models.PartID, begun time.Time) bool {
	known := q.sound[part]
	clears := func(crashed time.Time) bool { return crashed.After(known) && begun.After(crashed) }
	b, blocked := q.blocks[part]
	news := blocked && clears(b.lastCrash) || q.suspected[part].After(known) &&
		slices.ContainsFunc(q.crashes, func(c *crash) bool { return clears(c.At) && c.has(part) })
	if !news {
		return false
	}
	q.sound[part] = begun
	q.lift(part, begun)
	return true
}

// BrokenOff implements relay.Guard.
func (q *Quarantine) BrokenOff(run relay.Run) {
	parts := suspects(run.Prompt, run.Identity)
	if len(parts) == 0 {
		return
	}
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prune(now)
	request := requestHash(run.Request)
	for _, part := range parts {
		if b, ok := q.blocks[part.ID]; ok && !run.SentAt.Before(b.until()) {
			q.renew(b, now, now)
		}
	}
	c, found := q.crashOf(run.Server.ID, run.Server.Started, now)
	if c.refuted {
		return
	}
	if !found {
		q.logger.Info("engine broke off requests", zap.String("engine", string(run.Server.ID)), zap.String("address", run.Server.Address.String()))
	}
	broken := blame.Run{Request: request, SentAt: run.SentAt}
	for _, part := range parts {
		_, part.Served = q.lastServed(part.ID)
		broken.Parts = append(broken.Parts, part)
	}
	q.add(c, broken, true)
}

// add adds a request to a crash. Observed is set if this daemon has seen it itself. It
// reports whether that has changed anything. The caller must hold q.mu.
func (q *Quarantine) add(c *crash, run blame.Run, observed bool) bool {
	truncated := c.truncated
	if !c.addRun(run) {
		if c.truncated && !truncated {
			q.logger.Warn("too many prompt parts were broken off at once to remember all requests",
				zap.String("engine", string(c.engine)), zap.Int("requests", len(c.Runs)), zap.Int("parts", c.size))
		}
		return false
	}
	q.suspect(c, run.Parts)
	c.revision = q.changed(observed)
	return true
}

// crashOf returns the crash of a process at a time, a new one if none is known. The
// caller must hold q.mu.
func (q *Quarantine) crashOf(engine models.EngineID, started, at time.Time) (c *crash, found bool) {
	for _, c := range q.crashes {
		if c.isOf(engine, started, at) {
			return c, true
		}
	}
	process := blame.Process{Engine: engine, Started: started.UnixNano()}
	c = &crash{Crash: blame.Crash{Process: process, At: at}, engine: engine, started: started, parts: map[models.PartID]bool{}}
	q.crashes = append(q.crashes, c)
	slices.SortStableFunc(q.crashes, func(a, b *crash) int { return a.At.Compare(b.At) })
	if r, ok := q.responses[engine]; ok {
		c.refuted = c.refutedBy(r)
	}
	return c, false
}

// suspect notes that requests with some parts were broken off by a crash. The
// caller must hold q.mu.
func (q *Quarantine) suspect(c *crash, parts []models.SuspectPart) {
	for _, part := range parts {
		if c.At.After(q.suspected[part.ID]) {
			q.suspected[part.ID] = c.At
		}
	}
	q.evaluateNoLaterThan(c.At.Add(settleTime))
}

// dropExcess forgets crashes that have too many parts in all: refuted ones and then the
// oldest. The caller must hold q.mu.
func (q *Quarantine) dropExcess() {
	size := 0
	for _, c := range q.crashes {
		size += c.size
	}
	for _, refutedOnly := range []bool{true, false} {
		q.crashes = slices.DeleteFunc(q.crashes, func(c *crash) bool {
			drop := size > maxEvidenceParts && (c.refuted || !refutedOnly)
			if drop {
				size -= c.size
			}
			return drop
		})
	}
}

// prune forgets what is too old or too much. The caller must hold q.mu.
func (q *Quarantine) prune(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) >= evidenceRetention }
	crashes := len(q.crashes)
	q.crashes = slices.DeleteFunc(q.crashes, func(c *crash) bool { return old(c.At) })
	if len(q.crashes) >= maxCrashes {
		q.crashes = slices.DeleteFunc(q.crashes, func(c *crash) bool { return c.refuted })
	}
	q.crashes = q.crashes[max(0, len(q.crashes)-maxCrashes+1):]
	q.dropExcess()
	if len(q.crashes) != crashes {
		clear(q.suspected)
		for _, c := range q.crashes {
			for _, run := range c.Runs {
				q.suspect(c, run.Parts)
			}
		}
	}
	for part, at := range q.sound {
		if old(at) {
			delete(q.sound, part)
			delete(q.soundRevisions, part)
		}
	}
	for part, b := range q.blocks {
		if b.expired(now) {
			delete(q.blocks, part)
		}
	}
	for engine, r := range q.responses {
		if old(r.at) {
			delete(q.responses, engine)
		}
	}
}
