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

// Fields lists the fields of the settings file in order.
var Fields = []Field[Settings]{
	{"name", ``, true, "", "name of this daemon, in logs and on the time line", decodeString(func(s *Settings) *string { return &s.Name })},
	{"zone", ``, true, "", "availability zone of this VM", decodeZone(func(s *Settings) *models.Zone { return &s.Zone })},
	{"callers.address", ``, true, "IP:port", "listen address for callers", decodeAddress(func(s *Settings) *netip.AddrPort { return &s.Callers.Address })},
	{"callers.plain", `false`, false, "", "serve callers without TLS", decodeBool(func(s *Settings) *bool { return &s.Callers.Plain })},
	{"callers.max-body-bytes", `4194304`, false, "bytes", "maximum size of a request body", decodePositiveInt(func(s *Settings) *int { return &s.Callers.MaxBodyBytes })},
	{"callers.header-timeout", `"5s"`, false, "duration", "timeout for receiving a request's header", decodeDuration(func(s *Settings) *time.Duration { return &s.Callers.HeaderTimeout })},
	{"callers.timeout", `"2m"`, false, "duration", "timeout of a whole request", decodeDuration(func(s *Settings) *time.Duration { return &s.Callers.Timeout })},
	{"callers.drain-timeout", `"130s"`, false, "duration", "time for running requests to finish at a planned stop, at least callers.timeout", decodeDuration(func(s *Settings) *time.Duration { return &s.Callers.DrainTimeout })},
	{"operators.address", ``, true, "IP:port", "listen address for operators", decodeAddress(func(s *Settings) *netip.AddrPort { return &s.Operators.Address })},
	{"operators.key", ``, true, "", "operators' credential: a string, {\"file\": PATH} or {\"environment\": NAME}", decodeSecret(func(s *Settings) *string { return &s.Operators.Key })},
	{"operators.plain", `false`, false, "", "serve operators without TLS", decodeBool(func(s *Settings) *bool { return &s.Operators.Plain })},
	{"daemons.address", ``, true, "IP:port", "listen address for the other daemons", decodeAddress(func(s *Settings) *netip.AddrPort { return &s.Daemons.Address })},
	{"daemons.plain", `false`, false, "", "communicate with the other daemons without TLS", decodeBool(func(s *Settings) *bool { return &s.Daemons.Plain })},
	{"daemons.interval", `"1s"`, false, "duration", "interval between two exchanges with another daemon", decodeDuration(func(s *Settings) *time.Duration { return &s.Daemons.Interval })},
	{"metrics.address", ``, true, "IP:port", "listen address for metrics and health checks", decodeAddress(func(s *Settings) *netip.AddrPort { return &s.Metrics.Address })},
	{"metrics.plain", `false`, false, "", "serve metrics without TLS", decodeBool(func(s *Settings) *bool { return &s.Metrics.Plain })},
	{"platform.url", ``, true, "URL", "base URL of the platform's services", decodePlatformURL},
	{"platform.plain", `false`, false, "", "call the platform without TLS", decodeBool(func(s *Settings) *bool { return &s.Platform.Plain })},
	{"platform.timeout", `"1s"`, false, "duration", "timeout of one call to the platform", decodeDuration(func(s *Settings) *time.Duration { return &s.Platform.Timeout })},
	{"platform.poll", `"500ms"`, false, "duration", "interval between two reads of the table's changes", decodeDuration(func(s *Settings) *time.Duration { return &s.Platform.Poll })},
	{"engines.poll", `"250ms"`, false, "duration", "interval between two reads of an engine's load", decodeDuration(func(s *Settings) *time.Duration { return &s.Engines.Poll })},
	{"engines.timeout", `"5s"`, false, "duration", "maximum wait for the next piece of a stream", decodeDuration(func(s *Settings) *time.Duration { return &s.Engines.Timeout })},
	{"engines.plain", `false`, false, "", "call backend servers without TLS", decodeBool(func(s *Settings) *bool { return &s.Engines.Plain })},
	{"tls.refresh", `"1m"`, false, "duration", "maximum time until changed certificate files are reloaded", decodeDuration(func(s *Settings) *time.Duration { return &s.TLS.Refresh })},
	{"tls.certificate-file", `""`, false, "path", "this daemon's certificate, PEM", decodeString(func(s *Settings) *string { return &s.TLS.CertificateFile })},
	{"tls.key-file", `""`, false, "path", "the certificate's key, PEM", decodeString(func(s *Settings) *string { return &s.TLS.KeyFile })},
	{"tls.authority-file", `""`, false, "path", "certificate authority of daemons, engines and platform, PEM", decodeString(func(s *Settings) *string { return &s.TLS.AuthorityFile })},
	{"log.level", `"info"`, false, "", "debug, info, warn or error", decodeLogLevel(func(s *Settings) *string { return &s.Log.Level })},
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	raw, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// Parse decodes and checks settings in JSON. Its error is a ValidationErrors
// that lists every invalid field with its path in the file.
func Parse(raw []byte) (*Settings, error) {
	s, errs := decodeFields(Fields, raw)
	if s == nil {
		return nil, errs
	}
	errs = append(errs, s.validate()...)
	if len(errs) > 0 {
		slices.Sort(errs)
		return nil, errs
	}
	return s, nil
}

// validate checks constraints between fields.
func (s *Settings) validate() ValidationErrors {
	var errs ValidationErrors
	if s.Callers.DrainTimeout < s.Callers.Timeout {
		errs = append(errs, "callers.drain-timeout: must be no less than callers.timeout, or a planned stop cuts requests")
	}
	if s.Platform.URL != nil && s.Platform.URL.Scheme == "http" && !s.Platform.Plain {
		errs = append(errs, "platform.url: must be https://HOST, unless platform.plain is true")
	}
	if !s.UsesTLS() {
		return errs
	}
	files := map[string]string{
		"tls.certificate-file": s.TLS.CertificateFile,
		"tls.key-file":         s.TLS.KeyFile,
		"tls.authority-file":   s.TLS.AuthorityFile,
	}
	for path, value := range files {
		if value == "" {
			errs = append(errs, path+": missing field, unless every section is plain")
		}
	}
	return errs
}

func decodePlatformURL(s *Settings, raw json.RawMessage) error {
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
