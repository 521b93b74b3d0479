// Package certificates gives the TLS configurations of a process: from PEM
// files that are read again when they change, or made in memory.
package certificates

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"quincewinch/peer"
)

// Source gives the certificate of this process and the authority that it
// trusts, as they stand now.
type Source interface {
	Certificate() (*tls.Certificate, error)
	Authority() (*x509.CertPool, error)
}

// Server returns the configuration of a listener. With mutual, a client must
// show a certificate of the authority.
func Server(source Source, mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return currentServerConfig(source, mutual)
		},
	}
}

// currentServerConfig returns the configuration for one connection.
func currentServerConfig(source Source, mutual bool) (*tls.Config, error) {
	certificate, err := source.Certificate()
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{*certificate},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if !mutual {
		return config, nil
	}
	authority, err := source.Authority()
	if err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = authority
	return config, nil
}

// Client returns the configuration of calls to peers whose certificates come
// from the authority. It shows this process's own certificate when asked.
func Client(source Source) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return source.Certificate()
		},
		// The authority may change while the process runs, so the chain is
		// checked below against the one in force, names included.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(source, state)
		},
	}
}

func verify(source Source, state tls.ConnectionState) error {
	authority, err := source.Authority()
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer shows no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         authority,
		DNSName:       state.ServerName,
		Intermediates: x509.NewCertPool(),
	}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err = state.PeerCertificates[0].Verify(options)
	return errors.Trace(err)
}

// Files is a source that reads PEM files again when they change.
type Files struct {
	certificatePath string
	keyPath         string
	authorityPath   string
	interval        time.Duration
	clock           peer.Clock

	mu          sync.Mutex
	lastChecked time.Time
	modified    time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// NewFiles returns a source of PEM files, which must be readable now. A change
// is taken up within the interval; files that are bad then leave the old ones
// in force.
func NewFiles(certificatePath, keyPath, authorityPath string, interval time.Duration, clock peer.Clock) (*Files, error) {
	f := &Files{
		certificatePath: certificatePath,
		keyPath:         keyPath,
		authorityPath:   authorityPath,
		interval:        interval,
		clock:           clock,
		lastChecked:     clock.Now(),
	}
	if err := f.load(); err != nil {
		return nil, err
	}
	return f, nil
}

// Certificate implements Source.
func (f *Files) Certificate() (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.certificate, nil
}

// Authority implements Source.
func (f *Files) Authority() (*x509.CertPool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.authority, nil
}

// refresh loads the files where they have changed. The lock is held.
func (f *Files) refresh() {
	now := f.clock.Now()
	if now.Sub(f.lastChecked) < f.interval {
		return
	}
	f.lastChecked = now
	if f.lastModified().After(f.modified) {
		// Bad files leave the old ones in force.
		_ = f.load()
	}
}

// lastModified returns when one of the files last changed.
func (f *Files) lastModified() time.Time {
	var newest time.Time
	for _, path := range []string{f.certificatePath, f.keyPath, f.authorityPath} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func (f *Files) load() error {
	modified := f.lastModified()
	certificate, err := tls.LoadX509KeyPair(f.certificatePath, f.keyPath)
	if err != nil {
		return errors.Annotate(err, "cannot load the certificate")
	}
	pem, err := os.ReadFile(f.authorityPath)
	if err != nil {
		return errors.Annotate(err, "cannot read the authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return errors.NotValidf("authority %s: no certificate in PEM,", f.authorityPath)
	}
	f.modified = modified
	f.certificate = &certificate
	f.authority = authority
	return nil
}
