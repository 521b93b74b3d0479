package naive_test

import (
	"testing"

	"github.com/matryer/is"

	"quincewinch/balance/naive"
	"quincewinch/models"
	"quincewinch/relay"
	"quincewinch/routing"
)

type fleet routing.Snapshot

func (f *fleet) Snapshot() *routing.Snapshot { return (*routing.Snapshot)(f) }

func TestRoundRobin(t *testing.T) {
	is := is.New(t)
	p := naive.NewPlacer(&fleet{ByService: map[models.ServiceName][]models.Upstream{
		"s": {{ID: "a"}, {ID: "p", Role: models.RolePrefill}, {ID: "b"}},
	}})
	e := &relay.Exchange{Service: models.RoutedService{Name: "s"}}
	counts := map[models.EngineID]int{}
	for range 10 {
		placed, err := p.Place(e, nil)
		is.NoErr(err)
		counts[placed.Target().ID]++
	}
	is.Equal(counts, map[models.EngineID]int{"a": 5, "b": 5})
	_, err := p.Place(e, map[models.EngineID]bool{"a": true, "b": true})
	is.True(relay.RefusalOf(err).NotRun)
}
