package relay_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/relay"
)

// scriptedAnswer is the scripted response of a backend server to one request.
type scriptedAnswer struct {
	status      int
	body        string
	breaksAfter int  // connection is reset after this many bytes of the body; 0: never
	noLength    bool // the answer states no length
	unframed    bool // the answer states no length and ends with its connection
	stallsAfter int  // nothing more is sent after this many bytes of the body; 0: never
	notRun      bool
	moved       bool
	limit       models.StatedLimit
	err         error
	hangs       bool // until the call is cancelled
}

// fakeUpstreams answers calls from a script, in order.
type fakeUpstreams struct {
	mu      sync.Mutex
	script  []scriptedAnswer
	calls   []models.UpstreamCall
	targets []models.EngineID
	prefill scriptedAnswer
	// unreachablePrefillers is the number of prefill calls, from the first, that
	// find the engine unreachable.
	unreachablePrefillers int
	prefillCalls          int
	heldCaches            int // prefilled KV caches that have not been released
	read                  int // bytes read from bodies
	closed                int // bodies that have been closed
}

func (u *fakeUpstreams) next(to models.Upstream, call models.UpstreamCall) scriptedAnswer {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.calls = append(u.calls, call)
	u.targets = append(u.targets, to.ID)
	if len(u.script) == 0 {
		return scriptedAnswer{status: http.StatusOK}
	}
	a := u.script[0]
	u.script = u.script[1:]
	return a
}

// Send implements peer.Upstreams.
func (u *fakeUpstreams) Send(ctx context.Context, to models.Upstream, call models.UpstreamCall) (peer.UpstreamResponse, error) {
	a := u.next(to, call)
	if a.hangs {
		<-ctx.Done()
		return peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeUnknown, "cancelled", ctx.Err())
	}
	if a.err != nil {
		return peer.UpstreamResponse{}, a.err
	}
	var body io.Reader = strings.NewReader(a.body)
	if a.breaksAfter > 0 {
		body = io.MultiReader(strings.NewReader(a.body[:a.breaksAfter]), resetReader{})
	}
	if a.stallsAfter > 0 {
		body = io.MultiReader(strings.NewReader(a.body[:a.stallsAfter]), stalledReader{ctx})
	}
	length := int64(len(a.body))
	if a.noLength || a.unframed {
		length = -1
	}
	return peer.UpstreamResponse{
		Status:        a.status,
		Header:        http.Header{"From": {string(to.ID)}},
		Body:          &countedBody{Reader: body, upstreams: u},
		Length:        length,
		Unframed:      a.unframed,
		NotRun:        a.notRun || a.moved,
		WrongInstance: a.moved,
		Statement:     models.ServerStatement{Limit: a.limit},
	}, nil
}

// Prefill implements peer.Upstreams.
func (u *fakeUpstreams) Prefill(_ context.Context, to models.Upstream, _ models.UpstreamCall) (models.KVSource, peer.UpstreamResponse, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.prefillCalls++
	if u.prefillCalls <= u.unreachablePrefillers {
		return models.KVSource{}, peer.UpstreamResponse{}, peer.NewFailure(peer.OutcomeNotDone, "refused", nil)
	}
	if u.prefill.status != http.StatusOK {
		return models.KVSource{}, peer.UpstreamResponse{Status: u.prefill.status}, u.prefill.err
	}
	u.heldCaches++
	return models.KVSource{Engine: to.Address, Handle: "h"}, peer.UpstreamResponse{Status: http.StatusOK, Statement: models.ServerStatement{Limit: u.prefill.limit}}, nil
}

// Free implements peer.Upstreams.
func (u *fakeUpstreams) Free(context.Context, models.Upstream, models.KVSource) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heldCaches--
	return nil
}

// countedBody is the body of an answer.
type countedBody struct {
	io.Reader
	upstreams *fakeUpstreams
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.upstreams.mu.Lock()
	defer b.upstreams.mu.Unlock()
	b.upstreams.read += n
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	b.upstreams.mu.Lock()
	defer b.upstreams.mu.Unlock()
	b.upstreams.closed++
	return nil
}

