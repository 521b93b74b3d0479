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
	// noConfigRetryAfter is when a caller should come back to a daemon that has
	// no configuration yet: it reads one within a call of the store.
	noConfigRetryAfter = 500 * time.Millisecond
	// defaultTimeout bounds a request where neither its caller nor its route
	// does.
	defaultTimeout = time.Minute
)

// RoutingView gives the configuration in force, nil before the first one.
type RoutingView interface {
	Routing() *models.Routing
}

// Locate finds the route, the workspace and the service of a request. A key is
// looked up by its hash, so that no comparison depends on the secret's bytes.
func Locate(view RoutingView, clock peer.Clock) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, e *Exchange) error {
			key := e.Key
			e.Key = ""
			routing := view.Routing()
			if routing == nil {
				return &models.Refusal{
					Code:       models.RefusalStore,
					Message:    "this daemon has no configuration yet",
					NotRun:     true,
					RetryAfter: noConfigRetryAfter,
				}
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

func locate(e *Exchange, key string) error {
	route, ok := findRoute(e.Routing, e.Call.Host, e.Call.Target)
	if !ok {
		return &models.Refusal{Code: models.RefusalUnknownRoute, Message: "no route for host and path", NotRun: true}
	}
	e.Route = route
	e.Rank = route.Rank
	holder, known := e.Routing.Keys[sha256.Sum256([]byte(key))]
	if known && key != "" {
		e.Workspace = holder.Workspace
		if holder.HasRank {
			e.Rank = holder.Rank
		}
	} else if !route.Open && e.Routing.Keyed {
		return &models.Refusal{Code: models.RefusalNoKey, Message: "the key is not valid", NotRun: true}
	}
	e.Call.Workspace = e.Workspace
	e.Service = e.Routing.Services[chooseService(route.Targets, e.ID)]
	return nil
}

// findRoute returns the route of the host with the longest prefix of the path.
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

// hostName returns a host without its port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// chooseService picks a service by weight. All daemons pick the same one for a
// request.
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

// requestTimeout returns how long a request may take from its arrival.
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
