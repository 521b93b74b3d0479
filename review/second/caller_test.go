package second

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// lastRequest numbers the requests of all callers.
var lastRequest atomic.Int64

// call is one request of a caller.
type call struct {
	path     string
	method   string
	deadline time.Duration
	prompt   string // the parts of the prompt; empty: no generation
	tokens   string
	body     string
	resumes  string        // the request that brought the first event; empty: a new stream
	after    int           // the last event that the caller has
	leave    time.Duration // after which the caller closes the connection; 0: at the deadline
}

// reply is what a caller saw.
type reply struct {
	id       string
	sentAt   time.Time
	status   int // 0: none
	text     string
	events   []event
	complete bool // the answer came to its end
}

// event is an event of a stream.
type event struct {
	id       int
	software string
	engine   string
}

// send sends a request to a daemon and waits for the end of its answer.
func (d *daemon) send(c call) reply {
	result := reply{id: fmt.Sprintf("r%07d", lastRequest.Add(1)), sentAt: clock.Now()}
	stay := c.deadline
	if c.leave > 0 {
		stay = min(stay, c.leave)
	}
	ctx, cancel := context.WithTimeout(context.Background(), stay)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+d.callers+c.path, strings.NewReader(c.body))
	must(err)
	request.Host = "desk.example"
	request.Header.Set("Request-Id", result.id)
	request.Header.Set("X-Api-Key", "key-of-sales")
	request.Header.Set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.prompt != "" {
		request.Header.Set("Model-Name", "m")
		request.Header.Set("Prompt-Prefix", c.prompt)
		request.Header.Set("Token-Count", c.tokens)
	}
	if c.resumes != "" {
		request.Header.Set("Resumes", c.resumes)
		request.Header.Set("Last-Event-Id", strconv.Itoa(c.after))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return result
	}
	defer answer.Body.Close()
	result.status = answer.StatusCode
	result.read(bufio.NewReader(answer.Body))
	return result
}

// read reads the body of an answer.
func (r *reply) read(body *bufio.Reader) {
	number := 0
	for {
		line, err := body.ReadString('\n')
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(strings.TrimSpace(value))
		} else if value, ok := strings.CutPrefix(line, "data: "); ok {
			words := strings.Fields(value)
			r.events = append(r.events, event{number, words[len(words)-1], words[3]})
		} else {
			r.text += line
		}
		if err != nil {
			r.complete = err.Error() == "EOF"
			return
		}
	}
}
