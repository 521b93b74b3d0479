package config_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/config"
	"quincewinch/models"
)

const goodEntry = `{
	"name": "vm-1", "zone": "a", "zones": ["a", "b"],
	"callers": {"address": "127.0.0.1:1", "grace": "8s"},
	"readiness": {"address": "127.0.0.1:2"},
	"daemons": {"address": "127.0.0.1:3"},
	"metrics": {"address": "127.0.0.1:4"},
	"store": {"address": "127.0.0.1:5"},
	"duties": {"address": "127.0.0.1:6", "usage": true, "usage-window": "5s"},
	"retries": {"ratio": 0.2, "reserve": 54}
}`

func expectEntryFaults(t *testing.T, settings string, want ...string) {
	t.Helper()
	is := is.New(t)
	_, err := config.ParseEntry([]byte(settings))
	is.True(err != nil) // refused
	for _, fault := range want {
		is.True(strings.Contains(err.Error(), fault)) // names the fault
	}
	is.Equal(len(strings.Split(err.Error(), "\n")), len(want)) // and no other
}

func TestParseEntry(t *testing.T) {
	t.Run("good settings", func(t *testing.T) {
		is := is.New(t)
		s, err := config.ParseEntry([]byte(goodEntry))
		is.NoErr(err)
		is.Equal(s.Zones, []models.Zone{"a", "b"})
		is.Equal(s.Callers.Grace, 8*time.Second)
		is.Equal(s.Retries.Reserve, 54)
		is.Equal(s.Store.Watch(), 1500*time.Millisecond) // of the defaults
	})
	t.Run("all faults at once", func(t *testing.T) {
		settings := strings.Replace(goodEntry, `"127.0.0.1:5"`, `"nowhere"`, 1)
		settings = strings.Replace(settings, `0.2`, `-1`, 1)
		settings = strings.Replace(settings, `"zone": "a",`, `"zome": "a",`, 1)
		expectEntryFaults(t, settings, "store.address: bad address", "retries.ratio: must be a number", "zone: missing field", "zome: unknown field")
	})
	t.Run("duties without an address", func(t *testing.T) {
		expectEntryFaults(t, strings.Replace(goodEntry, `"address": "127.0.0.1:6", `, ``, 1), "duties.address: missing field")
	})
	t.Run("no JSON", func(t *testing.T) {
		expectEntryFaults(t, `name=vm-1`, "no JSON object")
	})
}

func TestChangesThatNeedARestart(t *testing.T) {
	is := is.New(t)
	before, err := config.ParseEntry([]byte(goodEntry))
	is.NoErr(err)
	after, err := config.ParseEntry([]byte(strings.Replace(goodEntry, "0.2", "0.3", 1)))
	is.NoErr(err)
	is.True(!before.Equal(after))
	is.True(before.SameListeners(after))
	after.Metrics = after.Daemons
	is.True(!before.SameListeners(after))
}

func FuzzParseEntry(f *testing.F) {
	f.Add([]byte(goodEntry))
	f.Add([]byte(`{"zones": null, "duties": {"usage": true}, "retries": {"reserve": 1e9}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := config.ParseEntry(raw)
		if err != nil {
			return
		}
		if s.Name == "" || s.Zone == "" || !s.Store.Address.IsValid() || s.Retries.Ratio < 0 || s.Callers.Grace <= 0 {
			t.Errorf("incomplete settings passed: %+v", s)
		}
	})
}
