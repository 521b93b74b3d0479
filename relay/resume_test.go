package relay_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/relay"
)

// fakeFinder implements relay.OriginFinder.
type fakeFinder map[models.RequestID]models.Software

// Find implements relay.OriginFinder.
func (f fakeFinder) Find(_ context.Context, id models.RequestID, _ []models.ServiceName) (models.Software, error) {
	software, ok := f[id]
	if !ok {
		return models.Software{}, errors.New("not known")
	}
	return software, nil
}

func TestResume(t *testing.T) {
	v1 := models.Software{Service: "s", Version: "v1"}
	oneService := models.PathRoute{Stream: true, Resumable: true, Targets: []models.WeightedService{{Service: "s", Weight: 1}}}
	twoServices := models.PathRoute{Stream: true, Resumable: true, Targets: []models.WeightedService{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}}
	otherService := models.PathRoute{Stream: true, Resumable: true, Targets: []models.WeightedService{{Service: "t", Weight: 1}}}
	finder := fakeFinder{"known": v1}
	tests := []struct {
		name        string
		route       models.PathRoute
		resumes     models.RequestID
		resumeAfter string
		origin      *models.Software   // nil if any software may serve it
		code        models.RefusalCode // empty if it is passed on
	}{
		{"new stream", oneService, "", "", nil, ""},
		{"known stream", oneService, "known", "1", &v1, ""},
		{"known stream that has brought no event ID", oneService, "known", "", &v1, ""},
		{"known stream of one of two services", twoServices, "known", "1", &v1, ""},
		{"known stream of a service that the route left", otherService, "known", "1", nil, models.RefusalNoBackend},
		{"unknown stream", oneService, "unknown", "1", nil, models.RefusalUnknownStream},
		{"unknown stream that is not named", oneService, "", "1", nil, models.RefusalUnknownStream},
		{"no stream", models.PathRoute{Targets: oneService.Targets}, "known", "1", nil, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := &relay.Exchange{
				Resumes: test.resumes, Route: test.route, Call: models.UpstreamCall{ResumeAfter: test.resumeAfter},
				Routing: &models.Routing{Services: map[models.ServiceName]models.RoutedService{"s": {Name: "s"}, "t": {Name: "t"}}},
				Service: models.RoutedService{Name: test.route.Targets[len(test.route.Targets)-1].Service},
			}
			passed := false
			last := relay.HandlerFunc(func(context.Context, *relay.Exchange) error {
				passed = true
				return nil
			})
			err := relay.Chain(last, relay.Resume(finder)).Handle(t.Context(), e)
			is.Equal(passed, test.code == "")
			is.Equal(e.Origin, test.origin)
			if test.code != "" {
				refusal := relay.RefusalOf(err)
				is.Equal(refusal.Code, test.code)
				is.True(refusal.NotRun && refusal.RetryAfter > 0)
				return
			}
			if test.origin != nil {
				is.Equal(e.Service.Name, test.origin.Service)
			}
		})
	}
}

func TestOriginsAreRecorded(t *testing.T) {
	const first, second = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	begins := scriptedAnswer{status: http.StatusOK, body: first + second}
	breaks := scriptedAnswer{status: http.StatusOK, body: first + second, breaksAfter: len(first)}
	revision := func(f *fixture) int {
		_ = f.handle(t.Context()) // its result is not under test
		return f.origins["r"].Revision
	}
	t.Run("with the first event", func(t *testing.T) {
		is.New(t).Equal(revision(newFixture(t, resumable, begins)), 1)
	})
	t.Run("not for attempts without an event", func(t *testing.T) {
		is.New(t).Equal(revision(newFixture(t, resumable, lostAnswer, lostAnswer)), 0)
		is.New(t).Equal(revision(newFixture(t, resumable, lostAnswer, begins)), 1)
	})
	t.Run("not again once the stream has begun", func(t *testing.T) {
		is.New(t).Equal(revision(newFixture(t, resumable, breaks, scriptedAnswer{status: http.StatusOK, body: second})), 1)
	})
	t.Run("not where streams cannot be resumed", func(t *testing.T) {
		is.New(t).Equal(revision(newFixture(t, nonRepeatableStream, begins)), 0)
	})
	t.Run("until the caller's deadline is over", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, resumable, begins)
		f.exchange.CallerTimeout = time.Minute
		f.exchange.Received = f.exchange.Deadline.Add(-time.Minute)
		f.exchange.Deadline = f.exchange.Received.Add(30 * time.Second) // of the route
		is.Equal(revision(f), 1)
		is.True(f.origins["r"].TimeLeft > 30*time.Second)
	})
	t.Run("as uncertain if the engine was replaced", func(t *testing.T) {
		is := is.New(t)
		f := newVersionedFleet("v1")
		f.onBreak = f.restart
		_, err := f.send(t, 1)
		is.True(err != nil)
		is.Equal(f.origins["1"].Software, models.Software{})
		is.Equal(f.origins["1"].Revision, 2)
	})
}
