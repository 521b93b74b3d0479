package daemon

import (
	"context"
	"net/netip"

	"github.com/juju/errors"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

// ShareReceiver processes the load shares of other daemons.
type ShareReceiver interface {
	ReceiveShare(share models.LoadShare)
}

// Share sends a load share to another daemon.
func (c *Client) Share(ctx context.Context, to netip.AddrPort, share models.LoadShare) error {
	connection, err := c.connection(to)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if _, err := proto.NewDaemonsClient(connection).Share(ctx, encodeShare(share)); err != nil {
		return newUnknownFailure(err)
	}
	return nil
}

// Share implements proto.DaemonsServer.
func (s *Server) Share(_ context.Context, form *proto.LoadShare) (*proto.ShareReceived, error) {
	share, err := decodeShare(form)
	if err != nil {
		return nil, err
	}
	if s.shares != nil {
		s.shares.ReceiveShare(share)
	}
	return &proto.ShareReceived{}, nil
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
		})
	}
	for _, sent := range share.Prompts {
		prompt := &proto.SentPrompt{Server: string(sent.Server)}
		for _, part := range sent.Parts {
			prompt.Parts = append(prompt.Parts, &proto.PromptPart{Id: part.ID, Tokens: int64(part.Tokens)})
		}
		form.Prompts = append(form.Prompts, prompt)
	}
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
		}
	}
	for _, sent := range form.GetPrompts() {
		prompt := models.CachedPrompt{Server: models.EngineID(sent.GetServer())}
		for _, part := range sent.GetParts() {
			prompt.Parts = append(prompt.Parts, models.PromptPart{ID: part.GetId(), Tokens: int(part.GetTokens())})
		}
		share.Prompts = append(share.Prompts, prompt)
	}
	for _, relayed := range form.GetRelayed() {
		// Relayed sums are forwarded over one hop only.
		relayed.Relayed = nil
		sum, err := decodeShare(relayed)
		if err != nil {
			return models.LoadShare{}, err
		}
		share.Relayed = append(share.Relayed, sum)
	}
	return share, nil
}
