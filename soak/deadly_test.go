package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"quincewinch/peer/system"
)

const (
	// deadlyPath is the path of a request that crashes each backend server which begins
	// to run it, and comes again unchanged at all daemons.
	deadlyPath = "/" + kindLookup + "/deadly"
	// deadlyPause is the time between two such requests to one daemon.
	deadlyPause = 700 * time.Millisecond
	// restartTime is the time until a backend server is back after a crash.
	restartTime = 2 * time.Second
	// Requests that may reach backend servers later than deadlyContact after the third
	// crash, from daemons that were undisturbed for as long and reached the store, by
	// which they know one process of a backend server from the next.
	deadlyContact = 4 * time.Second
	deadlyCrashes = 3
	maxLateSends  = 3
)

// repeatDeadly sends the deadly request again and again until ctx ends.
func (c *caller) repeatDeadly(ctx context.Context) {
	clock := system.NewClock()
	for i := 0; ctx.Err() == nil; i++ {
		key, _ := c.world.keys()
		result := c.sendTo(deadlyPath, kindLookup, fmt.Sprintf("%s-%d", c.name, i), key, "deadly")
		c.mu.Lock()
		c.replies = append(c.replies, result)
		c.mu.Unlock()
		// The only error is that ctx has ended, which ends the loop.
		_ = clock.Sleep(ctx, deadlyPause)
	}
	c.client.CloseIdleConnections()
}

// crash resets all connections and restarts the backend server after some time.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return
	}
	b.down = true
	b.proxy.setFault(faultReset)
	go func() {
		timer := system.NewClock().NewTimer(restartTime)
		<-timer.C()
		b.mu.Lock()
		b.down = false
		b.mu.Unlock()
		b.restart()
		b.proxy.setFault(faultNone)
	}()
}

// checkDeadly checks that the deadly request was kept from backend servers after it had
// crashed the third.
func (ck *checker) checkDeadly() {
	sender := map[string]string{} // by request
	for _, r := range ck.replies {
		sender[r.id] = r.daemon
	}
	var arrivals []arrival
	for _, b := range ck.world.backends {
		for _, a := range b.recordedArrivals() {
			if a.deadly {
				arrivals = append(arrivals, a)
			}
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	ck.crashes = len(arrivals)
	if len(arrivals) < deadlyCrashes {
		return
	}
	late := 0
	for _, a := range arrivals[deadlyCrashes:] {
		from := a.at.Add(-deadlyContact)
		inTouch := ck.world.healthyDuring(processOf(sender[a.id]), from, a.at) && ck.world.healthyDuring(sender[a.id], from, a.at)
		if inTouch && a.at.Sub(arrivals[deadlyCrashes-1].at) > deadlyContact {
			late++
		}
	}
	if late > maxLateSends {
		ck.violationf("the deadly request reached backend servers %d times later than %s after the third crash", late, deadlyContact)
	}
}
