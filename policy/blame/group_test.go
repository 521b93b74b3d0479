package blame_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/blame"
)

// Guards against a part that crashes engines in groups and is found late, and against
// sound parts that are blamed for engines that fail together.
func TestFindInGroups(t *testing.T) {
	const (
		bad    = 2
		shared = 1
	)
	// Parts from 11 on are in one request each.
	tests := []struct {
		name    string
		crashes []blame.Crash
		sound   map[models.PartID]time.Time
		blocked models.PartID
		want    models.PartID // 0: none
	}{
		{"three different requests with one part in common", []blame.Crash{crash(10, run(1, 0, 11, bad)), crash(11, run(2, 0, 12, bad)), crash(13, run(3, 0, 13, bad))}, nil, 0, bad},
		{"the same beside sound requests", []blame.Crash{crash(10, run(1, 0, 11, bad), run(7, 5, 17)), crash(11, run(2, 0, 12, bad), run(8, 1, 17)), crash(13, run(3, 0, 13, bad))}, nil, 0, bad},
		{"the same beside a part that was served", []blame.Crash{crash(10, run(1, 0, -shared, bad)), crash(11, run(2, 0, -shared, bad)), crash(13, run(3, 0, -shared, bad))}, nil, 0, bad},
		{"the same after a part that was answered since", []blame.Crash{crash(10, run(1, 0, shared, bad)), crash(11, run(2, 0, shared, bad)), crash(13, run(3, 0, shared, bad))}, map[models.PartID]time.Time{shared: at(50)}, 0, bad},
		{"a first part, which all requests of a kind may share", []blame.Crash{crash(10, run(1, 0, bad, 11)), crash(11, run(2, 0, bad, 12)), crash(12, run(3, 0, bad, 13)), crash(13, run(4, 0, bad, 14))}, nil, 0, 0},
		{"two engines", []blame.Crash{crash(10, run(1, 0, 11, bad)), crash(11, run(2, 0, 12, bad))}, nil, 0, 0},
		{"two engines, twice", []blame.Crash{crash(10, run(1, 0, 11, bad)), crash(11, run(2, 0, 12, bad)), crash(1010, run(3, 1000, 13, bad)), crash(1011, run(4, 1000, 14, bad))}, nil, 0, 0},
		{"three engines, two requests", []blame.Crash{crash(10, run(1, 0, 11, bad)), crash(11, run(2, 0, 12, bad)), crash(40, run(1, 12, 11, bad))}, nil, 0, 0},
		{"three requests, two engines", []blame.Crash{crash(10, run(1, 0, 11, bad), run(2, 0, 12, bad)), crash(13, run(3, 0, 13, bad))}, nil, 0, 0},
		{"the same request at three engines", []blame.Crash{crash(10, as(9, run(1, 0, 11, bad))), crash(11, as(9, run(2, 0, 11, bad))), crash(12, as(9, run(3, 0, 11, bad)))}, nil, 9, 0},
		{"no part in common", []blame.Crash{crash(10, run(1, 0, 11)), crash(11, run(2, 0, 12)), crash(12, run(3, 0, 13)), crash(13, run(4, 0, 14))}, nil, 0, 0},
		{"a part in some of them only", []blame.Crash{crash(10, run(1, 0, 11, bad)), crash(11, run(2, 0, 12, bad)), crash(12, run(3, 0, 13, bad)), crash(13, run(4, 0, 14))}, nil, 0, 0},
		{"two parts in common", []blame.Crash{crash(10, run(1, 0, shared, bad)), crash(11, run(2, 0, shared, bad)), crash(12, run(3, 0, shared, bad)), crash(13, run(4, 0, shared, bad))}, nil, 0, 0},
		{"a part that was served before", []blame.Crash{crash(10, run(1, 0, 11, -bad)), crash(11, run(2, 0, 12, -bad)), crash(12, run(3, 0, 13, -bad)), crash(13, run(4, 0, 14, -bad))}, nil, 0, 0},
		{"a part that was served before at one daemon", []blame.Crash{crash(10, run(1, 0, 11, bad)), crash(11, run(2, 0, 12, -bad), run(5, 0, 15, bad)), crash(12, run(3, 0, 13, bad))}, nil, 0, 0},
		{"a part that was answered since", []blame.Crash{crash(10, run(1, 0, 11, bad)), crash(11, run(2, 0, 12, bad)), crash(12, run(3, 0, 13, bad))}, map[models.PartID]time.Time{bad: at(12)}, 0, 0},
		{"one process that resets connections again and again", []blame.Crash{crashOf("e", 10, run(1, 0, 11, bad)), crashOf("e", 11, run(2, 0, 12, bad)), crashOf("e", 12, run(3, 0, 13, bad))}, nil, 0, 0},
		{"beside a part that is blocked", []blame.Crash{crash(10, run(1, 0, shared, bad)), crash(11, run(2, 0, shared, bad)), crash(12, run(3, 0, shared, bad))}, nil, shared, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			finding, ok := blame.Find(test.crashes, test.sound, func(part models.PartID) bool { return part == test.blocked })
			is.Equal(ok, test.want != 0)
			is.Equal(finding.Part, test.want)
		})
	}
}
