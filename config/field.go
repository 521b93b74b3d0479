package config

import (
	"encoding/json"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
)

// Field describes one field of a settings file that is decoded into an S.
type Field[S any] struct {
	Path        string // section and name, separated by a dot
	Default     string // in JSON
	Required    bool
	Unit        string
	Description string
	decode      func(s *S, raw json.RawMessage) error
}

// ValidationErrors lists all errors in a settings file.
type ValidationErrors []string

// Error returns the errors, one per line.
func (f ValidationErrors) Error() string {
	return strings.Join(f, "\n")
}

// decodeFields decodes settings in JSON. Each error starts with the field's
// path in the file. The settings are nil if raw is not a JSON object.
func decodeFields[S any](fields []Field[S], raw []byte) (*S, ValidationErrors) {
	var tree map[string]json.RawMessage
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, ValidationErrors{"the settings are no JSON object: " + err.Error()}
	}
	values, errs := flattenSections(fields, tree)
	s := new(S)
	for _, field := range fields {
		value, given := values[field.Path]
		delete(values, field.Path)
		switch {
		case !given && field.Required:
			errs = append(errs, field.Path+": missing field")
			continue
		case !given:
			value = json.RawMessage(field.Default)
		}
		if err := field.decode(s, value); err != nil {
			errs = append(errs, field.Path+": "+err.Error())
		}
	}
	for path := range values {
		errs = append(errs, path+": unknown field")
	}
	return s, errs
}

// readFile returns the content of a settings file.
func readFile(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	return raw, errors.Annotate(err, "cannot read the settings")
}

// flattenSections returns the values of a settings file, keyed by field path.
func flattenSections[S any](fields []Field[S], tree map[string]json.RawMessage) (map[string]json.RawMessage, ValidationErrors) {
	values := map[string]json.RawMessage{}
	var errs ValidationErrors
	for name, raw := range tree {
		if !isSection(fields, name) {
			values[name] = raw
			continue
		}
		var section map[string]json.RawMessage
		if err := json.Unmarshal(raw, &section); err != nil {
			errs = append(errs, name+": must be a section, a JSON object")
			continue
		}
		for field, value := range section {
			values[name+"."+field] = value
		}
	}
	return values, errs
}

func isSection[S any](fields []Field[S], name string) bool {
	return slices.ContainsFunc(fields, func(f Field[S]) bool {
		return strings.HasPrefix(f.Path, name+".")
	})
}

func decodeString[S any](field func(*S) *string) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil {
			return errors.New("must be a text")
		}
		return nil
	}
}

func decodeBool[S any](field func(*S) *bool) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil {
			return errors.New("must be true or false")
		}
		return nil
	}
}

func decodeLogLevel[S any](field func(*S) *string) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil {
			return errors.New("must be a text")
		}
		if !slices.Contains([]string{"debug", "info", "warn", "error"}, *field(s)) {
			return errors.New("must be debug, info, warn or error")
		}
		return nil
	}
}

func decodeZone[S any](field func(*S) *models.Zone) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		var value string
		if err := json.Unmarshal(raw, &value); err != nil || value == "" {
			return errors.New("must be a text")
		}
		*field(s) = models.Zone(value)
		return nil
	}
}

func decodePositiveInt[S any](field func(*S) *int) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil || *field(s) <= 0 {
			return errors.New("must be a whole number over 0")
		}
		return nil
	}
}

func decodeAddress[S any](field func(*S) *netip.AddrPort) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil {
			return errors.New("bad address: must be IP:port")
		}
		return nil
	}
}

func decodeDuration[S any](field func(*S) *time.Duration) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
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

// decodeSecret returns a decoder for a string, or for the name of the file or
// environment variable that holds it.
func decodeSecret[S any](field func(*S) *string) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		var value string
		if err := json.Unmarshal(raw, &value); err == nil {
			return setNonEmpty(field(s), value)
		}
		var source struct {
			File        string `json:"file"`
			Environment string `json:"environment"`
		}
		if err := json.Unmarshal(raw, &source); err != nil {
			return errors.New("must be a text, {\"file\": PATH} or {\"environment\": NAME}")
		}
		if source.Environment != "" {
			return setNonEmpty(field(s), os.Getenv(source.Environment))
		}
		content, err := os.ReadFile(source.File)
		if err != nil {
			return errors.New("cannot read the secret's file")
		}
		return setNonEmpty(field(s), strings.TrimSpace(string(content)))
	}
}

func setNonEmpty(field *string, value string) error {
	if value == "" {
		return errors.New("must not be empty")
	}
	*field = value
	return nil
}
