package serving

import "time"

const (
	// HoldStep is the time after which a held request is looked at again: a
	// fraction of the shortest objectives, and few looks for each request.
	HoldStep = 50 * time.Millisecond
	// caughtUp is the backlog at which an engine counts as no longer behind:
	// a short prompt's reading time.
	caughtUp = 50 * time.Millisecond
	// lastChance is how much longer than predicted a request is given to end
	// before its caller stops waiting: predictions are off by more for one
	// request in a hundred.
	lastChance = 1200 * time.Millisecond
)

// Urge is how soon a request has to be answered, from now on.
type Urge struct {
	Objective time.Duration // to the first token; below zero: it is late already
	Patience  time.Duration // until its caller stops waiting
}

// Hold reports whether a request is better not sent yet. It answers bursts, and
// losses of engines, after which prompts arrive faster than they can be read:
// where each is sent at once, all are late until the engines have caught up.
// One that would be late at its best place waits until that place has caught
// up, so that those that can still be in time are not behind it, or until it is
// its last chance.
func Hold(urge Urge, choice Choice) bool {
	if choice.Predicted <= urge.Objective || choice.Behind <= caughtUp {
		return false
	}
	return urge.Patience > choice.Predicted+lastChance
}
