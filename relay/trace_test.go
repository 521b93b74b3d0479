package relay_test

import (
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/relay"
)

// traceCase is one failed request, and what docs/OPERATIONS.md says to look for.
type traceCase struct {
	name   string
	route  models.PathRoute
	script []scriptedAnswer
	steps  []string // each on one line of the request, fields apart by blanks
}

// logLines plays a request and returns the log's lines on it as key=value pairs.
func logLines(t *testing.T, test traceCase) []string {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	logger := zap.New(core)
	clock := system.NewClock()
	w := newFixture(t, test.route, test.script...)
	w.exchange.Received = clock.Now()
	w.exchange.Deadline = clock.Now().Add(time.Second)
	sender := relay.NewSender(&w.upstreams, &w.placer, &w.meter, clock, logger)
	recorder := relay.NewRecorder(prometheus.NewRegistry(), clock, logger)
	is.New(t).True(relay.Chain(sender, recorder.Filter()).Handle(t.Context(), &w.exchange) != nil)
	var found []string
	for _, entry := range logs.All() {
		line := ` msg="` + entry.Message + `"`
		for key, value := range entry.ContextMap() {
			line += " " + key + "=" + formatValue(value)
		}
		found = append(found, line+" ")
	}
	return found
}

func formatValue(value any) string {
	switch v := value.(type) {
	case string:
		return v
	case bool:
		if v {
			return "true"
		}
		return "false"
	}
	return "?"
}

func TestFailureLogs(t *testing.T) {
	raw, err := os.ReadFile("../docs/OPERATIONS.md")
	is.New(t).NoErr(err)
	page := strings.Join(strings.Fields(string(raw)), " ")
	tests := []traceCase{
		{"502", nonRepeatable, []scriptedAnswer{lostAnswer}, []string{
			`msg="request ended" outcome=backend-failed not-run=false`,
			`msg="request not answered by a backend server" result=failed again=false`,
			`repeatable=false`,
		}},
		{"503", nonRepeatable, []scriptedAnswer{rejected, rejected}, []string{
			`msg="request ended" not-run=true`,
			`outcome=backend-failed`,
			`result=rejected`,
		}},
		{"504", nonRepeatable, []scriptedAnswer{{hangs: true}}, []string{
			`msg="request ended" outcome=deadline`,
			`msg="request not answered by a backend server"`,
			`result=cancelled`,
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				found := logLines(t, test)
				for _, step := range test.steps {
					if !isOnPage(page, step) {
						t.Errorf("the page does not say %s", step)
					}
					if !isLogged(found, step) {
						t.Errorf("no line has %s: %s", step, strings.Join(found, "\n"))
					}
				}
				for _, line := range found {
					is.New(t).True(strings.Contains(line, " request=r ")) // found by the request's identity
				}
			})
		})
	}
}

// splitStep returns the message and the fields of a step.
func splitStep(step string) []string {
	if message, rest, ok := strings.Cut(step, `" `); ok {
		return append([]string{message + `"`}, strings.Fields(rest)...)
	}
	if strings.HasPrefix(step, "msg=") {
		return []string{step}
	}
	return strings.Fields(step)
}

func isOnPage(page, step string) bool {
	for _, part := range splitStep(step) {
		if !strings.Contains(page, part) {
			return false
		}
	}
	return true
}

func isLogged(found []string, step string) bool {
	for _, line := range found {
		all := true
		for _, part := range splitStep(step) {
			all = all && strings.Contains(line, " "+part+" ")
		}
		if all {
			return true
		}
	}
	return false
}
