package check

import "quincewinch/models"

// checkServices checks the limits of services, and that routes use them.
func (f *findings) checkServices(d *Document) {
	used := map[models.ServiceName]bool{}
	generates := map[models.ServiceName]bool{}
	for _, r := range d.Routing.Routes {
		for _, target := range r.Targets {
			used[target.Service] = true
			generates[target.Service] = generates[target.Service] || r.Generation
		}
	}
	names := map[models.ServiceName]bool{}
	for _, s := range d.Services {
		f.about(KindService, string(s.Name))
		f.errorIf(s.Name == "", "it has no name")
		f.errorIf(names[s.Name], "another service has the same name")
		f.warnIf(!used[s.Name], "no route leads to it")
		f.warnIf(s.Engine != nil && used[s.Name] && !generates[s.Name], "it has model engines, but no route to it carries prompts")
		f.errorIf(s.MaxConnections < 0, "the number of connections is negative")
		names[s.Name] = true
		if s.Engine != nil {
			f.checkEngine(s)
		}
		if s.Supply != nil {
			f.checkSupply(*s.Supply)
		}
	}
}

// checkEngine checks the limits of a service's engines.
func (f *findings) checkEngine(s models.RoutedService) {
	e := *s.Engine
	f.errorIf(e.Slots <= 0, "its engines have no slots")
	f.errorIf(e.Capacity <= 0, "its engines have no KV cache")
	f.errorIf(s.MaxConnections > 0 && s.MaxConnections < e.Slots, "an engine accepts %d connections, which cannot fill its %d slots", s.MaxConnections, e.Slots)
	f.errorIf(e.Slots > 0 && e.Capacity > 0 && e.Capacity < e.Slots, "the KV cache of %d tokens is smaller than the %d slots", e.Capacity, e.Slots)
	f.warnIf(e.LinkMbps <= 0 && e.TokenBytes > 0, "KV cache is never transferred: the link has no bandwidth")
	f.errorIf(e.HandleTTL < 0 || e.RoleChange < 0, "a duration is negative")
}

// checkSupply checks the limits for ordering backend servers.
func (f *findings) checkSupply(limits models.SupplyLimits) {
	f.errorIf(limits.Min < 0, "the minimum of backend servers is negative")
	f.errorIf(limits.Min > limits.Max, "the minimum of %d backend servers is above the maximum of %d", limits.Min, limits.Max)
	f.warnIf(limits.Max == 0, "no backend servers can be ordered: the maximum is 0")
	f.errorIf(limits.Startup < 0, "the startup time is negative")
	f.errorIf(limits.CheapPrice < 0, "the price of a cheap backend server is negative")
	f.warnIf(limits.CheapPrice >= 1, "cheap backend servers cost as much as reserved ones")
	for zone, price := range limits.ZonePrices {
		f.errorIf(price < 0, "the price in zone %s is negative", zone)
	}
}
