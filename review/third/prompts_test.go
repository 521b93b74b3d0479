package third

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// promptTokens is the usual size of a prompt.
const promptTokens = 5200

// engineServiceName and deskName are the names of the service of engines and of the plain
// one.
const (
	engineServiceName = "huvo11a"
	deskName          = "wuno96b"
)

// promptRoute is the route of requests for engines.
func promptRoute() map[string]any {
	return map[string]any{
		"name": "r-1", "host": callerHost, "prefix": "/pufi791/", "kind": "stream", "timeout_ms": promptTime.Milliseconds(),
		"target_latency_ms": 600, "priority": 1, "service": engineServiceName, "attempts": 2, "sticky": true, "resumable": true, "gap_aim_ms": 300,
	}
}

// engineService is their service.
func engineService() map[string]any {
	return map[string]any{
		"name": engineServiceName, "health_check": "/healthz", "max_connections": 360,
		"engine": map[string]any{"slots": 64, "kv_capacity": 500904, "kv_token_bytes": 35136, "link_mbps": 370000.0, "stride": 7, "most": 12, "kv_ttl_s": 5.0, "stage_switch_s": 3.0},
	}
}

// sharedParts are parts that the prompts of all callers share.
func sharedParts(n int) (first, second string) {
	return fmt.Sprintf("5c1e%04x:2520", n%4), fmt.Sprintf("91bd%04x:1780", n%45)
}

// generation is a request for an engine, with a prompt of promptTokens.
func generation(id, prefix string) call {
	return call{
		id: id, method: http.MethodPost, path: "/pufi791/2f", body: []byte("prompt " + id), deadline: promptTime,
		header: map[string]string{"Model-Name": "m", "Token-Count": strconv.Itoa(promptTokens) + ",80", "Prompt-Prefix": prefix},
	}
}

// tally counts answers.
type tally struct {
	mu               sync.Mutex
	sent             int
	served           int
	refused          int
	failed           int
	over, unanswered int // without an answer at the time-out, and answerSlack later
	longest          time.Duration
}

func (t *tally) add(a answer, timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	switch {
	case a.served():
		t.served++
	case a.err == nil && a.status == http.StatusServiceUnavailable:
		t.refused++
	default:
		t.failed++
	}
	if a.taken > timeout {
		t.over++
	}
	if a.taken > timeout+answerSlack {
		t.unanswered++
	}
	t.longest = max(t.longest, a.taken)
}

func (t *tally) text() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d sent, %d served, %d refused, %d failed; %d unanswered at the time-out, %d of them %s later; longest %s",
		t.sent, t.served, t.refused, t.failed, t.over, t.unanswered, answerSlack, t.longest.Round(time.Millisecond))
}
