package relay_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/quarantine"
	"quincewinch/relay"
)

// noPeers implements quarantine.Peers.
type noPeers struct{}

func (noPeers) Others() map[models.DaemonID]models.Peer { return nil }

// Where all answers of a service end with their connection, answers must clear the
// parts that its requests share, or crashes far apart block them.
func TestPartIsSoundAlthoughAllAnswersEndWithTheirConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := system.NewClock()
		guard := quarantine.New("d", noPeers{}, clock, zap.NewNop())
		sent := 0
		send := func(answer scriptedAnswer) error {
			sent++
			f := newFixture(t, models.PathRoute{Stream: true, Attempts: 1}, answer)
			f.exchange.ID = models.RequestID(fmt.Sprintf("r%d", sent))
			f.exchange.Deadline = clock.Now().Add(time.Minute)
			f.exchange.Prompt = models.Prompt{Parts: []models.PromptPart{{ID: "first"}, {ID: fmt.Sprintf("own-%d", sent)}}}
			return relay.NewSender(&f.upstreams, &f.placer, &f.meter, f.origins, guard, clock, zap.NewNop()).Handle(t.Context(), &f.exchange)
		}
		whole := scriptedAnswer{status: 200, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", unframed: true}
		broken := whole
		broken.breaksAfter = 20
		for range 5 {
			is.True(send(broken) != nil)
			is.NoErr(clock.Sleep(t.Context(), time.Minute))
			for range 10 {
				is.NoErr(send(whole))
				is.NoErr(clock.Sleep(t.Context(), 3*time.Second))
			}
		}
	})
}
