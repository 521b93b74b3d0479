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

// Kinds of requests, which are also their routes.
const (
	kindDraft   = "draft"   // a stream that may be resumed
	kindReserve = "reserve" // must not run twice
	kindLookup  = "lookup"  // may be repeated
)

const (
	// callerTimeout is how long a caller waits.
	callerTimeout = 2 * time.Second
	// maxCallerPause bounds the time between two requests of a caller.
	maxCallerPause = 60 * time.Millisecond
	// callersPerDaemon is how many callers use one daemon, each over its own
	// connection for as long as that is open.
	callersPerDaemon = 4
	// withdrawnPercent is how many of a hundred requests use a withdrawn key.
	withdrawnPercent = 5
)

// reply is what a caller got for one request.
type reply struct {
	id       string
	kind     string
	daemon   string
	key      string
	sentAt   time.Time
	status   int    // 0: no answer
	body     string // as far as it came
	complete bool   // the answer ended properly
}

// caller sends requests to one daemon, one after another.
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
		got := c.send(kinds[c.random.IntN(len(kinds))], fmt.Sprintf("%s-%d", c.name, i), key)
		c.mu.Lock()
		c.replies = append(c.replies, got)
		c.mu.Unlock()
		// Ends early only with the run.
		_ = clock.Sleep(ctx, time.Duration(c.random.Int64N(int64(maxCallerPause))))
	}
	c.client.CloseIdleConnections()
}

// send sends one request. It is seen to its end also when the run is over.
func (c *caller) send(kind, id, key string) reply {
	got := reply{id: id, kind: kind, daemon: c.daemon.name, key: key, sentAt: c.world.clock.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.daemon.callerAddress+"/"+kind+"/x", strings.NewReader("body of "+id))
	if err != nil {
		return got
	}
	// The transport must not send a request again by itself.
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
		return got
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	got.status, got.body, got.complete = answer.StatusCode, string(raw), err == nil
	return got
}

func (c *caller) recordedReplies() []reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]reply(nil), c.replies...)
}
