package config

import (
	"encoding/json"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
)

// Field describes one field of the settings file.
type Field struct {
	Path     string // sections and name, with dots
	Default  string // in JSON
	Required bool
	Unit     string
	Meaning  string
	set      func(s *Settings, raw json.RawMessage) error
}

// Fields lists each field of the settings file in order.
var Fields = []Field{
	{"name", ``, true, "", "name of this daemon, in logs and on the time line", text(func(s *Settings) *string { return &s.Name })},
	{"zone", ``, true, "", "availability zone of this VM", zone},
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
	{"log.level", `"info"`, false, "", "debug, info, warn or error", level},
}

// Faults are all faults of a settings file.
type Faults []string

// Error lists the faults, one a line.
func (f Faults) Error() string {
	return strings.Join(f, "\n")
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "cannot read the settings")
	}
	return Parse(raw)
}

// Parse checks settings in JSON. Its error is of type Faults and names every
// fault with its path in the file.
func Parse(raw []byte) (*Settings, error) {
	var tree map[string]json.RawMessage
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, Faults{"the settings are no JSON object: " + err.Error()}
	}
	values, faults := flatten(tree)
	s := &Settings{}
	for _, field := range Fields {
		value, given := values[field.Path]
		delete(values, field.Path)
		switch {
		case !given && field.Required:
			faults = append(faults, field.Path+": missing field")
			continue
		case !given:
			value = json.RawMessage(field.Default)
		}
		if err := field.set(s, value); err != nil {
			faults = append(faults, field.Path+": "+err.Error())
		}
	}
	for path := range values {
		faults = append(faults, path+": unknown field")
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

// flatten returns the values of a settings file by path.
func flatten(tree map[string]json.RawMessage) (map[string]json.RawMessage, Faults) {
	values := map[string]json.RawMessage{}
	var faults Faults
	for name, raw := range tree {
		if !isSection(name) {
			values[name] = raw
			continue
		}
		var section map[string]json.RawMessage
		if err := json.Unmarshal(raw, &section); err != nil {
			faults = append(faults, name+": must be a section, a JSON object")
			continue
		}
		for field, value := range section {
			values[name+"."+field] = value
		}
	}
	return values, faults
}

func isSection(name string) bool {
	return slices.ContainsFunc(Fields, func(f Field) bool {
		return strings.HasPrefix(f.Path, name+".")
	})
}

func text(field func(*Settings) *string) func(*Settings, json.RawMessage) error {
	return func(s *Settings, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil {
			return errors.New("must be a text")
		}
		return nil
	}
}

func flag(field func(*Settings) *bool) func(*Settings, json.RawMessage) error {
	return func(s *Settings, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil {
			return errors.New("must be true or false")
		}
		return nil
	}
}

func count(field func(*Settings) *int) func(*Settings, json.RawMessage) error {
	return func(s *Settings, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil || *field(s) <= 0 {
			return errors.New("must be a whole number over 0")
		}
		return nil
	}
}

func address(field func(*Settings) *netip.AddrPort) func(*Settings, json.RawMessage) error {
	return func(s *Settings, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil {
			return errors.New("bad address: must be IP:port")
		}
		return nil
	}
}

func duration(field func(*Settings) *time.Duration) func(*Settings, json.RawMessage) error {
	return func(s *Settings, raw json.RawMessage) error {
		var value string
		if err := json.Unmarshal(raw, &value); err != nil {
			return errors.New("bad duration: must be a text such as \"5s\"")
		}
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			return errors.New("bad duration: must be over 0, such as \"5s\"")
		}
		*field(s) = d
		return nil
	}
}

// secret takes a text, or the name of the file or environment variable that
// holds it.
func secret(field func(*Settings) *string) func(*Settings, json.RawMessage) error {
	return func(s *Settings, raw json.RawMessage) error {
		var value string
		if err := json.Unmarshal(raw, &value); err == nil {
			return keep(field(s), value)
		}
		var source struct {
			File        string `json:"file"`
			Environment string `json:"environment"`
		}
		if err := json.Unmarshal(raw, &source); err != nil {
			return errors.New("must be a text, {\"file\": PATH} or {\"environment\": NAME}")
		}
		if source.Environment != "" {
			return keep(field(s), os.Getenv(source.Environment))
		}
		content, err := os.ReadFile(source.File)
		if err != nil {
			return errors.New("cannot read the secret's file")
		}
		return keep(field(s), strings.TrimSpace(string(content)))
	}
}

func keep(field *string, value string) error {
	if value == "" {
		return errors.New("must not be empty")
	}
	*field = value
	return nil
}

func zone(s *Settings, raw json.RawMessage) error {
	var value string
	if err := json.Unmarshal(raw, &value); err != nil || value == "" {
		return errors.New("must be a text")
	}
	s.Zone = models.Zone(value)
	return nil
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

func level(s *Settings, raw json.RawMessage) error {
	if err := json.Unmarshal(raw, &s.Log.Level); err != nil {
		return errors.New("must be a text")
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		return errors.New("must be debug, info, warn or error")
	}
	return nil
}
