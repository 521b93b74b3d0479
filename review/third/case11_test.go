package third

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Figures of the case.
const (
	case11Time = 60 * time.Second
	// Requests with the deadly part begin at deadlyFrom and come each deadlyPause.
	deadlyFrom    = 8 * time.Second
	deadlyPause   = 1500 * time.Millisecond
	case11Callers = 6
	case11Pause   = 100 * time.Millisecond
	deadlyPart    = "dead07a2"
	// From contactTime after crash number crashesAllowed, maxDeadly requests may reach
	// engines.
	contactTime    = 3 * time.Second
	crashesAllowed = 5
	maxDeadly      = 3
)

// listInTwoLines sends requests with a part that crashes engines, in prompts whose list of
// parts comes in two lines of the head. JOINED=1 sends the list in one line.
func listInTwoLines(l *lab, trouble bool) (held bool, err error) {
	return l.playDeadly(trouble, os.Getenv("JOINED") == "", nil)
}

// playDeadly sends requests with a part that crashes engines beside sound ones.
func (l *lab) playDeadly(trouble, twoLines bool, handler func(*engine) http.Handler) (held bool, err error) {
	zones := []string{"pl-a", "pl-b", "pl-c", "pl-d"}
	var engines []*engine
	for i := range 9 {
		e, err := l.startEngine(fmt.Sprintf("i-%d", i), zones[i%len(zones)], deadlyPart, handler)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := l.put("op", "config", configuration(7, []map[string]any{promptRoute()}, []map[string]any{engineService()})); err != nil {
		return false, err
	}
	for _, zone := range zones {
		if _, err := l.startDaemon("front-"+zone+"-1", zone); err != nil {
			return false, err
		}
	}
	begun := l.clock.Now()
	end := begun.Add(case11Time)
	var callers sync.WaitGroup
	var sound, deadly tally
	for i := range case11Callers {
		callers.Go(func() { l.askSoundly(i, end, &sound) })
	}
	if trouble {
		callers.Go(func() {
			l.sleep(deadlyFrom)
			l.askDeadly(end, twoLines, &deadly)
		})
	}
	callers.Wait()
	l.note("sound requests: %s", sound.text())
	l.note("requests with the part %s: %s", deadlyPart, deadly.text())
	return l.judgeDeadly(engines), nil
}

// judgeDeadly applies the rule to what the engines have seen.
func (l *lab) judgeDeadly(engines []*engine) bool {
	var all []arrival
	for _, e := range engines {
		all = append(all, e.seen()...)
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	crashes, late := 0, 0
	var from time.Time
	for _, a := range all {
		if !a.deadly {
			continue
		}
		if !from.IsZero() && a.at.After(from) {
			late++
		}
		if a.failed {
			crashes++
		}
		if a.failed && crashes == crashesAllowed {
			from = a.at.Add(firstTokenTime + contactTime)
			l.note("crash number %d at %.2f", crashes, a.at.Sub(l.began).Seconds())
		}
	}
	l.note("%d crashes; %d requests with the part reached engines later than %s after crash number %d; %d may", crashes, late, contactTime, crashesAllowed, maxDeadly)
	return late <= maxDeadly
}

// askSoundly sends prompts without the deadly part.
func (l *lab) askSoundly(caller int, end time.Time, t *tally) {
	client := newCallers()
	for n := 0; l.clock.Now().Before(end); n++ {
		first, second := sharedParts(n)
		id := fmt.Sprintf("s%d-%d", caller, n)
		to := l.daemons[(n+caller)%len(l.daemons)]
		t.add(l.send(client, to.callers, generation(id, first+","+second+fmt.Sprintf(",e%d%06x:900", caller, n))), promptTime)
		l.sleep(case11Pause)
	}
}

// askDeadly sends prompts with the deadly part, no two alike, to one daemon after the
// other.
func (l *lab) askDeadly(end time.Time, twoLines bool, t *tally) {
	client := newCallers()
	for n := 0; l.clock.Now().Before(end); n++ {
		first, _ := sharedParts(n)
		rest := deadlyPart + ":1780,ff" + strconv.FormatInt(int64(1<<20+n), 16) + ":900"
		c := generation(fmt.Sprintf("k-%d", n), first+","+rest)
		if twoLines {
			c.lines = http.Header{"Prompt-Prefix": {first, rest}}
		}
		to := l.daemons[n%len(l.daemons)]
		t.add(l.send(client, to.callers, c), promptTime)
		l.sleep(deadlyPause)
	}
}
