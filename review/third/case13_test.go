package third

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"quincewinch/platform/emulator"
)

// Figures of the case.
const (
	case13Time = 45 * time.Second
	case13From = 8 * time.Second
	// generationRate is the rate of requests for engines at each daemon, in requests a second:
	// 219 a second at the eight machines of the site.
	generationRate = 27
	// junkBytes is the size of the junk in the head of an answer, dripInterval the time
	// between two bytes that follow without end.
	junkBytes    = 60 << 10
	dripInterval = 200 * time.Millisecond
)

// endlessJunk lets engines answer with bytes that have no end, after heads of many short
// lines.
func endlessJunk(l *lab, trouble bool) (held bool, err error) {
	zones := []string{"pl-a", "pl-b"}
	var inTrouble flag
	junk := junkLines()
	for i := range 8 {
		sound := &emulator.Server{ID: fmt.Sprintf("i-%d", i), Events: 3}
		address, err := l.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if inTrouble.isSet() {
				l.answerJunk(w, r, junk)
				return
			}
			sound.ServeHTTP(w, r)
		}))
		if err != nil {
			return false, err
		}
		if err := l.register(sound.ID, "huvo11a", address, zones[i%len(zones)], map[string]any{"stage": "decode"}); err != nil {
			return false, err
		}
	}
	if err := l.put("op", "config", configuration(7, []map[string]any{promptRoute()}, []map[string]any{engineService()})); err != nil {
		return false, err
	}
	for _, zone := range zones {
		if _, err := l.startDaemon("front-"+zone+"-1", zone); err != nil {
			return false, err
		}
	}
	end := l.clock.Now().Add(case13Time)
	var callers sync.WaitGroup
	var all tally
	for i, d := range l.daemons {
		callers.Go(func() { l.askSteadily(i, d, end, &all) })
	}
	l.sleep(case13From)
	if trouble {
		l.note("engines answer with bytes without end")
		inTrouble.set()
	}
	for l.clock.Now().Before(end) {
		l.sleep(5 * time.Second)
		l.note("requests: %s", all.text())
	}
	callers.Wait()
	return l.withinMemory(), nil
}

// askSteadily sends requests to a daemon at generationRate, whether or not others are
// answered.
func (l *lab) askSteadily(caller int, d *daemon, end time.Time, t *tally) {
	client := newCallers()
	var running sync.WaitGroup
	for n := 0; l.clock.Now().Before(end); n++ {
		first, second := sharedParts(n)
		c := generation(fmt.Sprintf("j%d-%d", caller, n), fmt.Sprintf("%s,%s,a%d%06x:900", first, second, caller, n))
		running.Go(func() { t.add(l.send(client, d.callers, c), promptTime) })
		l.sleep(time.Second / generationRate)
	}
	running.Wait()
}

// flag is set once.
type flag struct {
	mu sync.Mutex
	is bool
}

func (f *flag) set() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.is = true
}

func (f *flag) isSet() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.is
}

// junkLines returns header lines with distinct names of three letters and no value.
func junkLines() []byte {
	const base = 36
	var lines bytes.Buffer
	for i := int64(base * base); lines.Len() < junkBytes; i++ {
		lines.WriteString(strconv.FormatInt(i, base) + ":\n")
	}
	return lines.Bytes()
}

// answerJunk writes a head with junk and one event, and then single bytes until the caller
// closes.
func (l *lab) answerJunk(w http.ResponseWriter, r *http.Request, junk []byte) {
	_, _ = io.Copy(io.Discard, r.Body) // an error means that the caller has gone
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	const event = "id: 1\ndata: token\n\n"
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\nUpstream-Signature: signed\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	_, err = fmt.Fprintf(connection, "%s%s\r\n%x\r\n%s\r\n", head, junk, len(event), event)
	for err == nil && l.ctx.Err() == nil {
		l.sleep(dripInterval)
		_, err = io.WriteString(connection, "1\r\nx\r\n")
	}
}
