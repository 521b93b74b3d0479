package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/quarantine"
	"quincewinch/relay"
)

// group is the quarantines of some daemons, which learn from each other when told to.
type group struct {
	t     *testing.T
	is    *is.I
	clock peer.Clock
	list  []*quarantine.Quarantine
	sent  int // runs so far
}

// Others implements quarantine.Peers.
func (d *group) Others() map[models.DaemonID]models.Peer {
	others := map[models.DaemonID]models.Peer{}
	for i := range d.list {
		others[daemonID(i)] = models.Peer{}
	}
	return others
}

func daemonID(i int) models.DaemonID {
	return models.DaemonID(fmt.Sprintf("d%d", i))
}

func newGroup(t *testing.T, n int) *group {
	d := &group{t: t, is: is.New(t), clock: system.NewClock()}
	for i := range n {
		d.list = append(d.list, quarantine.New(daemonID(i), d, d.clock, zap.NewNop()))
	}
	return d
}

func (d *group) sleep(duration time.Duration) {
	d.t.Helper()
	d.is.NoErr(d.clock.Sleep(d.t.Context(), duration))
}

// gossip makes all daemons learn from all others.
func (d *group) gossip() {
	for _, from := range d.list {
		for _, to := range d.list {
			if to != from {
				to.Learn(from.Evidence(0))
			}
		}
	}
}

// prompt returns a prompt of parts and a last one of its own.
func (d *group) prompt(parts ...string) models.Prompt {
	d.sent++
	var prompt models.Prompt
	for _, id := range append(parts, fmt.Sprintf("own-%d", d.sent)) {
		prompt.Parts = append(prompt.Parts, models.PromptPart{ID: id, Tokens: 10})
	}
	return prompt
}

// run sends a request to an engine now. The function that it returns ends it.
func (d *group) run(daemon int, engine string, parts ...string) (end func(completed bool)) {
	prompt := d.prompt(parts...)
	run := relay.Run{
		Server:  models.Upstream{ID: models.EngineID(engine), Started: time.Unix(1, 0)},
		Request: models.RequestID(fmt.Sprintf("r%d", d.sent)),
		Prompt:  prompt,
		SentAt:  d.clock.Now(),
	}
	return func(completed bool) {
		if !completed {
			d.list[daemon].BrokenOff(run)
			return
		}
		run.BegunAt = d.clock.Now()
		d.list[daemon].Completed(run)
	}
}

// crash sends requests to an engine that crashes on them.
func (d *group) crash(daemon int, engine string, prompts ...[]string) {
	d.t.Helper()
	var ends []func(bool)
	for _, parts := range prompts {
		ends = append(ends, d.run(daemon, engine, parts...))
	}
	d.sleep(300 * time.Millisecond)
	for _, end := range ends {
		end(false)
	}
}

// serve sends a request that is answered.
func (d *group) serve(daemon int, engine string, parts ...string) {
	d.t.Helper()
	end := d.run(daemon, engine, parts...)
	d.sleep(100 * time.Millisecond)
	end(true)
}

// admits reports whether a daemon sends a request with some parts.
func (d *group) admits(daemon int, parts ...string) bool {
	prompt := d.prompt(parts...)
	refusal := d.list[daemon].Admit(models.RequestID(fmt.Sprintf("r%d", d.sent)), prompt, nil)
	if refusal != nil {
		d.is.Equal(refusal.Code, models.RefusalQuarantined)
		d.is.True(refusal.NotRun)
		d.is.True(refusal.RetryAfter > 0)
	}
	return refusal == nil
}

// blocked returns how many parts and requests a daemon blocks.
func (d *group) blocked(daemon int) int {
	parts, requests := d.list[daemon].Blocked()
	return parts + requests
}

// block makes all daemons block the part "bad", with three crashes at the first.
func (d *group) block() {
	d.t.Helper()
	for i := range 3 {
		d.crash(0, fmt.Sprintf("e%d", i), []string{"shared", "bad"})
	}
	d.sleep(300 * time.Millisecond)
	d.gossip()
	for i := range d.list {
		d.is.True(!d.admits(i, "other", "bad"))
	}
}

func TestCrashingPart(t *testing.T) {
	run := func(name string, test func(d *group)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(newGroup(t, 3)) })
		})
	}
	run("is blocked at the daemon that saw the crashes", func(d *group) {
		d.serve(0, "e9", "shared", "x")
		for i := range 3 {
			d.is.True(d.admits(0, "shared", "bad"))
			d.crash(0, fmt.Sprintf("e%d", i), []string{"shared", "bad"}, []string{"shared", "y"})
		}
		d.sleep(300 * time.Millisecond)
		d.is.True(!d.admits(0, "shared", "bad"))
		d.is.True(!d.admits(0, "bad", "shared"))
		d.is.True(d.admits(0, "shared", "x"))
		d.is.True(d.admits(0, "shared", "y"))
		d.is.Equal(d.blocked(0), 1)
	})
	run("is blocked where each daemon saw one of its crashes", func(d *group) {
		for i := range 3 {
			d.crash(i, fmt.Sprintf("e%d", i), []string{"shared", "bad"})
			d.gossip()
		}
		d.sleep(300 * time.Millisecond)
		for i := range d.list {
			d.is.True(!d.admits(i, "z", "bad"))
		}
	})
	run("is not the last of a prompt", func(d *group) {
		for i := range 3 {
			d.crash(0, fmt.Sprintf("e%d", i), []string{"bad"})
		}
		d.sleep(300 * time.Millisecond)
		d.is.True(d.admits(0))
		refusal := d.list[0].Admit("r", models.Prompt{Parts: []models.PromptPart{{ID: "a"}, {ID: "bad"}}}, nil)
		d.is.True(refusal == nil)
	})
	run("is found although it was sound before", func(d *group) {
		d.serve(0, "e9", "shared", "bad")
		for i := range 4 {
			d.is.True(d.admits(0, "shared", "bad"))
			d.crash(0, fmt.Sprintf("e%d", i), []string{"shared", "bad"})
			d.serve(0, "e9", "shared", "x")
		}
		d.sleep(300 * time.Millisecond)
		d.is.True(!d.admits(0, "shared", "bad"))
		d.is.True(d.admits(0, "shared", "x"))
	})
	run("is known to a daemon that starts later", func(d *group) {
		d.block()
		d.list[2] = quarantine.New(daemonID(2), d, d.clock, zap.NewNop())
		d.gossip()
		d.is.True(!d.admits(2, "bad"))
	})
}

