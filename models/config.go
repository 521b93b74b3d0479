package models

import "time"

// Operators edit the rows of PartitionConfig. The codec of peer/operator maps
// them to the types below.

// WorkspaceSettings holds the weight, limits and retention times of one
// workspace.
type WorkspaceSettings struct {
	Name              Workspace
	Weight            float64 // share of the fleet, relative to others
	RequestsPerSecond float64 // 0: no limit
	TokensPerSecond   float64 // prompt and output tokens; 0: no limit
	Concurrent        int     // maximum requests in flight; 0: no limit
	// Maximum age of the Evidence on which keys are accepted.
	KeyFreshness   time.Duration
	ClaimRetention time.Duration // retention of stored answers of claims
	Priority       Priority
}

// KeyID identifies a key without revealing its secret.
type KeyID string

// Key gives its bearer access to a workspace. Only the hash of the secret is
// stored.
type Key struct {
	ID        KeyID
	Workspace Workspace
	Hash      [32]byte // SHA-256 of the secret
	Withdrawn bool
}

// RouteKind is the kind of backend that serves a route.
type RouteKind string

// Route kinds.
const (
	RouteModel   RouteKind = "model"
	RouteService RouteKind = "service"
)

// Route is a model or a plain service that callers may address by name.
type Route struct {
	Name       string // name of the model or service
	Kind       RouteKind
	Open       bool // needs no key
	Repeatable bool // requests are idempotent and may run more than once
}

// FleetLimits bounds spending and changes of backend servers, and weights the
// objectives of fleet planning. The table has a single such row.
type FleetLimits struct {
	SpendPerHour float64 // maximum backend server cost, currency units
	MaxPerZone   int     // maximum backend servers in one availability zone
	CostWeight   float64 // weight of cost relative to goodput
	WorstWeight  float64 // weight of the worst-served workspace
	// Maximum share of work on cheap backend servers, 0 to 1.
	CheapShare       float64
	LoadsPerMinute   float64 // model loads that the weight store can serve
	MinPerRoleInZone int
	// Price of a reserved backend server, currency units an hour.
	Price float64
	// Price of a cheap backend server, currency units an hour.
	CheapPrice float64
}

// ModelPlan describes a model that the fleet has to serve.
type ModelPlan struct {
	Model   Model
	Version string
	Pieces  int // engine memory that the weights take, in pieces of fixed size
	MinHot  int // minimum number of engines that keep it loaded
}

// BackendServer is the backend server of an engine, as registered by operators
// or by the platform's ordering interface.
type BackendServer struct {
	Engine      EngineID
	Zone        Zone
	URL         string
	Cheap       bool // may be reclaimed at a few seconds' notice
	ChecksFence bool // rejects orders with a stale fencing number
	Leaving     bool // gets no new work
}

// ServiceBackend is one address of a plain service.
type ServiceBackend struct {
	Service ServiceName
	Zone    Zone
	URL     string
}

// Config is a snapshot of the configuration rows as of revision Through. It is
// immutable once built.
type Config struct {
	Through    Revision
	Workspaces map[Workspace]WorkspaceSettings
	Keys       map[[32]byte]Key // by hash
	Routes     map[string]Route // by name
	Fleet      FleetLimits
	Models     map[Model]ModelPlan
	Backends   map[EngineID]BackendServer
	Services   map[ServiceName][]ServiceBackend
}

// Evidence is the time up to which this daemon is known to have seen all
// withdrawals of keys, and where that knowledge comes from.
type Evidence struct {
	// Start of the read that confirmed it, by the daemon's clock.
	At     time.Time
	Source EvidenceSource
}

// EvidenceSource tells how Evidence was obtained.
type EvidenceSource string

// Evidence sources. EvidenceOwnRead comes from this daemon's read of the table,
// EvidencePeerRead from another daemon's. EvidenceStoreOutage is used when no
// recent read is available, as in an outage of the table: it is derived from
// the answers and Editing statements of all daemons that may accept edits.
const (
	EvidenceNone        EvidenceSource = "none"
	EvidenceOwnRead     EvidenceSource = "own-read"
	EvidencePeerRead    EvidenceSource = "peer-read"
	EvidenceStoreOutage EvidenceSource = "store-outage"
)
