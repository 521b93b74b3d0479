package config_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"quincewinch/config"
)

// renderedBounds are the fields that the platform renders into the settings file
// and that a deployment chooses.
var renderedBounds = map[string]string{
	"bounds.grace_s":            "8",
	"bounds.contact_ms":         "3000",
	"bounds.drain_ms":           "2000",
	"bounds.usage_window_s":     "5",
	"bounds.usage_late_s":       "10",
	"bounds.lease_ms":           "3000",
	"bounds.retry_budget_ratio": "0.2",
	"bounds.retry_window_s":     "10",
	"bounds.budget_slack":       "54",
	"bounds.quota_over":         "0.1",
	"cloud_api.duty_per_s":      "50",
	"limits.memory_mb":          "284",
	"limits.max_fds":            "4100",
}

// neverZero are the bounds with which zero leaves nothing to do: periods, and the
// time within which reports are due.
var neverZero = map[string]bool{
	"bounds.usage_window_s": true,
	"bounds.usage_late_s":   true,
	"bounds.lease_ms":       true,
	"bounds.retry_window_s": true,
}

// render renders the template of the settings as the platform does, as far as the
// template uses its rules: values, and sections of fields that are present.
func render(t *testing.T, fields map[string]string) string {
	t.Helper()
	raw, err := os.ReadFile("../deploy/entry.json.tmpl")
	is.New(t).NoErr(err)
	text := string(raw)
	for {
		open := regexp.MustCompile(`\{\{([#^])([a-z_.]+)\}\}`).FindStringSubmatchIndex(text)
		if open == nil {
			break
		}
		kind, name := text[open[2]:open[3]], text[open[4]:open[5]]
		end := "{{/" + name + "}}"
		length := strings.Index(text[open[1]:], end)
		is.New(t).True(length >= 0) // the section ends
		body, rest := text[open[1]:open[1]+length], text[open[1]+length+len(end):]
		if _, present := fields[name]; present != (kind == "#") {
			body = ""
		}
		text = text[:open[0]] + body + rest
	}
	return regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(text, func(placeholder string) string {
		return fields[strings.Trim(placeholder, "{}")]
	})
}

// expectAccepted checks that a daemon starts with the settings that are rendered when
// the deployment states some fields otherwise; an empty value stands for a field that
// it does not state.
func expectAccepted(t *testing.T, changes map[string]string) *config.Entry {
	t.Helper()
	fields := map[string]string{
		"node_name|json": `"vm-1"`, "zone|json": `"a"`, "zones": "", "@": "a", ",": "",
		"listen.front": "127.0.0.1:1", "listen.readiness": "127.0.0.1:2", "ip": "127.0.0.1",
		"port_range.0": "3", "port_range.1": "4", "provider.address": "127.0.0.1:5", "cloud_api.address": "127.0.0.1:6",
	}
	for name, value := range renderedBounds {
		fields[name] = value
	}
	for name, value := range changes {
		fields[name] = value
		if value == "" {
			delete(fields, name)
		}
	}
	rendered := render(t, fields)
	s, err := config.ParseEntry([]byte(rendered))
	if err != nil {
		t.Fatalf("%v with %v:\n%s", err, changes, rendered)
	}
	return s
}

// TestRenderedSettings checks that no form in which a deployment may state a bound
// keeps the daemons from starting.
func TestRenderedSettings(t *testing.T) {
	for name := range renderedBounds {
		for form, value := range map[string]string{"fraction": "35.833333333333336", "small": "0.25", "very large": "1000000000", "zero": "0", "zero fraction": "0.0", "absent": ""} {
			if neverZero[name] && strings.HasPrefix(form, "zero") {
				continue
			}
			t.Run("first start", func(t *testing.T) {
				is := is.New(t)
				is.True(expectAccepted(t, map[string]string{"first_start": "true"}).FirstStart)
				is.True(!expectAccepted(t, nil).FirstStart)
			})
			t.Run(name+" "+form, func(t *testing.T) {
				expectAccepted(t, map[string]string{name: value})
			})
		}
	}
	t.Run("no duties", func(t *testing.T) {
		s := expectAccepted(t, map[string]string{"cloud_api.address": "", "cloud_api.duty_per_s": ""})
		is.New(t).True(!s.Duties.ReportUsage && !s.Duties.OrderServers)
	})
	t.Run("no bounds at all", func(t *testing.T) {
		absent := map[string]string{}
		for name := range renderedBounds {
			absent[name] = ""
		}
		expectAccepted(t, absent)
	})
	t.Run("terms", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(expectAccepted(t, nil).Terms), 0)
		// The section is rendered once for each entry; here there is one.
		is.Equal(expectAccepted(t, map[string]string{"contracts": "pressure", ".": "pressure"}).Terms, []string{"pressure"})
	})
	t.Run("what the VM has", func(t *testing.T) {
		is := is.New(t)
		vm := expectAccepted(t, nil).VM
		is.Equal(vm.MemoryBytes, 284_000_000)
		is.Equal(vm.Descriptors, 4100)
	})
	t.Run("a fraction of a retry", func(t *testing.T) {
		is.New(t).Equal(expectAccepted(t, map[string]string{"bounds.budget_slack": "35.5"}).Retries.Reserve, 35.5)
	})
}
