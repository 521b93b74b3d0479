package blame_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/blame"
)

// at returns a time in milliseconds from the start of a test.
func at(ms int) time.Time {
	return time.UnixMilli(int64(ms))
}

// run returns a request with some parts; negative ones were served before.
func run(request, sentAt int, parts ...int) blame.Run {
	r := blame.Run{Request: models.RequestHash(request), SentAt: at(sentAt)}
	for _, part := range parts {
		r.Parts = append(r.Parts, models.SuspectPart{ID: models.PartID(max(part, -part)), Served: part < 0})
	}
	return r
}

// whole marks all parts of a run as requests as a whole.
func whole(r blame.Run) blame.Run {
	for i := range r.Parts {
		r.Parts[i].Whole = true
	}
	return r
}

// as adds a request as a whole to its parts.
func as(request int, r blame.Run) blame.Run {
	r.Parts = append(r.Parts, models.SuspectPart{ID: models.PartID(request), Whole: true})
	return r
}

// crash returns a crash of an engine of its own.
func crash(ms int, runs ...blame.Run) blame.Crash {
	return crashOf(fmt.Sprint(ms, runs), ms, runs...)
}

func crashOf(engine string, ms int, runs ...blame.Run) blame.Crash {
	return blame.Crash{Process: blame.Process{Engine: models.EngineID(engine)}, At: at(ms), Runs: runs}
}

