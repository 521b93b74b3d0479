package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

func TestAnswerClearsACrashThatIsLearnedAfterALaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 2)
		for i := range 4 {
			d.serve(1, "e9", "shared")
			d.crash(i/3, fmt.Sprintf("e%d", i), []string{"shared"})
		}
		d.gossip() // the daemons did not reach each other until now
		d.sleep(300 * time.Millisecond)
		d.is.True(d.admits(1, "shared"))
	})
}
