package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

// ShareReceiver processes the load shares of other daemons.
type ShareReceiver interface {
	ReceiveShare(share models.LoadShare) models.ShareReceipt
}

// Share sends a load share to another daemon.
func (c *Client) Share(ctx context.Context, to netip.AddrPort, share models.LoadShare) (models.ShareReceipt, error) {
	connection, err := c.connection(to)
	if err != nil {
		return models.ShareReceipt{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	received, err := proto.NewDaemonsClient(connection).Share(ctx, encodeShare(share))
	if err != nil {
		return models.ShareReceipt{}, newUnknownFailure(err)
	}
	return models.ShareReceipt{Instance: received.GetInstance()}, nil
}

// Share implements proto.DaemonsServer.
func (s *Server) Share(_ context.Context, form *proto.LoadShare) (*proto.ShareReceived, error) {
	share, err := decodeShare(form)
	if err != nil {
		return nil, err
	}
	if s.shares == nil {
		return &proto.ShareReceived{}, nil
	}
	return &proto.ShareReceived{Instance: s.shares.ReceiveShare(share).Instance}, nil
}

func encodeShare(share models.LoadShare) *proto.LoadShare {
	form := &proto.LoadShare{
		From:     string(share.From),
		Zone:     string(share.Zone),
		Address:  share.Address.String(),
		Sequence: share.Sequence,
		Leaving:  share.Leaving,
	}
	for server, load := range share.Loads {
		form.Loads = append(form.Loads, &proto.ServerLoad{
			Server:  string(server),
			Running: int64(load.Running),
			Reading: int64(load.PrefillTokens),
			Work:    int64(load.Work),
			Held:    int64(load.HeldTokens),
		})
	}
	for _, sent := range share.Prompts {
		prompt := &proto.SentPrompt{Server: string(sent.Server)}
		for _, part := range sent.Parts {
			prompt.Parts = append(prompt.Parts, &proto.PromptPart{Id: part.ID, Tokens: int64(part.Tokens)})
		}
		form.Prompts = append(form.Prompts, prompt)
	}
	form.Origins = encodeOrigins(share.Origins)
	form.Evidence = encodeEvidence(share.Evidence)
	form.Limits = encodeLimits(share.Limits)
	form.Speeds = encodeSpeeds(share.Speeds)
	form.Uses = encodeUses(share.Uses)
	form.Demand = encodeDemand(share.Demand)
	for _, relayed := range share.Relayed {
		form.Relayed = append(form.Relayed, encodeShare(relayed))
	}
	return form
}

func decodeShare(form *proto.LoadShare) (models.LoadShare, error) {
	address, err := netip.ParseAddrPort(form.GetAddress())
	if err != nil {
		return models.LoadShare{}, errors.Annotate(err, "a share without its sender's address")
	}
	share := models.LoadShare{
		From:     models.DaemonID(form.GetFrom()),
		Zone:     models.Zone(form.GetZone()),
		Address:  address,
		Sequence: form.GetSequence(),
		Leaving:  form.GetLeaving(),
		Loads:    map[models.EngineID]models.ServerLoad{},
	}
	for _, load := range form.GetLoads() {
		share.Loads[models.EngineID(load.GetServer())] = models.ServerLoad{
			Running:       int(load.GetRunning()),
			PrefillTokens: int(load.GetReading()),
			Work:          time.Duration(max(load.GetWork(), 0)),
			HeldTokens:    int(max(load.GetHeld(), 0)),
		}
	}
	for _, sent := range form.GetPrompts() {
		prompt := models.CachedPrompt{Server: models.EngineID(sent.GetServer())}
		for _, part := range sent.GetParts() {
			prompt.Parts = append(prompt.Parts, models.PromptPart{ID: part.GetId(), Tokens: int(part.GetTokens())})
		}
		share.Prompts = append(share.Prompts, prompt)
	}
	share.Origins = decodeOrigins(form.GetOrigins())
	share.Evidence = decodeEvidence(form.GetEvidence())
	share.Limits = decodeLimits(form.GetLimits())
	share.Speeds = decodeSpeeds(form.GetSpeeds())
	share.Uses = decodeUses(form.GetUses())
	share.Demand = decodeDemand(form.GetDemand())
	for _, relayed := range form.GetRelayed() {
		// Relayed sums are forwarded over one hop only, and evidence comes with the
		// share itself.
		relayed.Relayed = nil
		relayed.Evidence = nil
		sum, err := decodeShare(relayed)
		if err != nil {
			return models.LoadShare{}, err
		}
		share.Relayed = append(share.Relayed, sum)
	}
	return share, nil
}

// encodeOrigins groups consecutive origins of the same software.
func encodeOrigins(origins []models.StreamOrigin) []*proto.StreamOrigins {
	var groups []*proto.StreamOrigins
	for i, origin := range origins {
		if i == 0 || origin.Software != origins[i-1].Software {
			groups = append(groups, &proto.StreamOrigins{Service: string(origin.Software.Service), Version: origin.Software.Version})
		}
		group := groups[len(groups)-1]
		group.Streams = append(group.Streams, &proto.BegunStream{
			Id:       uint64(origin.Stream),
			Revision: uint32(origin.Revision),
			TimeLeft: int64(origin.TimeLeft),
		})
	}
	return groups
}

func decodeOrigins(groups []*proto.StreamOrigins) []models.StreamOrigin {
	var origins []models.StreamOrigin
	for _, group := range groups {
		software := models.Software{Service: models.ServiceName(group.GetService()), Version: group.GetVersion()}
		for _, stream := range group.GetStreams() {
			origins = append(origins, models.StreamOrigin{
				Stream:   models.StreamID(stream.GetId()),
				Software: software,
				Revision: int(stream.GetRevision()),
				TimeLeft: time.Duration(stream.GetTimeLeft()),
			})
		}
	}
	return origins
}
