package balance_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/balance"
	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/relay"
)

// shareLoss loses a part of the load shares, the same ones for the same seed.
type shareLoss struct {
	ratio float64
	seed  uint64
}

func (l shareLoss) loses(from, to netip.AddrPort, sequence uint64) bool {
	if l.ratio == 0 {
		return false
	}
	key := binary.LittleEndian.AppendUint64([]byte(from.String()+" "+to.String()), sequence)
	random := rand.New(rand.NewPCG(l.seed, xxhash.Sum64(key)))
	return random.Float64() < l.ratio
}

// evidenceLog implements balance.EvidenceLog. It knows crashes by their engines.
type evidenceLog struct {
	mu          sync.Mutex
	crashes     map[models.EngineID]uint64 // revisions
	latest, own uint64
	snapshots   int // calls of Evidence
}

func newEvidenceLog() *evidenceLog {
	return &evidenceLog{crashes: map[models.EngineID]uint64{}}
}

// Revision implements balance.EvidenceLog.
func (l *evidenceLog) Revision() (latest, own uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latest, l.own
}

// Evidence implements balance.EvidenceLog.
func (l *evidenceLog) Evidence(since uint64) *models.CrashEvidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots++
	if len(l.crashes) == 0 {
		return nil
	}
	evidence := &models.CrashEvidence{}
	for engine, revision := range l.crashes {
		if revision > since {
			evidence.Crashes = append(evidence.Crashes, models.Crash{Engine: engine})
		}
	}
	return evidence
}

// observe records a crash that this daemon has seen.
func (l *evidenceLog) observe(engine models.EngineID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latest++
	l.crashes[engine] = l.latest
	l.own = l.latest
}

// learn adds the crashes that another daemon sent.
func (l *evidenceLog) learn(evidence *models.CrashEvidence) {
	if evidence == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, crash := range evidence.Crashes {
		if l.crashes[crash.Engine] == 0 {
			l.latest++
			l.crashes[crash.Engine] = l.latest
		}
	}
}

func (l *evidenceLog) knows(engine models.EngineID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashes[engine] > 0
}

// observe records at a daemon that an engine has crashed.
func (n *network) observe(i int, engine models.EngineID) {
	n.evidence[n.addresses[i]].observe(engine)
}

// expectEvidence checks that all daemons but one know of a crash.
func (n *network) expectEvidence(engine models.EngineID, except int) {
	n.t.Helper()
	for i, address := range n.addresses {
		if i != except && !n.evidence[address].knows(engine) {
			n.t.Errorf("daemon %d does not know of the crash", i)
		}
	}
}

// set changes how load shares are delivered.
func (n *network) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// sentEvidence returns the number of shares with evidence that were sent.
func (n *network) sentEvidence() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.evidenceSent
}

const nobody = -1 // stands for no daemon

// Guards against daemons that send requests to engines long after another one has
// seen which part crashes them.
func TestEvidenceReachesAllDaemons(t *testing.T) {
	for _, size := range []struct {
		daemons, zones int
		seeds          uint64
		within         time.Duration
	}{{7, 3, 20, 150 * time.Millisecond}, {83, 4, 3, time.Second}} {
		for seed := range size.seeds {
			t.Run(fmt.Sprintf("%d daemons in %d zones, seed %d", size.daemons, size.zones, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork(t, size.daemons, size.zones)
					n.set(func() { n.lost = shareLoss{ratio: 0.3, seed: seed} })
					random := rand.New(rand.NewPCG(seed, 0))
					advance(t, 2*time.Second+time.Duration(random.IntN(500))*time.Millisecond)
					n.observe(random.IntN(size.daemons), "e1")
					advance(t, size.within)
					n.expectEvidence("e1", nobody)
				})
			})
		}
	}
}

// Guards against evidence that waits as long as a change of the load does.
func TestObservedEvidenceIsUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 7, 3)
		advance(t, 2*time.Second)
		place(t, n.daemon(0), promptExchange("p", 100)).End(relay.ResultCancelled)
		advance(t, 30*time.Millisecond) // a load share was sent
		n.observe(0, "e1")
		advance(t, 60*time.Millisecond)
		n.expectEvidence("e1", nobody)
	})
}

// Guards against load shares that are urgent for as long as a daemon is
// unreachable.
func TestUnreachableDaemonCausesFewShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const others, regular, urgent = 6, 20, 10 // shares in 10 s, in the first 500 ms
		n := newNetwork(t, 1+others, 3)
		n.kill(6)
		advance(t, 2*time.Second)
		n.set(func() { clear(n.messages) })
		n.observe(0, "e1")
		advance(t, 10*time.Second)
		n.expectEvidence("e1", 6)
		n.mu.Lock()
		defer n.mu.Unlock()
		is.True(n.messages[models.DaemonID(n.addresses[0].String())] <= (regular+urgent+1)*others)
	})
}

