// Package report summarizes the request lines of daemons' logs over time: how
// many requests were served, late or refused, how far predictions were off, and
// which engines did the work. It answers which requests were affected when, and
// by what.
package report

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/juju/errors"
)

const (
	// endedMessage is the message of the line that a daemon writes when a request
	// ends, see relay.Recorder.
	endedMessage = "request ended"
	servedCode   = "served"
	// lineStart is how each line of a daemon starts. What stands before it, such
	// as a host name, was added on the way and is ignored.
	lineStart = "time="
	// maxLineBytes bounds the length of a log line that is read.
	maxLineBytes = 1 << 20
)

// Request is one request as its log line tells it.
type Request struct {
	Arrived      time.Time
	Outcome      string // served, or the code of the refusal
	NotRun       bool
	Route        string
	PromptTokens int
	Prefilled    int    // prompt tokens that an engine had to prefill, as predicted
	Engine       string // empty if it was sent to none
	Prefiller    string // empty if Engine did the prefill
	CopiedFrom   string // empty if no cached parts were copied
	Predicted    time.Duration
	First        time.Duration // until the first event; 0 if there was none
	Target       time.Duration // for First; 0 if there is none
}

// Served reports whether the request was answered.
func (r Request) Served() bool {
	return r.Outcome == servedCode
}

// Late reports whether the request was answered after its latency target.
func (r Request) Late() bool {
	return r.Served() && r.Target > 0 && r.First > r.Target
}

// Read returns the requests of a log in the order of their lines. Other lines
// are skipped.
func Read(log io.Reader) ([]Request, error) {
	var requests []Request
	raw, err := io.ReadAll(log)
	if err != nil {
		return nil, errors.Annotate(err, "cannot read the log")
	}
	for line := range strings.Lines(string(raw)) {
		start := strings.Index(line, lineStart)
		if start < 0 || len(line) > maxLineBytes {
			continue
		}
		fields, ok := decodeLine(line[start:])
		if !ok || fields["msg"] != endedMessage {
			continue
		}
		request, err := decodeRequest(fields)
		if err != nil {
			return nil, errors.Annotatef(err, "line of request %q", fields["request"])
		}
		requests = append(requests, request)
	}
	return requests, nil
}

// decodeLine returns the fields of a line of key=value pairs. It reports false
// if the line is broken, as the last one of a killed daemon may be.
func decodeLine(line string) (map[string]string, bool) {
	decoder := logfmt.NewDecoder(strings.NewReader(line))
	fields := map[string]string{}
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	return fields, decoder.Err() == nil
}

func decodeRequest(fields map[string]string) (Request, error) {
	ended, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		return Request{}, errors.Trace(err)
	}
	numbers := map[string]int{}
	for _, key := range []string{"tokens", "reading", "predicted-ms", "first-ms", "target-ms", "took-ms"} {
		text, ok := fields[key]
		if !ok {
			continue // written by an older version
		}
		if numbers[key], err = strconv.Atoi(text); err != nil {
			return Request{}, errors.Annotatef(err, "field %s", key)
		}
	}
	return Request{
		Arrived:      ended.Add(-milliseconds(numbers["took-ms"])),
		Outcome:      fields["outcome"],
		NotRun:       fields["not-run"] == "true",
		Route:        fields["route"],
		PromptTokens: numbers["tokens"],
		Prefilled:    numbers["reading"],
		Engine:       fields["engine"],
		Prefiller:    fields["prefiller"],
		CopiedFrom:   fields["copied-from"],
		Predicted:    milliseconds(numbers["predicted-ms"]),
		First:        milliseconds(numbers["first-ms"]),
		Target:       milliseconds(numbers["target-ms"]),
	}, nil
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