func TestFind(t *testing.T) {
	const (
		shared = 1
		bad    = 2
		other  = 3
	)
	tests := []struct {
		name    string
		crashes []blame.Crash
		sound   map[models.PartID]time.Time
		blocked models.PartID
		want    models.PartID // 0: none
	}{
		{"no crash", nil, nil, 0, 0},
		{"two crashes are too few", []blame.Crash{crash(10, run(1, 0, bad)), crash(30, run(2, 20, bad))}, nil, 0, 0},
		{"three crashes in a row", []blame.Crash{crash(10, run(1, 0, bad)), crash(30, run(2, 20, bad)), crash(50, run(3, 40, bad))}, nil, 0, bad},
		{"a part that was served before needs one more", []blame.Crash{crash(10, run(1, 0, -bad)), crash(30, run(2, 20, -bad)), crash(50, run(3, 40, -bad))}, nil, 0, 0},
		{"a part that was served before is blamed for four", []blame.Crash{crash(10, run(1, 0, -bad)), crash(30, run(2, 20, -bad)), crash(50, run(3, 40, -bad)), crash(70, run(4, 60, -bad))}, nil, 0, bad},
		{"all crashes are of one request", []blame.Crash{crash(10, run(1, 0, bad)), crash(30, run(1, 20, bad)), crash(50, run(1, 40, bad))}, nil, 0, 0},
		{"engines that crash together count once", []blame.Crash{crash(10, run(1, 0, bad)), crash(10, run(2, 0, bad)), crash(11, run(3, 5, bad)), crash(12, run(4, 6, bad))}, nil, 0, 0},
		{"a part that was answered after the last crash", []blame.Crash{crash(10, run(1, 0, bad)), crash(30, run(2, 20, bad)), crash(50, run(3, 40, bad))}, map[models.PartID]time.Time{bad: at(51)}, 0, 0},
		{"a part that was answered between the crashes", []blame.Crash{crash(10, run(1, 0, bad)), crash(30, run(2, 20, bad)), crash(50, run(3, 40, bad))}, map[models.PartID]time.Time{bad: at(11)}, 0, 0},
		{"one process that resets connections again and again", []blame.Crash{crashOf("e", 10, run(1, 0, bad)), crashOf("e", 1030, run(2, 1020, bad)), crashOf("e", 2050, run(3, 2040, bad))}, nil, 0, 0},
		{"crashes half a second apart", []blame.Crash{crash(10, run(1, 0, bad)), crash(600, run(2, 0, bad)), crash(1200, run(3, 0, bad))}, nil, 0, bad},
		{"the same, of a part that was served before", []blame.Crash{crash(10, run(1, 0, -bad)), crash(600, run(2, 0, -bad)), crash(1200, run(3, 0, -bad)), crash(1800, run(4, 0, -bad))}, nil, 0, 0},
		{
			"the rarest of the parts that all crashes share",
			[]blame.Crash{
				crash(10, run(1, 0, shared, bad), run(2, 0, shared)),
				crash(30, run(3, 20, shared, bad), run(4, 20, shared)),
				crash(50, run(5, 40, shared, bad), run(6, 40, shared)),
			}, nil, 0, bad,
		},
		{
			"the part in more crashes rather than one that was along in some",
			[]blame.Crash{
				crash(10, run(1, 0, bad)),
				crash(30, run(2, 20, bad), run(3, 20, other)),
				crash(50, run(4, 40, bad), run(5, 40, other)),
				crash(70, run(6, 60, bad), run(7, 60, other)),
			}, nil, 0, bad,
		},
		{
			"a part that was never served rather than one that was",
			[]blame.Crash{
				crash(10, run(1, 0, -shared, bad)), crash(20, run(2, 15, -shared)),
				crash(30, run(3, 25, -shared, bad)), crash(50, run(5, 40, -shared, bad)),
			}, nil, 0, bad,
		},
		{
			"crashes with a blocked part are explained",
			[]blame.Crash{
				crash(10, run(1, 0, bad), run(2, 0, other)),
				crash(30, run(3, 20, bad), run(4, 20, other)),
				crash(50, run(5, 40, bad), run(6, 40, other)),
			}, nil, bad, 0,
		},
		{"the later of two parts that are always together", []blame.Crash{crash(10, run(1, 0, shared, bad)), crash(30, run(2, 20, shared, bad)), crash(50, run(3, 40, shared, bad))}, nil, 0, bad},
		{"a request as a whole that crashes engines at once", []blame.Crash{crash(10, whole(run(1, 0, bad))), crash(11, whole(run(2, 0, bad))), crash(12, whole(run(3, 1, bad)))}, nil, 0, bad},
		{"the same at different ages", []blame.Crash{crash(100, whole(run(1, 0, bad))), crash(101, whole(run(2, 30, bad))), crash(102, whole(run(3, 60, bad)))}, nil, 0, 0},
		{"the same a little apart", []blame.Crash{crash(100, whole(run(1, 0, bad))), crash(120, whole(run(2, 30, bad))), crash(140, whole(run(3, 60, bad)))}, nil, 0, bad},
		{
			"a part rather than the request that came most often with it",
			[]blame.Crash{
				crash(10, as(other, run(1, 0, bad))), crash(30, as(other, run(2, 20, bad))), crash(50, as(other, run(3, 40, bad))),
				crash(70, as(other+1, run(4, 60, bad))),
			}, nil, other, bad,
		},
		{
			"no part of the only request with it",
			[]blame.Crash{crash(10, as(other, run(1, 0, bad))), crash(30, as(other, run(2, 20, bad))), crash(50, as(other, run(3, 40, bad)))}, nil, 0, other,
		},
		{
			"a part that was served, at the first crash of another request than the blocked one",
			[]blame.Crash{
				crash(10, as(other, run(1, 0, -bad))), crash(11, as(other, run(2, 1, -bad))), crash(12, as(other, run(3, 2, -bad))),
				crash(70, as(other+1, run(4, 60, -bad))),
			}, nil, other, bad,
		},
		{
			"no part of the only request with it once that is blocked",
			[]blame.Crash{crash(10, as(other, run(1, 0, bad))), crash(30, as(other, run(2, 20, bad))), crash(50, as(other, run(3, 40, bad)))}, nil, other, 0,
		},
		{
			"no sound part of a blocked request",
			[]blame.Crash{
				crash(10, as(other, run(1, 0, -bad))), crash(30, as(other, run(2, 20, -bad))), crash(50, as(other, run(3, 40, -bad))),
				crash(70, as(other, run(4, 60, -bad))), crash(90, as(other, run(5, 80, -bad))),
			}, nil, other, 0,
		},
		{"the same, served before", []blame.Crash{crash(100, whole(run(1, 0, -bad))), crash(120, whole(run(2, 30, -bad))), crash(140, whole(run(3, 60, -bad))), crash(160, whole(run(4, 60, -bad)))}, nil, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			finding, ok := blame.Find(test.crashes, test.sound, func(part models.PartID) bool { return part == test.blocked })
			is.Equal(ok, test.want != 0)
			is.Equal(finding.Part, test.want)
			if ok {
				is.Equal(finding.LastCrash, test.crashes[len(test.crashes)-1].At)
			}
		})
	}
}
