package intake

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fill takes amounts for a holder until there is no room, and returns what it has.
func fill(a *Account, holder string, amount int) int {
	held := 0
	for a.Take(holder, KindBody, amount) {
		held += amount
	}
	return held
}

func TestAccountLeavesRoomForTheNext(t *testing.T) {
	is := is.New(t)
	const limit = 3000
	a := NewAccount(limit)
	is.Equal(fill(a, "first", 1), limit*2/3)
	is.True(!a.Fits("first", 1))
	for i := range 4 {
		is.True(fill(a, strconv.Itoa(i), 1) > 0) // each newcomer gets some
	}
	is.True(a.Held(KindBody) < limit)
	a.Return("first", KindBody, limit*2/3)
	is.True(a.Fits("ordinary", limit/3)) // what is returned is others' too
	is.Equal(a.Peak(), a.Held(KindBody)+limit*2/3)
}

func TestAccountRefusesTheLarger(t *testing.T) {
	is := is.New(t)
	a := NewAccount(300)
	fill(a, "crowd", 10)
	is.True(!a.Take("ordinary", KindBody, 80))
	is.True(a.Take("ordinary", KindBody, 20))
}

func TestAnswersWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := NewAccount(300)
		is.NoErr(a.TakeAnswer(t.Context(), 100)) // beyond a holder's threshold too
		is.NoErr(a.TakeAnswer(t.Context(), 200))
		taken := make(chan error, 1)
		go func() { taken <- a.TakeAnswer(t.Context(), 1000) }() // no more than the limit
		synctest.Wait()
		is.Equal(len(taken), 0)
		a.ReturnAnswer(100)
		a.ReturnAnswer(200)
		is.NoErr(<-taken)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(a.TakeAnswer(ctx, 1) != nil) // its time is over
		a.ReturnAnswer(1000)
		is.Equal(a.Held(KindAnswer), 0)
	})
}

func TestLimitsServeOneLegalRequest(t *testing.T) {
	const largest = 4 << 20 // body, as the deployments limit it
	for _, vm := range []struct{ megabytes, descriptors int }{{144, 3075}, {184, 4100}, {536, 10250}} {
		t.Run(strconv.Itoa(vm.megabytes), func(t *testing.T) {
			is := is.New(t)
			limits := Derive(vm.megabytes*1_000_000, vm.descriptors, time.Second)
			t.Logf("%+v", limits)
			account := NewAccount(limits.Bytes)
			is.True(account.Take("", KindBody, largest/2)) // while the buffer is copied
			is.True(account.Take("", KindBody, largest))
			is.True(limits.RuntimeBytes+minOtherBytes <= vm.megabytes*1_000_000)
			is.True(limits.Connections+limits.Requests < vm.descriptors)
		})
	}
	t.Run("nothing is known", func(t *testing.T) {
		is.New(t).Equal(Derive(0, 0, time.Second), Limits{Stall: time.Second})
	})
}

func TestStalled(t *testing.T) {
	start := time.Unix(100, 0)
	const limit = 20 * time.Second
	body := progress{phase: phaseBody, read: 1000, since: start}
	answer := progress{phase: phaseRunning, writing: true, written: 1000, since: start}
	for name, test := range map[string]struct {
		before, now progress
		after       time.Duration
		want        bool
	}{
		"a body that stands still":            {body, progress{phase: phaseBody, read: 1000}, limit, true},
		"not for long":                        {body, progress{phase: phaseBody, read: 1000}, limit - 1, false},
		"a body byte by byte":                 {body, progress{phase: phaseBody, read: 1020}, limit, true},
		"a body that goes on":                 {body, progress{phase: phaseBody, read: 1000 + minProgressBytes}, limit, false},
		"a request that waits for its answer": {body, progress{phase: phaseRunning, read: 1000}, limit, false},
		"an idle connection":                  {progress{since: start}, progress{}, limit, false},
		"a reader that does not read":         {answer, progress{phase: phaseRunning, writing: true, written: 1000}, limit, true},
		"a reader that reads":                 {answer, progress{phase: phaseRunning, writing: true, written: 1000 + minProgressBytes}, limit, false},
		"a stream with nothing to be written": {answer, progress{phase: phaseRunning, written: 1000}, limit, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, got := stalled(test.before, test.now, start.Add(test.after), limit)
			is.New(t).Equal(got, test.want)
		})
	}
}
