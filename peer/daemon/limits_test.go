package daemon

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

func TestLimitsRoundTrip(t *testing.T) {
	is := is.New(t)
	reports := []models.LimitReport{
		{Server: "e1", Started: time.Unix(1, 0).UTC(), PerSecond: 0.5, SentAge: 2 * time.Second, Age: time.Second},
		{Server: "e2", Lifted: true, SentAge: time.Second},
	}
	is.Equal(decodeLimits(encodeLimits(reports)), reports)
}

func TestMalformedLimitsAreDropped(t *testing.T) {
	forms := map[string]*proto.LimitReport{
		"negative":                 {PerSecond: -1},
		"not a number":             {PerSecond: math.NaN()},
		"without bound":            {PerSecond: math.Inf(1)},
		"in the future":            {Age: -1},
		"answered before the send": {Age: 2, SentAge: 1},
	}
	for name, form := range forms {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(len(decodeLimits([]*proto.LimitReport{form})), 0)
		})
	}
	t.Run("too many", func(t *testing.T) {
		is.New(t).Equal(len(decodeLimits(make([]*proto.LimitReport, maxSharedLimits+1))), maxSharedLimits)
	})
}
