package quarantine_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
)

var (
	schedules = flag.Int("schedules", 8, "number of seeded schedules to run")
	firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")
)

const (
	// Deadly requests that may reach engines later than contact after so many
	// crashes, by a part or by the same request.
	crashesUntilBlock       = 5
	repeatCrashesUntilBlock = 3
	maxLateArrivals         = 3
	// minJudged is the smallest number of requests whose share that began is judged.
	minJudged = 20
	// codeQuarantined is the code of refusals for a part of the prompt.
	codeQuarantined = models.RefusalCode("quarantined")
)

// record is what is known of a schedule at its end.
type record struct {
	faults     []string        // broken promises
	crashTimes []time.Duration // by the deadly part
	arrivals   []arrival       // of requests with it at engines
	outcomes   []outcome
}

// arrival is a request with the deadly part that reached an engine.
type arrival struct {
	at      time.Duration
	inTouch bool // the daemon that sent it was
}

// outcome is how an attempt of a caller ended.
type outcome struct {
	kind    *kind
	daemon  int
	at      time.Duration // when it was made
	first   bool          // attempt of its caller
	carries bool          // its prompt has the deadly part
	inTouch bool          // the daemon was when the request came, and answered it
	begun   bool          // the caller got some of the answer
	code    models.RefusalCode
}

// arrives records that a request of a daemon reaches an engine, and returns how
// many have arrived for it before.
func (s *schedule) arrives(d *daemon, id models.RequestID) (q *request, before int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q = s.requests[id]
	q.arrived++
	if s.carries(q) {
		s.arrivals = append(s.arrivals, arrival{at: s.sinceBegin(), inTouch: s.inTouch(d)})
	}
	return q, q.arrived - 1
}

// untilBlock returns the number of crashes after which deadly requests are to be kept
// from engines.
func (s *schedule) untilBlock() int {
	if s.deadly.repeated.rate > 0 {
		return repeatCrashesUntilBlock
	}
	return crashesUntilBlock
}

// lateArrivals returns how many deadly requests reached engines later than contact
// after some crashes: from daemons in touch, and from all.
func (r *record) lateArrivals(crashes int) (inTouch, all int) {
	if len(r.crashTimes) < crashes {
		return 0, 0
	}
	from := r.crashTimes[crashes-1] + contact
	for _, a := range r.arrivals {
		if a.at <= from {
			continue
		}
		all++
		if a.inTouch {
			inTouch++
		}
	}
	return inTouch, all
}

// began returns how many sound requests daemons in touch got in a period, at the
// first attempt of their callers, and how many of them began.
func (r *record) began(of *kind, from, until time.Duration) (begun, asked int) {
	for _, o := range r.outcomes {
		if o.kind != of || o.carries || !o.first || !o.inTouch || o.at < from || o.at >= until {
			continue
		}
		asked++
		if o.begun {
			begun++
		}
	}
	return begun, asked
}

// blamed returns how many sound requests were refused for a part of their prompts.
func (r *record) blamed(from time.Duration) int {
	count := 0
	for _, o := range r.outcomes {
		if !o.carries && o.code == codeQuarantined && o.at >= from {
			count++
		}
	}
	return count
}

// checkContained checks that the deadly part is kept from engines, and that sound
// requests are served.
func (s *schedule) checkContained() {
	late, all := s.lateArrivals(s.untilBlock())
	s.t.Logf("seed %d: %+v: %d crashes by the part, %d in all, %d deadly requests at engines, %d of them late (%d from daemons in touch), %d sound ones blamed",
		s.seed, s.settings, len(s.crashTimes), s.crashed, len(s.arrivals), all, late, s.blamed(0))
	if late > maxLateArrivals {
		s.fault("BUDGET: %d deadly requests reached engines later than %v after %d crashes", late, contact, s.untilBlock())
	}
	if len(s.crashTimes) == 0 {
		return
	}
	k := s.kinds[s.deadly.kind]
	begunBefore, before := s.began(k, 0, s.crashTimes[0])
	from := s.crashTimes[min(len(s.crashTimes), s.untilBlock())-1] + 2*contact
	begunAfter, after := s.began(k, from, s.start+s.duration)
	if before >= minJudged && after >= minJudged && 2*share(begunAfter, after) < share(begunBefore, before) {
		s.fault("LOST: %d of %d sound requests began, %d of %d before the first crash", begunAfter, after, begunBefore, before)
	}
	s.checkCalm()
}

