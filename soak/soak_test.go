// Package soak runs daemons as processes before emulated platforms, injects
// faults from outside and checks what callers and backend servers see.
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
	seeds         = flag.Int("seeds", 1, "how many seeds to run")
	seed          = flag.Uint64("seed", 1, "the first seed")
	faultDuration = flag.Duration("faulty", 12*time.Second, "how long faults are injected for each seed")
	keepLogs      = flag.String("keep-logs", "", "directory for the logs of the daemons of seeds that failed")
)

// regressionSeeds are those that found something once, with what that was.
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

// buildBinary builds the program.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "quincewinch")
	output, err := exec.Command("go", "build", "-o", binary, "quincewinch").CombinedOutput()
	if err != nil {
		t.Fatalf("cannot build the program: %v\n%s", err, output)
	}
	return binary
}

// runSeed plays one seed.
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
	faults, end := context.WithTimeout(t.Context(), *faultDuration)
	newInjector(w).run(faults)
	end()
	w.awaitRecovery("the last fault")
	stop()
	calling.Wait()
	j := newChecker(w, callers)
	for _, broken := range j.checkAll() {
		t.Error(broken)
	}
	j.logSummary(t)
	if t.Failed() && *keepLogs != "" {
		w.saveLogs(filepath.Join(*keepLogs, fmt.Sprintf("seed-%d", seed)))
	}
}

// awaitRecovery waits until every daemon serves every kind of request, which must be
// soon.
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
					w.t.Errorf("%s does not serve %s %s after %s", daemon.name, kind, recoveryTime, after)
					break
				}
				timer := clock.NewTimer(maxCallerPause)
				<-timer.C()
			}
		}
		c.client.CloseIdleConnections()
	}
}

// logSummary prints what was played.
func (j *checker) logSummary(t *testing.T) {
	statuses := map[int]int{}
	for _, r := range j.replies {
		statuses[r.status]++
	}
	j.world.mu.Lock()
	defer j.world.mu.Unlock()
	t.Logf("%d requests judged, by status %v; faults %v; %d calls under a lease", len(j.replies), statuses, j.world.injected, len(j.world.duties.Calls()))
}

// saveLogs copies the logs of the daemons.
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
