package models

import "time"

// Routing is a version of what operators have configured for requests that are
// passed on unchanged. It is read-only once built.
type Routing struct {
	Version     uint64
	Routes      []PathRoute
	Services    map[ServiceName]RoutedService
	RequireKeys bool                  // requests need a key, unless their route is open
	Keys        map[[32]byte]KeyGrant // by SHA-256 of the key
	Limits      CallerLimits
}

// KeyGrant is the workspace that a key admits to.
type KeyGrant struct {
	Workspace Workspace
	Rank      int  // of its requests, 0 the most urgent
	HasRank   bool // Rank goes before the route's
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// PathRoute selects requests by host and path.
type PathRoute struct {
	Name          string
	Host          string
	Prefix        string // of the path, begins and ends with a slash
	Targets       []WeightedService
	Open          bool          // needs no key
	Repeatable    bool          // may run more than once
	Stream        bool          // answered by a series of events
	Resumable     bool          // a broken stream may go on at another engine
	Generation    bool          // carries a prompt for model engines
	Attempts      int           // most backend servers that may run one request
	Timeout       time.Duration // from arrival to the end of the answer
	LatencyTarget time.Duration // to the answer, of a stream to its first event
	GapTarget     time.Duration // longest pause between events that is on time
	Rank          int           // 0 the most urgent
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service ServiceName
	Weight  int
}

// RoutedService is a group of backend servers that do the same.
type RoutedService struct {
	Name           ServiceName
	HealthPath     string
	MaxConnections int           // of one backend server, from all callers
	Engine         *EngineLimits // nil where no model engines stand behind it
	Supply         *SupplyLimits // nil where its backend servers cannot be ordered
}

// EngineLimits are the properties that all engines of a service share.
type EngineLimits struct {
	Slots          int           // requests in one batch
	Capacity       int           // tokens of KV cache
	TokenBytes     int           // of KV cache
	LinkMbps       float64       // of an engine, for KV cache
	HandleTTL      time.Duration // how long exported KV cache is kept
	RoleChange     time.Duration // how long a change of role takes an engine away
	TokensPerEvent int
	Migratable     bool // running requests can be moved
	MaxEventCalls  int  // cache event calls that one engine keeps waiting
}

// SupplyLimits bound the orders of a service's backend servers in each zone.
type SupplyLimits struct {
	Min        int
	Max        int
	Startup    time.Duration    // from an order to service
	CheapPrice float64          // of a cheap backend server, as a share of a reserved one's; 0: none to be had
	ZonePrices map[Zone]float64 // of a reserved backend server, price units a second
}

// SupplyOrder sets how many backend servers of one price a service has in a
// zone.
type SupplyOrder struct {
	Service ServiceName
	Zone    Zone
	Cheap   bool
	Count   int
}
