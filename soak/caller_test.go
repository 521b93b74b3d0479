package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"quincewinch/peer/system"
)

// Kinds of requests. Each has a route of the same name.
const (
	kindDraft   = "draft"   // resumable stream
	kindReserve = "reserve" // not idempotent: must not run twice
	kindLookup  = "lookup"  // idempotent
)

const (
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 2 * time.Second
	// maxCallerPause is the upper bound of the time between two requests of a
	// caller.
	maxCallerPause = 60 * time.Millisecond
	// callersPerDaemon is the number of callers of each daemon. Each caller has
	// its own connection and reuses it while it is open.
	callersPerDaemon = 4
	// withdrawnPercent is the percentage of requests that use a withdrawn key.
	withdrawnPercent = 5
)

// reply is the outcome of one request as its caller saw it.
type reply struct {
	id       string
	kind     string
	daemon   string
	key      string
	sentAt   time.Time
	status   int    // 0: no answer
	body     string // as far as received
	complete bool   // the body was received to its end
}

// caller sends requests to one daemon, one at a time.
type caller struct {
	world  *world
	daemon *process
	name   string
	random *rand.Rand
	client *http.Client

	mu      sync.Mutex
	replies []reply
}

func newCaller(w *world, daemon *process, name string, seed uint64) *caller {
	return &caller{
		world: w, daemon: daemon, name: name,
		random: rand.New(rand.NewPCG(seed, uint64(len(name)))),
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}},
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	clock := system.NewClock()
	kinds := []string{kindDraft, kindReserve, kindLookup}
	for i := 0; ctx.Err() == nil; i++ {
		valid, withdrawn := c.world.keys()
		key := valid
		if withdrawn != "" && c.random.IntN(100) < withdrawnPercent {
			key = withdrawn
		}
		result := c.send(kinds[c.random.IntN(len(kinds))], fmt.Sprintf("%s-%d", c.name, i), key)
		c.mu.Lock()
		c.replies = append(c.replies, result)
		c.mu.Unlock()
		// The only error is that ctx has ended, which ends the loop.
		_ = clock.Sleep(ctx, time.Duration(c.random.Int64N(int64(maxCallerPause))))
	}
	c.client.CloseIdleConnections()
}

// send sends one request and waits for its answer, also if the run ends
// meanwhile.
func (c *caller) send(kind, id, key string) reply {
	return c.sendTo("/"+kind+"/x", kind, id, key, "body of "+id)
}

// sendTo sends a request with a path and a body.
func (c *caller) sendTo(path, kind, id, key, body string) reply {
	result := reply{id: id, kind: kind, daemon: c.daemon.name, key: key, sentAt: c.world.clock.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.daemon.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return result
	}
	// Without GetBody the transport cannot retry the request by itself.
	request.GetBody = nil
	request.Host = "h.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	if kind == kindDraft {
		request.Header.Set("Prompt-Prefix", "a:100,b:10")
		request.Header.Set("Token-Count", "110,20")
	}
	answer, err := c.client.Do(request)
	if err != nil {
		return result
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	result.status, result.body, result.complete = answer.StatusCode, string(raw), err == nil
	return result
}

func (c *caller) recordedReplies() []reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]reply(nil), c.replies...)
}
