// Package soak runs daemons as processes against an emulated platform, injects
// faults from outside and checks what callers and backend servers observe.
package soak

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"quincewinch/peer/system"
)

var (
	seeds         = flag.Int("seeds", 1, "number of seeds to run")
	seed          = flag.Uint64("seed", 1, "first seed")
	faultDuration = flag.Duration("faulty", 12*time.Second, "duration of fault injection for each seed")
	keepLogs      = flag.String("keep-logs", "", "directory for the daemon logs of failed seeds")
)

// regressionSeeds are seeds that once failed, each with a description of the
// fault found. They always run.
var regressionSeeds = map[uint64]string{}

func TestSoak(t *testing.T) {
	binary := buildBinary(t)
	chosen := slices.Sorted(maps.Keys(regressionSeeds))
	for i := range uint64(*seeds) {
		chosen = append(chosen, *seed+i)
	}
	for _, s := range slices.Compact(chosen) {
		t.Run(fmt.Sprintf("seed-%d", s), func(t *testing.T) { runSeed(t, binary, s) })
	}
}

// buildBinary builds the program and returns the path of the binary.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "quincewinch")
	output, err := exec.Command("go", "build", "-o", binary, "quincewinch").CombinedOutput()
	if err != nil {
		t.Fatalf("cannot build the program: %v\n%s", err, output)
	}
	return binary
}

// runSeed runs callers and faults for one seed and checks the results.
func runSeed(t *testing.T, binary string, seed uint64) {
	w := newWorld(t, binary, seed)
	w.awaitRecovery("the start")
	var callers []*caller
	var calling sync.WaitGroup
	ctx, stop := context.WithCancel(t.Context())
	for i, daemon := range w.daemons {
		for n := range callersPerDaemon {
			c := newCaller(w, daemon, fmt.Sprintf("caller-%d-%d", i, n), seed)
			callers = append(callers, c)
			calling.Go(func() { c.run(ctx) })
		}
	}
	limited := w.limitBackend()
	faults, end := context.WithTimeout(t.Context(), *faultDuration)
	for i, daemon := range w.daemons {
		c := newCaller(w, daemon, fmt.Sprintf("deadly-%d", i), seed)
		callers = append(callers, c)
		calling.Go(func() { c.repeatDeadly(faults) })
	}
	injector := newInjector(w)
	injector.run(faults)
	end()
	limited.lift()
	w.awaitRecovery("the last fault")
	injector.loseAll()
	w.awaitRecovery("the loss of all daemons")
	stop()
	calling.Wait()
	ck := newChecker(w, callers)
	ck.limited = limited
	for _, violation := range ck.checkAll() {
		t.Error(violation)
	}
	ck.logSummary(t)
	if t.Failed() && *keepLogs != "" {
		w.saveLogs(filepath.Join(*keepLogs, fmt.Sprintf("seed-%d", seed)))
	}
}

// awaitRecovery waits until every daemon serves every kind of request, and
// reports an error for each that takes longer than recoveryTime.
func (w *world) awaitRecovery(after string) {
	clock := system.NewClock()
	limit := clock.Now().Add(recoveryTime - w.stalledTime())
	for i, daemon := range w.daemons {
		c := newCaller(w, daemon, fmt.Sprintf("probe-%s-%d", after, i), 0)
		for n, kind := range []string{kindDraft, kindReserve, kindLookup} {
			for try := 0; ; try++ {
				key, _ := w.keys()
				if c.send(kind, fmt.Sprintf("%s-%d-%d", c.name, n, try), key).status == http.StatusOK {
					break
				}
				if clock.Now().After(limit.Add(w.stalledTime())) {
					w.t.Errorf("%s does not serve %s requests within %s after %s", daemon.name, kind, recoveryTime, after)
					break
				}
				timer := clock.NewTimer(maxCallerPause)
				<-timer.C()
			}
		}
		c.client.CloseIdleConnections()
	}
}

// logSummary logs the numbers of requests, faults and calls under a lease.
func (ck *checker) logSummary(t *testing.T) {
	statuses := map[int]int{}
	for _, r := range ck.replies {
		statuses[r.status]++
	}
	ck.world.mu.Lock()
	defer ck.world.mu.Unlock()
	t.Logf("%d requests checked, by status %v; faults %v; %d calls under a lease; %d arrivals checked against a limit; %d crashes by one request", len(ck.replies), statuses, ck.world.injected, len(ck.world.duties.Calls()), len(ck.withinLimit), ck.crashes)
}

// saveLogs copies the logs of the daemons to directory.
func (w *world) saveLogs(directory string) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		w.t.Error(err)
		return
	}
	for _, daemon := range w.daemons {
		raw, err := os.ReadFile(daemon.settings + ".log")
		if err != nil {
			w.t.Error(err)
			continue
		}
		if err := os.WriteFile(filepath.Join(directory, daemon.name+".log"), raw, 0o600); err != nil {
			w.t.Error(err)
		}
	}
}
