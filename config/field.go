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

// Field describes one field of a settings file that is read into an S.
type Field[S any] struct {
	Path     string // sections and name, with dots
	Default  string // in JSON
	Required bool
	Unit     string
	Meaning  string
	set      func(s *S, raw json.RawMessage) error
}

// Faults are all faults of a settings file.
type Faults []string

// Error lists the faults, one a line.
func (f Faults) Error() string {
	return strings.Join(f, "\n")
}

// parse reads settings in JSON. Its faults name each bad field with its path
// in the file.
func parse[S any](fields []Field[S], raw []byte) (*S, Faults) {
	var tree map[string]json.RawMessage
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, Faults{"the settings are no JSON object: " + err.Error()}
	}
	values, faults := flatten(fields, tree)
	s := new(S)
	for _, field := range fields {
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
	return s, faults
}

// read returns the content of a settings file.
func read(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	return raw, errors.Annotate(err, "cannot read the settings")
}

// flatten returns the values of a settings file by path.
func flatten[S any](fields []Field[S], tree map[string]json.RawMessage) (map[string]json.RawMessage, Faults) {
	values := map[string]json.RawMessage{}
	var faults Faults
	for name, raw := range tree {
		if !isSection(fields, name) {
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

func isSection[S any](fields []Field[S], name string) bool {
	return slices.ContainsFunc(fields, func(f Field[S]) bool {
		return strings.HasPrefix(f.Path, name+".")
	})
}

func text[S any](field func(*S) *string) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil {
			return errors.New("must be a text")
		}
		return nil
	}
}

func flag[S any](field func(*S) *bool) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil {
			return errors.New("must be true or false")
		}
		return nil
	}
}

func level[S any](field func(*S) *string) func(*S, json.RawMessage) error {
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

func zone[S any](field func(*S) *models.Zone) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		var value string
		if err := json.Unmarshal(raw, &value); err != nil || value == "" {
			return errors.New("must be a text")
		}
		*field(s) = models.Zone(value)
		return nil
	}
}

func count[S any](field func(*S) *int) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil || *field(s) <= 0 {
			return errors.New("must be a whole number over 0")
		}
		return nil
	}
}

func address[S any](field func(*S) *netip.AddrPort) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil {
			return errors.New("bad address: must be IP:port")
		}
		return nil
	}
}

func duration[S any](field func(*S) *time.Duration) func(*S, json.RawMessage) error {
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

// secret takes a text, or the name of the file or environment variable that
// holds it.
func secret[S any](field func(*S) *string) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
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
