package quarantine_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/quarantine"
	"quincewinch/relay"
	"quincewinch/standin/platform"
)

var losses = flag.Int("losses", 60, "number of seeded losses of all daemons to play")

const (
	journalTick = 250 * time.Millisecond
	// writtenAfter is the time after which a crash is in the store.
	writtenAfter = 2 * time.Second
)

// storedGroup is a group of daemons that keep crashes in a store.
type storedGroup struct {
	*group
	store    *platform.Store
	journals []*quarantine.Journal
}

func runStored(t *testing.T, test func(d *storedGroup)) {
	synctest.Test(t, func(t *testing.T) {
		d := &storedGroup{group: newGroup(t, 3)}
		d.store = platform.NewStore(d.clock)
		d.lose()
		test(d)
	})
}

// lose replaces all daemons by others, which know what is in the store.
func (d *storedGroup) lose() {
	d.journals = nil
	for i := range d.list {
		d.list[i] = quarantine.New(daemonID(i), d, d.clock, zap.NewNop())
		d.journals = append(d.journals, quarantine.NewJournal(d.list[i], d.store, func() (int, bool) { return i, true }, d.clock, zap.NewNop()))
	}
	d.step()
}

func (d *storedGroup) step() {
	for _, journal := range d.journals {
		journal.Step(d.t.Context())
	}
}

// pass lets time pass, in which daemons learn from each other and the store.
func (d *storedGroup) pass(duration time.Duration) {
	for ; duration > 0; duration -= journalTick {
		d.sleep(journalTick)
		d.gossip()
		d.step()
	}
}

// crashAt lets a request crash as many engines, one after the other.
func (d *storedGroup) crashAt(path string, engines ...string) {
	for i, engine := range engines {
		d.crashOn(i%len(d.list), engine, path)
		d.pass(time.Second)
	}
}

