package intake

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// Kind is what an amount of an account is held for.
type Kind string

// Kinds of amounts.
const (
	KindHead    Kind = "head"    // of a request, as it is read and parsed
	KindBody    Kind = "body"    // of a request
	KindAnswer  Kind = "answer"  // that is buffered for a caller
	KindRequest Kind = "request" // between its head and its answer
)

// shareOfRoom is how many times the room left a holder may have.
const shareOfRoom = 2

// Account divides an amount, of bytes or of requests, between holders. It is safe for
// concurrent use.
//
// A holder may take as long as it then has no more than shareOfRoom times what is left
// for others (dynamic thresholds, as switches divide their buffers): one that is alone
// may have two thirds of all, and however many take what they can, there is room for the
// next. What has been taken is never taken back.
type Account struct {
	limit int

	mu       sync.Mutex
	held     int
	byHolder map[string]int
	byKind   map[Kind]int
	peak     int
	returned chan struct{} // closed when something is returned; nil if nobody waits
}

// NewAccount returns an account of an amount.
func NewAccount(limit int) *Account {
	return &Account{limit: limit, byHolder: map[string]int{}, byKind: map[Kind]int{}}
}

// Fits reports whether a holder could take an amount now.
func (a *Account) Fits(holder string, amount int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fits(holder, amount)
}

// fits implements Fits. The caller holds mu.
func (a *Account) fits(holder string, amount int) bool {
	left := a.limit - a.held - amount
	return left >= 0 && a.byHolder[holder]+amount <= shareOfRoom*left
}

// Take takes an amount for a holder, and reports whether there was room for it.
func (a *Account) Take(holder string, kind Kind, amount int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fits(holder, amount) {
		return false
	}
	a.add(holder, kind, amount)
	return true
}

// TakeAnswer takes bytes for an answer. What has run is not refused: it waits until there
// is room in the whole account, or returns the error of ctx.
func (a *Account) TakeAnswer(ctx context.Context, amount int) error {
	for {
		returned, ok := a.takeOrWait(min(amount, a.limit))
		if ok {
			return nil
		}
		select {
		case <-returned:
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "no memory for the answer")
		}
	}
}

// ReturnAnswer returns what TakeAnswer took.
func (a *Account) ReturnAnswer(amount int) {
	a.Return("", KindAnswer, min(amount, a.limit))
}

// takeOrWait takes bytes for an answer, or returns a channel that is closed once
// something is returned.
func (a *Account) takeOrWait(amount int) (returned <-chan struct{}, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held+amount <= a.limit {
		a.add("", KindAnswer, amount)
		return nil, true
	}
	if a.returned == nil {
		a.returned = make(chan struct{})
	}
	return a.returned, false
}

// add changes what a holder has. The caller holds mu.
func (a *Account) add(holder string, kind Kind, amount int) {
	a.held += amount
	a.peak = max(a.peak, a.held)
	a.byKind[kind] += amount
	if kind == KindAnswer {
		return // no holder's: callers do not choose how large answers are
	}
	a.byHolder[holder] += amount
	if a.byHolder[holder] == 0 {
		delete(a.byHolder, holder)
	}
}

// Return returns an amount that a holder has taken.
func (a *Account) Return(holder string, kind Kind, amount int) {
	if amount == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.add(holder, kind, -amount)
	if a.returned != nil {
		close(a.returned)
		a.returned = nil
	}
}

// Held returns what is held for a kind.
func (a *Account) Held(kind Kind) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byKind[kind]
}

// Peak returns the most that was held at one time.
func (a *Account) Peak() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.peak
}
