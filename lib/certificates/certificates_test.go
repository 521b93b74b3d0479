package certificates_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/lib/certificates"
	"quincewinch/peer"
	"quincewinch/peer/system"
)

// manualClock is a clock that the test advances.
type manualClock struct {
	system.Clock
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

func newMemory(t *testing.T, clock peer.Clock) *certificates.Memory {
	t.Helper()
	m, err := certificates.NewMemory(clock)
	is.New(t).NoErr(err)
	return m
}

// connect returns the server end and the client end of a loopback connection.
func connect(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer listener.Close()
	var dialer net.Dialer
	client, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	server, err := listener.Accept()
	is.NoErr(err)
	return server, client
}

// handshake performs a TLS handshake over loopback and returns the errors of
// both ends.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	a, b := connect(t)
	defer a.Close()
	defer b.Close()
	done := make(chan error, 1)
	go func() {
		connection := tls.Server(a, server)
		err := connection.HandshakeContext(context.Background())
		if err == nil {
			_, err = connection.Write([]byte{1})
		}
		done <- err
		_ = a.Close()
	}()
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	connection := tls.Client(b, client)
	clientErr = connection.HandshakeContext(t.Context())
	if clientErr == nil {
		_, clientErr = connection.Read(make([]byte, 1))
	}
	_ = b.Close()
	return <-done, clientErr
}

func TestTrust(t *testing.T) {
	clock := system.NewClock()
	ours, others := newMemory(t, clock), newMemory(t, clock)
	t.Run("same authority", func(t *testing.T) {
		is := is.New(t)
		serverErr, clientErr := handshake(t, certificates.Server(ours, true), certificates.Client(ours))
		is.NoErr(serverErr)
		is.NoErr(clientErr)
	})
	// Some libraries take a certificate for self-signed if its subject equals
	// its issuer.
	t.Run("subject differs from issuer", func(t *testing.T) {
		is := is.New(t)
		certificate, err := ours.Certificate()
		is.NoErr(err)
		leaf, err := x509.ParseCertificate(certificate.Certificate[0])
		is.NoErr(err)
		is.True(leaf.Subject.String() != leaf.Issuer.String())
	})
	t.Run("server certificate of another authority", func(t *testing.T) {
		_, clientErr := handshake(t, certificates.Server(others, false), certificates.Client(ours))
		is.New(t).True(clientErr != nil) // the client rejects the server
	})
	t.Run("client certificate of another authority", func(t *testing.T) {
		stranger := certificates.Client(others)
		stranger.VerifyConnection = nil
		serverErr, _ := handshake(t, certificates.Server(ours, true), stranger)
		is.New(t).True(serverErr != nil) // the server rejects the client
	})
}

// writePEMFiles writes the PEM files of a source and sets their modification
// time.
func writePEMFiles(t *testing.T, directory string, m *certificates.Memory, modified time.Time) {
	t.Helper()
	is := is.New(t)
	certificate, key, err := m.PEM()
	is.NoErr(err)
	for name, content := range map[string][]byte{"cert": certificate, "key": key, "ca": m.AuthorityPEM()} {
		path := filepath.Join(directory, name)
		is.NoErr(os.WriteFile(path, content, 0o600))
		is.NoErr(os.Chtimes(path, modified, modified))
	}
}

func TestFilesReloadOnChange(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: system.NewClock().Now()}
	directory := t.TempDir()
	first, second := newMemory(t, clock), newMemory(t, clock)
	writePEMFiles(t, directory, first, clock.now)
	path := func(name string) string { return filepath.Join(directory, name) }
	files, err := certificates.NewFiles(path("cert"), path("key"), path("ca"), time.Minute, clock)
	is.NoErr(err)
	writePEMFiles(t, directory, second, clock.now.Add(time.Second))
	serverErr, _ := handshake(t, certificates.Server(files, false), certificates.Client(first))
	is.NoErr(serverErr) // no reload within the interval
	clock.now = clock.now.Add(2 * time.Minute)
	serverErr, clientErr := handshake(t, certificates.Server(files, false), certificates.Client(second))
	is.NoErr(serverErr)
	is.NoErr(clientErr)
	is.NoErr(os.WriteFile(path("cert"), []byte("bad"), 0o600))
	is.NoErr(os.Chtimes(path("cert"), clock.now, clock.now))
	clock.now = clock.now.Add(2 * time.Minute)
	_, clientErr = handshake(t, certificates.Server(files, false), certificates.Client(second))
	is.NoErr(clientErr) // the previous certificate stays in use
}
