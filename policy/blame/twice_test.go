package blame_test

import (
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/blame"
)

func TestPartThatOccursTwiceInAPromptIsStillBlamed(t *testing.T) {
	const shared, bad = 1, 2
	is := is.New(t)
	finding, ok := blame.Find([]blame.Crash{
		crash(10, run(1, 0, bad, shared, bad), run(2, 0, shared)),
		crash(30, run(3, 20, bad, shared, bad)),
		crash(50, run(4, 40, bad, shared, bad)),
	}, nil, func(models.PartID) bool { return false })
	is.True(ok)
	is.Equal(finding.Part, models.PartID(bad))
}
