package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/system"
	"quincewinch/table"
	"quincewinch/timeline"
)

// ringsByDaemon implements peer.Daemons. Daemons without a ring never answer.
type ringsByDaemon map[string]*timeline.Ring

func (ringsByDaemon) Exchange(context.Context, models.VM, models.Gossip) (models.Gossip, error) {
	return models.Gossip{}, nil
}

func (r ringsByDaemon) Events(ctx context.Context, to models.VM, filter models.EventFilter) ([]models.Event, error) {
	if ring, ok := r[to.Daemon]; ok {
		return ring.Events(filter), nil
	}
	<-ctx.Done()
	return nil, peer.NewFailure(peer.OutcomeUnknown, "no answer", ctx.Err())
}

// TestGatherEventsReportsUnresponsiveDaemons checks that one paused daemon does
// not hide the events of the others, and is reported.
func TestGatherEventsReportsUnresponsiveDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := system.NewClock()
		a := timeline.NewRing(clock, "a", "zone", 8, nil)
		b := timeline.NewRing(clock, "b", "zone", 8, nil)
		a.Record(models.Event{What: "cause"})
		b.Observe(a.Stamp())
		b.Record(models.Event{What: "effect"})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		members := []table.Member{{ID: "b"}, {ID: "paused"}, {ID: "a"}}
		events, unresponsive := gatherEvents(ctx, ringsByDaemon{"a": a, "b": b}, members, models.EventFilter{})
		merged := timeline.Merge(0, events)
		is.Equal(len(merged), 2)
		is.Equal(merged[0].What, "cause") // in causal order
		is.Equal(merged[1].What, "effect")
		is.Equal(unresponsive, []models.DaemonID{"paused"})
	})
}
