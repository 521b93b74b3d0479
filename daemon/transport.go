package daemon

import (
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"quincewinch/lib/certificates"
	"quincewinch/lib/strict"
)

const (
	// maxIdleConnections bounds the idle connections per host.
	maxIdleConnections    = 256
	idleConnectionTimeout = 90 * time.Second
	// dialTimeout bounds the establishment of a connection.
	dialTimeout = time.Second
	// maxAnswerHeaderBytes bounds the header of an answer.
	maxAnswerHeaderBytes = 64 << 10
)

// platformClient returns the HTTP client for calls to the platform.
func (d *Daemon) platformClient() *http.Client {
	return &http.Client{Transport: d.transport()}
}

// backendClient returns the HTTP client for calls to backend servers. It
// rejects plain HTTP unless the settings allow it.
func (d *Daemon) backendClient() *http.Client {
	if d.settings.Engines.Plain {
		return &http.Client{Transport: d.transport()}
	}
	return &http.Client{Transport: tlsOnly{d.transport()}}
}

func (d *Daemon) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:            strict.Dial(dialer.DialContext),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnections,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		IdleConnTimeout:        idleConnectionTimeout,
		ForceAttemptHTTP2:      true,
	}
	if d.source != nil {
		transport.TLSClientConfig = certificates.Client(d.source)
	}
	d.transports = append(d.transports, transport)
	return transport
}

// closeIdleConnections closes idle outgoing connections, so that peers which
// shut down need not wait for them.
func (d *Daemon) closeIdleConnections() {
	for _, transport := range d.transports {
		transport.CloseIdleConnections()
	}
}

// exchangeCredentials returns the credentials for connections between daemons:
// mutual TLS unless the settings say plain.
func (d *Daemon) exchangeCredentials() credentials.TransportCredentials {
	if d.settings.Daemons.Plain {
		return insecure.NewCredentials()
	}
	return mutualTLS{credentials.NewTLS(certificates.Client(d.source)), credentials.NewTLS(certificates.Server(d.source, true))}
}

// tlsOnly is a transport that rejects requests to URLs without TLS.
type tlsOnly struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (s tlsOnly) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Scheme != "https" {
		return nil, errors.New("calls without TLS are not allowed by the settings: " + r.URL.Host)
	}
	return s.next.RoundTrip(r)
}
