package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a part that crashes engines in groups and is found after the third group,
// when each has crashed most engines; and against a sound part that is blamed for engines
// that fail together.
func TestPartThatCrashesEnginesTogetherIsFound(t *testing.T) {
	for name, test := range map[string]struct {
		engines int
		common  []string // of the requests that end together
		served  string   // before
		blocked bool
	}{
		"one part in common":              {3, []string{"bad"}, "", true},
		"beside a part that was served":   {3, []string{"system", "bad"}, "system", true},
		"fewer engines":                   {2, []string{"bad"}, "", false},
		"two parts in common":             {6, []string{"system", "bad"}, "", false},
		"a part that was served":          {6, []string{"bad"}, "bad", false},
		"nothing in common":               {6, nil, "", false},
		"most engines of a large service": {40, []string{"bad"}, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newGroup(t, 2)
				if test.served != "" {
					d.serve(0, "e0", test.served)
				}
				d.gossip()
				var ends []func(bool)
				for i := range test.engines {
					parts := append([]string{fmt.Sprintf("document-%d", i)}, test.common...)
					ends = append(ends, d.run(i%2, fmt.Sprintf("e%d", i), parts...))
				}
				for _, end := range ends {
					d.sleep(time.Millisecond)
					end(false)
				}
				d.gossip()
				d.sleep(contactTime)
				for daemon := range d.list {
					d.is.Equal(d.admits(daemon, "bad"), !test.blocked)
					d.is.True(d.admits(daemon, "document-0", "system"))
				}
			})
		})
	}
}
