package resume

import (
	"maps"
	"slices"

	"quincewinch/models"
)

// source is where origins of a service were learned.
type source struct {
	service models.ServiceName
	scope   Scope
}

// Learned implements balance.OriginLog.
func (o *Origins) Learned(position uint64, scope Scope) bool {
	return len(o.servicesSince(position, scope)) > 0
}

// Urgent implements balance.OriginLog. An origin is urgent if a daemon that does
// not know it could not tell which software began the stream.
func (o *Origins) Urgent(position uint64, scope Scope) bool {
	return o.dividedSince(position) || slices.ContainsFunc(o.servicesSince(position, scope), o.contested)
}

// dividedSince reports whether a stream of a divided route has begun here after a
// position.
func (o *Origins) dividedSince(position uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.divided > position
}

// servicesSince returns the services of the origins that were learned in a scope
// after a position.
func (o *Origins) servicesSince(position uint64, scope Scope) []models.ServiceName {
	o.mu.Lock()
	defer o.mu.Unlock()
	var services []models.ServiceName
	for s, latest := range o.latest {
		if latest > position && s.scope&scope != 0 {
			services = append(services, s.service)
		}
	}
	return services
}

// contested reports whether a service has, or may have, more than one version.
// Registrations that this daemon has not read for a while, or lags behind with, may
// hold another one; the streams of other daemons tell of it too.
func (o *Origins) contested(service models.ServiceName) bool {
	if service == "" { // it is not known which software began the stream
		return true
	}
	versions, current := o.versions.Candidates(service)
	if !current {
		return true
	}
	versions = append(versions, o.Versions(service)...)
	slices.Sort(versions)
	return len(slices.Compact(versions)) > 1
}

// contestedServices returns the services of known streams that are contested.
func (o *Origins) contestedServices() map[models.ServiceName]bool {
	o.mu.Lock()
	services := map[models.ServiceName]bool{}
	for software := range o.begun {
		services[software.Service] = true
	}
	o.mu.Unlock()
	maps.DeleteFunc(services, func(service models.ServiceName, _ bool) bool { return !o.contested(service) })
	return services
}
