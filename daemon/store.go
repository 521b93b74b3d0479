package daemon

import (
	"github.com/cespare/xxhash/v2"

	"quincewinch/peer"
	"quincewinch/peer/platform"
)

// store returns the platform's table as all parts of the daemon use it.
func (d *Daemon) store(attempts *platform.Client) peer.Table {
	seed := xxhash.Sum64String(string(d.id))
	settings := platform.DefaultRetrySettings(d.settings.Platform.Timeout, seed)
	return platform.NewRetryTable(attempts, d.clock, settings)
}
