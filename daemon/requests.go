package daemon

import (
	"quincewinch/metrics"
	"quincewinch/peer"
	"quincewinch/request"
)

// requestHandler returns the sender behind the chain of filters. Filters are
// listed in the order in which a request passes them.
func (d *Daemon) requestHandler(engines peer.Engines, services peer.Services) request.Handler {
	d.claims = request.NewClaims(d.platform.table, d.platform.objects, d.clock, d.ring, d.id, d.settings.Platform.Timeout, d.exchange.gossip)
	placer := d.newPlacer(engines)
	limits, queue := d.newAdmission(placer)
	sender := request.NewSender(engines, services, d.configuration, placer, d.engines, d.ring, d.clock, request.SenderSettings{
		Zone:         d.settings.Zone,
		StallTimeout: d.settings.Engines.Timeout,
	})
	return request.Chain(
		sender,
		metrics.NewRequests(d.registry, d.clock).Filter(),
		d.gate.Filter(),
		request.Authenticate(d.configuration, d.clock),
		request.Metered(d.usage.meter, d.clock),
		limits.Filter(),
		queue.Filter(),
		d.claims.Filter(),
	)
}
