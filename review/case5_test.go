package review

// Case 5: requests with a part that crashes engines come some
// at a time.

import (
	"fmt"
	"os"
	"time"
)

func playGroups() int {
	l, err := New(os.Args[1])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return Failed
	}
	defer l.Close()
	d := &Deadly{Lab: l, Length: 30 * time.Second, Interval: 4 * time.Second, Group: 6, Parts: 2, Place: 2, Crashes: Trouble(), Events: 5}
	if err := d.Start(); err != nil {
		l.Logf("cannot run: %v", err)
		return Failed
	}
	d.Run()
	return d.Judge()
}
