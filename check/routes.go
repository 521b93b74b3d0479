package check

import (
	"strings"
	"time"

	"quincewinch/models"
)

// address is what a request needs to match a route.
type address struct {
	host, prefix string
}

// checkRoutes checks which requests match each route and how they are served.
func (f *findings) checkRoutes(d *Document) {
	f.about(KindConfiguration, "")
	f.warnIf(len(d.Routing.Routes) == 0, "there are no routes: each request is refused")
	services := map[models.ServiceName]models.RoutedService{}
	for _, s := range d.Services {
		services[s.Name] = s
	}
	names := map[string]bool{}
	owners := map[address]string{}
	for _, r := range d.Routing.Routes {
		f.about(KindRoute, r.Name)
		f.errorIf(r.Name == "", "it has no name")
		f.errorIf(names[r.Name], "another route has the same name")
		names[r.Name] = true
		f.checkMatch(r, owners)
		f.checkTargets(r, services)
		f.checkRouteLimits(r)
		f.errorIf(!r.Open && d.Routing.RequireKeys && len(d.Routing.Keys) == 0, "it needs a key, but no workspace has one: each request is refused")
	}
}

// checkMatch checks that requests can match a route. Owners are the routes before it,
// by what they match.
func (f *findings) checkMatch(r models.PathRoute, owners map[address]string) {
	f.errorIf(r.Host == "", "it never matches: it has no host")
	f.errorIf(strings.Contains(r.Host, ":"), "it never matches: the host %q has a port, which is not compared", r.Host)
	f.errorIf(strings.Contains(r.Host, "/"), "it never matches: the host %q is no host name", r.Host)
	f.errorIf(!strings.HasPrefix(r.Prefix, "/"), "it never matches: the prefix %q does not begin with a slash", r.Prefix)
	f.errorIf(!strings.HasSuffix(r.Prefix, "/"), "the prefix %q does not end with a slash", r.Prefix)
	f.errorIf(strings.ContainsAny(r.Prefix, "?#"), "it never matches: the prefix %q contains a query, which is not compared", r.Prefix)
	key := address{r.Host, r.Prefix}
	owner, taken := owners[key]
	f.errorIf(taken, "it never matches: route %s has the same host and prefix and comes first", owner)
	if !taken {
		owners[key] = r.Name
	}
}

// checkTargets checks the services of a route.
func (f *findings) checkTargets(r models.PathRoute, services map[models.ServiceName]models.RoutedService) {
	f.errorIf(len(r.Targets) == 0, "it has no service: each request is refused")
	seen := map[models.ServiceName]bool{}
	engines := len(r.Targets) == 0
	for _, target := range r.Targets {
		service, known := services[target.Service]
		f.errorIf(!known, "the service %s does not exist", target.Service)
		f.warnIf(seen[target.Service], "the service %s is listed twice", target.Service)
		seen[target.Service] = true
		engines = engines || service.Engine != nil
	}
	f.warnIf(r.Generation && !engines, "its requests carry prompts, but none of its services has model engines")
}

// checkRouteLimits checks that the limits of a route fit together.
func (f *findings) checkRouteLimits(r models.PathRoute) {
	f.errorIf(r.Timeout < 0 || r.LatencyTarget < 0 || r.GapTarget < 0, "a duration is negative")
	f.warnIf(r.Timeout == 0, "it has no time limit of its own")
	f.errorIf(exceeds(r.LatencyTarget, r.Timeout), "the latency target of %s lies beyond the time limit of %s", r.LatencyTarget, r.Timeout)
	f.errorIf(exceeds(r.GapTarget, r.Timeout), "the longest pause between events of %s lies beyond the time limit of %s", r.GapTarget, r.Timeout)
	f.warnIf(!r.Stream && r.GapTarget > 0, "a pause between events has no effect: its answers are no streams")
	f.errorIf(r.Rank < 0, "the rank is negative")
}

// exceeds reports whether a duration lies beyond a limit that is set.
func exceeds(d, limit time.Duration) bool {
	return limit > 0 && d > limit
}
