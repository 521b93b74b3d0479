// Package detour makes calls at backend servers by way of other daemons while this
// daemon does not reach the servers of a service itself.
package detour

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// CheckInterval is the time between two looks whether services are reached.
	CheckInterval = 100 * time.Millisecond
	// silence is how long nothing comes from any server of a service, while two of them
	// owe an answer, until it is checked whether they are reached.
	silence = 500 * time.Millisecond
	// minFailing is the number of servers of a service that fail before it is checked
	// whether the others are reached.
	minFailing = 2
	// checkPause is the time between two checks of a service that was reached.
	checkPause = time.Second
	// retryPause is the time between two checks of a service that was not.
	retryPause = 500 * time.Millisecond
	// maxDials is the number of servers that one check tries to connect to. If there are
	// no more, a service is reached as long as one of them is.
	maxDials = 16
)

// DialFunc opens a connection. It gives up soon if the address does not respond.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ServersFunc returns the registered backend servers of a service.
type ServersFunc func(service models.ServiceName) []models.Upstream

// Reach knows which services this daemon does not reach directly. A service counts as
// not reached if none of its servers accepts a connection, so that one server which
// crashes, or is silent for some time, is not taken for a network partition. It is safe
// for concurrent use.
type Reach struct {
	dial    DialFunc
	servers ServersFunc
	clock   peer.Clock
	logger  *zap.Logger

	mu       sync.Mutex
	services map[models.ServiceName]*serviceReach
}

// serviceReach is what is known of the servers of one service.
type serviceReach struct {
	heardAt time.Time                       // when something last came from any of them
	owing   map[netip.AddrPort]*owedAnswers // servers that have calls to answer
	failing map[netip.AddrPort]bool         // not connected to since the last check
	cut     bool
	cutAt   time.Time
	checkAt time.Time // no check before
}

// owedAnswers are the calls that a server has not answered to their end.
type owedAnswers struct {
	calls int
	since time.Time // when it was last heard of, or got the first of them
}

// NewReach returns a Reach that takes all services to be reached.
func NewReach(dial DialFunc, servers ServersFunc, clock peer.Clock, logger *zap.Logger) *Reach {
	return &Reach{dial: dial, servers: servers, clock: clock, logger: logger, services: map[models.ServiceName]*serviceReach{}}
}

// Reached reports whether the servers of a service are called directly.
func (r *Reach) Reached(service models.ServiceName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[service]
	return !ok || !s.cut
}

// CutCount returns the number of services that are not reached.
func (r *Reach) CutCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.services {
		if s.cut {
			n++
		}
	}
	return n
}

// service returns the state of a service. The caller must hold r.mu.
func (r *Reach) service(name models.ServiceName) *serviceReach {
	s, ok := r.services[name]
	if !ok {
		s = &serviceReach{owing: map[netip.AddrPort]*owedAnswers{}, failing: map[netip.AddrPort]bool{}}
		r.services[name] = s
	}
	return s
}

// begin records that a server is called.
func (r *Reach) begin(to models.Upstream) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(to.Service)
	owed, ok := s.owing[to.Address]
	if !ok {
		owed = &owedAnswers{since: now}
		s.owing[to.Address] = owed
	}
	owed.calls++
}

// end records that a call has ended.
func (r *Reach) end(to models.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(to.Service)
	owed, ok := s.owing[to.Address]
	if !ok {
		return
	}
	if owed.calls--; owed.calls <= 0 {
		delete(s.owing, to.Address)
	}
}

// heard records that something came from a server.
func (r *Reach) heard(to models.Upstream) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(to.Service)
	s.heardAt = now
	if owed, ok := s.owing[to.Address]; ok {
		owed.since = now
	}
}

// failed records that a server was not connected to.
func (r *Reach) failed(to models.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(to.Service).failing[to.Address] = true
}

// Step implements control.Task. It checks the services that may not be reached, and
// those that were not.
func (r *Reach) Step(ctx context.Context) {
	var checks sync.WaitGroup
	for _, service := range r.due() {
		checks.Go(func() { r.check(ctx, service) })
	}
	checks.Wait()
}

// due returns the services that are to be checked now.
func (r *Reach) due() []models.ServiceName {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []models.ServiceName
	for name, s := range r.services {
		if !now.Before(s.checkAt) && (s.cut || s.doubtful(len(r.servers(name)), now)) {
			list = append(list, name)
		}
	}
	return list
}

// doubtful reports whether a service with a number of servers may not be reached. The
// caller must hold the lock of the Reach.
func (s *serviceReach) doubtful(servers int, now time.Time) bool {
	needed := min(minFailing, servers)
	if servers == 0 {
		return false
	}
	if len(s.failing) >= needed {
		return true
	}
	if now.Sub(s.heardAt) < silence {
		return false
	}
	silent := 0
	for _, owed := range s.owing {
		if now.Sub(owed.since) >= silence {
			silent++
		}
	}
	return silent >= needed
}

// check tries to connect to servers of a service: first to one, then to some others.
func (r *Reach) check(ctx context.Context, service models.ServiceName) {
	servers := r.sample(service)
	if len(servers) == 0 {
		return
	}
	reached := r.connects(ctx, servers[0])
	if !reached && len(servers) > 1 {
		results := make(chan bool, len(servers)-1)
		for _, server := range servers[1:] {
			go func() { results <- r.connects(ctx, server) }()
		}
		for range servers[1:] {
			reached = <-results || reached
		}
	}
	if ctx.Err() == nil {
		r.checked(service, reached)
	}
}

// sample returns servers of a service in random order, those that fail last.
func (r *Reach) sample(service models.ServiceName) []models.Upstream {
	all := r.servers(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	failing := r.service(service).failing
	var others, last []models.Upstream
	for _, i := range rand.Perm(len(all)) {
		if failing[all[i].Address] {
			last = append(last, all[i])
		} else {
			others = append(others, all[i])
		}
	}
	list := append(others, last...)
	return list[:min(len(list), maxDials)]
}

// connects reports whether a server accepts a connection.
func (r *Reach) connects(ctx context.Context, server models.Upstream) bool {
	connection, err := r.dial(ctx, "tcp", server.Address.String())
	if err != nil {
		return false
	}
	connection.Close()
	return true
}

// checked records the result of a check.
func (r *Reach) checked(service models.ServiceName, reached bool) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	if reached {
		clear(s.failing)
		s.checkAt = now.Add(checkPause)
	} else {
		s.checkAt = now.Add(retryPause)
	}
	if reached != s.cut {
		return
	}
	s.cut = !reached
	if s.cut {
		s.cutAt = now
		r.logger.Warn("servers of a service not reached; calls go by way of other daemons", zap.String("service", string(service)))
		return
	}
	r.logger.Info("servers of a service reached again", zap.String("service", string(service)), zap.Duration("after", now.Sub(s.cutAt)))
}
