package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/relay"
)

// decisionsBefore is the digest of the decisions at commit 0c20a51, before requests were
// placed by what they cost.
const decisionsBefore = 7287773307832904026

// decisions returns a digest of where requests of a plain service and of model engines
// are placed while servers differ, fail and state their loads.
func decisions(t *testing.T, load func(random *rand.Rand) *models.UpstreamLoad) uint64 {
	t.Helper()
	random := rand.New(rand.NewPCG(7, 7))
	servers := append(plainServers(5), engines(9, models.RoleDecode)...)
	servers = append(servers, engines(4, models.RolePrefill)...)
	for i := range servers {
		servers[i].Zone = models.Zone([]string{"z", "y", "x"}[i%3])
	}
	b := newBalancer(newFleet(servers...))
	digest := xxhash.New()
	var open []relay.Placement
	for i := range 3000 {
		e := callExchange()
		if random.IntN(2) == 0 {
			e = promptExchange(fmt.Sprintf("p%d", random.IntN(20)), random.IntN(3000))
		}
		p, err := b.Place(e, nil)
		is.New(t).NoErr(err)
		prefiller, _ := p.Prefiller()
		source, _ := p.CopyFrom()
		_, err = fmt.Fprintln(digest, p.Target().ID, prefiller.ID, source.ID, p.Predicted(), p.Urgency())
		is.New(t).NoErr(err)
		p.PrefillEnded(relay.ResultServed)
		open = append(open, p)
		advance(t, time.Duration(random.IntN(12))*time.Millisecond)
		if i%50 == 0 {
			share := models.LoadShare{From: "other", Zone: "z", Sequence: uint64(i + 1), Loads: map[models.EngineID]models.ServerLoad{"c1": {Running: random.IntN(4)}, "decode2": {Running: 1, PrefillTokens: random.IntN(9000)}}}
			share.Speeds = []models.SpeedReport{{Server: "c2", Observations: 1, LogRatios: random.NormFloat64() / 2}}
			b.ReceiveShare(share)
		}
		for len(open) > 12 {
			j := random.IntN(len(open))
			open[j].ResponseStarted(load(random))
			open[j].End([]relay.Result{relay.ResultServed, relay.ResultServed, relay.ResultServed, relay.ResultFailed}[random.IntN(4)])
			open[j] = open[len(open)-1]
			open = open[:len(open)-1]
		}
	}
	return digest.Sum64()
}

// Services whose servers state no pace are placed as they were before.
func TestServicesWithoutPaceArePlacedAsBefore(t *testing.T) {
	loads := map[string]func(random *rand.Rand) *models.UpstreamLoad{
		"no load": func(random *rand.Rand) *models.UpstreamLoad { random.IntN(5); return nil },
		"three figures": func(random *rand.Rand) *models.UpstreamLoad {
			return &models.UpstreamLoad{Running: random.IntN(5), Waiting: 1, Slots: 6}
		},
	}
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is.New(t).Equal(decisions(t, load), uint64(decisionsBefore))
			})
		})
	}
}
