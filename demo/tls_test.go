package demo_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"quincewinch/demo"
	"quincewinch/peer/system"
)

// clientTrusting returns a client that trusts only the given authority, in PEM.
func clientTrusting(t *testing.T, authority string) *http.Client {
	t.Helper()
	pool := x509.NewCertPool()
	is.New(t).True(pool.AppendCertsFromPEM([]byte(authority))) // valid PEM
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func TestOverTLS(t *testing.T) {
	is := is.New(t)
	deployment, err := demo.Find("tamarind")
	is.NoErr(err)
	running, err := demo.Start(t.Context(), deployment, system.NewClock(), zap.NewNop(), demo.Options{TLS: true})
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(running.Stop(context.Background())) })
	address := running.Ready.Callers[6] + "/v1/models"
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, address, nil)
	is.NoErr(err)

	_, err = http.DefaultClient.Do(r) //nolint:bodyclose // no response to close
	is.True(err != nil)               // not trusted by default
	response, err := clientTrusting(t, running.Ready.Authority).Do(r)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusOK)

	plain, err := http.NewRequestWithContext(t.Context(), http.MethodGet, strings.Replace(address, "https", "http", 1), nil)
	is.NoErr(err)
	response, err = http.DefaultClient.Do(plain)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusBadRequest) // plain HTTP is rejected
}
