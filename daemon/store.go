package daemon

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"quincewinch/peer"
	"quincewinch/peer/platform"
)

// store returns the platform's table as all parts of the daemon use it.
func (d *Daemon) store(client *http.Client) peer.Table {
	attempts := platform.NewClient(d.settings.Platform.URL.String(), client)
	seed := xxhash.Sum64String(string(d.id))
	settings := platform.DefaultRetrySettings(d.settings.Platform.Timeout, seed)
	return platform.NewRetryTable(attempts, d.clock, settings)
}
