package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/juju/errors"

	"quincewinch/peer"
)

const (
	validity     = 24 * time.Hour
	clockSkew    = time.Hour // tolerated for peers whose clocks are behind
	serialBits   = 120
	organisation = "quincewinch"
)

// Memory is a Source generated in memory: an authority of its own and a
// certificate for loopback addresses.
type Memory struct {
	certificate tls.Certificate
	pool        *x509.CertPool
	authority   []byte
}

// NewMemory generates an authority and a certificate, both valid for 24 hours.
func NewMemory(clock peer.Clock) (*Memory, error) {
	now := clock.Now()
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Annotate(err, "cannot make a key")
	}
	parent, err := template(now, "authority")
	if err != nil {
		return nil, err
	}
	parent.IsCA = true
	parent.BasicConstraintsValid = true
	parent.KeyUsage = x509.KeyUsageCertSign
	authority, err := x509.CreateCertificate(rand.Reader, parent, parent, authorityKey.Public(), authorityKey)
	if err != nil {
		return nil, errors.Annotate(err, "cannot make an authority")
	}
	m := &Memory{authority: authority, pool: x509.NewCertPool()}
	m.pool.AppendCertsFromPEM(m.AuthorityPEM())
	if err := m.issue(now, parent, authorityKey); err != nil {
		return nil, err
	}
	return m, nil
}

// Certificate implements Source.
func (m *Memory) Certificate() (*tls.Certificate, error) {
	return &m.certificate, nil
}

// Authority implements Source.
func (m *Memory) Authority() (*x509.CertPool, error) {
	return m.pool, nil
}

// AuthorityPEM returns the certificate of the authority in PEM, for peers that
// are to trust it.
func (m *Memory) AuthorityPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: m.authority})
}

// PEM returns the certificate and its private key in PEM.
func (m *Memory) PEM() (certificate, key []byte, err error) {
	encoded, err := x509.MarshalPKCS8PrivateKey(m.certificate.PrivateKey)
	if err != nil {
		return nil, nil, errors.Annotate(err, "cannot encode the key")
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: m.certificate.Certificate[0]})
	return certificate, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}), nil
}

func (m *Memory) issue(now time.Time, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Annotate(err, "cannot make a key")
	}
	leaf, err := template(now, "loopback")
	if err != nil {
		return err
	}
	leaf.KeyUsage = x509.KeyUsageDigitalSignature
	leaf.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	leaf.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	leaf.DNSNames = []string{"localhost"}
	raw, err := x509.CreateCertificate(rand.Reader, leaf, parent, key.Public(), parentKey)
	if err != nil {
		return errors.Annotate(err, "cannot make a certificate")
	}
	m.certificate = tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}
	return nil
}

func template(now time.Time, name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Annotate(err, "cannot make a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{Organization: []string{organisation}, CommonName: organisation + " " + name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}
