package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"quincewinch/lib/certificates"
	"quincewinch/lib/drain"
	"quincewinch/peer"
	"quincewinch/peer/caller"
	"quincewinch/peer/operator"
	"quincewinch/request"
)

// Addresses are the addresses that a started daemon listens on.
type Addresses struct {
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Metrics   netip.AddrPort
	Daemons   netip.AddrPort
}

// binding is an address to listen on, with its handler.
type binding struct {
	address netip.AddrPort
	plain   bool
	handler http.Handler
	bound   *netip.AddrPort // set to the address that was bound
}

func (d *Daemon) listen(handler request.Handler, editor peer.Editor) error {
	settings := d.settings
	callers := caller.NewHandler(handler, d.configuration, d.clock, newRequestID, caller.Settings{
		MaxBodyBytes: settings.Callers.MaxBodyBytes,
		Timeout:      settings.Callers.Timeout,
	})
	operators := operator.NewHandler(editor, overview{d}, settings.Operators.Key)
	bindings := []binding{
		{settings.Callers.Address, settings.Callers.Plain, callers, &d.addresses.Callers},
		{settings.Operators.Address, settings.Operators.Plain, operators, &d.addresses.Operators},
		{settings.Metrics.Address, settings.Metrics.Plain, d.metricsHandler(), &d.addresses.Metrics},
	}
	for _, b := range bindings {
		if err := d.serve(b); err != nil {
			return err
		}
	}
	return nil
}

// serve binds an address and starts serving. It stores the bound address, which
// differs from the configured one for port 0.
func (d *Daemon) serve(b binding) error {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(b.address))
	if err != nil {
		return errors.Annotate(err, "cannot listen")
	}
	if *b.bound, err = netip.ParseAddrPort(tcp.Addr().String()); err != nil {
		return errors.Trace(err)
	}
	var listener net.Listener = tcp
	if !b.plain {
		listener = tls.NewListener(tcp, certificates.Server(d.source, false))
	}
	d.serveListener(listener, b.plain, b.handler)
	return nil
}

// serveListener serves a listener in the background until the servers are shut
// down.
func (d *Daemon) serveListener(listener net.Listener, plain bool, handler http.Handler) {
	newServer := func() *http.Server {
		return &http.Server{Handler: handler, ReadHeaderTimeout: d.settings.Callers.HeaderTimeout}
	}
	var server interface {
		Serve() error
		Drain(ctx context.Context) error
	}
	if plain {
		server = drain.NewServer(newServer(), listener, d.clock)
	} else {
		server = drain.NewTLSServer(newServer, listener, d.clock)
	}
	d.stopServers = append(d.stopServers, server.Drain)
	go func() {
		if err := server.Serve(); !errors.Is(err, http.ErrServerClosed) {
			d.logger.Error("HTTP server failed", zap.Error(err))
		}
	}()
}

// shutDownServers stops listening and waits until requests are answered.
func (d *Daemon) shutDownServers(ctx context.Context) error {
	var failed error
	for _, stop := range d.stopServers {
		if err := stop(ctx); err != nil {
			failed = errors.Annotate(err, "connections were still open at the end of the drain")
		}
	}
	return failed
}
