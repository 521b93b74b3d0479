package resume_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
	"quincewinch/relay"
)

// scheduleCaller is a caller that resumes its stream where it breaks off. It
// implements relay.Reply.
type scheduleCaller struct {
	schedule *schedule
	daemon   context.Context // of the process that answers
	body     strings.Builder
	first    models.RequestID // the attempt that brought the first event
}

// Begin implements relay.Reply.
func (c *scheduleCaller) Begin(int, http.Header, int64) {}

// Write implements relay.Reply.
func (c *scheduleCaller) Write(_ context.Context, chunk []byte, _ bool) error {
	if err := c.daemon.Err(); err != nil {
		return err
	}
	c.body.Write(chunk)
	return nil
}

// run requests one stream and checks what arrives.
func (c *scheduleCaller) run() {
	s := c.schedule
	s.mu.Lock()
	s.asked++
	name := strconv.Itoa(s.asked)
	s.mu.Unlock()
	deadline := s.clock.Now().Add(callerTimeout)
	broken := false // a resumed stream that has not gone on yet
	for try := range maxTries {
		id := models.RequestID(fmt.Sprintf("%s-%d", name, try))
		before := c.body.Len()
		expected := before > 0 && !broken && s.expectResume(c.version())
		inTouch, err := c.try(id, deadline)
		if expected && (inTouch || !s.outages) {
			broken = true
			s.count(&s.resumed)
		}
		if before == 0 && c.body.Len() > 0 {
			c.first = id
			s.count(&s.begun)
		}
		if broken && c.body.Len() > before {
			broken = false
			s.count(&s.goneOn)
		}
		if err == nil || s.clock.Now().After(deadline) {
			break
		}
		refusal := relay.RefusalOf(err)
		s.sleep(min(refusal.RetryAfter, deadline.Sub(s.clock.Now())/3) + time.Millisecond)
	}
	c.check()
}

// try sends one attempt to a daemon. It reports whether that has been in step, and up, for
// contactTime.
func (c *scheduleCaller) try(id models.RequestID, deadline time.Time) (inTouch bool, err error) {
	s := c.schedule
	now := s.clock.Now()
	s.mu.Lock()
	var alive []*scheduleDaemon
	for _, d := range s.daemons {
		if d.alive && d.snapshot != nil {
			alive = append(alive, d)
		}
	}
	if len(alive) == 0 {
		s.mu.Unlock()
		s.sleep(connectTimeout)
		return false, errors.New("no daemon answers")
	}
	d := alive[s.random.IntN(len(alive))]
	handler, ctx := d.handler, d.ctx
	inTouch = now.Sub(d.disturbedAt) >= contactTime && d.registrations == nil
	s.mu.Unlock()
	c.daemon = ctx
	e := &relay.Exchange{
		ID: id, Received: now, CallerTimeout: deadline.Sub(now), Deadline: deadline, Reply: c,
		Call:    models.UpstreamCall{ID: id, ResumeAfter: c.lastEvent(), Header: http.Header{}},
		Resumes: c.first,
		Routing: &models.Routing{Services: map[models.ServiceName]models.RoutedService{newService.Name: newService}},
		Route: models.PathRoute{
			Attempts: 2, Repeatable: true, Stream: true, Resumable: true, Timeout: callerTimeout,
			Targets: []models.WeightedService{{Service: newService.Name, Weight: 1}},
		},
		Service: newService,
		Prompt:  models.Prompt{Tokens: 100, Parts: []models.PromptPart{{ID: string(id), Tokens: 100}}},
	}
	return inTouch, handler.Handle(ctx, e)
}

// lastEvent returns the ID of the last event that has arrived.
func (c *scheduleCaller) lastEvent() string {
	if count := strings.Count(c.body.String(), "id:"); count > 0 {
		return strconv.Itoa(count)
	}
	return ""
}

// version returns the version that wrote the first event.
func (c *scheduleCaller) version() string {
	_, rest, _ := strings.Cut(c.body.String(), "data: ")
	version, _, _ := strings.Cut(rest, "\n")
	return version
}

// check checks that the events are in order and all of one version.
func (c *scheduleCaller) check() {
	expected := ""
	for i := range strings.Count(c.body.String(), "id:") {
		expected += fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, c.version())
	}
	if c.body.String() != expected {
		c.schedule.t.Errorf("seed %d: the stream of request %s holds events of two versions:\n%s", c.schedule.seed, c.first, c.body.String())
	}
}
