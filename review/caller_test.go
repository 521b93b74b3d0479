package review

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Request is what a caller wants; its attempts differ in their ID.
type Request struct {
	Method string
	Host   string
	Path   string
	Key    string
	Body   string
	Prefix string // parts of the prompt; empty: none
	Events int    // that the stream is to have
}

// Attempt is what a caller has seen of one attempt.
type Attempt struct {
	ID         string
	Daemon     *Daemon
	InTouch    bool // the daemon was, when the attempt was sent
	SentAt     time.Time
	Status     int // 0: no answer
	RetryAfter time.Duration
	Signature  string
	FirstEvent int // ID of the first event of this attempt; 0: none
	LastEvent  int
	Versions   []string // of the software that made the events, in order of appearance
	Complete   bool     // the stream ended as HTTP says, after an event
	InOrder    bool
	Err        error
}

// Served reports whether the whole stream has arrived.
func (a Attempt) Served(events int) bool {
	return a.Complete && a.InOrder && a.LastEvent == events
}

// dialTimeout is how long a caller waits for a connection.
const dialTimeout = time.Second

// NewID returns an ID for an attempt.
func NewID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// Resumption says where a caller takes up a stream.
type Resumption struct {
	First string // ID of the attempt that brought the first event
	After int    // the last event that the caller has
}

// Send makes one attempt at a daemon on a new connection and reads the stream to its end.
// The end of ctx ends the attempt from the caller's side.
func (l *Lab) Send(ctx context.Context, d *Daemon, request Request, id string, left time.Duration, from Resumption) Attempt {
	a := Attempt{ID: id, Daemon: d, InTouch: d.InTouch(), SentAt: Clock.Now(), LastEvent: from.After, InOrder: true}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, request.Method, "http://"+d.Address+request.Path, strings.NewReader(request.Body))
	if err != nil {
		a.Err = err
		return a
	}
	r.Host = request.Host
	r.Header.Set("Request-Id", id)
	r.Header.Set("X-Api-Key", request.Key)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if request.Prefix != "" {
		r.Header.Set("Model-Name", "m")
		r.Header.Set("Token-Count", "1460,80")
		r.Header.Set("Prompt-Prefix", request.Prefix)
	}
	if request.Events > 0 {
		r.Header.Set(headerEvents, strconv.Itoa(request.Events))
	}
	if from.After > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(from.After))
		r.Header.Set("Resumes", from.First)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		a.Err = err
		return a
	}
	defer response.Body.Close()
	a.Status = response.StatusCode
	a.Signature = response.Header.Get("Upstream-Signature")
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if a.Status >= http.StatusMultipleChoices {
		_, a.Err = io.Copy(io.Discard, response.Body)
		return a
	}
	a.read(response.Body)
	return a
}

// read reads events until the answer ends.
func (a *Attempt) read(body io.Reader) {
	lines := bufio.NewReader(body)
	event := 0
	for {
		line, err := lines.ReadString('\n')
		text := strings.TrimRight(line, "\n")
		if number, ok := strings.CutPrefix(text, "id: "); ok && err == nil {
			event, _ = strconv.Atoi(number)
		}
		if data, ok := strings.CutPrefix(text, "data: "); ok && err == nil {
			if version, _, _ := strings.Cut(data, " "); !slices.Contains(a.Versions, version) {
				a.Versions = append(a.Versions, version)
			}
		}
		if text == "" && err == nil && event > 0 {
			if a.FirstEvent == 0 {
				a.FirstEvent = event
			}
			a.InOrder = a.InOrder && event == a.LastEvent+1
			a.LastEvent, event = event, 0
		}
		if err != nil {
			a.Complete = errors.Is(err, io.EOF) && a.FirstEvent > 0
			if !errors.Is(err, io.EOF) {
				a.Err = err
			}
			return
		}
	}
}

// String describes the attempt for the record.
func (a Attempt) String() string {
	text := fmt.Sprintf("attempt %s at %s in-touch=%t status=%d events=%d..%d versions=%v complete=%t", a.ID, a.Daemon.Name, a.InTouch, a.Status, a.FirstEvent, a.LastEvent, a.Versions, a.Complete)
	if a.RetryAfter > 0 {
		text += " retry-after=" + a.RetryAfter.String()
	}
	if a.Err != nil {
		text += " error: " + a.Err.Error()
	}
	return text
}

// Route returns a route of the operator's configuration to a model service.
func Route(name, prefix, service string, timeout time.Duration, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "ficu95.example", "prefix": prefix, "kind": "stream", "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": 600, "priority": 1, "service": service, "attempts": attempts, "allow_anonymous": false,
		"sticky": true, "resumable": true, "gap_aim_ms": 300,
	}
}

// Configure writes the operator's configuration: routes to one model service.
func (l *Lab) Configure(service string, routes ...map[string]any) {
	l.Put("op", "config", map[string]any{
		"version": 3,
		"routes":  routes,
		"services": []any{map[string]any{
			"name": service, "health_check": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity": 500904, "kv_token_bytes": 35136, "link_mbps": 370000.0, "moves": true, "backups": true,
				"stride": 7, "most": 12, "kv_ttl_s": 5.0, "stage_switch_s": 3.0, "pin_ms": 4000.0, "hold_ms": 2000.0,
				"models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []any{"3fexd9dnn2ctnfzs989a"}, "priority": 1}},
	})
}
