package relay_test

import (
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
)

// Another engine may have got the address of one that has crashed.
func TestAnswerOfAnotherEngineIsNoSignOfLife(t *testing.T) {
	is := is.New(t)
	moved := scriptedAnswer{status: 421, moved: true}
	f := newFixture(t, models.PathRoute{Attempts: 1}, moved, moved)
	_ = f.handle(t.Context())
	is.Equal(len(f.guard.responded), 0)
}
