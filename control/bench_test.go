package control

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"quincewinch/models"
	"quincewinch/peer/daemon"
	"quincewinch/standin/platform"
	"quincewinch/table"
)

const (
	benchTick       = 10 * time.Millisecond // in virtual time
	benchChanges    = 60
	benchPause      = time.Second
	benchWorkspaces = 11000
)

// periodicTask is a task of one daemon, stepped at its interval.
type periodicTask struct {
	task     Task
	interval time.Duration
	next     time.Time
}

// newPeriodicTasks returns all tasks of all daemons, with the default intervals
// of the serve command and random phases.
func newPeriodicTasks(w *world, random *rand.Rand) []*periodicTask {
	var tasks []*periodicTask
	for _, td := range w.daemons {
		for _, b := range []periodicTask{
			{task: td.configuration, interval: 500 * time.Millisecond},
			{task: td.membership, interval: 250 * time.Millisecond},
			{task: td.gossip, interval: time.Second},
			{task: td.propagator, interval: 100 * time.Millisecond},
			{task: td.editor, interval: 250 * time.Millisecond},
		} {
			phase := time.Duration(random.Int64N(int64(b.interval)))
			b.next = w.clock.now.Add(phase)
			tasks = append(tasks, &b)
		}
	}
	return tasks
}

// runUntil advances the clock by benchTick at a time and steps the tasks that
// are due, until done reports true or the duration is over.
func runUntil(b *testing.B, w *world, tasks []*periodicTask, d time.Duration, done func() bool) {
	for end := w.clock.now.Add(d); w.clock.now.Before(end) && !done(); {
		w.clock.now = w.clock.now.Add(benchTick)
		for _, periodic := range tasks {
			if !w.clock.now.Before(periodic.next) {
				periodic.task.Step(b.Context())
				periodic.next = periodic.next.Add(periodic.interval)
			}
		}
	}
}

// BenchmarkSpread measures in virtual time how long an accepted edit takes to
// be in force at all daemons, and the reads, writes, messages and bytes that a
// daemon spends on propagation.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{7, 28, 112} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			for b.Loop() {
				measurePropagation(b, size)
			}
		})
	}
}

func measurePropagation(b *testing.B, size int) {
	b.Helper()
	is := is.New(b)
	random := rand.New(rand.NewPCG(uint64(size), 0))
	w := newWorld()
	for i := range size {
		w.start(models.Zone("zone-"+strconv.Itoa(i%4)), netip.AddrPort{})
	}
	tasks := newPeriodicTasks(w, random)
	never := func() bool { return false }
	open := func() bool {
		return !slices.ContainsFunc(w.daemons, func(td *testDaemon) bool { return !td.editing.Open() })
	}
	startedAt := w.clock.now
	runUntil(b, w, tasks, time.Minute, open)
	is.True(open()) // all accept edits
	openAfter := w.clock.now.Sub(startedAt)
	runUntil(b, w, tasks, 5*time.Second, never)

	var bytes, messages int
	w.onMessage = func(message models.Gossip) {
		bytes += proto.Size(daemon.EncodeGossip(message))
		messages++
	}
	counts, startedAt := w.store.Counts(), w.clock.now
	var times []time.Duration
	for i := range benchChanges {
		runUntil(b, w, tasks, benchPause+time.Duration(random.Int64N(int64(time.Second))), never)
		td := w.daemons[random.IntN(size)]
		is.NoErr(td.put(i))
		accepted := w.clock.now
		key := table.Key(table.KindWorkspace, "w")
		revision := td.configuration.Row(key).Revision
		runUntil(b, w, tasks, time.Minute, func() bool {
			return !slices.ContainsFunc(w.daemons, func(td *testDaemon) bool { return td.configuration.Row(key).Revision < revision })
		})
		times = append(times, w.clock.now.Sub(accepted))
	}
	slices.Sort(times)
	countsAfter := w.store.Counts()
	seconds := w.clock.now.Sub(startedAt).Seconds() * float64(size)
	report := map[string]float64{
		"p50-ms":            float64(times[len(times)/2].Milliseconds()),
		"p99-ms":            float64(times[len(times)*99/100].Milliseconds()),
		"worst-ms":          float64(times[len(times)-1].Milliseconds()),
		"open-after-ms":     float64(openAfter.Milliseconds()),
		"reads/s/daemon":    float64(countsAfter.Reads-counts.Reads) / seconds,
		"writes/s/daemon":   float64(countsAfter.Writes-counts.Writes) / seconds,
		"messages/s/daemon": float64(messages) / seconds,
		"bytes/s/daemon":    float64(bytes) / seconds,
	}
	for unit, value := range report {
		b.ReportMetric(value, unit)
	}
}

