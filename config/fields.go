package config

import (
	"encoding/json"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
)

// Fields lists each field of the settings file in order.
var Fields = []Field[Settings]{
	{"name", ``, true, "", "name of this daemon, in logs and on the time line", text(func(s *Settings) *string { return &s.Name })},
	{"zone", ``, true, "", "availability zone of this VM", zone(func(s *Settings) *models.Zone { return &s.Zone })},
	{"callers.address", ``, true, "IP:port", "where callers are served", address(func(s *Settings) *netip.AddrPort { return &s.Callers.Address })},
	{"callers.plain", `false`, false, "", "serve callers without TLS", flag(func(s *Settings) *bool { return &s.Callers.Plain })},
	{"callers.max-body-bytes", `4194304`, false, "bytes", "greatest body of a request", count(func(s *Settings) *int { return &s.Callers.MaxBodyBytes })},
	{"callers.header-timeout", `"5s"`, false, "duration", "time for a request's header to arrive", duration(func(s *Settings) *time.Duration { return &s.Callers.HeaderTimeout })},
	{"callers.timeout", `"2m"`, false, "duration", "time for a whole request", duration(func(s *Settings) *time.Duration { return &s.Callers.Timeout })},
	{"callers.drain-timeout", `"130s"`, false, "duration", "time for running requests to finish at a planned stop, no less than callers.timeout", duration(func(s *Settings) *time.Duration { return &s.Callers.DrainTimeout })},
	{"operators.address", ``, true, "IP:port", "where operators are served", address(func(s *Settings) *netip.AddrPort { return &s.Operators.Address })},
	{"operators.key", ``, true, "", "operators' credential: {\"file\": PATH}, {\"environment\": NAME} or a text", secret(func(s *Settings) *string { return &s.Operators.Key })},
	{"operators.plain", `false`, false, "", "serve operators without TLS", flag(func(s *Settings) *bool { return &s.Operators.Plain })},
	{"daemons.address", ``, true, "IP:port", "where the other daemons reach this one", address(func(s *Settings) *netip.AddrPort { return &s.Daemons.Address })},
	{"daemons.plain", `false`, false, "", "speak with the other daemons without TLS", flag(func(s *Settings) *bool { return &s.Daemons.Plain })},
	{"daemons.interval", `"1s"`, false, "duration", "between two exchanges with another daemon", duration(func(s *Settings) *time.Duration { return &s.Daemons.Interval })},
	{"metrics.address", ``, true, "IP:port", "where metrics and health are served", address(func(s *Settings) *netip.AddrPort { return &s.Metrics.Address })},
	{"metrics.plain", `false`, false, "", "serve metrics without TLS", flag(func(s *Settings) *bool { return &s.Metrics.Plain })},
	{"platform.url", ``, true, "URL", "the platform's services", platformURL},
	{"platform.plain", `false`, false, "", "call the platform without TLS", flag(func(s *Settings) *bool { return &s.Platform.Plain })},
	{"platform.timeout", `"1s"`, false, "duration", "for one call of the platform", duration(func(s *Settings) *time.Duration { return &s.Platform.Timeout })},
	{"platform.poll", `"500ms"`, false, "duration", "between two reads of the table's changes", duration(func(s *Settings) *time.Duration { return &s.Platform.Poll })},
	{"engines.poll", `"250ms"`, false, "duration", "between two reads of an engine's load", duration(func(s *Settings) *time.Duration { return &s.Engines.Poll })},
	{"engines.timeout", `"5s"`, false, "duration", "longest wait for the next piece of a stream", duration(func(s *Settings) *time.Duration { return &s.Engines.Timeout })},
	{"engines.plain", `false`, false, "", "call backend servers without TLS", flag(func(s *Settings) *bool { return &s.Engines.Plain })},
	{"tls.refresh", `"1m"`, false, "duration", "until changed certificate files are taken up", duration(func(s *Settings) *time.Duration { return &s.TLS.Refresh })},
	{"tls.certificate-file", `""`, false, "path", "this daemon's certificate, PEM", text(func(s *Settings) *string { return &s.TLS.CertificateFile })},
	{"tls.key-file", `""`, false, "path", "the certificate's key, PEM", text(func(s *Settings) *string { return &s.TLS.KeyFile })},
	{"tls.authority-file", `""`, false, "path", "authority of daemons, engines and platform, PEM", text(func(s *Settings) *string { return &s.TLS.AuthorityFile })},
	{"log.level", `"info"`, false, "", "debug, info, warn or error", level(func(s *Settings) *string { return &s.Log.Level })},
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	raw, err := read(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// Parse checks settings in JSON. Its error is of type Faults and names every
// fault with its path in the file.
func Parse(raw []byte) (*Settings, error) {
	s, faults := parse(Fields, raw)
	if s == nil {
		return nil, faults
	}
	faults = append(faults, s.check()...)
	if len(faults) > 0 {
		slices.Sort(faults)
		return nil, faults
	}
	return s, nil
}

// check finds faults that lie between fields.
func (s *Settings) check() Faults {
	var faults Faults
	if s.Callers.DrainTimeout < s.Callers.Timeout {
		faults = append(faults, "callers.drain-timeout: must be no less than callers.timeout, or a planned stop cuts requests")
	}
	if s.Platform.URL != nil && s.Platform.URL.Scheme == "http" && !s.Platform.Plain {
		faults = append(faults, "platform.url: must be https://HOST, unless platform.plain is true")
	}
	if !s.UsesTLS() {
		return faults
	}
	files := map[string]string{
		"tls.certificate-file": s.TLS.CertificateFile,
		"tls.key-file":         s.TLS.KeyFile,
		"tls.authority-file":   s.TLS.AuthorityFile,
	}
	for path, value := range files {
		if value == "" {
			faults = append(faults, path+": missing field, unless every section is plain")
		}
	}
	return faults
}

func platformURL(s *Settings, raw json.RawMessage) error {
	var value string
	if err := json.Unmarshal(raw, &value); err != nil {
		return errors.New("bad URL: must be a text")
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return errors.New("bad URL: must be http://HOST or https://HOST")
	}
	s.Platform.URL = u
	return nil
}