func TestSoundPart(t *testing.T) {
	run := func(name string, test func(d *group)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(newGroup(t, 3)) })
		})
	}
	run("is served although engines crash together", func(d *group) {
		var ends []func(bool)
		for i := range 8 {
			ends = append(ends, d.run(0, fmt.Sprintf("e%d", i), "shared"))
		}
		d.sleep(100 * time.Millisecond)
		for _, end := range ends {
			end(false)
		}
		d.sleep(300 * time.Millisecond)
		d.is.True(d.admits(0, "shared"))
	})
	run("is served if requests with it are answered between crashes", func(d *group) {
		for i := range 20 {
			d.crash(0, fmt.Sprintf("e%d", i), []string{"shared"})
			d.serve(0, "e99", "shared")
			d.sleep(300 * time.Millisecond)
			d.is.True(d.admits(0, "shared"))
		}
	})
	run("is served if another daemon answers requests with it", func(d *group) {
		for i := range 20 {
			d.crash(0, fmt.Sprintf("e%d", i), []string{"shared"})
			d.serve(1, "e99", "shared")
			d.gossip()
			d.sleep(300 * time.Millisecond)
			d.is.True(d.admits(0, "shared"))
		}
	})
	run("is served if engines reset connections but answer others", func(d *group) {
		for i := range 20 {
			engine := fmt.Sprintf("e%d", i%5)
			d.crash(0, engine, []string{"rare"})
			d.sleep(600 * time.Millisecond)
			d.serve(1, engine, "shared")
			d.gossip()
			d.sleep(3 * time.Second)
			d.is.True(d.admits(0, "rare"))
		}
	})
	run("is served while another part explains the crashes", func(d *group) {
		for i := range 6 {
			d.crash(0, fmt.Sprintf("e%d", i), []string{"shared", "bad"}, []string{"shared", "x"}, []string{"shared", "x"})
		}
		d.sleep(300 * time.Millisecond)
		d.is.True(d.admits(0, "shared", "x"))
		d.is.True(!d.admits(0, "shared", "bad"))
	})
	run("is served again where a daemon has blocked it that others disprove", func(d *group) {
		for i := range 3 {
			d.crash(0, fmt.Sprintf("e%d", i), []string{"shared"})
		}
		d.sleep(300 * time.Millisecond)
		d.is.True(!d.admits(0, "shared"))
		d.serve(1, "e9", "shared")
		d.gossip()
		for i := range d.list {
			d.is.True(d.admits(i, "shared"))
		}
		d.sleep(time.Minute)
		d.gossip()
		d.is.True(d.admits(0, "shared"))
	})
}

func TestBlockLapses(t *testing.T) {
	run := func(name string, test func(d *group)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newGroup(t, 3)
				d.block()
				test(d)
			})
		})
	}
	// probes sends requests at all daemons for a while and counts those that pass.
	probes := func(d *group, duration time.Duration, end func(daemon int)) (sent int) {
		for range duration / time.Second {
			for i := range d.list {
				if d.admits(i, "z", "bad") {
					sent++
					end(i)
				}
			}
			d.gossip()
			d.sleep(time.Second)
		}
		return sent
	}
	run("with one probe at a time, which blocks the part again for longer", func(d *group) {
		crash := func(daemon int) { d.crash(daemon, "e9", []string{"z", "bad"}) }
		d.is.Equal(probes(d, 55*time.Second, crash), 0)
		d.is.Equal(probes(d, 20*time.Second, crash), 1)
		d.is.Equal(probes(d, 100*time.Second, crash), 0)
		d.is.Equal(probes(d, 30*time.Second, crash), 1)
	})
	run("with one probe, after which all requests pass", func(d *group) {
		d.sleep(55 * time.Second)
		sent := probes(d, 20*time.Second, func(daemon int) { d.serve(daemon, "e9", "z", "bad") })
		d.is.True(sent > 20)
		for i := range d.list {
			d.is.True(d.admits(i, "bad"))
		}
	})
	run("if no request comes for a long time", func(d *group) {
		d.sleep(12 * time.Minute)
		for i := range d.list {
			d.is.True(d.admits(i, "bad"))
			d.is.Equal(d.blocked(i), 0)
		}
		d.is.True(d.list[0].Evidence(0) == nil)
	})
}

func TestEvidenceStopsTravelling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 3)
		d.block()
		d.serve(1, "e9", "shared")
		for range 3 {
			d.gossip()
		}
		before := make([]uint64, 3)
		for i, q := range d.list {
			before[i], _ = q.Revision()
		}
		d.sleep(time.Second)
		for range 3 {
			d.gossip()
		}
		for i, q := range d.list {
			after, _ := q.Revision()
			d.is.Equal(after, before[i])
		}
	})
}
