// Package config turns a settings file into checked structs. The list of
// fields in fields.go is the one place of defaults, units and meanings.
package config

import (
	"net/netip"
	"net/url"
	"time"

	"quincewinch/models"
)

// Settings are one daemon's settings.
type Settings struct {
	Name      string
	Zone      models.Zone
	Callers   Callers
	Operators Operators
	Daemons   Daemons
	Metrics   Metrics
	Platform  Platform
	Engines   Engines
	TLS       TLS
	Log       Log
}

// Callers is the section of the address for callers.
type Callers struct {
	Address       netip.AddrPort
	MaxBodyBytes  int
	HeaderTimeout time.Duration
	Timeout       time.Duration // of a whole request
	DrainTimeout  time.Duration
}

// Operators is the section of the address for operators.
type Operators struct {
	Address netip.AddrPort
	Key     string
}

// Daemons is the section of the exchange between daemons.
type Daemons struct {
	Address  netip.AddrPort
	Interval time.Duration
}

// Metrics is the section of the address for metrics and health.
type Metrics struct {
	Address netip.AddrPort
}

// Platform is the section of the platform's services.
type Platform struct {
	URL     *url.URL
	Timeout time.Duration
	Poll    time.Duration
}

// Engines is the section of the backend servers.
type Engines struct {
	Poll    time.Duration
	Timeout time.Duration // between two pieces of a stream
}

// TLS is the section of certificates. Plain switches TLS off.
type TLS struct {
	Plain           bool
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Log is the section of the log.
type Log struct {
	Level string
}
