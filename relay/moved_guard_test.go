package relay_test

import (
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
)

// Another engine may have got the address of one that has crashed.
func TestAnswerOfAnotherEngineIsNoSignOfLife(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, models.PathRoute{Attempts: 1}, scriptedAnswer{status: 421, moved: true})
	_ = f.handle(t.Context())
	is.Equal(len(f.guard.responded), 0)
}
