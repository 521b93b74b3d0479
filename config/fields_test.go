package config_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"quincewinch/config"
)

const validSettings = `{
	"name": "entry-1", "zone": "a",
	"callers": {"address": "127.0.0.1:1", "plain": true},
	"operators": {"address": "127.0.0.1:2", "plain": true, "key": "k"},
	"daemons": {"address": "127.0.0.1:3", "plain": true},
	"metrics": {"address": "127.0.0.1:4", "plain": true},
	"platform": {"url": "http://127.0.0.1:5", "plain": true},
	"engines": {"plain": true}
}`

// expectErrors asserts that settings are rejected with exactly the wanted
// errors.
func expectErrors(t *testing.T, raw string, want ...string) {
	t.Helper()
	is := is.New(t)
	_, err := config.Parse([]byte(raw))
	is.True(err != nil) // settings are rejected
	for _, text := range want {
		is.True(strings.Contains(err.Error(), text)) // error is reported
	}
	is.Equal(len(strings.Split(err.Error(), "\n")), len(want)) // no other error is reported
}

func TestParse(t *testing.T) {
	t.Run("valid settings with defaults", func(t *testing.T) {
		is := is.New(t)
		settings, err := config.Parse([]byte(validSettings))
		is.NoErr(err)
		is.True(settings.Callers.MaxBodyBytes > 0) // default is set
	})
	t.Run("all errors at once", func(t *testing.T) {
		settings := strings.Replace(validSettings, `"127.0.0.1:1"`, `"nowhere"`, 1)
		settings = strings.Replace(settings, `"engines": {`, `"engines": {"poll": "soon", "pole": 1, `, 1)
		expectErrors(t, settings, "callers.address: bad address", "engines.poll: bad duration", "engines.pole: unknown field")
	})
	t.Run("missing field", func(t *testing.T) {
		expectErrors(t, strings.Replace(validSettings, `"zone": "a",`, ``, 1), "zone: missing field")
	})
	t.Run("TLS without certificates", func(t *testing.T) {
		expectErrors(t, strings.Replace(validSettings, `"engines": {"plain": true}`, `"engines": {}`, 1),
			"tls.certificate-file: missing", "tls.key-file: missing", "tls.authority-file: missing")
	})
	t.Run("platform URL without TLS", func(t *testing.T) {
		settings := strings.Replace(validSettings, `"http://127.0.0.1:5", "plain": true`, `"http://127.0.0.1:5"`, 1)
		settings = strings.Replace(settings, `"engines"`, `"tls": {"certificate-file": "c", "key-file": "k", "authority-file": "a"}, "engines"`, 1)
		expectErrors(t, settings, "platform.url: must be https")
	})
}