// checkCalm checks that sound requests are served as usual some time after the
// last deadly one.
func (s *schedule) checkCalm() {
	calm := s.start + s.duration + settleTime
	for _, k := range s.kinds {
		begun, asked := s.began(k, calm, calm+calmTime)
		if asked >= minJudged && share(begun, asked) < 0.9 {
			s.fault("%d of %d sound requests (%s) began %v after the last deadly one", begun, asked, k.name, settleTime)
		}
	}
	if blamed := s.blamed(calm); blamed > 0 {
		s.fault("%d sound requests were refused for their parts %v after the last deadly one", blamed, settleTime)
	}
}

// fault records a broken promise.
func (s *schedule) fault(format string, values ...any) {
	s.faults = append(s.faults, fmt.Sprintf("seed %d: %s", s.seed, fmt.Sprintf(format, values...)))
}

func share(part, whole int) float64 {
	return float64(part) / float64(max(whole, 1))
}

// drawSettings draws the daemons, the rate and the times of a schedule.
func drawSettings(s *schedule) settings {
	r := s.draw("settings", 0)
	drawn := settings{
		daemons: 7, zones: 3, rate: 20 + 40*r.Float64(),
		start: between(r, 0, 6*time.Second), duration: between(r, 15*time.Second, 25*time.Second),
		deadly: deadlySettings{subject: -1},
	}
	if r.IntN(10) == 0 {
		drawn.daemons, drawn.zones = 26, 4
	}
	order := r.Perm(len(disturbances))
	for _, i := range order[:r.IntN(3)] {
		drawn.disturbances = append(drawn.disturbances, disturbances[i])
	}
	return drawn
}

// drawDeadly draws how requests with the deadly part come.
func drawDeadly(s *schedule) deadlySettings {
	r := s.draw("deadly", 0)
	shares := []float64{0.02, 0.05, 0.3, 0.7}
	drawn := deadlySettings{kind: r.IntN(3), share: shares[r.IntN(len(shares))], position: position(r.IntN(int(positions))), subject: -1}
	if r.IntN(3) == 0 {
		drawn.subject = 2 + r.IntN(subjects/2)
	}
	return drawn
}

// play runs seeded schedules and reports the promises that they broke.
func play(t *testing.T, run func(t *testing.T, seed uint64) *schedule) {
	faults := make([][]string, *schedules)
	t.Run("schedules", func(t *testing.T) {
		for i := range faults {
			seed := *firstSeed + uint64(i)
			t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { faults[i] = run(t, seed).faults })
			})
		}
	})
	for _, broken := range faults {
		for _, fault := range broken {
			t.Error(fault)
		}
	}
}

// Guards against requests that crash one engine after another, and against sound
// requests refused because of them.
func TestCrashingPartsAreContained(t *testing.T) {
	play(t, func(t *testing.T, seed uint64) *schedule {
		drawn := drawSettings(&schedule{seed: seed})
		drawn.deadly = drawDeadly(&schedule{seed: seed})
		s := newSchedule(t, seed, drawn)
		s.run()
		s.checkContained()
		return s
	})
}

// Guards against a request with a deadly part that is blamed in place of the part, so
// that the others with it go on crashing engines.
func TestCrashingPartIsContainedIfItsRequestsComeAgain(t *testing.T) {
	play(t, func(t *testing.T, seed uint64) *schedule {
		drawn := drawSettings(&schedule{seed: seed})
		drawn.deadly = drawDeadly(&schedule{seed: seed})
		drawn.deadly.bodies = 1 + int(seed%5)
		s := newSchedule(t, seed, drawn)
		s.run()
		s.checkContained()
		return s
	})
}

// drawRepeated draws how one deadly request comes again and again.
func drawRepeated(s *schedule) deadlySettings {
	r := s.draw("deadly", 0)
	rates := []float64{0.3, 1, 3}
	repeated := repeatSettings{rate: rates[r.IntN(len(rates))], everywhere: r.IntN(3) == 0}
	if r.IntN(2) == 0 {
		repeated.age = between(r, time.Millisecond, 200*time.Millisecond)
	}
	return deadlySettings{kind: r.IntN(4), subject: -1, repeated: repeated}
}

// Guards against one request that comes again at any daemon and crashes engine after
// engine, and against sound requests refused because of it.
func TestRepeatedRequestThatCrashesEnginesIsContained(t *testing.T) {
	play(t, func(t *testing.T, seed uint64) *schedule {
		drawn := drawSettings(&schedule{seed: seed})
		drawn.desks = 4
		drawn.repeats = 0.3 * float64(seed%3)
		drawn.deadly = drawRepeated(&schedule{seed: seed})
		if seed%4 == 0 {
			drawn.spares = 3
			drawn.disturbances = append(drawn.disturbances, additions)
		}
		s := newSchedule(t, seed, drawn)
		s.run()
		s.checkContained()
		return s
	})
}

