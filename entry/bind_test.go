package entry_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"quincewinch/config"
	"quincewinch/entry"
	"quincewinch/peer/system"
)

// Guards against daemons that do not come back with their VM, as something there still
// holds an address of theirs.
func TestDaemonWaitsForAnAddressInUse(t *testing.T) {
	for _, held := range []string{"callers", "readiness", "daemons", "metrics"} {
		t.Run(held, func(t *testing.T) {
			is := is.New(t)
			d := prepare(t)
			addresses := map[string]string{"callers": d.callerAddress, "readiness": freeAddress(t), "daemons": freeAddress(t), "metrics": freeAddress(t)}
			holder, err := net.Listen("tcp", addresses[held])
			is.NoErr(err)
			settings := `{"name": "vm-1", "zone": "z", "first-start": true, "callers": {"address": "` + addresses["callers"] + `", "grace": "200ms"},
				"readiness": {"address": "` + addresses["readiness"] + `"}, "daemons": {"address": "` + addresses["daemons"] + `"},
				"metrics": {"address": "` + addresses["metrics"] + `"}, "store": {"address": "` + d.storeAddress + `", "notice": "1ms"}}`
			parsed, err := config.ParseEntry([]byte(settings))
			is.NoErr(err)
			core, logs := observer.New(zap.WarnLevel)
			daemon := entry.New(parsed, zap.New(core), system.NewClock(), system.NewWallClock(), func() int64 { return 0 })
			started := make(chan error, 1)
			go func() { started <- daemon.Start(t.Context()) }()
			for logs.FilterMessageSnippet("address in use").Len() == 0 {
			}
			is.NoErr(holder.Close())
			is.NoErr(<-started)
			t.Cleanup(func() { daemon.Stop(t.Context()) })
			for !daemon.Ready() {
			}
			status, _ := d.post("/reserve/1", "r1", "key-1")
			is.Equal(status, http.StatusOK)
		})
	}
}
