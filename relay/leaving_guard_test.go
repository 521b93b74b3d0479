package relay_test

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/relay"
)

// leavingPlacer places requests at backend servers that leave once they are sent.
type leavingPlacer struct{ *fakePlacer }

func (p leavingPlacer) Place(e *relay.Exchange, tried map[models.EngineID]bool) (relay.Placement, error) {
	placement, err := p.fakePlacer.Place(e, tried)
	return &leavingPlacement{Placement: placement}, err
}

type leavingPlacement struct {
	relay.Placement
	asked int
}

func (p *leavingPlacement) AcceptsWork() bool {
	p.asked++
	return p.asked == 1
}

// Engines that leave one after another break off the requests that last too long.
func TestRunThatEndsWithALeavingEngineIsNoCrash(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, models.PathRoute{Stream: true, Attempts: 1}, scriptedAnswer{status: 200, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", breaksAfter: 20})
	sender := relay.NewSender(&f.upstreams, leavingPlacer{&f.placer}, &f.meter, f.origins, &f.guard, system.NewClock(), zap.NewNop())
	is.True(sender.Handle(t.Context(), &f.exchange) != nil)
	is.Equal(len(f.guard.brokenOff), 0)
}
