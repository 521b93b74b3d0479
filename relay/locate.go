package relay

import (
	"context"
	"crypto/sha256"
	"net"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// noConfigRetryAfter is sent to callers of a daemon that has no
	// configuration yet: it reads one within a single call to the store.
	noConfigRetryAfter = 500 * time.Millisecond
	// defaultTimeout bounds a request for which neither the caller nor the
	// route sets a timeout.
	defaultTimeout = time.Minute
)

// RoutingView provides the routing configuration in force.
type RoutingView interface {
	// Routing returns nil before the first configuration is read.
	Routing() *models.Routing
}

// Locate resolves the route, the workspace and the service of a request, and
// sets its deadline. API keys are looked up by their hash, so that the time of
// a comparison does not depend on the bytes of the key.
func Locate(view RoutingView, clock peer.Clock) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			key := e.Key
			e.Key = ""
			routing := view.Routing()
			if routing == nil {
				return noConfiguration()
			}
			e.Routing = routing
			if err := locate(e, key); err != nil {
				return err
			}
			e.Deadline = e.Received.Add(requestTimeout(e))
			if !clock.Now().Before(e.Deadline) {
				return &models.Refusal{Code: models.RefusalDeadline, Message: "the request's time was over when it had been read", NotRun: true}
			}
			return next.Handle(ctx, e)
		})
	}
}

func noConfiguration() error {
	return &models.Refusal{
		Code:       models.RefusalStoreUnreachable,
		Message:    "this daemon has no configuration yet",
		NotRun:     true,
		RetryAfter: noConfigRetryAfter,
	}
}

// Authorize returns the workspace of a request that has not been located, as Locate
// would set it. Its error is a *models.Refusal.
func Authorize(routing *models.Routing, e *Exchange) (models.Workspace, error) {
	if routing == nil {
		return "", noConfiguration()
	}
	e.authorization = authorize(routing, e, e.Key)
	return e.authorization.grant.Workspace, e.authorization.err
}

// authorization is the route of a request, and what its key grants, if anything, under a
// configuration.
type authorization struct {
	routing *models.Routing
	route   models.PathRoute
	grant   models.KeyGrant
	err     error // a *models.Refusal
}

func authorize(routing *models.Routing, e *Exchange, key string) authorization {
	a := authorization{routing: routing}
	route, ok := findRoute(routing, e.Call.Host, e.Call.Target)
	if !ok {
		a.err = &models.Refusal{Code: models.RefusalUnknownRoute, Message: "no route for host and path", NotRun: true}
		return a
	}
	a.route = route
	grant, known := routing.Keys[sha256.Sum256([]byte(key))]
	if known && key != "" {
		a.grant = grant
	} else if !route.Open && routing.RequireKeys {
		a.err = &models.Refusal{Code: models.RefusalInvalidKey, Message: "the key is not valid", NotRun: true}
	}
	return a
}

// locate sets the fields of an exchange that follow from its route and key.
func locate(e *Exchange, key string) error {
	a := e.authorization
	if a.routing != e.Routing { // another is in force since
		a = authorize(e.Routing, e, key)
	}
	e.Route = a.route
	e.Rank = a.route.Rank
	if a.err != nil {
		return a.err
	}
	e.Workspace = a.grant.Workspace
	if a.grant.HasRank {
		e.Rank = a.grant.Rank
	}
	e.Call.Workspace = e.Workspace
	e.Service = e.Routing.Services[chooseService(a.route.Targets, e.ID)]
	return nil
}

// findRoute returns the route of the host with the longest matching path
// prefix.
func findRoute(routing *models.Routing, host, target string) (models.PathRoute, bool) {
	name := hostName(host)
	path, _, _ := strings.Cut(target, "?")
	best := -1
	for i, route := range routing.Routes {
		if route.Host != name || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best < 0 || len(route.Prefix) > len(routing.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return models.PathRoute{}, false
	}
	return routing.Routes[best], true
}

// hostName returns a host in lower case without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// chooseService picks a service by weight. It hashes the request ID, so that
// all daemons pick the same service for a request.
func chooseService(targets []models.WeightedService, id models.RequestID) models.ServiceName {
	total := 0
	for _, target := range targets {
		total += target.Weight
	}
	if total == 0 {
		return ""
	}
	point := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, target := range targets {
		point -= target.Weight
		if point < 0 {
			return target.Service
		}
	}
	return targets[len(targets)-1].Service
}

// requestTimeout returns the timeout of a request, counted from its arrival:
// the shorter of the route's and the caller's.
func requestTimeout(e *Exchange) time.Duration {
	timeout := e.Route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if e.CallerTimeout > 0 && e.CallerTimeout < timeout {
		return e.CallerTimeout
	}
	return timeout
}
