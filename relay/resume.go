package relay

import (
	"context"
	"time"

	"quincewinch/models"
)

const (
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

// Origins records the software that begins streams, for all daemons. It is safe for
// concurrent use.
type Origins interface {
	// Record records the software that begins the stream of a request; a zero
	// Software means that it cannot be told. A higher revision replaces a lower
	// one. Divided means that the route of the request leads to several services. The
	// origin is kept until expires.
	Record(id models.RequestID, software models.Software, revision int, divided bool, expires time.Time)
}

// OriginFinder finds out which software began a stream. It is safe for concurrent use.
type OriginFinder interface {
	// Find returns the software that began the stream of a request, on a route that
	// leads to some services. The request is unknown if its ID is empty. Find fails
	// unless the software is certain.
	Find(ctx context.Context, id models.RequestID, services []models.ServiceName) (models.Software, error)
}

// Resume determines the origin of a stream that a caller resumes, and with it the
// service. A request whose origin is not certain is refused as not run: the
// caller may find a daemon that knows it, and a stream that goes on at another
// version is worse than one that ends.
func Resume(finder OriginFinder) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			if !e.Route.Stream || e.Call.ResumeAfter == "" && e.Resumes == "" {
				return next.Handle(ctx, e)
			}
			software, err := finder.Find(ctx, e.Resumes, servicesOf(e.Route))
			if err != nil {
				return &models.Refusal{
					Code:       models.RefusalUnknownStream,
					Message:    "it is not known which version began the stream: " + err.Error(),
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

// servicesOf returns the services that a route leads to.
func servicesOf(route models.PathRoute) []models.ServiceName {
	var services []models.ServiceName
	for _, target := range route.Targets {
		services = append(services, target.Service)
	}
	return services
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
