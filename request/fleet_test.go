package request_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"quincewinch/invariant"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/request"
	"quincewinch/standin/engine"
	"quincewinch/standin/platform"
)

const (
	stallTimeout   = 2 * time.Second
	requestTimeout = 30 * time.Second
	// maxTokens keeps answers short, so that the generated schedules are short.
	maxTokens = 16
	prompt    = "user: Which oak flitches are left?\n"
)

// fleet is a set of daemons with in-memory engines and one plain service. The
// configuration has one workspace with one key.
type fleet struct {
	clock     system.Clock
	store     *platform.Store
	history   *invariant.History
	engines   map[models.EngineID]*recordingEngine
	engineIDs []models.EngineID
	service   *bookingService
	gates     []*request.Gate
	links     []*storeLink
	claims    []*request.Claims
	handlers  []request.Handler

	mu      sync.Mutex
	config  *models.Config
	changed chan struct{}
	usage   models.Usage
}

func newFleet(daemons, engines int) *fleet {
	clock := system.NewClock()
	f := &fleet{
		clock:   clock,
		store:   platform.NewStore(clock),
		history: &invariant.History{},
		engines: map[models.EngineID]*recordingEngine{},
		changed: make(chan struct{}),
		config: &models.Config{
			Workspaces: map[models.Workspace]models.WorkspaceSettings{"sales": {Name: "sales", KeyFreshness: time.Hour}},
			Keys:       map[[32]byte]models.Key{keyHash: {ID: "k1", Workspace: "sales", Hash: keyHash}},
			Routes: map[string]models.Route{
				"catalogue":    {Name: "catalogue", Kind: models.RouteModel, Repeatable: true},
				"reservations": {Name: "reservations", Kind: models.RouteService},
				"flitches":     {Name: "flitches", Kind: models.RouteService, Repeatable: true},
			},
			Backends: map[models.EngineID]models.BackendServer{},
			Services: map[models.ServiceName][]models.ServiceBackend{},
		},
	}
	f.service = &bookingService{fleet: f}
	for _, name := range []models.ServiceName{"reservations", "flitches"} {
		f.config.Services[name] = []models.ServiceBackend{{Service: name, Zone: "far", URL: "b"}, {Service: name, Zone: "near", URL: "a"}}
	}
	for i := range engines {
		id := models.EngineID(string(rune('a' + i)))
		e := engine.New(clock, engine.Settings{ID: id, Role: models.RoleBoth, Models: []models.Model{"catalogue"}, Cost: engine.DefaultCost()})
		f.engines[id] = &recordingEngine{Engine: e, fleet: f, id: id}
		f.engineIDs = append(f.engineIDs, id)
		f.config.Backends[id] = models.BackendServer{Engine: id}
	}
	for i := range daemons {
		f.addDaemon(models.DaemonID(string(rune('a' + i))))
	}
	return f
}

func (f *fleet) addDaemon(id models.DaemonID) {
	storeLink := &storeLink{Store: f.store}
	gate := request.NewGate()
	claims := request.NewClaims(storeLink, f.store, f.clock, noop{}, id, time.Second, noop{})
	sender := request.NewSender(f, f, f, request.NewRoundRobinPlacer(f, f), f, noop{}, f.clock, request.SenderSettings{Zone: "near", StallTimeout: stallTimeout})
	f.links = append(f.links, storeLink)
	f.claims = append(f.claims, claims)
	f.gates = append(f.gates, gate)
	f.handlers = append(f.handlers, request.Chain(sender, gate.Filter(), request.Authenticate(f, f.clock), request.Metered(f, f.clock), claims.Filter()))
}

func (f *fleet) Engine(server models.BackendServer) peer.Engine { return f.engines[server.Engine] }

func (f *fleet) Service(backend models.ServiceBackend) peer.Service {
	return bookingEndpoint{f.service, backend}
}

func (f *fleet) Config() *models.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

func (f *fleet) Evidence() models.Evidence {
	return models.Evidence{At: f.clock.Now(), Source: models.EvidenceOwnRead}
}

func (f *fleet) Watch() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// edit replaces the configuration by a changed copy.
func (f *fleet) edit(change func(config *models.Config)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	config := *f.config
	change(&config)
	f.config = &config
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fleet) State(id models.EngineID) (models.EngineState, bool) {
	state, err := f.engines[id].State(context.Background())
	return state, err == nil
}

func (f *fleet) States() map[models.EngineID]models.EngineState {
	states := map[models.EngineID]models.EngineState{}
	for id := range f.engines {
		if state, ok := f.State(id); ok {
			states[id] = state
		}
	}
	return states
}

func (f *fleet) Count(_ models.Workspace, _ time.Time, usage models.Usage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usage = f.usage.Add(usage)
}

var keyHash = [32]byte{0xe2, 0xef, 0x41, 0x3d} // replaced in init

