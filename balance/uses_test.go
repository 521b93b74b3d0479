package balance_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/balance"
	"quincewinch/models"
)

// usesLog reports the number of a daemon as what it uses, and 1000 for its zone, and keeps
// the latest report of each other sender.
type usesLog struct {
	daemon int

	mu      sync.Mutex
	learned map[models.DaemonID]float64
}

func (u *usesLog) Report(zone bool) map[models.Workspace]models.LimitUse {
	amount := float64(u.daemon)
	if zone {
		amount = 1000
	}
	return map[models.Workspace]models.LimitUse{"w": {Amount: amount}}
}

func (u *usesLog) Learn(from models.DaemonID, uses map[models.Workspace]models.LimitUse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.learned == nil {
		u.learned = map[models.DaemonID]float64{}
	}
	u.learned[from] = uses["w"].Amount
}

func (u *usesLog) Leave(from models.DaemonID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.learned, from)
}

func (u *usesLog) Urgent() bool { return false }

func TestUsesOfLimitsReachAllDaemons(t *testing.T) {
	for _, daemons := range []int{7, 20, 72} {
		t.Run(fmt.Sprintf("%d daemons", daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t, daemons, 4)
				advance(t, 3*time.Second)
				for i := range daemons {
					self := daemonID(i)
					expected := map[models.DaemonID]float64{}
					for source := range balance.ReportSources(n.members[self].Zone, others{n, self}).Sources {
						expected[source] = 1000
					}
					for j := range daemons {
						if _, single := expected[daemonID(j)]; single {
							expected[daemonID(j)] = float64(j)
						}
					}
					uses := n.uses[self]
					uses.mu.Lock()
					is.Equal(uses.learned, expected)
					uses.mu.Unlock()
				}
			})
		})
	}
}