// Guards against sound requests that come again unchanged and are blamed for engines
// that fail for other reasons.
func TestSoundRepeatsAreServedBesideOtherCrashes(t *testing.T) {
	play(t, func(t *testing.T, seed uint64) *schedule {
		drawn := drawSettings(&schedule{seed: seed})
		drawn.desks = 4
		drawn.repeats = 0.3 + 0.6*float64(seed%2)
		drawn.disturbances = disturbances
		if n := int(seed) % (2 * len(disturbances)); n < len(disturbances) {
			drawn.disturbances = disturbances[n : n+1]
		}
		s := newSchedule(t, seed, drawn)
		s.run()
		t.Logf("seed %d: %+v: %d crashes, %d requests", seed, drawn, s.crashed, len(s.outcomes))
		if blamed := s.blamed(0); blamed > 0 {
			s.fault("%d sound requests were refused for what they have in common with others", blamed)
		}
		return s
	})
}

// Guards against prompt parts blamed for engines that fail for other reasons.
func TestSoundPartsAreServedBesideOtherCrashes(t *testing.T) {
	play(t, func(t *testing.T, seed uint64) *schedule {
		drawn := drawSettings(&schedule{seed: seed})
		drawn.disturbances = disturbances
		if n := int(seed) % (2 * len(disturbances)); n < len(disturbances) {
			drawn.disturbances = disturbances[n : n+1]
		}
		s := newSchedule(t, seed, drawn)
		s.run()
		begun, asked := 0, 0
		for _, k := range s.kinds {
			b, a := s.began(k, 0, s.start+s.duration)
			begun, asked = begun+b, asked+a
		}
		t.Logf("seed %d: %+v: %d crashes, %d of %d requests began", seed, drawn, s.crashed, begun, asked)
		if blamed := s.blamed(0); blamed > 0 {
			s.fault("%d sound requests were refused for their parts", blamed)
		}
		return s
	})
}

// Guards against a block that outlasts the fault of its part, and against attempts
// to end it that crash engines.
func TestBlockedPartIsServedAgainOnceSound(t *testing.T) {
	const (
		deadlyRate = 5.0 // requests per second
		maxCrashes = 3
		blockWait  = time.Minute
		deadlyTime = 2 * time.Minute // after the first block
		servedWait = 5 * time.Minute // after the part has become sound
		step       = 5 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSchedule(t, *firstSeed, settings{daemons: 3, zones: 3, rate: 16, deadly: deadlySettings{position: inMiddle, subject: -1}})
		for i, k := range s.kinds {
			if k.rate > s.kinds[s.deadly.kind].rate {
				s.deadly.kind = i
			}
		}
		s.deadly.share = deadlyRate / s.kinds[s.deadly.kind].rate
		defer s.end()
		s.begin()
		s.sleep(contact)
		s.setDeadly(true, true)
		is.True(s.waitFor(blockWait, step, func() bool { return s.blocked() > 0 })) // requests with the deadly part are refused

		s.sleep(contact)
		before := s.crashes()
		s.sleep(deadlyTime)
		is.True(s.crashes() <= before+maxCrashes) // engines are spared while the part is blocked

		s.setDeadly(false, true)
		is.True(s.waitFor(servedWait, step, func() bool { return s.servedAgain(2 * step) })) // requests with the part are served again
	})
}

// waitFor waits until a condition holds. It reports false if it does not in time.
func (s *schedule) waitFor(timeout, step time.Duration, holds func() bool) bool {
	for range timeout / step {
		s.sleep(step)
		if holds() {
			return true
		}
	}
	return false
}

// crashes returns how often the deadly part has crashed engines.
func (s *schedule) crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashTimes)
}

// blocked returns how many requests with the deadly part were refused for it.
func (s *schedule) blocked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, o := range s.outcomes {
		if o.carries && o.code == codeQuarantined {
			count++
		}
	}
	return count
}

// servedAgain reports whether nine of ten requests with the deadly part of the last
// period, and at least minJudged, began.
func (s *schedule) servedAgain(period time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	begun, asked := 0, 0
	for _, o := range s.outcomes {
		if o.carries && o.first && o.at >= s.sinceBegin()-period {
			asked++
			if o.begun {
				begun++
			}
		}
	}
	return asked >= minJudged && 10*begun >= 9*asked
}
