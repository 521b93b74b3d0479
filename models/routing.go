package models

import "time"

// Routing is one version of the operators' configuration for requests that are
// forwarded unchanged. It is immutable once built.
type Routing struct {
	Version  uint64
	Routes   []PathRoute
	Services map[ServiceName]RoutedService
	// Requests on routes that are not open need a key.
	RequireKeys bool
	Keys        map[[32]byte]KeyGrant // by SHA-256 hash of the key
	Limits      CallerLimits
	RateLimits  map[Workspace]RateLimit // of the workspaces that have one
}

// KeyGrant is the access that a key gives: its workspace and, if HasRank, the
// rank of its requests.
type KeyGrant struct {
	Workspace Workspace
	Rank      int  // 0 is the most urgent
	HasRank   bool // Rank overrides the route's rank
}

// CallerLimits bounds the size and duration of what callers send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// PathRoute selects requests by host and path prefix and sets how they are
// served.
type PathRoute struct {
	Name    string
	Host    string
	Prefix  string // path prefix, begins and ends with a slash
	Targets []WeightedService
	Open    bool // needs no key
	// Requests are idempotent and may run more than once.
	Repeatable bool
	Stream     bool // answered with server-sent events
	// A broken stream may be resumed at another engine.
	Resumable  bool
	Generation bool // requests carry a prompt for model engines
	// Maximum number of backend servers that may run one request.
	Attempts int
	// Time limit from the arrival of the request to the end of the answer.
	Timeout time.Duration
	// Target for the time to the answer or, for a stream, to its first event.
	LatencyTarget time.Duration
	GapTarget     time.Duration // target for the longest pause between events
	Rank          int           // 0 is the most urgent
}

// WeightedService is a service and the relative weight of its share of a
// route's requests.
type WeightedService struct {
	Service ServiceName
	Weight  int
}

// RoutedService is a group of interchangeable backend servers.
type RoutedService struct {
	Name           ServiceName
	HealthPath     string
	MaxConnections int // of one backend server, over all callers
	// Set if its backend servers are model engines, otherwise nil.
	Engine *EngineLimits
	Supply *SupplyLimits // nil if its backend servers cannot be ordered
}

// EngineLimits holds the properties common to all engines of a service.
type EngineLimits struct {
	Slots      int // maximum requests in one batch
	Capacity   int // of KV cache, in tokens
	TokenBytes int // size of one token in KV cache, bytes
	// Bandwidth of an engine for KV cache transfers, Mbit/s.
	LinkMbps  float64
	HandleTTL time.Duration // retention of exported KV cache
	// How long an engine is unavailable during a role change.
	RoleChange     time.Duration
	TokensPerEvent int
	Migratable     bool // running requests can be moved to another engine
	// Maximum concurrent long polls for cache events at one engine.
	MaxEventCalls int
}

// SupplyLimits bounds the number of a service's backend servers in each zone
// and states their startup time and prices.
type SupplyLimits struct {
	Min     int
	Max     int
	Startup time.Duration // from an order until the backend server serves
	// Price of a cheap backend server, as a share of a reserved one's; 0: not
	// available.
	CheapPrice float64
	// Price of a reserved backend server, price units per second.
	ZonePrices map[Zone]float64
}

// SupplyOrder sets the number of either cheap or reserved backend servers that
// a service has in a zone.
type SupplyOrder struct {
	Service ServiceName
	Zone    Zone
	Cheap   bool
	Count   int
}
