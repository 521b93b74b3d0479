package report_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/report"
)

// The log of two daemons, each line with the name of its VM before it.
const log = `vm-1 time=2026-05-07T09:04:10.100Z level=info msg="request ended" request=a route=r tokens=9000 engine=e1 prefiller=p1 copied-from=e2 reading=3000 predicted-ms=90 first-ms=100 target-ms=300 took-ms=100 outcome=served
vm-2 time=2026-05-07T09:04:10.900Z level=info msg="request ended" request=b route=r tokens=200 engine=e2 prefiller= copied-from= reading=200 predicted-ms=40 first-ms=400 target-ms=300 took-ms=500 outcome=served
vm-2 time=2026-05-07T09:04:10.950Z level=info msg="billing window reported" window=7
vm-1 time=2026-05-07T09:04:11.200Z level=info msg="request ended" request=c route=r tokens=200 engine= prefiller= reading=0 predicted-ms=0 first-ms=0 target-ms=300 took-ms=1 why="queues, too long" not-run=true outcome=overloaded
vm-1 time=2026-05-07T09:04:11.300Z level=info msg="request ended" request=d route=q tokens=0 engine=s1 reading=0 predicted-ms=0 first-ms=60 target-ms=0 took-ms=60 outcome=served
vm-1 time=2026-05-07T09:04:11.301Z level=info msg="request en`

func TestSummarize(t *testing.T) {
	is := is.New(t)
	requests, err := report.Read(strings.NewReader(log))
	is.NoErr(err)
	is.Equal(len(requests), 4)
	intervals := report.Summarize(requests, time.Second)
	is.Equal(len(intervals), 2)
	first := intervals[0]
	is.Equal(first.Requests, 2)
	is.Equal(first.Served, 2)
	is.Equal(first.Late, 1)
	is.Equal(first.First.Median, 100*time.Millisecond)
	is.Equal(first.PredictionError.Median, 10*time.Millisecond)
	is.Equal(first.Apart, 1)
	is.Equal(first.Copied, 1)
	is.Equal(first.PrefillTokens, 3200)
	is.Equal(first.Engines, 2)
	is.Equal(first.Prefillers, 1)
	second := intervals[1]
	is.Equal(second.Requests, 2)
	is.Equal(second.NotServed, 1)
	is.Equal(second.NotRun, 1)
	is.Equal(second.Prompts, 0) // none was sent to an engine
}

func TestInvalidNumberIsReported(t *testing.T) {
	_, err := report.Read(strings.NewReader(`time=2026-05-07T09:04:10Z msg="request ended" request=a tokens=many outcome=served`))
	is.New(t).True(err != nil)
}

func TestWrite(t *testing.T) {
	is := is.New(t)
	requests, err := report.Read(strings.NewReader(log))
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(report.Write(&out, report.Summarize(requests, time.Second), time.Second))
	is.Equal(strings.Count(out.String(), "\n"), 3) // a header and two intervals
}
