package relay_test

import (
	"context"
	"crypto/sha256"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/relay"
)

// fixedView implements relay.RoutingView with a fixed configuration.
type fixedView struct{ routing *models.Routing }

func (v fixedView) Routing() *models.Routing { return v.routing }

func hash(key string) [32]byte { return sha256.Sum256([]byte(key)) }

func routingOf(routes ...models.PathRoute) fixedView {
	return fixedView{&models.Routing{
		Version:     1,
		RequireKeys: true,
		Routes:      routes,
		Services:    map[models.ServiceName]models.RoutedService{"s": {Name: "s"}, "t": {Name: "t"}},
		Keys: map[[32]byte]models.KeyGrant{
			hash("k"):      {Workspace: "w"},
			hash("urgent"): {Workspace: "u", Rank: 0, HasRank: true},
		},
	}}
}

func routeTo(prefix string, service models.ServiceName) models.PathRoute {
	return models.PathRoute{
		Name: prefix, Host: "h.example", Prefix: prefix, Rank: 3, Timeout: time.Second,
		Targets: []models.WeightedService{{Service: service, Weight: 1}},
	}
}

// locate applies the filter to a request and returns its error.
func locate(v fixedView, e *relay.Exchange) error {
	last := relay.HandlerFunc(func(context.Context, *relay.Exchange) error { return nil })
	e.Received = system.NewClock().Now()
	return relay.Chain(last, relay.Locate(v, system.NewClock())).Handle(context.Background(), e)
}

func request(host, target, key string) *relay.Exchange {
	return &relay.Exchange{ID: "r", Key: key, Call: models.UpstreamCall{Host: host, Target: target}}
}

func TestLocate(t *testing.T) {
	routes := routingOf(routeTo("/a/", "s"), routeTo("/a/b/", "t"))
	open := routingOf(models.PathRoute{Name: "o", Host: "h.example", Prefix: "/", Open: true, Targets: []models.WeightedService{{Service: "s", Weight: 1}}})
	withdrawn := routingOf(routeTo("/a/", "s"))
	clear(withdrawn.routing.Keys)
	tests := []struct {
		name              string
		view              fixedView
		host, target, key string
		code              models.RefusalCode // empty if a route is found
		service           models.ServiceName
		workspace         models.Workspace
	}{
		{"longest prefix", routes, "h.example", "/a/b/c?x", "k", "", "t", "w"},
		{"shorter prefix", routes, "h.example", "/a/bc", "k", "", "s", "w"},
		{"host with a port and upper case", routes, "H.Example:80", "/a/x", "k", "", "s", "w"},
		{"unknown host", routes, "other.example", "/a/x", "k", models.RefusalUnknownRoute, "", ""},
		{"prefix only in the query", routes, "h.example", "/x?/a/", "k", models.RefusalUnknownRoute, "", ""},
		{"unknown key", routes, "h.example", "/a/x", "no", models.RefusalInvalidKey, "", ""},
		{"missing key", routes, "h.example", "/a/x", "", models.RefusalInvalidKey, "", ""},
		{"all keys withdrawn", withdrawn, "h.example", "/a/x", "k", models.RefusalInvalidKey, "", ""},
		{"missing key on an open route", open, "h.example", "/a", "", "", "s", ""},
		{"unknown key on an open route", open, "h.example", "/a", "no", "", "s", ""},
		{"no configuration yet", fixedView{}, "h.example", "/a/x", "k", models.RefusalStoreUnreachable, "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := request(test.host, test.target, test.key)
			err := locate(test.view, e)
			is.Equal(e.Key, "") // cleared, so that it is not passed on
			if test.code != "" {
				is.Equal(relay.RefusalOf(err).Code, test.code)
				is.True(relay.RefusalOf(err).NotRun)
				return
			}
			is.NoErr(err)
			is.Equal(e.Service.Name, test.service)
			is.Equal(e.Workspace, test.workspace)
		})
	}
	t.Run("rank of the workspace overrides that of the route", func(t *testing.T) {
		is := is.New(t)
		e := request("h.example", "/a/x", "urgent")
		is.NoErr(locate(routes, e))
		is.Equal(e.Rank, 0)
	})
	t.Run("services are chosen in proportion to their weights", func(t *testing.T) {
		is := is.New(t)
		route := routeTo("/", "s")
		route.Targets = []models.WeightedService{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}
		counts := map[models.ServiceName]int{}
		const n = 5000
		for i := range n {
			e := request("h.example", "/x", "k")
			e.ID = models.RequestID(strings.Repeat("x", i%7) + string(rune('a'+i%26)) + time.Duration(i).String())
			is.NoErr(locate(routingOf(route), e))
			counts[e.Service.Name]++
		}
		share := float64(counts["t"]) / n
		is.True(share > 0.08 && share < 0.12)
	})
	t.Run("shorter of the caller's and the route's timeout applies", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			for callerTimeout, want := range map[time.Duration]time.Duration{0: time.Second, 300 * time.Millisecond: 300 * time.Millisecond, time.Minute: time.Second} {
				e := request("h.example", "/a/x", "k")
				e.CallerTimeout = callerTimeout
				is.NoErr(locate(routes, e))
				is.Equal(e.Deadline.Sub(e.Received), want)
			}
		})
	})
}
