package relay

import (
	"context"
	"slices"
	"time"

	"quincewinch/models"
)

const (
	// MaxStreamAge is the longest time after which a caller may resume a stream
	// that its request began. A stream that is older counts as unknown.
	MaxStreamAge = time.Minute
	// originMargin is how long an origin is kept after the caller's deadline.
	originMargin = time.Second
	// unknownStreamRetryAfter is sent to callers that resume a stream whose origin
	// is not known here: load shares with it may be under way, and other daemons
	// may know it.
	unknownStreamRetryAfter = 200 * time.Millisecond
	// otherServiceRetryAfter is sent to callers that resume a stream of a service
	// that their route does not use any more.
	otherServiceRetryAfter = time.Second
)

// Origins knows the software that began the streams of all daemons. It is safe
// for concurrent use.
type Origins interface {
	// Record records the software that begins the stream of a request; a zero
	// Software means that it cannot be told. A higher revision replaces a lower
	// one. Divided means that the route of the request leads to several services. The
	// origin is kept until expires, but no longer than MaxStreamAge.
	Record(id models.RequestID, software models.Software, revision int, divided bool, expires time.Time)
	// Lookup returns the software that began the stream of a request. It reports
	// false if that is not known.
	Lookup(id models.RequestID) (models.Software, bool)
	// Versions returns the versions that began streams of a service which callers
	// may still resume.
	Versions(service models.ServiceName) []string
}

// VersionHistory knows which software versions were registered.
type VersionHistory interface {
	// Seen returns the versions of the backend servers that a service has had for a
	// period. It reports whether they are all: whether the registrations were
	// followed all the time.
	Seen(service models.ServiceName, period time.Duration) (versions []string, complete bool)
}

// Resume determines the origin of a stream that a caller resumes, and with it the
// service. A request whose origin is not certain is refused as not run: the
// caller may find a daemon that knows it, and a stream that goes on at another
// version is worse than one that ends.
func Resume(origins Origins, history VersionHistory) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			if !e.Route.Stream || e.Call.ResumeAfter == "" && e.Resumes == "" {
				return next.Handle(ctx, e)
			}
			software, ok := findOrigin(e, origins, history)
			if !ok {
				return &models.Refusal{
					Code:       models.RefusalUnknownStream,
					Message:    "it is not known which version began the stream",
					NotRun:     true,
					RetryAfter: unknownStreamRetryAfter,
				}
			}
			if !leadsTo(e.Route, software.Service) {
				return &models.Refusal{
					Code:       models.RefusalNoBackend,
					Message:    "the route does not use the service that began the stream",
					NotRun:     true,
					RetryAfter: otherServiceRetryAfter,
				}
			}
			e.Origin = &software
			e.Service = e.Routing.Services[software.Service]
			return next.Handle(ctx, e)
		})
	}
}

// findOrigin returns the software that began the stream that a request resumes.
// If the stream is not known, it is certain only while the route has one service,
// all of one version. The record of a stream that the caller does not name is one
// of those that are known; that of one which it names and which is not known may
// have been of any version.
func findOrigin(e *Exchange, origins Origins, history VersionHistory) (models.Software, bool) {
	if software, ok := origins.Lookup(e.Resumes); ok {
		return software, true
	}
	service := e.Service.Name
	seen, complete := history.Seen(service, MaxStreamAge)
	if len(e.Route.Targets) != 1 || e.Resumes != "" && !complete {
		return models.Software{}, false
	}
	versions := append(seen, origins.Versions(service)...)
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if len(versions) != 1 {
		return models.Software{}, false
	}
	return models.Software{Service: service, Version: versions[0]}, true
}

func leadsTo(route models.PathRoute, service models.ServiceName) bool {
	for _, target := range route.Targets {
		if target.Service == service && target.Weight > 0 {
			return true
		}
	}
	return false
}

// originExpiry returns until when the caller may resume the stream of a request.
func originExpiry(e *Exchange) time.Time {
	expires := e.Deadline
	if e.CallerTimeout > 0 {
		expires = e.Received.Add(e.CallerTimeout)
	}
	return expires.Add(originMargin)
}
