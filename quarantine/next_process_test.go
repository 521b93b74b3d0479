package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// An engine that is back keeps its old registration for a while; an answer that was
// asked of its next process then says nothing about the crash.
func TestAnswerOfTheNextProcessDoesNotRefuteACrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 1)
		for _, engine := range []string{"e0", "e1"} {
			d.crash(0, engine, []string{"shared", "bad"})
			d.sleep(2500 * time.Millisecond)
			end := d.run(0, engine, "shared", "x")
			d.sleep(7 * time.Second)
			end(true)
		}
		d.crash(0, "e2", []string{"shared", "bad"})
		d.sleep(300 * time.Millisecond)
		d.is.True(!d.admits(0, "shared", "bad"))
	})
}