// BenchmarkChange measures one changed row among many workspaces: applied
// incrementally, as the serve command does, and by a full rebuild.
func BenchmarkChange(b *testing.B) {
	var rows []models.Row
	for i := range benchWorkspaces {
		rows = append(rows, models.Row{
			Key:      table.Key(table.KindWorkspace, "workspace-"+strconv.Itoa(i)),
			Revision: models.Revision(i + 1),
			Value:    []byte(`{"weight": 2, "key-freshness": "5s"}`),
		})
	}
	b.Run("apply", func(b *testing.B) {
		c := NewConfiguration(nil, &manualClock{}, discard{})
		c.ApplyCommitted(rows)
		row := rows[0]
		b.ReportAllocs()
		for b.Loop() {
			row.Revision += benchWorkspaces
			c.ApplyCommitted([]models.Row{row})
		}
	})
	b.Run("build", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.Build(rows, 1)
		}
	})
}

// BenchmarkWithdrawal measures in virtual time, with seven daemons in four
// zones, the share of requests with a valid key that are admitted in a minute
// of faults, inside and outside the cut-off part, and for how long a withdrawn
// key is still accepted.
func BenchmarkWithdrawal(b *testing.B) {
	cases := []struct {
		name   string
		inject func(w *world) (cutOff []*testDaemon)
	}{
		{"no-trouble", func(*world) []*testDaemon { return nil }},
		{"store-outage", func(w *world) []*testDaemon {
			w.store.SetFaults(platform.Faults{Down: true})
			return nil
		}},
		{"zone-cut-off", func(w *world) []*testDaemon {
			cutOff := []*testDaemon{w.daemons[0], w.daemons[4]}
			w.isolate(true, cutOff...)
			return cutOff
		}},
		{"daemon-cut-off", func(w *world) []*testDaemon {
			w.isolate(true, w.daemons[0])
			return w.daemons[:1]
		}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				measureWithdrawal(b, c.inject)
			}
		})
	}
}

func measureWithdrawal(b *testing.B, inject func(w *world) []*testDaemon) {
	b.Helper()
	w := newWorld()
	for i := range 7 {
		w.start(models.Zone("zone-"+strconv.Itoa(i%4)), netip.AddrPort{})
	}
	tasks := newPeriodicTasks(w, rand.New(rand.NewPCG(7, 0)))
	never := func() bool { return false }
	runUntil(b, w, tasks, 10*time.Second, never)
	cutOff := inject(w)
	runUntil(b, w, tasks, 100*time.Millisecond, never)
	_, err := w.daemons[6].withdraw("k1")
	accepted, stopped := w.clock.now, w.clock.now
	served, asked := map[bool]float64{}, map[bool]float64{}
	for w.clock.now.Sub(accepted) < time.Minute {
		runUntil(b, w, tasks, benchTick, never)
		for _, td := range w.daemons {
			isCutOff := slices.Contains(cutOff, td)
			asked[isCutOff]++
			if td.admits("k0") {
				served[isCutOff]++
			}
			if td.admits("k1") {
				stopped = w.clock.now
			}
		}
	}
	b.ReportMetric(100*served[false]/asked[false], "%served-beside")
	if len(cutOff) > 0 {
		b.ReportMetric(100*served[true]/asked[true], "%served-within")
	}
	if err == nil {
		b.ReportMetric(float64(stopped.Sub(accepted).Milliseconds()), "stop-ms")
	}
}
