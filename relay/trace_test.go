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

// traceCase is a failed request and the log fields by which docs/OPERATIONS.md
// says to trace it.
type traceCase struct {
	name   string
	route  models.PathRoute
	script []scriptedAnswer
	steps  []string // each must match one log line; fields are separated by spaces
}

// logLines sends the request and returns its log lines as key=value pairs.
func logLines(t *testing.T, test traceCase) []string {
	t.Helper()
	core, logs := observer.New(zap.InfoLevel)
	logger := zap.New(core)
	clock := system.NewClock()
	f := newFixture(t, test.route, test.script...)
	f.exchange.Received = clock.Now()
	f.exchange.Deadline = clock.Now().Add(time.Second)
	sender := relay.NewSender(&f.upstreams, &f.placer, &f.meter, f.origins, &f.guard, clock, logger)
	recorder := relay.NewRecorder(prometheus.NewRegistry(), clock, logger)
	is.New(t).True(relay.Chain(sender, recorder.Filter()).Handle(t.Context(), &f.exchange) != nil)
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

// TestFailureLogs checks that every step that docs/OPERATIONS.md gives for
// tracing a failed request appears both on that page and in the log.
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
						t.Errorf("docs/OPERATIONS.md does not contain %s", step)
					}
					if !isLogged(found, step) {
						t.Errorf("no log line contains %s; got:\n%s", step, strings.Join(found, "\n"))
					}
				}
				for _, line := range found {
					is.New(t).True(strings.Contains(line, " request=r ")) // has the request ID
				}
			})
		})
	}
}

// splitStep splits a step into the message and the fields.
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

// Crashes can be traced to a prompt part by the log alone.
func TestFailureLogListsSharedParts(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	f := newFixture(t, nonRepeatable, lostAnswer)
	f.exchange.Prompt = models.Prompt{Parts: []models.PromptPart{{ID: "a"}, {ID: "b"}, {ID: "own"}}}
	is := is.New(t)
	is.True(relay.NewSender(&f.upstreams, &f.placer, &f.meter, f.origins, &f.guard, system.NewClock(), zap.New(core)).Handle(t.Context(), &f.exchange) != nil)
	shared := f.exchange.Prompt.SharedParts()
	lines := logs.FilterMessage("request not answered by a backend server").All()
	is.Equal(len(lines), 1)
	is.Equal(lines[0].ContextMap()["parts"], shared[0].String()+","+shared[1].String())
}
