package third

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	case12Time  = 80 * time.Second
	case12From  = 5 * time.Second
	case12Pause = 10 * time.Millisecond
	// firstEvent12 is how long engines take to begin an answer.
	firstEvent12 = 90 * time.Millisecond
	// odd12 is the number of requests that odd callers send at a time.
	odd12 = 12
	// A fault of the day: processes end by themselves maxEnds times on maxMachines.
	maxEnds     = 3
	maxMachines = 2
)

// manyShortParts sends prompts with very many parts of one token.
func manyShortParts(l *lab, trouble bool) (held bool, err error) {
	if err := l.deployDesk(firstEvent12); err != nil {
		return false, err
	}
	var callers sync.WaitGroup
	var desk, prompts, odd tally
	begun := l.clock.Now()
	end := begun.Add(case12Time)
	for i := range ordinaryCallers {
		callers.Go(func() { l.askDesk(i, end, &desk) })
		callers.Go(func() { l.askEngines(i, end, &prompts) })
	}
	for i := range odd12 {
		callers.Go(func() {
			l.sleep(case12From)
			l.askAtLength(i, end, trouble, &odd)
		})
	}
	for l.clock.Now().Before(end) {
		l.sleep(10 * time.Second)
		l.note("plain service: %s", desk.text())
		l.note("prompts: %s", prompts.text())
		l.note("prompts of the odd callers: %s", odd.text())
	}
	callers.Wait()
	return l.withinMemory(), nil
}

// withinMemory reports whether processes have ended by themselves on fewer than maxMachines
// machines, maxEnds times each; those that exceed the memory of their machine count.
func (l *lab) withinMemory() bool {
	machines := 0
	for _, d := range l.daemons {
		peak, overruns, exits := d.counts()
		l.note("%s: peak %d MB of memory, exceeded it %d times, ended by itself otherwise %d times", d.name, peak, overruns, exits)
		if overruns+exits >= maxEnds {
			machines++
		}
	}
	l.note("on %d machines of %d processes ended by themselves %d times or more; on fewer than %d they may", machines, len(l.daemons), maxEnds, maxMachines)
	return machines < maxMachines
}

// askAtLength sends prompts with oddParts parts of one token, without trouble with none of
// them.
func (l *lab) askAtLength(caller int, end time.Time, trouble bool, t *tally) {
	client := newCallers()
	random := rand.New(rand.NewPCG(uint64(caller), 12))
	for n := 0; l.clock.Now().Before(end); n++ {
		first, second := sharedParts(n)
		list := []string{first, second}
		if trouble {
			for range oddParts {
				list = append(list, strconv.FormatUint(uint64(random.Uint32()), 16)+":1")
			}
		}
		list = append(list, fmt.Sprintf("f%d%06x:1", caller, n))
		to := l.daemons[(n+caller)%len(l.daemons)]
		t.add(l.send(client, to.callers, generation(fmt.Sprintf("y%d-%d", caller, n), strings.Join(list, ","))), promptTime)
		l.sleep(case12Pause)
	}
}
