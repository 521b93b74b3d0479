// Command 4 is case 4 of the review: requests with a part that crashes engines come some
// at a time.
package main

import (
	"fmt"
	"os"
	"time"

	"quincewinch/review/lab"
)

func main() {
	os.Exit(play())
}

func play() int {
	l, err := lab.New(os.Args[1])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return lab.Failed
	}
	defer l.Close()
	d := &lab.Deadly{Lab: l, Length: 30 * time.Second, Interval: 4 * time.Second, Group: 6, Parts: 2, Place: 2, Crashes: lab.Trouble(), Events: 5}
	if err := d.Start(); err != nil {
		l.Logf("cannot run: %v", err)
		return lab.Failed
	}
	d.Run()
	return d.Judge()
}
