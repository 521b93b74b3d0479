package config_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"quincewinch/config"
)

const good = `{
	"name": "entry-1", "zone": "a",
	"callers": {"address": "127.0.0.1:1", "plain": true},
	"operators": {"address": "127.0.0.1:2", "plain": true, "key": "k"},
	"daemons": {"address": "127.0.0.1:3", "plain": true},
	"metrics": {"address": "127.0.0.1:4", "plain": true},
	"platform": {"url": "http://127.0.0.1:5", "plain": true},
	"engines": {"plain": true}
}`

// expectFaults asserts that settings are refused with each of the faults.
func expectFaults(t *testing.T, settings string, want ...string) {
	t.Helper()
	is := is.New(t)
	_, err := config.Parse([]byte(settings))
	is.True(err != nil) // refused
	for _, fault := range want {
		is.True(strings.Contains(err.Error(), fault)) // names the fault
	}
	is.Equal(len(strings.Split(err.Error(), "\n")), len(want)) // and no other
}

func TestParse(t *testing.T) {
	t.Run("good settings, defaults filled in", func(t *testing.T) {
		is := is.New(t)
		settings, err := config.Parse([]byte(good))
		is.NoErr(err)
		is.True(settings.Callers.MaxBodyBytes > 0) // a default
	})
	t.Run("all faults at once", func(t *testing.T) {
		settings := strings.Replace(good, `"127.0.0.1:1"`, `"nowhere"`, 1)
		settings = strings.Replace(settings, `"engines": {`, `"engines": {"poll": "soon", "pole": 1, `, 1)
		expectFaults(t, settings, "callers.address: bad address", "engines.poll: bad duration", "engines.pole: unknown field")
	})
	t.Run("missing field", func(t *testing.T) {
		expectFaults(t, strings.Replace(good, `"zone": "a",`, ``, 1), "zone: missing field")
	})
	t.Run("TLS without certificates", func(t *testing.T) {
		expectFaults(t, strings.Replace(good, `"engines": {"plain": true}`, `"engines": {}`, 1),
			"tls.certificate-file: missing", "tls.key-file: missing", "tls.authority-file: missing")
	})
	t.Run("plain platform", func(t *testing.T) {
		settings := strings.Replace(good, `"http://127.0.0.1:5", "plain": true`, `"http://127.0.0.1:5"`, 1)
		settings = strings.Replace(settings, `"engines"`, `"tls": {"certificate-file": "c", "key-file": "k", "authority-file": "a"}, "engines"`, 1)
		expectFaults(t, settings, "platform.url: must be https")
	})
}
