package resume_test

import (
	"testing"
	"time"

	"quincewinch/models"
	"quincewinch/peer/system"
	"quincewinch/resume"
)

func TestUrgent(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(f *fixture)
		scope   resume.Scope
		urgent  bool
	}{
		{"one version", func(f *fixture) { f.begin("r", v1, 1, time.Minute) }, resume.ScopeOwn, false},
		{"two versions", func(f *fixture) {
			f.begin("r", v1, 1, time.Minute)
			f.history.versions = []string{"v1", "v2"}
		}, resume.ScopeOwn, true},
		{"two versions, nothing new", func(f *fixture) { f.history.versions = []string{"v1", "v2"} }, resume.ScopeOwn, false},
		{"a second version that only streams tell of", func(f *fixture) {
			f.origins.Learn([]models.StreamOrigin{{Stream: 1, Software: v2, Revision: 1, TimeLeft: time.Second}}, resume.ScopeZone)
			f.begin("r", v1, 1, time.Minute)
		}, resume.ScopeOwn, true},
		{"registrations not read lately", func(f *fixture) {
			f.begin("r", v1, 1, time.Minute)
			f.history.lags = true
		}, resume.ScopeOwn, true},
		{"origin that is not certain", func(f *fixture) { f.begin("r", models.Software{}, 1, time.Minute) }, resume.ScopeOwn, true},
		{"divided route", func(f *fixture) { f.origins.Record("r", v1, 1, true, system.NewClock().Now().Add(time.Second)) }, resume.ScopeOwn, true},
		{"learned from another daemon, which sends it itself", func(f *fixture) {
			f.history.versions = []string{"v1", "v2"}
			f.origins.Learn([]models.StreamOrigin{{Stream: 1, Software: v1, Revision: 1, TimeLeft: time.Second}}, resume.ScopeZone)
		}, resume.ScopeOwn, false},
		{"learned from another daemon, by a zone leader", func(f *fixture) {
			f.history.versions = []string{"v1", "v2"}
			f.origins.Learn([]models.StreamOrigin{{Stream: 1, Software: v1, Revision: 1, TimeLeft: time.Second}}, resume.ScopeZone)
		}, resume.ScopeAll, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(f *fixture) {
				test.prepare(f)
				f.is.Equal(f.origins.Urgent(0, test.scope), test.urgent)
			})
		})
	}
	t.Run("before the position", func(t *testing.T) {
		run(t, func(f *fixture) {
			f.history.versions = []string{"v1", "v2"}
			f.begin("r", v1, 1, time.Minute)
			f.is.True(!f.origins.Urgent(f.origins.Head(), resume.ScopeAll))
		})
	})
}
