package models

import "time"

// Workspace, key and route settings are what operators edit. The codec of
// peer/operator maps rows of PartitionConfig to these types.

// WorkspaceSettings is the row of one workspace.
type WorkspaceSettings struct {
	Name              Workspace
	Weight            float64       // share of the fleet against other workspaces
	RequestsPerSecond float64       // 0: no limit
	TokensPerSecond   float64       // prompt and output tokens; 0: no limit
	Concurrent        int           // requests running at once; 0: no limit
	KeyFreshness      time.Duration // how old the evidence may be that no key was withdrawn
	ClaimRetention    time.Duration // how long a claim's answer is kept
	Priority          Priority
}

// KeyID names a key without giving it away.
type KeyID string

// Key admits its bearer to a workspace. Only the hash of the key is kept.
type Key struct {
	ID        KeyID
	Workspace Workspace
	Hash      [32]byte // SHA-256 of the key
	Withdrawn bool
}

// RouteKind tells what stands behind a route.
type RouteKind string

// Kinds of route.
const (
	RouteModel   RouteKind = "model"
	RouteService RouteKind = "service"
)

// Route is the row of a model or a plain service that callers may name.
type Route struct {
	Name       string // the model's or the service's name
	Kind       RouteKind
	Open       bool // needs no key
	Repeatable bool // may run more than once
}

// FleetLimits bounds what the system may do with backend servers, and weighs
// its aims. There is one such row.
type FleetLimits struct {
	SpendPerHour     float64 // currency units for backend servers
	MaxPerZone       int     // backend servers in one availability zone
	CostWeight       float64 // weight of cost against goodput
	WorstWeight      float64 // weight of the worst-served workspace
	CheapShare       float64 // greatest share of work on cheap backend servers, 0 to 1
	LoadsPerMinute   float64 // loads the weight store can serve
	MinPerRoleInZone int
	Price            float64 // of a reserved backend server, currency units an hour
	CheapPrice       float64 // of a cheap one
}

// ModelPlan is the row of a model that the fleet should have ready.
type ModelPlan struct {
	Model   Model
	Version string
	Pieces  int // memory in fixed pieces that its weights take
	MinHot  int // engines that keep it loaded at the least
}

// BackendServer is the row of an engine's backend server as the operators or
// the ordering interface have made it known.
type BackendServer struct {
	Engine      EngineID
	Zone        Zone
	URL         string
	Cheap       bool // may vanish on a few seconds' notice
	ChecksFence bool // refuses an order with an old fencing number
	Leaving     bool // gets no new work
}

// ServiceBackend is the row of a plain service's address.
type ServiceBackend struct {
	Service ServiceName
	Zone    Zone
	URL     string
}

// Config is the table's configuration as of Through, read-only once built.
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

// Evidence says up to when this daemon knows that no withdrawal of a key was
// missed, and how it knows.
type Evidence struct {
	At     time.Time // by the daemon's clock: the start of the read it rests on
	Source EvidenceSource
}

// EvidenceSource tells where evidence comes from.
type EvidenceSource string

// Sources of evidence.
const (
	EvidenceNone        EvidenceSource = "none"
	EvidenceOwnRead     EvidenceSource = "own-read"
	EvidencePeerRead    EvidenceSource = "peer-read"
	EvidenceStoreOutage EvidenceSource = "store-outage"
)
