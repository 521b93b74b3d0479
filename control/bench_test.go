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
	grain          = 10 * time.Millisecond // of virtual time
	benchChanges   = 60
	benchQuiet     = time.Second
	benchWorkspace = 11000
)

// beat steps a task of one daemon at its interval, from a phase of its own.
type beat struct {
	task     Task
	interval time.Duration
	next     time.Time
}

// beats gives the daemons the intervals that serve has by default.
func beats(w *world, random *rand.Rand) []*beat {
	var all []*beat
	for _, n := range w.nodes {
		for _, b := range []beat{
			{task: n.configuration, interval: 500 * time.Millisecond},
			{task: n.membership, interval: 250 * time.Millisecond},
			{task: n.gossip, interval: time.Second},
			{task: n.spread, interval: 100 * time.Millisecond},
			{task: n.editor, interval: 250 * time.Millisecond},
		} {
			phase := time.Duration(random.Int64N(int64(b.interval)))
			b.next = w.clock.now.Add(phase)
			all = append(all, &b)
		}
	}
	return all
}

// play steps what is due, grain by grain, until done or the time is over.
func play(b *testing.B, w *world, all []*beat, d time.Duration, done func() bool) {
	for end := w.clock.now.Add(d); w.clock.now.Before(end) && !done(); {
		w.clock.now = w.clock.now.Add(grain)
		for _, beat := range all {
			if !w.clock.now.Before(beat.next) {
				beat.task.Step(b.Context())
				beat.next = beat.next.Add(beat.interval)
			}
		}
	}
}

// BenchmarkSpread measures in virtual time how long an accepted change takes
// until it is in force everywhere, and what a daemon spends on that.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{7, 28, 112} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			for b.Loop() {
				measureSpread(b, size)
			}
		})
	}
}

func measureSpread(b *testing.B, size int) {
	b.Helper()
	is := is.New(b)
	random := rand.New(rand.NewPCG(uint64(size), 0))
	w := newWorld()
	for i := range size {
		w.start(models.Zone("zone-"+strconv.Itoa(i%4)), netip.AddrPort{})
	}
	all := beats(w, random)
	never := func() bool { return false }
	open := func() bool {
		return !slices.ContainsFunc(w.nodes, func(n *node) bool { return !n.editing.Open() })
	}
	began := w.clock.now
	play(b, w, all, time.Minute, open)
	is.True(open()) // all take edits
	openAfter := w.clock.now.Sub(began)
	play(b, w, all, 5*time.Second, never)

	var bytes, messages int
	w.sent = func(message models.Gossip) {
		bytes += proto.Size(daemon.EncodeGossip(message))
		messages++
	}
	counts, began := w.store.Counts(), w.clock.now
	var times []time.Duration
	for i := range benchChanges {
		play(b, w, all, benchQuiet+time.Duration(random.Int64N(int64(time.Second))), never)
		n := w.nodes[random.IntN(size)]
		is.NoErr(n.put(i))
		accepted := w.clock.now
		key := table.Key(table.KindWorkspace, "w")
		revision := n.configuration.Row(key).Revision
		play(b, w, all, time.Minute, func() bool {
			return !slices.ContainsFunc(w.nodes, func(n *node) bool { return n.configuration.Row(key).Revision < revision })
		})
		times = append(times, w.clock.now.Sub(accepted))
	}
	slices.Sort(times)
	spent := w.store.Counts()
	seconds := w.clock.now.Sub(began).Seconds() * float64(size)
	report := map[string]float64{
		"p50-ms":            float64(times[len(times)/2].Milliseconds()),
		"p99-ms":            float64(times[len(times)*99/100].Milliseconds()),
		"worst-ms":          float64(times[len(times)-1].Milliseconds()),
		"open-after-ms":     float64(openAfter.Milliseconds()),
		"reads/s/daemon":    float64(spent.Reads-counts.Reads) / seconds,
		"writes/s/daemon":   float64(spent.Writes-counts.Writes) / seconds,
		"messages/s/daemon": float64(messages) / seconds,
		"bytes/s/daemon":    float64(bytes) / seconds,
	}
	for unit, value := range report {
		b.ReportMetric(value, unit)
	}
}

// BenchmarkChange measures one change among many workspaces, by the way that
// serve takes and by building all anew.
func BenchmarkChange(b *testing.B) {
	var rows []models.Row
	for i := range benchWorkspace {
		rows = append(rows, models.Row{
			Key:      table.Key(table.KindWorkspace, "workspace-"+strconv.Itoa(i)),
			Revision: models.Revision(i + 1),
			Value:    []byte(`{"weight": 2, "key-freshness": "5s"}`),
		})
	}
	b.Run("apply", func(b *testing.B) {
		c := NewConfiguration(nil, &manualClock{}, nowhere{})
		c.Learn(rows)
		row := rows[0]
		b.ReportAllocs()
		for b.Loop() {
			row.Revision += benchWorkspace
			c.Learn([]models.Row{row})
		}
	})
	b.Run("build", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.Build(rows, 1)
		}
	})
}

// BenchmarkWithdrawal measures in virtual time, at seven daemons in four
// zones, what share of keyed requests is served in a minute of trouble, within
// the cut-off part and beside it, and how long a withdrawn key is still taken.
func BenchmarkWithdrawal(b *testing.B) {
	cases := []struct {
		name    string
		trouble func(w *world) (out []*node)
	}{
		{"no-trouble", func(*world) []*node { return nil }},
		{"store-outage", func(w *world) []*node {
			w.store.SetFaults(platform.Faults{Down: true})
			return nil
		}},
		{"zone-cut-off", func(w *world) []*node {
			out := []*node{w.nodes[0], w.nodes[4]}
			w.isolate(true, out...)
			return out
		}},
		{"daemon-cut-off", func(w *world) []*node {
			w.isolate(true, w.nodes[0])
			return w.nodes[:1]
		}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				measureWithdrawal(b, c.trouble)
			}
		})
	}
}

func measureWithdrawal(b *testing.B, trouble func(w *world) []*node) {
	b.Helper()
	w := newWorld()
	for i := range 7 {
		w.start(models.Zone("zone-"+strconv.Itoa(i%4)), netip.AddrPort{})
	}
	all := beats(w, rand.New(rand.NewPCG(7, 0)))
	never := func() bool { return false }
	play(b, w, all, 10*time.Second, never)
	out := trouble(w)
	play(b, w, all, 100*time.Millisecond, never)
	_, err := w.nodes[6].withdraw("k1")
	accepted, stopped := w.clock.now, w.clock.now
	served, asked := map[bool]float64{}, map[bool]float64{}
	for w.clock.now.Sub(accepted) < time.Minute {
		play(b, w, all, grain, never)
		for _, n := range w.nodes {
			inside := slices.Contains(out, n)
			asked[inside]++
			if n.admits("k0") {
				served[inside]++
			}
			if n.admits("k1") {
				stopped = w.clock.now
			}
		}
	}
	b.ReportMetric(100*served[false]/asked[false], "%served-beside")
	if len(out) > 0 {
		b.ReportMetric(100*served[true]/asked[true], "%served-within")
	}
	if err == nil {
		b.ReportMetric(float64(stopped.Sub(accepted).Milliseconds()), "stop-ms")
	}
}
