package review

// Case 4: a part far back in long prompts crashes each engine
// that begins to write an answer on it.

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

func playFarPart() int {
	l, err := New(os.Args[1])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return Failed
	}
	defer l.Close()
	d := &Deadly{Lab: l, Length: 45 * time.Second, Interval: 1500 * time.Millisecond, Group: 1, Parts: 20, Place: place(), Crashes: Trouble(), Events: 30}
	if err := d.Start(); err != nil {
		l.Logf("cannot run: %v", err)
		return Failed
	}
	d.Run()
	return d.Judge()
}

// place returns the place of the deadly part in its prompts, from 1. PLACE sets another
// one, for comparison.
func place() int {
	const place = 17
	if n, err := strconv.Atoi(os.Getenv("PLACE")); err == nil {
		return n
	}
	return place
}
