package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

func TestCrashSoonAfterAResetOfTheSameEngineCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 1)
		for i := range 4 {
			engine := fmt.Sprintf("e%d", i)
			end := d.run(0, engine, "shared", "bad")
			d.crash(0, engine, []string{"shared", "x"}) // one connection is reset
			d.sleep(600 * time.Millisecond)
			d.serve(0, engine, "shared", "y")
			d.sleep(600 * time.Millisecond)
			end(false)
			d.sleep(5 * time.Second)
		}
		d.is.True(!d.admits(0, "shared", "bad"))
	})
}
