package entry

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// WrapUpstreamDial changes how a daemon that has not been started opens connections to
// backend servers.
func (d *Daemon) WrapUpstreamDial(wrap func(Dial) Dial) {
	d.transport = func(idle time.Duration) *http.Transport {
		transport := upstreamTransport(idle)
		transport.DialContext = wrap(transport.DialContext)
		return transport
	}
}
