// Package config decodes and validates settings files. The field lists Fields
// and EntryFields define all defaults, units and descriptions.
package config

import (
	"net/netip"
	"net/url"
	"time"

	"quincewinch/models"
)

// Settings holds the settings of a daemon that the serve command runs.
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

// Callers is the section of the listener for callers.
type Callers struct {
	Address       netip.AddrPort
	Plain         bool // without TLS
	MaxBodyBytes  int
	HeaderTimeout time.Duration
	Timeout       time.Duration // of a whole request
	DrainTimeout  time.Duration
}

// Operators is the section of the listener for operators.
type Operators struct {
	Address netip.AddrPort
	Plain   bool
	Key     string
}

// Daemons is the section of the exchange between daemons.
type Daemons struct {
	Address  netip.AddrPort
	Plain    bool
	Interval time.Duration
}

// Metrics is the section of the listener for metrics and health checks.
type Metrics struct {
	Address netip.AddrPort
	Plain   bool
}

// Platform is the section of the platform's services.
type Platform struct {
	URL     *url.URL
	Plain   bool
	Timeout time.Duration
	Poll    time.Duration
}

// Engines is the section of the backend servers.
type Engines struct {
	Poll    time.Duration
	Plain   bool
	Timeout time.Duration // maximum wait for the next piece of a stream
}

// TLS is the section of the certificate files.
type TLS struct {
	Refresh         time.Duration
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Log is the section of logging.
type Log struct {
	Level string
}

// UsesTLS reports whether any section uses TLS and so needs certificates.
func (s *Settings) UsesTLS() bool {
	plain := s.Callers.Plain && s.Operators.Plain && s.Daemons.Plain &&
		s.Metrics.Plain && s.Platform.Plain && s.Engines.Plain
	return !plain
}
