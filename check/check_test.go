package check_test

import (
	"crypto/sha256"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/check"
	"quincewinch/models"
)

// valid returns a configuration without findings.
func valid() *check.Document {
	key := sha256.Sum256([]byte("k"))
	engines := models.RoutedService{
		Name: "llm", MaxConnections: 100,
		Engine: &models.EngineLimits{Slots: 8, Capacity: 9000, TokenBytes: 10, LinkMbps: 1},
		Supply: &models.SupplyLimits{Min: 1, Max: 4, CheapPrice: 0.2},
	}
	return &check.Document{
		Routing: &models.Routing{
			Version: 3,
			Routes: []models.PathRoute{{
				Name: "ask", Host: "a.example", Prefix: "/ask/", Stream: true, Generation: true, Attempts: 1,
				Targets: []models.WeightedService{{Service: "llm", Weight: 1}},
				Timeout: 5 * time.Second, LatencyTarget: time.Second, GapTarget: time.Second,
			}},
			RequireKeys: true,
			Keys:        map[[32]byte]models.KeyGrant{key: {Workspace: "sales"}},
			Limits:      models.CallerLimits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: time.Second, IdleTimeout: time.Second},
		},
		Services:   []models.RoutedService{engines},
		Workspaces: []check.Workspace{{Name: "sales", Keys: [][32]byte{key}}},
	}
}

// expectFinding checks that one finding contains a text and has a severity.
func expectFinding(is *is.I, list []check.Finding, severity check.Severity, text string) {
	is.Helper()
	for _, f := range list {
		if strings.Contains(f.Subject.String()+": "+f.Message, text) {
			is.Equal(f.Severity, severity)
			return
		}
	}
	is.Equal(list, text) // no such finding
}

func TestValidConfigurationHasNoFindings(t *testing.T) {
	is := is.New(t)
	is.Equal(len(check.Configuration(valid())), 0)
}

func TestFindings(t *testing.T) {
	route := func(d *check.Document) *models.PathRoute { return &d.Routing.Routes[0] }
	tests := []struct {
		text     string
		severity check.Severity
		breakIt  func(d *check.Document)
	}{
		{"route ask2: it never matches: route ask has the same host and prefix", check.SeverityError, func(d *check.Document) {
			second := *route(d)
			second.Name = "ask2"
			d.Routing.Routes = append(d.Routing.Routes, second)
		}},
		{"it never matches: the host \"a.example:80\" has a port", check.SeverityError, func(d *check.Document) { route(d).Host = "a.example:80" }},
		{"it never matches: the prefix \"/ask?x/\" contains a query", check.SeverityError, func(d *check.Document) { route(d).Prefix = "/ask?x/" }},
		{"does not end with a slash", check.SeverityError, func(d *check.Document) { route(d).Prefix = "/ask" }},
		{"the service gone does not exist", check.SeverityError, func(d *check.Document) { route(d).Targets[0].Service = "gone" }},
		{"latency target of 6s lies beyond the time limit of 5s", check.SeverityError, func(d *check.Document) { route(d).LatencyTarget = 6 * time.Second }},
		{"pause between events of 6s lies beyond", check.SeverityError, func(d *check.Document) { route(d).GapTarget = 6 * time.Second }},
		{"it needs a key, but no workspace has one", check.SeverityError, func(d *check.Document) { d.Routing.Keys = nil }},
		{"4 connections, which cannot fill its 8 slots", check.SeverityError, func(d *check.Document) { d.Services[0].MaxConnections = 4 }},
		{"minimum of 5 backend servers is above the maximum of 4", check.SeverityError, func(d *check.Document) { d.Services[0].Supply.Min = 5 }},
		{"service idle: no route leads to it", check.SeverityWarning, func(d *check.Document) {
			d.Services = append(d.Services, models.RoutedService{Name: "idle"})
		}},
		{"workspace stock: workspace sales has one of its keys too", check.SeverityError, func(d *check.Document) {
			d.Workspaces = append(d.Workspaces, check.Workspace{Name: "stock", Keys: d.Workspaces[0].Keys})
		}},
		{"workspace sales: it has no keys", check.SeverityWarning, func(d *check.Document) { d.Workspaces[0].Keys = nil }},
		{"a request that states no tokens counts as 90", check.SeverityError, func(d *check.Document) {
			d.Workspaces[0].Limit = models.RateLimit{PerSecond: 4, Burst: 4, Tokens: true, PlainTokens: 90}
		}},
		{"a burst has no effect", check.SeverityWarning, func(d *check.Document) { d.Workspaces[0].Limit = models.RateLimit{Burst: 4} }},
		{"a header may take 2s", check.SeverityWarning, func(d *check.Document) { d.Routing.Limits.HeaderTimeout = 2 * time.Second }},
	}
	for _, test := range tests {
		t.Run(test.text, func(t *testing.T) {
			d := valid()
			test.breakIt(d)
			expectFinding(is.New(t), check.Configuration(d), test.severity, test.text)
		})
	}
}

func TestCompare(t *testing.T) {
	t.Run("shows changed fields and keys without showing the keys", func(t *testing.T) {
		is := is.New(t)
		before, after := valid(), valid()
		after.Routing.Version = 4
		after.Routing.Routes[0].Timeout = 7 * time.Second
		after.Workspaces[0].Keys = [][32]byte{sha256.Sum256([]byte("other"))}
		after.Workspaces[0].Limit.PerSecond = 5
		after.Workspaces[0].Rank = new(int)
		changes, findings := check.Compare(before, after)
		is.Equal(len(findings), 0)
		is.Equal(changes, []check.Difference{
			{Subject: check.Subject{Kind: check.KindRoute, Name: "ask"}, Change: check.ChangeField, Field: "timeout", Before: "5s", After: "7s"},
			{Subject: check.Subject{Kind: check.KindWorkspace, Name: "sales"}, Change: check.ChangeField, Field: "keys", Before: "1 keys, 1 withdrawn", After: "1 keys, 1 given"},
			{Subject: check.Subject{Kind: check.KindWorkspace, Name: "sales"}, Change: check.ChangeField, Field: "rank", Before: "none", After: "0"},
			{Subject: check.Subject{Kind: check.KindWorkspace, Name: "sales"}, Change: check.ChangeField, Field: "per-second", Before: "0", After: "5"},
		})
	})
	t.Run("a version that is not newer is an error", func(t *testing.T) {
		_, findings := check.Compare(valid(), valid())
		expectFinding(is.New(t), findings, check.SeverityError, "version 3 does not follow version 3")
	})
	t.Run("a dropped route is named", func(t *testing.T) {
		is := is.New(t)
		after := valid()
		after.Routing.Routes = nil
		changes, findings := check.Compare(valid(), after)
		is.Equal(changes[0].Change, check.ChangeRemoved)
		expectFinding(is, findings, check.SeverityWarning, "route ask: requests that match it today match no route")
	})
}