// resetReader is the body of a connection that was reset.
type resetReader struct{}

func (resetReader) Read([]byte) (int, error) {
	return 0, io.ErrUnexpectedEOF
}

// stalledReader is the body of a server that sends nothing more.
type stalledReader struct {
	ctx context.Context
}

// Read implements io.Reader.
func (r stalledReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, r.ctx.Err()
}

// fakePlacer places requests at engines a, b and c in order.
type fakePlacer struct {
	mu             sync.Mutex
	usePrefiller   bool // placements have a prefiller
	prefillResults []relay.Result
	placed         int
	retryBudget    int // retries that TakeRetry allows
	chargedRetries int // prefill calls that ended as retries
	prefillsBegun  int // calls of BeginPrefill without EndPrefill
	prefillBudget  int // prefill calls that BeginPrefill allows; below 0: any number
	results        []relay.Result
	refusal        error
	leaving        models.EngineID // accepts no work if placements have a prefiller
	limited        models.EngineID // has reached its limit
	stated         []models.StatedLimit
	noCalls        bool // servers accept no calls but requests
}

// Place implements relay.Placer.
func (p *fakePlacer) Place(_ *relay.Exchange, tried map[models.EngineID]bool) (relay.Placement, error) {
	if p.refusal != nil {
		return nil, p.refusal
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placed++
	for _, id := range []models.EngineID{"a", "b", "c"} {
		if !tried[id] {
			prefiller := models.EngineID("prefiller-" + strconv.Itoa(p.placed))
			return &fakePlacement{placer: p, target: models.Upstream{ID: id}, prefiller: models.Upstream{ID: prefiller}}, nil
		}
	}
	return nil, &models.Refusal{Code: models.RefusalNoBackend, Message: "none is left", NotRun: true, RetryAfter: time.Second}
}

// TakeRetry implements relay.Placer.
func (p *fakePlacer) TakeRetry(models.ServiceName) bool {
	p.retryBudget--
	return p.retryBudget >= 0
}

// BeginPrefill implements relay.Placer.
func (p *fakePlacer) BeginPrefill(models.ServiceName) bool {
	if p.prefillBudget == 0 {
		return false
	}
	p.prefillBudget--
	p.prefillsBegun++
	return true
}

// EndPrefill implements relay.Placer.
func (p *fakePlacer) EndPrefill(_ models.ServiceName, result relay.Result) {
	p.prefillsBegun--
	if result != relay.ResultServed && result != relay.ResultUnreachable {
		p.chargedRetries++
	}
}

// Answered implements relay.Placer.
func (p *fakePlacer) Answered(_ models.Upstream, statement models.ServerStatement, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stated = append(p.stated, statement.Limit)
}

// AcceptsCalls implements relay.Placer.
func (p *fakePlacer) AcceptsCalls(models.Upstream) bool { return !p.noCalls }

type fakePlacement struct {
	placer    *fakePlacer
	target    models.Upstream
	prefiller models.Upstream
}

func (p *fakePlacement) Target() models.Upstream { return p.target }

func (p *fakePlacement) CopyFrom() (models.Upstream, bool) { return models.Upstream{}, false }

func (p *fakePlacement) Prefiller() (models.Upstream, bool) {
	return p.prefiller, p.placer.usePrefiller
}

func (p *fakePlacement) AcceptsWork() bool {
	return !p.placer.usePrefiller || p.target.ID != p.placer.leaving
}

func (p *fakePlacement) TakesRequest() bool {
	return p.target.ID != p.placer.limited
}

func (p *fakePlacement) Software() (models.Software, bool) {
	return p.target.Software(), true
}

func (p *fakePlacement) Predicted() time.Duration { return 0 }
func (p *fakePlacement) PrefillTokens() int       { return 0 }
func (p *fakePlacement) Urgency() int             { return 0 }
func (p *fakePlacement) PrefillEnded(result relay.Result) {
	p.placer.prefillResults = append(p.placer.prefillResults, result)
}
func (p *fakePlacement) ResponseStarted(*models.UpstreamLoad) {}
func (p *fakePlacement) End(result relay.Result) {
	p.placer.mu.Lock()
	defer p.placer.mu.Unlock()
	p.placer.results = append(p.placer.results, result)
}

// recordingReply records the response to the caller.
type recordingReply struct {
	begun        int // calls of Begin
	status       int
	header       http.Header
	body         strings.Builder
	disconnected bool
}

func (r *recordingReply) Begin(status int, header http.Header, _ int64) {
	r.begun++
	r.status = status
	r.header = header
}

func (r *recordingReply) Write(_ context.Context, chunk []byte, _ bool) error {
	if r.disconnected {
		return io.ErrClosedPipe
	}
	r.body.Write(chunk)
	return nil
}

// fakeMeter counts billed requests.
type fakeMeter struct {
	counted int
}

func (m *fakeMeter) Count(models.Workspace) { m.counted++ }

// fakeOrigins records the latest origin of each stream.
type fakeOrigins map[models.RequestID]models.StreamOrigin

// Record implements relay.Origins.
func (o fakeOrigins) Record(id models.RequestID, software models.Software, revision int, _ bool, expires time.Time) {
	o[id] = models.StreamOrigin{Software: software, Revision: revision, TimeLeft: expires.Sub(system.NewClock().Now())}
}

// fixture is a request to backend servers that follow a script.
type fixture struct {
	t         *testing.T
	is        *is.I
	upstreams fakeUpstreams
	placer    fakePlacer
	reply     recordingReply
	meter     fakeMeter
	origins   fakeOrigins
	guard     fakeGuard
	exchange  relay.Exchange
}

func newFixture(t *testing.T, route models.PathRoute, script ...scriptedAnswer) *fixture {
	t.Helper()
	f := &fixture{t: t, is: is.New(t), upstreams: fakeUpstreams{script: script}, placer: fakePlacer{retryBudget: 10, prefillBudget: -1}, origins: fakeOrigins{}}
	f.exchange = relay.Exchange{
		ID:        "r",
		Call:      models.UpstreamCall{ID: "r", Method: http.MethodPost, Target: "/p/x", Header: http.Header{}},
		Route:     route,
		Workspace: "w",
		Deadline:  system.NewClock().Now().Add(time.Minute),
		Reply:     &f.reply,
	}
	return f
}

func (f *fixture) handle(ctx context.Context) error {
	f.t.Helper()
	return f.handleWith(ctx, &f.upstreams)
}

func (f *fixture) handleWith(ctx context.Context, upstreams peer.Upstreams) error {
	f.t.Helper()
	sender := relay.NewSender(upstreams, &f.placer, &f.meter, f.origins, &f.guard, system.NewClock(), zap.NewNop())
	return sender.Handle(ctx, &f.exchange)
}

// expectServed checks that the caller got a complete response.
func (f *fixture) expectServed(status int, body string) {
	f.t.Helper()
	f.is.NoErr(f.handle(f.t.Context()))
	f.is.Equal(f.reply.status, status)
	f.is.Equal(f.reply.body.String(), body)
}

// expectRefused checks that the request was refused.
func (f *fixture) expectRefused(code models.RefusalCode, notRun bool) {
	f.t.Helper()
	_ = f.expectRefusal(code, notRun)
}

// expectRefusal checks that the request was refused, and returns the refusal.
func (f *fixture) expectRefusal(code models.RefusalCode, notRun bool) *models.Refusal {
	f.t.Helper()
	err := f.handle(f.t.Context())
	f.is.True(err != nil) // refused
	refusal := relay.RefusalOf(err)
	f.is.Equal(refusal.Code, code)
	f.is.Equal(refusal.NotRun, notRun)
	return refusal
}

// expectSends checks how often the request was sent.
func (f *fixture) expectSends(n int) {
	f.t.Helper()
	f.is.Equal(len(f.upstreams.calls), n)
}