// ask sends a request to a daemon and records the answer. The body is the
// prompt or the text of a booking.
func (f *fleet) ask(ctx context.Context, daemon int, id, route, key, body string, sink *answerSink) *models.Refusal {
	now := f.clock.Now()
	e := &request.Exchange{
		ID:             models.RequestID(id),
		Received:       now,
		Deadline:       now.Add(requestTimeout),
		Key:            secret,
		RouteName:      route,
		IdempotencyKey: key,
		BodyHash:       hashOf(body),
		Sink:           sink,
	}
	want := "booked " + body
	if route == "catalogue" {
		e.Generation = &models.Generation{Model: "catalogue", Prompt: body, MaxTokens: maxTokens}
		want = engine.Answer("catalogue", body, maxTokens)
	} else {
		e.Call = &models.ServiceCall{ID: e.ID, Service: models.ServiceName(route), Method: "POST", Path: "/", Body: []byte(body)}
	}
	ctx, cancel := context.WithDeadline(ctx, e.Deadline)
	defer cancel()
	err := f.handlers[daemon].Handle(ctx, e)
	answer := invariant.Answer{At: f.clock.Now(), Request: e.ID, Claim: key, Want: want}
	var complete bool
	answer.Text, complete = sink.text()
	if !errors.As(err, &answer.Refusal) && !complete && !sink.disconnected {
		answer.SilentlyTruncated = true
	}
	if !sink.disconnected {
		f.history.Answer(answer)
	}
	return answer.Refusal
}

// recordingEngine is an engine that records its requests and can lose or
// corrupt its answers.
type recordingEngine struct {
	*engine.Engine
	fleet *fleet
	id    models.EngineID

	mu            sync.Mutex
	loseAnswers   bool // Generate takes effect, but returns an error
	corrupt       bool // streams contain pieces of other requests and duplicates
	cancelledIDs  []models.RequestID
	corruptPieces int // corrupt pieces so far
}

func (t *recordingEngine) setAnswerFaults(loseAnswers, corrupt bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseAnswers, t.corrupt = loseAnswers, corrupt
}

func (t *recordingEngine) Generate(ctx context.Context, generation models.Generation) (peer.TokenStream, error) {
	stream, err := t.Engine.Generate(ctx, generation)
	if err != nil {
		return nil, err
	}
	id, _, _ := cutAttempt(generation.ID)
	t.fleet.history.Run(invariant.Run{
		At: t.fleet.clock.Now(), Request: id, Claim: claimOf(id), Workspace: "sales", Key: "k1",
		Backend: string(t.id), Received: generation.Prompt,
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loseAnswers {
		return nil, peer.NewFailure(peer.OutcomeUnknown, "answer lost", nil)
	}
	return &corruptingStream{TokenStream: stream, engine: t}, nil
}

func (t *recordingEngine) Resume(ctx context.Context, id models.RequestID, from int) (peer.TokenStream, error) {
	stream, err := t.Engine.Resume(ctx, id, from)
	return &corruptingStream{TokenStream: stream, engine: t}, err
}

func (t *recordingEngine) Cancel(ctx context.Context, id models.RequestID) error {
	t.mu.Lock()
	t.cancelledIDs = append(t.cancelledIDs, id)
	t.mu.Unlock()
	return t.Engine.Cancel(ctx, id)
}

func (t *recordingEngine) cancelled() []models.RequestID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]models.RequestID(nil), t.cancelledIDs...)
}

// corruptingStream replaces every third piece by a wrong one while its engine
// is set to corrupt answers.
type corruptingStream struct {
	peer.TokenStream
	engine *recordingEngine
	pieces int
}

func (c *corruptingStream) Next(ctx context.Context) (models.Piece, error) {
	piece, err := c.TokenStream.Next(ctx)
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	c.pieces++
	if err != nil || !c.engine.corrupt || c.pieces%3 != 0 {
		return piece, err
	}
	c.engine.corruptPieces++
	if c.engine.corruptPieces%2 == 0 {
		return models.Piece{Request: "another", Index: piece.Index, Text: " wrong"}, nil
	}
	return models.Piece{Request: piece.Request, Index: piece.Index - 1, Text: " late"}, nil
}

// bookingService is a plain service that records each call as a booking.
type bookingService struct {
	fleet *fleet

	mu    sync.Mutex
	fault func(url string) (reach, answer bool) // whether a call and its answer arrive
	delay time.Duration
	calls []string // addresses, in order
}

func (b *bookingService) setFault(fault func(url string) (reach, answer bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = fault
}

type bookingEndpoint struct {
	*bookingService
	backend models.ServiceBackend
}

// Call implements peer.Service.
func (b bookingEndpoint) Call(ctx context.Context, call models.ServiceCall) (models.ServiceResponse, error) {
	b.mu.Lock()
	fault, delay := b.fault, b.delay
	b.calls = append(b.calls, b.backend.URL)
	b.mu.Unlock()
	reach, answer := true, true
	if fault != nil {
		reach, answer = fault(b.backend.URL)
	}
	if !reach {
		return models.ServiceResponse{}, peer.NewFailure(peer.OutcomeNotDone, "connection refused", nil)
	}
	claim := ""
	if b.backend.Service == "reservations" {
		claim = claimOf(call.ID)
	}
	b.fleet.history.Run(invariant.Run{At: b.fleet.clock.Now(), Request: call.ID, Claim: claim, Workspace: "sales", Key: "k1", Backend: "service " + b.backend.URL})
	if err := b.fleet.clock.Sleep(ctx, delay); err != nil || !answer {
		return models.ServiceResponse{}, peer.NewFailure(peer.OutcomeUnknown, "answer lost", err)
	}
	return models.ServiceResponse{Status: 201, Body: append([]byte("booked "), call.Body...)}, nil
}
