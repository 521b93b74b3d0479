package relay_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/relay"
)

func TestLimitsOfAllAnswersAreReported(t *testing.T) {
	named := models.StatedLimit{Named: true, PerSecond: 2}
	tests := []struct {
		name   string
		script []scriptedAnswer
		want   []models.StatedLimit
	}{
		{"served", []scriptedAnswer{{status: http.StatusOK, limit: named}}, []models.StatedLimit{named}},
		{"failed", []scriptedAnswer{{status: http.StatusInternalServerError, limit: named}}, []models.StatedLimit{named}},
		{"rejected, then served", []scriptedAnswer{{status: http.StatusServiceUnavailable, notRun: true, limit: named}, {status: http.StatusOK}}, []models.StatedLimit{named, {}}},
		{"of another engine", []scriptedAnswer{{status: http.StatusMisdirectedRequest, moved: true, limit: named}, {status: http.StatusOK}}, []models.StatedLimit{{}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, models.PathRoute{Attempts: 1}, test.script...)
			_ = f.handle(t.Context())
			is.New(t).Equal(f.placer.stated, test.want)
		})
	}
	t.Run("of a prefill", func(t *testing.T) {
		f := newFixture(t, models.PathRoute{Attempts: 1, Stream: true})
		f.placer.usePrefiller = true
		f.upstreams.prefill = scriptedAnswer{status: http.StatusOK, limit: named}
		_ = f.handle(t.Context())
		is.New(t).Equal(f.placer.stated, []models.StatedLimit{named, {}})
	})
}

// Guards against a request that is sent to an engine whose limit was used up while the
// prompt was prefilled elsewhere, and against prefilling it again.
func TestRequestForALimitedEngineGoesElsewhereWithItsPrefill(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, models.PathRoute{Attempts: 1})
	f.placer.usePrefiller = true
	f.upstreams.prefill = scriptedAnswer{status: http.StatusOK}
	f.placer.limited = "a"
	f.expectServed(http.StatusOK, "")
	is.Equal(f.upstreams.targets, []models.EngineID{"b"})
	is.Equal(f.upstreams.calls[0].KVSource.Handle, "h")
	is.Equal(f.upstreams.prefillCalls, 1)
	is.Equal(f.placer.results, []relay.Result{relay.ResultLimited, relay.ResultServed})
	is.Equal(f.placer.chargedRetries, 0)
}
