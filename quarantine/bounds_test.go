package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

func TestOneOfPartsThatCrashInPairsIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 1)
		parts := [][]string{{"a", "b"}, {"b", "c"}, {"c", "a"}}
		for i := range 24 {
			d.crash(0, fmt.Sprintf("e%d", i), parts[i%3])
		}
		d.sleep(300 * time.Millisecond)
		d.is.True(!d.admits(0, "a", "b", "c"))
	})
}

// Guards against shares that grow with the connections that live engines reset.
func TestRefutedCrashIsSharedWithoutItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 2)
		d.crash(0, "e0", []string{"x"}, []string{"y"}, []string{"z"})
		d.is.Equal(len(d.list[0].Evidence(0).Crashes[0].Runs), 3)
		d.gossip()
		d.sleep(500 * time.Millisecond)
		d.serve(1, "e0", "shared")
		d.is.Equal(len(d.list[1].Evidence(0).Crashes[0].Runs), 1)
		d.gossip()
		crashes := d.list[0].Evidence(0).Crashes
		d.is.Equal(len(crashes), 1)
		d.is.True(crashes[0].Refuted)
	})
}
