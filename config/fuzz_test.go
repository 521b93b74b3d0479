package config_test

import (
	"testing"

	"quincewinch/config"
)

const minimalSettings = `{"name": "entry-1", "zone": "z", "callers": {"address": "127.0.0.1:0"},
"operators": {"address": "127.0.0.1:0", "key": "k"}, "daemons": {"address": "127.0.0.1:0"},
"metrics": {"address": "127.0.0.1:0"}, "platform": {"url": "http://127.0.0.1:1"}, "tls": {"plain": true}}`

// FuzzParse checks that settings are either rejected or complete.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte(`{"callers": {"timeout": "-1s"}, "tls": 7}`))
	f.Add([]byte(`{"callers": null, "nothing": {}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := config.Parse(raw)
		if err != nil {
			return
		}
		if s.Name == "" || s.Zone == "" || s.Platform.URL == nil || s.Callers.Timeout <= 0 || s.Callers.DrainTimeout < s.Callers.Timeout {
			t.Errorf("incomplete settings accepted: %+v", s)
		}
	})
}
