package entry_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"quincewinch/platform/emulator"
)

// Guards against an entry of another writer among the registrations that ends the
// process, or that keeps it from following them.
func TestOddEntryAmongRegistrations(t *testing.T) {
	const valid = `"service": "desk", "zone": "z", "state": "ready", "version": "v1"`
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	tests := []struct {
		name, value string
	}{
		{"nested", nested(32000)},
		{"nested objects", strings.Repeat(`{"a":`, 10000) + "1" + strings.Repeat("}", 10000)},
		{"nested without an end", strings.Repeat("[", 60000)},
		{"nested in a field", `{` + valid + `, "address": "127.0.0.1:1", "slots": 8, "more": ` + nested(20000) + `}`},
		{"nested as a field", `{` + valid + `, "slots": 8, "address": ` + nested(9000) + `}`},
		{"number too large for an integer", `{` + valid + `, "address": "127.0.0.1:1", "slots": 99999999999999999999999}`},
		{"number too large for a float", `{` + valid + `, "address": "127.0.0.1:1", "slots": 8, "cold_left_ms": 1e999}`},
		{"exponent too large", `{` + valid + `, "address": "127.0.0.1:1", "slots": 1e999999999}`},
		{"slots out of range", `{` + valid + `, "address": "127.0.0.1:1", "slots": 9223372036854775807}`},
		{"negative slots", `{` + valid + `, "address": "127.0.0.1:1", "slots": -9223372036854775808}`},
		{"warm-up out of range", `{` + valid + `, "address": "127.0.0.1:1", "slots": 8, "cold_left_ms": 1e300}`},
		{"negative warm-up", `{` + valid + `, "address": "127.0.0.1:1", "slots": 8, "cold_left_ms": -1e300}`},
		{"start out of range", `{` + valid + `, "address": "127.0.0.1:1", "slots": 8, "born": 9223372036854775807}`},
		{"start long ago", `{` + valid + `, "address": "127.0.0.1:1", "slots": 8, "born": -9223372036854775808}`},
		{"port out of range", `{` + valid + `, "address": "127.0.0.1:65536", "slots": 8}`},
		{"port too large", `{` + valid + `, "address": "127.0.0.1:99999999999999999999", "slots": 8}`},
		{"negative port", `{` + valid + `, "address": "127.0.0.1:-1", "slots": 8}`},
		{"port zero", `{` + valid + `, "address": "127.0.0.1:0", "slots": 8}`},
		{"no port", `{` + valid + `, "address": "127.0.0.1", "slots": 8}`},
		{"address unspecified", `{` + valid + `, "address": "0.0.0.0:80", "slots": 8}`},
		{"bytes that are no text", "\xff\xfe\x00{"},
		{"nothing", ""},
		{"null", "null"},
		{"text", `"ready"`},
	}
	d := start(t)
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d.store.Put("servers", "i-odd", []byte(test.value))
			// An engine that registers afterwards is learned of, and no request goes to
			// the odd one.
			next := &emulator.Server{ID: "i-next-" + strconv.Itoa(i)}
			d.register(next.ID, "desk", "", next)
			for id := 0; len(next.Runs()) == 0; id++ {
				status, body := d.post("/reserve/x", strconv.Itoa(i)+"-"+strconv.Itoa(id), "key-1")
				is.Equal(status, http.StatusOK)
				is.True(strings.HasPrefix(body, "answer of i-"))
			}
			d.store.Remove("servers", next.ID)
		})
	}
}
