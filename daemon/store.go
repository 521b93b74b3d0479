package daemon

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"quincewinch/peer"
	"quincewinch/peer/platform"
)

// platformServices are the platform's services as all parts of the daemon use
// them.
type platformServices struct {
	table   peer.Table
	objects peer.Objects
	vms     peer.VMs
	servers peer.Servers
	usage   peer.UsageReports
}

// platformServices returns the services behind the address in the settings.
// Calls of the table are tried again; the others are single attempts.
func (d *Daemon) platformServices(client *http.Client) platformServices {
	attempts := platform.NewClient(d.settings.Platform.URL.String(), client)
	seed := xxhash.Sum64String(string(d.id))
	settings := platform.DefaultRetrySettings(d.settings.Platform.Timeout, seed)
	return platformServices{
		table:   platform.NewRetryTable(attempts, d.clock, settings),
		objects: attempts,
		vms:     attempts,
		servers: platform.NewServers(attempts),
		usage:   platform.NewUsage(attempts),
	}
}