// Guards against a daemon that starts again and sends requests to engines that the
// others know to crash.
func TestRestartedDaemonLearnsEvidence(t *testing.T) {
	for _, test := range []struct {
		daemons, zones, observer, restarted int
		down                                time.Duration
	}{
		{7, 3, 1, 5, time.Second},
		{7, 3, 1, 5, time.Millisecond}, // no share fails meanwhile
		{7, 3, 1, 1, time.Second},      // the one that observed it
		{26, 4, 5, 9, time.Second},
		{26, 4, 5, 9, time.Millisecond},
		{26, 4, 5, 0, time.Second}, // the leader of its zone
	} {
		t.Run(fmt.Sprintf("%d of %d daemons, down for %s", test.restarted, test.daemons, test.down), func(t *testing.T) {
			for _, offset := range []time.Duration{0, 260 * time.Millisecond} {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork(t, test.daemons, test.zones)
					advance(t, 2*time.Second)
					n.observe(test.observer, "e1")
					advance(t, 3*time.Second+offset)
					n.kill(test.restarted)
					advance(t, test.down)
					n.restart(test.restarted)
					advance(t, time.Second)
					n.expectEvidence("e1", nobody)
				})
			}
		})
	}
}

// A daemon that could not be reached gets the evidence with the next regular load
// share, without another change.
func TestEvidenceArrivesAfterFailedShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 2, 1)
		advance(t, 2*time.Second)
		n.set(func() { n.down[n.addresses[1]] = true })
		n.observe(0, "e1")
		advance(t, 3*time.Second)
		n.set(func() { delete(n.down, n.addresses[1]) })
		advance(t, 550*time.Millisecond)
		n.expectEvidence("e1", nobody)
	})
}

// Guards against evidence that waits for another change because the load share
// that should have carried it was skipped.
func TestEvidenceArrivesAfterSkippedShare(t *testing.T) {
	for _, age := range []time.Duration{50 * time.Millisecond, 350 * time.Millisecond} {
		t.Run(fmt.Sprintf("a share has been on its way for %s", age), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const delay = 400 * time.Millisecond
				n := newNetwork(t, 2, 1)
				n.set(func() { n.delay = delay })
				advance(t, 2*time.Second)
				n.observe(0, "e0")
				advance(t, age)
				n.observe(0, "e1")
				advance(t, 2*delay-age+100*time.Millisecond)
				is.True(n.evidence[n.addresses[1]].knows("e1"))
			})
		})
	}
}

// Guards against evidence that dies with the daemon that stops.
func TestLeavingDaemonSendsEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 3, 1)
		advance(t, 2*time.Second)
		n.stop[n.addresses[0]]()
		synctest.Wait()
		n.observe(0, "e1")
		self := models.LoadShare{From: "vm-000", Zone: "z0", Address: n.addresses[0]}
		sharer := balance.NewSharer(self, n.daemon(0), others{n, "vm-000"}, n, n.origins[n.addresses[0]], n.evidence[n.addresses[0]], system.NewClock(), zap.NewNop())
		sharer.Leave(t.Context())
		synctest.Wait()
		n.expectEvidence("e1", nobody)
	})
}

// Guards against daemons that send each other the same evidence for ever.
func TestConfirmedEvidenceIsNotSentAgain(t *testing.T) {
	for _, size := range []struct{ daemons, zones int }{{7, 3}, {26, 4}} {
		t.Run(fmt.Sprintf("%d daemons in %d zones", size.daemons, size.zones), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t, size.daemons, size.zones)
				advance(t, 2*time.Second)
				n.observe(0, "e1")
				n.observe(1, "e2")
				advance(t, 2*time.Second)
				n.expectEvidence("e1", nobody)
				n.expectEvidence("e2", nobody)
				sent := n.sentEvidence()
				advance(t, 10*time.Second)
				is.Equal(n.sentEvidence(), sent)
			})
		})
	}
}

// Evidence costs nothing while there is none.
func TestNoEvidenceNoShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const daemons, seconds, sharesPerSecond = 7, 10, 2
		n := newNetwork(t, daemons, 3)
		advance(t, 2*time.Second)
		n.set(func() { clear(n.messages) })
		advance(t, seconds*time.Second)
		for i := range daemons {
			is.Equal(n.evidence[n.addresses[i]].snapshots, 0)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		is.Equal(n.evidenceSent, 0)
		for _, address := range n.addresses {
			is.Equal(n.messages[models.DaemonID(address.String())], seconds*sharesPerSecond*(daemons-1))
		}
	})
}
