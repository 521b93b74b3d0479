package entry

import (
	"github.com/cespare/xxhash/v2"

	"quincewinch/balance"
	"quincewinch/config"
	"quincewinch/models"
	"quincewinch/policy/limit"
)

// limitView is what the limits of workspaces depend on. It implements ratelimit.View.
type limitView struct {
	daemon *Daemon
}

// Group implements ratelimit.View.
func (v limitView) Group() limit.Group {
	return balance.ReportSources(v.daemon.settings.Load().Zone, v.daemon.sharing.members)
}

// Routing implements ratelimit.View.
func (v limitView) Routing() *models.Routing {
	return v.daemon.configuration.Routing()
}

func limitSettings(settings *config.Entry) limit.JointSettings {
	return limit.JointSettings{
		Filled: settings.FirstStart,
		Over:   settings.Limits.Over,
		Seed:   xxhash.Sum64String(settings.Name),
	}
}
