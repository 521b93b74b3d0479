package relay_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/platform"
	"quincewinch/relay"
	"quincewinch/standin/copies"
)

// listedPlacer places requests at listed placements, in order.
type listedPlacer struct {
	fakePlacer
	placements []*fakePlacement
}

// Place implements relay.Placer.
func (p *listedPlacer) Place(*relay.Exchange, map[models.EngineID]bool) (relay.Placement, error) {
	if len(p.placements) == 0 {
		return nil, &models.Refusal{Code: models.RefusalNoBackend, NotRun: true}
	}
	next := p.placements[0]
	p.placements = p.placements[1:]
	next.placer = &p.fakePlacer
	return next, nil
}

// Guards against a request that is reported as not run while an engine runs it.
func TestRequestThatRunsIsNotRefusedAsNotRun(t *testing.T) {
	full := copies.Refusal{Status: http.StatusServiceUnavailable, Header: http.Header{"Not-Executed": {"1"}}}
	moved := copies.Refusal{Status: http.StatusMisdirectedRequest}
	tests := []struct {
		name       string
		refusal    copies.Refusal
		prefiller  models.EngineID
		placements []models.EngineID
	}{
		{"prefiller that rejected and is the target", full, "i-1", []models.EngineID{"i-1"}},
		{"prefiller that moved and is the target", moved, "i-1", []models.EngineID{"i-1"}},
		{"next incarnation at the address", moved, "", []models.EngineID{"i-1", "i-2"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			handler := copies.NewHandler(test.refusal, http.Header{"Upstream-Signature": {"s"}})
			server := httptest.NewServer(handler)
			t.Cleanup(server.Close)
			address := netip.MustParseAddrPort(server.Listener.Addr().String())
			placer := &listedPlacer{fakePlacer: fakePlacer{retryBudget: 10, prefillBudget: 1, usePrefiller: test.prefiller != ""}}
			for _, id := range test.placements {
				placer.placements = append(placer.placements, &fakePlacement{
					target:    models.Upstream{ID: id, Address: address},
					prefiller: models.Upstream{ID: test.prefiller, Address: address},
				})
			}
			upstreams := platform.NewUpstreams(platform.NewTransport(func(idle time.Duration) *http.Transport {
				transport := &http.Transport{IdleConnTimeout: idle}
				t.Cleanup(transport.CloseIdleConnections)
				return transport
			}))
			f := newFixture(t, models.PathRoute{Attempts: 1})
			f.exchange.Call.Header.Set("Request-Id", "r")
			sender := relay.NewSender(upstreams, placer, &f.meter, f.origins, &f.guard, system.NewClock(), zap.NewNop())
			err := sender.Handle(t.Context(), &f.exchange)
			is.Equal(handler.Runs("r"), 1)
			is.NoErr(err)
			is.Equal(f.reply.body.String(), "answer")
		})
	}
}
