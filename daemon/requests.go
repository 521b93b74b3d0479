package daemon

import (
	"net"
	"net/http"
	"time"

	"quincewinch/control"
	"quincewinch/peer"
	"quincewinch/request"
)

// line returns the filters in the order a request meets them.
func (d *Daemon) line(engines peer.Engines, services peer.Services) request.Handler {
	d.claims = request.NewClaims(d.platform.table, d.platform.objects, d.clock, d.ring, d.id, d.settings.Platform.Timeout, d.exchange.gossip)
	placer := d.newPlacer(engines)
	sender := request.NewSender(engines, services, d.configuration, placer, d.engines, d.ring, d.clock, request.SenderSettings{
		Zone:  d.settings.Zone,
		Stall: d.settings.Engines.Timeout,
	})
	return request.Chain(
		sender,
		d.gate.Filter(),
		request.Authenticate(d.configuration, d.clock),
		request.Metered(control.NewMeter(), d.clock),
		d.newQueue(placer).Filter(),
		d.claims.Filter(),
	)
}

const (
	// dialTimeout bounds the making of a connection to a backend server.
	dialTimeout = time.Second
	// idleConnections is how many unused connections are kept to each.
	idleConnections = 64
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = time.Minute
)

// backendClient returns the HTTP client towards backend servers. It uses no
// proxy from the environment and leaves answers as they come.
func backendClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}
