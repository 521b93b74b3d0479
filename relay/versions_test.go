package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/balance"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/policy/retry"
	"quincewinch/relay"
	"quincewinch/routing"
)

const (
	// streamEvents is the number of events of each stream of a versionedFleet.
	streamEvents = 4
	// breaksAfter is the number of events after which the first run of a stream
	// breaks off.
	breaksAfter = 2
)

// versionedFleet is a fleet of model engines of several software versions. It
// implements balance.FleetView and peer.Upstreams.
type versionedFleet struct {
	fakeUpstreams
	snapshot routing.Snapshot
	origins  fakeOrigins
	// onBreak is called before a run breaks off, onContinue when a stream reaches
	// the engine that continues it; both may be nil.
	onBreak    func(models.EngineID)
	onContinue func(models.EngineID)
	versions   []string // that wrote events, in order of the runs
}

func newVersionedFleet(versions ...string) *versionedFleet {
	f := &versionedFleet{origins: fakeOrigins{}, snapshot: routing.Snapshot{
		ByID:      map[models.EngineID]models.Upstream{},
		ByService: map[models.ServiceName][]models.Upstream{},
	}}
	for i, version := range versions {
		f.register(models.Upstream{ID: models.EngineID(fmt.Sprintf("e%d", i)), Service: "llm", Version: version, Zone: "z", Slots: 64, Role: models.RoleDecode})
	}
	return f
}

// register adds an engine or replaces its registration.
func (f *versionedFleet) register(engine models.Upstream) {
	f.snapshot.ByID[engine.ID] = engine
	f.snapshot.ByService[engine.Service] = nil
	for _, registered := range f.snapshot.ByID {
		f.snapshot.ByService[engine.Service] = append(f.snapshot.ByService[engine.Service], registered)
	}
}

// Snapshot implements balance.FleetView.
func (f *versionedFleet) Snapshot() *routing.Snapshot { return &f.snapshot }

// Send implements peer.Upstreams. The first run of a stream breaks off.
func (f *versionedFleet) Send(_ context.Context, to models.Upstream, call models.UpstreamCall) (peer.UpstreamResponse, error) {
	first, err := strconv.Atoi(call.ResumeAfter)
	if err != nil {
		first = 0
	}
	events := func(from, through int) string {
		var text strings.Builder
		for event := from + 1; event <= through; event++ {
			fmt.Fprintf(&text, "id: %d\ndata: x\n\n", event)
		}
		return text.String()
	}
	body := io.Reader(strings.NewReader(events(first, streamEvents)))
	if len(f.versions) == 0 {
		body = io.MultiReader(strings.NewReader(events(first, breaksAfter)), &breakingReader{fleet: f, engine: to.ID})
	}
	if len(f.versions) > 0 && f.onContinue != nil {
		f.onContinue(to.ID)
	}
	f.versions = append(f.versions, to.Version)
	return peer.UpstreamResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), Length: -1}, nil
}

// breakingReader is the rest of a run that breaks off.
type breakingReader struct {
	fleet  *versionedFleet
	engine models.EngineID
}

func (r *breakingReader) Read([]byte) (int, error) {
	if r.fleet.onBreak != nil {
		r.fleet.onBreak(r.engine)
	}
	return 0, io.ErrUnexpectedEOF
}

// send sends a stream request to the fleet through a sender and a balancer.
func (f *versionedFleet) send(t *testing.T, id int) (*recordingReply, error) {
	t.Helper()
	clock := system.NewClock()
	balancer := balance.New(f, clock, balance.Settings{Zone: "z", FirstStart: true, Retries: retry.Settings{Ratio: 1, Reserve: 50, Window: time.Second}}, uint64(id))
	reply := &recordingReply{}
	e := &relay.Exchange{
		ID:       models.RequestID(strconv.Itoa(id)),
		Route:    resumable,
		Service:  models.RoutedService{Name: "llm", Engine: &models.EngineLimits{Slots: 64, Capacity: 500000}},
		Prompt:   models.Prompt{Tokens: 100, Parts: []models.PromptPart{{ID: strconv.Itoa(id), Tokens: 100}}},
		Deadline: clock.Now().Add(time.Minute),
		Reply:    reply,
	}
	return reply, relay.NewSender(f, balancer, &fakeMeter{}, f.origins, &fakeGuard{}, clock, zap.NewNop()).Handle(t.Context(), e)
}

// Guards against an answer with events of two software versions.
func TestBrokenStreamIsNotContinuedByAnotherVersion(t *testing.T) {
	for id := range 20 {
		t.Run(strconv.Itoa(id), func(t *testing.T) {
			is := is.New(t)
			f := newVersionedFleet("v1", "v2", "v1", "v2")
			reply, err := f.send(t, id)
			is.NoErr(err)
			is.Equal(strings.Count(reply.body.String(), "id:"), streamEvents)
			is.Equal(f.versions[1], f.versions[0])
		})
	}
	t.Run("no engine of its version is left", func(t *testing.T) {
		is := is.New(t)
		f := newVersionedFleet("v1", "v2")
		reply, err := f.send(t, 1)
		is.True(err != nil) // ends in an explicit cut
		is.True(!relay.RefusalOf(err).NotRun)
		is.Equal(strings.Count(reply.body.String(), "id:"), breaksAfter)
		is.Equal(len(f.versions), 1)
	})
}

// restart registers an engine as restarted with version v2.
func (f *versionedFleet) restart(engine models.EngineID) {
	restarted := f.snapshot.ByID[engine]
	restarted.Version = "v2"
	restarted.Started = system.NewClock().Now()
	f.register(restarted)
}

// Guards against continuing a stream whose engine was restarted with another
// version while the stream ran, so that either may have begun it.
func TestStreamOfReplacedEngineIsNotContinued(t *testing.T) {
	t.Run("the engine that began it", func(t *testing.T) {
		is := is.New(t)
		f := newVersionedFleet("v1", "v1")
		f.onBreak = f.restart
		_, err := f.send(t, 1)
		is.True(err != nil) // ends in an explicit cut
		is.Equal(len(f.versions), 1)
	})
	t.Run("the engine that continues it", func(t *testing.T) {
		is := is.New(t)
		f := newVersionedFleet("v1", "v1")
		f.onContinue = f.restart
		reply, err := f.send(t, 1)
		is.True(err != nil) // ends in an explicit cut
		is.Equal(strings.Count(reply.body.String(), "id:"), breaksAfter)
	})
}
