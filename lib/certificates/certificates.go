// Package certificates provides the TLS configurations of a process, with
// certificates from PEM files, which are reloaded when they change, or
// generated in memory.
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

// Source provides the current certificate of this process and the current
// certificate authority that it trusts.
type Source interface {
	Certificate() (*tls.Certificate, error)
	Authority() (*x509.CertPool, error)
}

// Server returns the TLS configuration of a listener. If mutual is set, clients
// must present a certificate issued by the authority.
func Server(source Source, mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return currentServerConfig(source, mutual)
		},
	}
}

// currentServerConfig returns the configuration for one connection, with the
// current certificates.
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

// Client returns the TLS configuration for calls to peers whose certificates
// are issued by the authority. It presents the certificate of this process when
// asked for one.
func Client(source Source) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return source.Certificate()
		},
		// The authority may change while the process runs, so VerifyConnection
		// verifies the chain and the server name against the current one.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies the chain
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

// Files is a Source that reloads PEM files when they change.
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

// NewFiles returns a source of PEM files, which must be valid now. The files
// are checked for changes at most once per interval; if a reload fails, the
// previous certificates stay in use.
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

// refresh reloads the files if they have changed since they were loaded. The
// lock must be held.
func (f *Files) refresh() {
	now := f.clock.Now()
	if now.Sub(f.lastChecked) < f.interval {
		return
	}
	f.lastChecked = now
	if f.lastModified().After(f.modified) {
		// If the reload fails, the previous certificates stay in use.
		_ = f.load()
	}
}

// lastModified returns the latest modification time of the files.
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
