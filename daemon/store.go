package daemon

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"quincewinch/peer"
	"quincewinch/peer/platform"
)

// platformServices holds the clients of the platform's services.
type platformServices struct {
	table   *platform.RetryTable
	objects peer.Objects
	vms     peer.VMs
	servers peer.Servers
	usage   peer.UsageReports
}

// platformServices returns clients for the platform URL in the settings. Table
// calls are retried; calls of the other services are single attempts.
func (d *Daemon) platformServices(client *http.Client) platformServices {
	platformClient := platform.NewClient(d.settings.Platform.URL.String(), client)
	seed := xxhash.Sum64String(string(d.id))
	settings := platform.DefaultRetrySettings(d.settings.Platform.Timeout, seed)
	return platformServices{
		table:   platform.NewRetryTable(platformClient, d.clock, settings),
		objects: platformClient,
		vms:     platformClient,
		servers: platform.NewServers(platformClient),
		usage:   platform.NewUsage(platformClient),
	}
}
