package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"quincewinch/models"
	"quincewinch/relay"
)

// repeatedRun returns a run of a request of a plain service that starts now.
func (d *group) repeatedRun(engine, path string, workspace models.Workspace) relay.Run {
	d.sent++
	return relay.Run{
		Server:   models.Upstream{ID: models.EngineID(engine), Started: time.Unix(1, 0)},
		Request:  models.RequestID(fmt.Sprintf("r%d", d.sent)),
		Identity: relay.NewIdentity(&models.UpstreamCall{Method: "GET", Target: path, Workspace: workspace}),
		SentAt:   d.clock.Now(),
	}
}

// crashOn lets a daemon send a request that crashes an engine.
func (d *group) crashOn(daemon int, engine, path string) {
	d.t.Helper()
	run := d.repeatedRun(engine, path, "w")
	d.sleep(50 * time.Millisecond)
	d.list[daemon].BrokenOff(run)
}

// answer lets a daemon send a request that is answered.
func (d *group) answer(daemon int, path string) {
	d.t.Helper()
	run := d.repeatedRun("sound", path, "w")
	d.sleep(50 * time.Millisecond)
	run.BegunAt = d.clock.Now()
	d.list[daemon].Completed(run)
}

// admitsRequest reports whether a daemon sends a request of a plain service.
func (d *group) admitsRequest(daemon int, path string, workspace models.Workspace) bool {
	run := d.repeatedRun("", path, workspace)
	return d.list[daemon].Admit(run.Request, models.Prompt{}, run.Identity) == nil
}

// expectAdmitted checks whether all daemons send a request.
func (d *group) expectAdmitted(path string, want bool) {
	d.t.Helper()
	d.sleep(300 * time.Millisecond)
	d.gossip()
	for i := range d.list {
		d.is.Equal(d.admitsRequest(i, path, "w"), want)
	}
}

func TestRepeatedRequest(t *testing.T) {
	run := func(name string, test func(d *group)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(newGroup(t, 3)) })
		})
	}
	crashAt := func(d *group, daemons ...int) {
		for i, daemon := range daemons {
			d.crashOn(daemon, fmt.Sprintf("e%d", i), "/bad")
		}
	}
	run("is blocked at all daemons after three crashes", func(d *group) {
		crashAt(d, 0, 1)
		d.expectAdmitted("/bad", true)
		d.crashOn(2, "e2", "/bad")
		d.expectAdmitted("/bad", false)
		d.expectAdmitted("/bad?x", true)
		d.is.True(d.admitsRequest(0, "/bad", "another workspace"))
		d.is.Equal(d.blocked(0), 1)
	})
	run("is cleared by an answer in between", func(d *group) {
		crashAt(d, 0, 1)
		d.gossip()
		d.answer(2, "/bad")
		d.gossip()
		d.crashOn(0, "e3", "/bad")
		d.crashOn(0, "e4", "/bad")
		d.expectAdmitted("/bad", true)
	})
	run("needs a fourth crash if it was answered before", func(d *group) {
		d.answer(0, "/bad")
		crashAt(d, 0, 0, 0)
		d.expectAdmitted("/bad", true)
		d.crashOn(0, "e4", "/bad")
		d.expectAdmitted("/bad", false)
	})
	run("crashes several engines at once", func(d *group) {
		var runs []relay.Run
		for i := range 3 {
			runs = append(runs, d.repeatedRun(fmt.Sprintf("e%d", i), "/bad", "w"))
		}
		d.sleep(100 * time.Millisecond)
		for i, run := range runs {
			d.list[i].BrokenOff(run)
		}
		d.expectAdmitted("/bad", false)
	})
	run("is not blamed for engines that crash together", func(d *group) {
		var runs []relay.Run
		for i := range 3 {
			runs = append(runs, d.repeatedRun(fmt.Sprintf("e%d", i), "/sound", "w"))
			d.sleep(100 * time.Millisecond)
		}
		for i, run := range runs {
			d.list[i].BrokenOff(run)
		}
		d.expectAdmitted("/sound", true)
	})
	run("is blamed rather than what came along", func(d *group) {
		for i := range 3 {
			along := d.repeatedRun(fmt.Sprintf("e%d", i), fmt.Sprintf("/sound-%d", i/2), "w")
			d.crashOn(i, fmt.Sprintf("e%d", i), "/bad")
			d.list[i].BrokenOff(along)
		}
		d.expectAdmitted("/bad", false)
		d.expectAdmitted("/sound-0", true)
		d.expectAdmitted("/sound-1", true)
	})
	run("is served again after a probe that is answered", func(d *group) {
		crashAt(d, 0, 1, 2)
		d.expectAdmitted("/bad", false)
		for range 300 {
			d.sleep(100 * time.Millisecond)
			for i := range d.list {
				if d.admitsRequest(i, "/bad", "w") {
					d.answer(i, "/bad")
					d.expectAdmitted("/bad", true)
					return
				}
			}
		}
		d.t.Error("no probe within 30 s")
	})
}

// Guards against probes that crash engines more often than the three times that are
// allowed.
func TestRequestThatGoesOnCrashingReachesThreeMoreEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 7)
		var third time.Time // crash
		sends, late := 0, 0
		for range 10 * 60 * 15 {
			d.sleep(100 * time.Millisecond)
			for i := range d.list {
				if d.admitsRequest(i, "/bad", "w") {
					sends++
					if sends > 3 && d.clock.Now().Sub(third) > contact {
						late++
					}
					d.crashOn(i, fmt.Sprintf("e%d", sends), "/bad")
					d.gossip()
					if sends == 3 {
						third = d.clock.Now()
					}
				}
			}
		}
		d.is.True(sends > 3)
		d.is.True(late <= maxLateArrivals)
	})
}
