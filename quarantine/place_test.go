package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// longPrompt is the number of shared parts of a prompt that fills a header of 16 KiB.
	longPrompt = 1260
	// contactTime is how long the daemons take to pass on what they have seen.
	contactTime = time.Second
)

// partsWith returns shared parts that no other prompt has, but for one at a place,
// counted from 1.
func (d *group) partsWith(part string, place, count int) []string {
	d.sent++
	var parts []string
	for i := range count {
		parts = append(parts, fmt.Sprintf("p%d-%d", d.sent, i))
	}
	parts[place-1] = part
	return parts
}

// Guards against a part that crashes engines and is never found, as it stands behind
// many others.
func TestPartThatCrashesIsFoundAtAnyPlace(t *testing.T) {
	for _, place := range []int{1, 3, 15, 16, 17, 64, 65, 256, 257, longPrompt} {
		t.Run(fmt.Sprint(place), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newGroup(t, 2)
				for i := range 3 {
					d.crash(i%2, fmt.Sprintf("e%d", i), d.partsWith("bad", place, max(place+4, 20)))
					d.sleep(contactTime)
					d.gossip()
				}
				d.sleep(contactTime)
				for daemon := range d.list {
					d.is.True(!d.admits(daemon, d.partsWith("bad", place, max(place+4, 20))...))
					d.is.True(d.admits(daemon, d.partsWith("good", place, max(place+4, 20))...))
				}
			})
		})
	}
}

// Guards against a part that is never found, as the engine runs many other requests.
func TestPartThatCrashesIsFoundBehindAnyNumberOfRequests(t *testing.T) {
	for _, test := range []struct{ requests, parts int }{{1, 20}, {63, 20}, {64, 20}, {256, 20}, {2000, 20}, {50, longPrompt}} {
		t.Run(fmt.Sprintf("%d requests of %d parts", test.requests, test.parts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newGroup(t, 2)
				for i := range 3 {
					var prompts [][]string
					for range test.requests {
						prompts = append(prompts, d.partsWith("sound", 2, test.parts))
					}
					d.crash(i%2, fmt.Sprintf("e%d", i), append(prompts, d.partsWith("bad", test.parts, test.parts))...)
					d.sleep(contactTime)
					d.serve(i%2, "other", d.partsWith("sound", 2, test.parts)...)
					d.gossip()
				}
				d.sleep(contactTime)
				for daemon := range d.list {
					d.is.True(!d.admits(daemon, "bad"))
					d.is.True(d.admits(daemon, "sound"))
				}
			})
		})
	}
}

// Guards against shares that repeat all evidence with each change of it.
func TestOnlyChangedEvidenceIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newGroup(t, 2)
		d.crash(0, "e0", []string{"x", "shared"})
		confirmed, _ := d.list[0].Revision()
		d.list[1].Learn(d.list[0].Evidence(0))
		d.crash(0, "e1", []string{"y", "shared"})
		d.sleep(contactTime)
		d.serve(0, "e2", "y")
		d.serve(0, "e2", "x")
		news := d.list[0].Evidence(confirmed)
		d.is.Equal(len(news.Crashes), 1)
		d.is.Equal(len(news.Crashes[0].Runs), 1)
		d.is.Equal(len(news.Sound), 2)
		d.list[1].Learn(news)
		d.is.Equal(len(d.list[1].Evidence(0).Crashes), 2)
		latest, _ := d.list[0].Revision()
		d.is.Equal(len(d.list[0].Evidence(latest).Crashes), 0)
	})
}
