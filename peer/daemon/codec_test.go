package daemon

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/credentials/insecure"

	"quincewinch/models"
)

// fullGossip returns a message in which every field is set.
func fullGossip() models.Gossip {
	at := time.Date(2026, 1, 1, 0, 0, 0, 7, time.UTC)
	state := models.EngineState{
		Engine: "e", MeasuredAt: at, Role: models.RoleDecode, Models: []models.Model{"m"}, Draining: true, Changing: true,
		EvictionAt: at, Fence: 1, LastOrder: "o", Running: 2, Queued: 3, QueuedTokens: 4, FreePieces: 5, TotalPieces: 6,
		PieceTokens: 7, PrefillRate: 8, DecodeRate: 9, CacheSequence: 10,
	}
	return models.Gossip{
		From:  "a",
		To:    "b",
		Stamp: models.Stamp{Wall: 1, Logical: 2},
		Reports: []models.DaemonReport{{
			Daemon: "a", Zone: "z", Sequence: 3, Config: 4, StoreOutage: 5, Draining: true,
			Inflight: map[models.EngineID]models.InflightWork{"e": {Requests: 1, PromptTokens: 2, OutputTokens: 3}},
			Work:     map[models.Workspace]models.WorkDone{"w": {Requests: 1, PromptTokens: 2, OutputTokens: 3, Running: 4, Waiting: 5, Refused: 6}},
			Offered:  map[models.Model]models.OfferedWork{"m": {Requests: 1, PromptTokens: 2, OutputTokens: 3}},
			States:   map[models.EngineID]models.EngineState{"e": state},
			Ejected:  map[models.EngineID]time.Duration{"e": time.Second},
		}},
		Rows: []models.Row{{
			Key: models.RowKey{Partition: models.PartitionConfig, Name: "key/k"}, Revision: 6, Value: []byte("v"), Deleted: true,
		}},
		Through:        7,
		Known:          8,
		EvidenceAge:    9,
		EvidenceSource: models.EvidenceOwnRead,
		Editing:        models.Editing{Epoch: 1, Open: true, Settled: true, Member: 3, Confirmed: 2},
	}
}

func TestGossipRoundTrip(t *testing.T) {
	is := is.New(t)
	is.Equal(DecodeGossip(EncodeGossip(fullGossip())), fullGossip())
	is.Equal(DecodeGossip(EncodeGossip(models.Gossip{})), models.Gossip{})
}

// TestGossipRevisions checks that revisions of late eras are not truncated.
func TestGossipRevisions(t *testing.T) {
	is := is.New(t)
	last := models.NewRevision(1<<models.EraBits-1, 7)
	message := models.Gossip{
		Reports: []models.DaemonReport{{Config: last}},
		Rows:    []models.Row{{Revision: last}},
		Through: last,
		Known:   last,
		Editing: models.Editing{Member: last},
	}
	decoded := DecodeGossip(EncodeGossip(message))
	is.Equal(decoded.Rows[0].Revision, last)
	is.Equal(decoded.Reports[0].Config, last)
	is.Equal(decoded.Editing.Member, last)
	is.Equal([]models.Revision{decoded.Through, decoded.Known}, []models.Revision{last, last})
}

// echoReceiver returns gossip unchanged, and one event that matches the filter.
type echoReceiver struct{}

func (echoReceiver) Receive(message models.Gossip) models.Gossip { return message }

func (echoReceiver) Events(filter models.EventFilter) []models.Event {
	return []models.Event{{
		Stamp: models.Stamp{Wall: 1, Logical: 2}, At: time.Unix(1, 0).UTC(), Daemon: "d", Zone: "z", Kind: filter.Kind,
		Request: filter.Request, Engine: filter.Engine, Workspace: filter.Workspace, Lease: filter.Lease,
		What: "what", Why: "why", Cause: "cause",
	}}
}

func TestClientAndServer(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer(echoReceiver{}, insecure.NewCredentials(), &Traffic{})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	client := NewClient(insecure.NewCredentials(), time.Minute, &Traffic{})
	to := models.VM{Address: listener.Addr().(*net.TCPAddr).AddrPort()}

	answer, err := client.Exchange(context.Background(), to, fullGossip())
	is.NoErr(err)
	is.Equal(answer, fullGossip())

	filter := models.EventFilter{Request: "r", Engine: "e", Workspace: "w", Lease: "l", Kind: models.EventKey, Limit: 1}
	events, err := client.Events(context.Background(), to, filter)
	is.NoErr(err)
	is.Equal(events, echoReceiver{}.Events(filter))

	server.Stop()
	is.NoErr(<-ended)
	_, err = client.Exchange(context.Background(), to, fullGossip())
	is.True(err != nil) // the server has stopped
	client.Close()
}