// rows returns the rows in the store.
func (d *storedGroup) rows() []models.Row {
	changes, err := d.store.Changes(context.Background(), models.PartitionCrashes, 0)
	d.is.NoErr(err)
	var rows []models.Row
	for _, row := range changes.Rows {
		if !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows
}

// Guards against requests that crash servers again after all daemons were lost.
func TestCrashesAreKnownAfterTheLossOfAllDaemons(t *testing.T) {
	run := func(name string, test func(d *storedGroup)) {
		t.Run(name, func(t *testing.T) { runStored(t, test) })
	}
	run("blocked request", func(d *storedGroup) {
		d.crashAt("/bad", "e0", "e1", "e2")
		d.expectAdmitted("/bad", false)
		d.lose()
		d.expectAdmitted("/bad", false)
		d.expectAdmitted("/sound", true)
		d.lose()
		d.expectAdmitted("/bad", false)
	})
	run("request that was not blocked yet", func(d *storedGroup) {
		d.crashAt("/bad", "e0")
		d.pass(writtenAfter)
		d.lose()
		d.crashAt("/bad", "e1")
		d.pass(writtenAfter)
		d.lose()
		d.expectAdmitted("/bad", true)
		d.crashAt("/bad", "e2")
		d.expectAdmitted("/bad", false)
	})
	run("part of prompts", func(d *storedGroup) {
		d.crash(0, "e0", []string{"shared", "bad"})
		d.crash(0, "e1", []string{"shared", "bad"})
		d.serve(0, "e9", "shared", "x")
		d.pass(4 * time.Second)
		d.lose()
		d.crash(0, "e2", []string{"shared", "bad"})
		d.pass(time.Second)
		d.is.True(!d.admits(1, "other", "bad"))
		d.is.True(d.admits(1, "shared", "x"))
	})
	run("longer block after a probe", func(d *storedGroup) {
		d.crashAt("/bad", "e0", "e1", "e2")
		d.pass(15 * time.Second)
		d.crashAt("/bad", "e3") // the probe
		d.lose()
		d.pass(20 * time.Second)
		d.expectAdmitted("/bad", false)
	})
	run("crashes while the store is away", func(d *storedGroup) {
		d.store.SetFaults(platform.Faults{Down: true})
		d.crashAt("/bad", "e0", "e1", "e2")
		d.is.True(d.journals[0].Tried())
		d.store.SetFaults(platform.Faults{})
		d.pass(writtenAfter)
		d.lose()
		d.expectAdmitted("/bad", false)
	})
	run("older copy of the store before", func(d *storedGroup) {
		older := d.store.Revision().Version()
		d.crashAt("/bad", "e0", "e1", "e2")
		d.store.Restore(older)
		d.pass(time.Second)
		d.lose()
		d.expectAdmitted("/bad", false)
	})
	run("older build in turn", func(d *storedGroup) {
		d.journals[0], d.journals[1] = d.journals[2], d.journals[2] // only the last one writes
		d.crashAt("/bad", "e0", "e1", "e2")
		d.pass(time.Second)
		d.lose()
		d.expectAdmitted("/bad", false)
	})
	run("row of another build", func(d *storedGroup) {
		other := models.RowKey{Partition: models.PartitionCrashes, Name: "other"}
		_, err := d.store.Transact(d.t.Context(), models.Transaction{Writes: []models.Write{{Key: other, Value: []byte(`{"new":1}`)}}})
		d.is.NoErr(err)
		d.crashAt("/bad", "e0", "e1", "e2")
		d.lose()
		d.expectAdmitted("/bad", false)
		d.pass(15 * time.Minute)
		d.is.Equal(len(d.rows()), 1) // it is left to its own build
	})
	run("many large requests broken off at once", func(d *storedGroup) {
		const requests, parts, limit = 40, 600, 64 << 10
		for i := range 3 {
			for range requests {
				r := d.repeatedRun("e"+strconv.Itoa(i), "/bad", "w")
				for range parts {
					r.Prompt.Parts = append(r.Prompt.Parts, models.PromptPart{ID: strconv.Itoa(d.sent) + "-" + strconv.Itoa(len(r.Prompt.Parts)), Tokens: 16})
				}
				d.list[0].BrokenOff(r)
			}
			d.pass(3 * time.Second)
		}
		for _, row := range d.rows() {
			d.is.True(len(row.Value) < limit)
		}
		d.lose()
		d.expectAdmitted("/bad", false)
	})
}

// Guards against requests that are blocked after the loss of all daemons although they
// had been found sound before.
func TestSoundRequestsStaySoundAfterTheLossOfAllDaemons(t *testing.T) {
	run := func(name string, test func(d *storedGroup)) {
		t.Run(name, func(t *testing.T) { runStored(t, test) })
	}
	lift := func(d *storedGroup) {
		d.crashAt("/good", "e0", "e1", "e2")
		d.expectAdmitted("/good", false)
		d.pass(12 * time.Second)
		d.answer(0, "/good")
		d.gossip()
		d.expectAdmitted("/good", true)
	}
	run("block that was lifted", func(d *storedGroup) {
		lift(d)
		d.pass(4 * time.Second)
		d.lose()
		d.expectAdmitted("/good", true)
		d.crashAt("/good", "e3")
		d.expectAdmitted("/good", true)
	})
	run("block that an older copy brings back", func(d *storedGroup) {
		d.crashAt("/good", "e0", "e1", "e2")
		d.expectAdmitted("/good", false)
		d.pass(writtenAfter)
		blocked := d.store.Revision().Version()
		d.pass(12 * time.Second)
		d.answer(0, "/good")
		d.pass(4 * time.Second)
		d.store.Restore(blocked)
		d.pass(4 * time.Second)
		d.expectAdmitted("/good", true)
		d.lose()
		d.expectAdmitted("/good", true)
	})
	run("crashes that an older copy brings back", func(d *storedGroup) {
		d.crashAt("/good", "e0", "e1", "e2")
		crashed := d.store.Revision().Version()
		d.pass(12 * time.Second)
		d.answer(0, "/good")
		d.pass(4 * time.Second)
		d.store.Restore(crashed)
		d.pass(4 * time.Second)
		d.expectAdmitted("/good", true)
		d.lose()
		d.expectAdmitted("/good", true)
	})
	// Guards against a kind of requests that is refused for a minute after an outage of all
	// daemons, because of a part that they share and that no probe has confirmed.
	run("part that was blocked wrongly", func(d *storedGroup) {
		for i := range 3 {
			d.crash(0, "e"+strconv.Itoa(i), []string{"shared"})
		}
		d.pass(writtenAfter)
		d.is.True(!d.admits(0, "shared"))
		d.lose()
		probed := 0
		for range 10 * time.Second / journalTick {
			for i := range d.list {
				if d.admits(i, "shared") {
					probed++
				}
			}
			d.pass(journalTick)
		}
		d.is.Equal(probed, 1)
	})
	run("part answered between crashes", func(d *storedGroup) {
		for i := range 2 {
			d.crash(0, "e"+strconv.Itoa(i), []string{"shared"})
			d.serve(0, "e9", "shared")
			d.pass(4 * time.Second)
		}
		d.lose()
		d.crash(0, "e2", []string{"shared"})
		d.pass(time.Second)
		d.is.True(d.admits(0, "shared"))
	})
	run("connections that were reset", func(d *storedGroup) {
		for i := range 2 {
			engine := "e" + strconv.Itoa(i)
			r := d.repeatedRun(engine, "/good", "w")
			d.list[0].BrokenOff(r)
			d.pass(time.Second)
			d.list[0].Responded(r.Server, d.clock.Now()) // the process has not ended
			d.pass(time.Second)
		}
		d.is.Equal(d.store.Counts().Writes, int64(0)) // they have not waited for the store
		d.lose()
		d.crashAt("/good", "e2")
		d.expectAdmitted("/good", true)
	})
}

// Rows do not stay in the store, and one daemon writes what all know.
func TestRowsOfCrashes(t *testing.T) {
	runStored(t, func(d *storedGroup) {
		before := d.store.Counts()
		d.pass(time.Minute)
		d.is.Equal(d.store.Counts(), before) // nothing crashes
		d.crashAt("/bad", "e0", "e1", "e2")
		d.expectAdmitted("/bad", false)
		d.pass(5 * time.Second)
		const rows, callsPerRow = 4, 2 // three crashes and a block; a read and a write
		d.is.Equal(len(d.rows()), rows)
		d.is.True(d.store.Counts().Writes-before.Writes <= rows)
		d.is.True(d.store.Counts().Reads-before.Reads <= int64(callsPerRow*rows*len(d.list)))
		d.pass(25 * time.Minute) // until the block is forgotten
		d.is.Equal(len(d.rows()), 0)
	})
}

// Guards against losses of all daemons, one after the other, between which a request
// crashes more servers than it may in one life.
func TestCrashesStayWithinTheirBoundOverLosses(t *testing.T) {
	const (
		contact  = 3 * time.Second
		watched  = 75 * time.Second
		allowed  = 3
		interval = 500 * time.Millisecond
	)
	for seed := range uint64(*losses) {
		runStored(t, func(d *storedGroup) {
			random := rand.New(rand.NewPCG(seed, 0))
			var lossAt []time.Duration
			for range 1 + random.IntN(3) {
				lossAt = append(lossAt, time.Duration(random.Int64N(int64(watched))))
			}
			begun := d.clock.Now()
			var third, crashed time.Time
			crashes, late, unwritten := 0, 0, 0
			for d.clock.Now().Sub(begun) < watched {
				for i, at := range lossAt {
					if at >= 0 && d.clock.Now().Sub(begun) >= at {
						if d.clock.Now().Sub(crashed) < writtenAfter {
							unwritten++ // the store could not know it
						}
						lossAt[i] = -1
						d.lose()
					}
				}
				sent := d.repeatedRun(fmt.Sprintf("e%d", crashes), "/bad", "w")
				daemon := random.IntN(len(d.list))
				if d.list[daemon].Admit(sent.Request, models.Prompt{}, sent.Identity) == nil {
					crashes++
					crashed = d.clock.Now()
					if !third.IsZero() && crashed.Sub(third) > contact {
						late++
					}
					if crashes == allowed {
						third = crashed
					}
					d.list[daemon].BrokenOff(relay.Run{Server: sent.Server, Request: sent.Request, Identity: sent.Identity, SentAt: sent.SentAt})
				}
				d.pass(interval)
			}
			if late > allowed+unwritten {
				t.Errorf("seed %d: %d requests crashed servers more than %s after the third crash, %d are allowed, %d of the crashes were not written", seed, late, contact, allowed, unwritten)
			}
		})
	}
}
