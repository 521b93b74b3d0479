package daemon

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

func TestShareRoundTrip(t *testing.T) {
	is := is.New(t)
	share := models.LoadShare{
		From:     "vm-1",
		Zone:     "a",
		Address:  netip.MustParseAddrPort("10.0.0.1:7780"),
		Sequence: 7,
		Leaving:  true,
		Loads:    map[models.EngineID]models.ServerLoad{"e1": {Running: 3, PrefillTokens: 4000, Work: time.Second, HeldTokens: 32}},
		Speeds:   []models.SpeedReport{{Server: "e1", Observations: 2, LogRatios: 0.5, Load: models.UpstreamLoad{Running: 3, Waiting: 1, Slots: 6, Pace: 2.5}, LoadAge: time.Second}},
		Prompts:  []models.CachedPrompt{{Server: "e1", Parts: []models.PromptPart{{ID: "5c", Tokens: 800}, {ID: "91", Tokens: 410}}}},
		Origins: []models.StreamOrigin{
			{Stream: 1, Software: models.Software{Service: "s", Version: "v1"}, Revision: 1, TimeLeft: time.Second},
			{Stream: 2, Software: models.Software{Service: "s", Version: "v2"}, Revision: 3, TimeLeft: 2 * time.Second},
			{Stream: 3, Software: models.Software{Service: "s", Version: "v2"}, Revision: 1, TimeLeft: time.Second},
			{Stream: 4, Revision: 2, TimeLeft: time.Second},
		},
		Evidence: fullEvidence(),
		Uses:     map[models.Workspace]models.LimitUse{"w": {Epoch: 3, Amount: 1e12 + 1, Admitted: 0.5, Offered: 2, Reserved: 0.25}},
		Limits:   []models.LimitReport{{Server: "e1", PerSecond: 1, SentAge: time.Second}},
		Demand: []models.ServiceDemand{{
			Service:    "s",
			Queued:     []int{0, 4000, 0, 20},
			Workspaces: []models.WorkspaceDemand{{Workspace: "w", Route: "r", Offered: 3, Served: 2, Lost: 1, Work: 5000}},
			Errors:     []models.PredictionError{{Route: "r", Wait: models.WaitBehind, Count: 2, Sum: -0.5, Squares: 0.25}},
		}},
		Relayed: []models.LoadShare{{
			From: "zone/b", Zone: "b", Address: netip.MustParseAddrPort("10.0.0.2:7780"), Sequence: 9,
			Loads: map[models.EngineID]models.ServerLoad{"e2": {Running: 1}},
		}},
	}
	decoded, err := decodeShare(encodeShare(share))
	is.NoErr(err)
	is.Equal(decoded, share)
}

func TestDecodeShare(t *testing.T) {
	t.Run("no address", func(t *testing.T) {
		_, err := decodeShare(&proto.LoadShare{From: "vm-1"})
		is.New(t).True(err != nil)
	})
	t.Run("malformed uses are dropped", func(t *testing.T) {
		is := is.New(t)
		forms := []*proto.LimitUse{{Workspace: "a", Amount: math.NaN()}, {Workspace: "b", Offered: -1}, {Workspace: "c", Admitted: float32(math.Inf(1))}, {Workspace: "d", Amount: -1}}
		decoded, err := decodeShare(&proto.LoadShare{From: "vm-1", Address: "10.0.0.1:1", Uses: forms})
		is.NoErr(err)
		is.Equal(decoded.Uses, map[models.Workspace]models.LimitUse{"d": {Amount: -1}})
	})
	t.Run("stated loads that cannot be are dropped", func(t *testing.T) {
		for _, form := range []*proto.SpeedReport{{Running: -1, Pace: 1}, {Pace: -1}, {Pace: math.NaN()}, {Pace: math.Inf(1)}, {Pace: 1, LoadAge: -1}} {
			is.New(t).Equal(decodeSpeeds([]*proto.SpeedReport{form})[0].Load, models.UpstreamLoad{})
		}
	})
	t.Run("nested sums are dropped", func(t *testing.T) {
		is := is.New(t)
		address := "10.0.0.1:1"
		inner := &proto.LoadShare{From: "zone/c", Address: address}
		outer := &proto.LoadShare{From: "vm-1", Address: address, Relayed: []*proto.LoadShare{{From: "zone/b", Address: address, Relayed: []*proto.LoadShare{inner}}}}
		decoded, err := decodeShare(outer)
		is.NoErr(err)
		is.Equal(len(decoded.Relayed), 1)
		is.Equal(len(decoded.Relayed[0].Relayed), 0)
	})
	t.Run("malformed demand is dropped", func(t *testing.T) {
		is := is.New(t)
		demand := &proto.ServiceDemand{
			Queued: append([]int64{-1}, make([]int64, 1000)...),
			Errors: []*proto.PredictionError{
				{Count: 1, Sum: float32(math.NaN())}, {Count: 0, Sum: 1}, {Count: 1, Sum: 1000, Squares: 1}, {Count: 1, Wait: 7},
			},
			Workspaces: make([]*proto.WorkspaceDemand, 10*maxSharedWorkspaces),
		}
		decoded, err := decodeShare(&proto.LoadShare{From: "vm-1", Address: "10.0.0.1:1", Demand: []*proto.ServiceDemand{demand}})
		is.NoErr(err)
		is.Equal(decoded.Demand[0].Queued[0], 0)
		is.Equal(len(decoded.Demand[0].Queued), maxSharedUrgencies)
		is.Equal(len(decoded.Demand[0].Errors), 0)
		is.Equal(len(decoded.Demand[0].Workspaces), maxSharedWorkspaces)
	})
	t.Run("evidence of relayed sums is dropped", func(t *testing.T) {
		is := is.New(t)
		address := "10.0.0.1:1"
		sum := &proto.LoadShare{From: "zone/b", Address: address, Evidence: encodeEvidence(fullEvidence())}
		decoded, err := decodeShare(&proto.LoadShare{From: "vm-1", Address: address, Relayed: []*proto.LoadShare{sum}})
		is.NoErr(err)
		is.True(decoded.Relayed[0].Evidence == nil)
	})
}
