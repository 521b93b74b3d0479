package commands_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const inForceConfiguration = `{"version":7,
"routes":[{"name":"ask","host":"a.example","prefix":"/ask/","kind":"idempotent","timeout_ms":5000,"target_latency_ms":600,"service":"desk","attempts":2}],
"services":[{"name":"desk","max_connections":5}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"sales","api_keys":["k1"]}]}`

// writeConfiguration writes a configuration and returns its path.
func writeConfiguration(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "configuration.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// expectCheck runs a check and checks its exit status and part of its output.
func expectCheck(t *testing.T, status int, output string, args ...string) {
	t.Helper()
	is := is.New(t)
	stdout, stderr, got := run(append([]string{"check"}, args...)...)
	is.Equal(got, status)
	is.True(strings.Contains(stdout+stderr, output)) // the output has the text
}

func TestCheckExitStatus(t *testing.T) {
	inForce := writeConfiguration(t, inForceConfiguration)
	next := strings.Replace(inForceConfiguration, `"version":7`, `"version":8`, 1)
	t.Run("good", func(t *testing.T) {
		expectCheck(t, 0, "the configuration is good", inForce)
	})
	t.Run("warning", func(t *testing.T) {
		expectCheck(t, 0, "the field routes.timout_ms is not known", writeConfiguration(t, strings.Replace(next, `"attempts"`, `"timout_ms":3,"attempts"`, 1)))
	})
	t.Run("error", func(t *testing.T) {
		expectCheck(t, 2, "the service dask does not exist", writeConfiguration(t, strings.Replace(next, `"service":"desk"`, `"service":"dask"`, 1)))
	})
	t.Run("wrong type", func(t *testing.T) {
		expectCheck(t, 2, "version must not be a string", writeConfiguration(t, strings.Replace(next, `8`, `"8"`, 1)))
	})
	t.Run("no file", func(t *testing.T) {
		expectCheck(t, 1, "cannot read the configuration", inForce+".missing")
	})
	t.Run("not newer than the version in force", func(t *testing.T) {
		expectCheck(t, 2, "version 7 does not follow version 7", inForce, "--against", inForce)
	})
}

func TestCheckShowsChangesAsJSON(t *testing.T) {
	is := is.New(t)
	changed := strings.NewReplacer(`"version":7`, `"version":8`, `"timeout_ms":5000`, `"timeout_ms":2500`, `"k1"`, `"k1","k2"`).Replace(inForceConfiguration)
	stdout, _, status := run("check", writeConfiguration(t, changed), "--against", writeConfiguration(t, inForceConfiguration), "--json")
	is.Equal(status, 0)
	var form struct {
		Findings []any               `json:"findings"`
		Changes  []map[string]string `json:"changes"`
	}
	is.NoErr(json.Unmarshal([]byte(stdout), &form))
	is.Equal(len(form.Findings), 0)
	is.Equal(len(form.Changes), 2)
	is.Equal(form.Changes[0]["before"]+" "+form.Changes[0]["after"], "5s 2.5s")
	is.True(!strings.Contains(stdout, "k2")) // keys are not shown
}
