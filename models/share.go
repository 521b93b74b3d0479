package models

import (
	"net/netip"
	"time"
)

// LoadShare is the load report that daemons send each other: the load that one
// daemon puts on backend servers, or the sum over the daemons of a zone.
type LoadShare struct {
	From     DaemonID
	Zone     Zone
	Address  netip.AddrPort // where the sender receives load shares
	Sequence uint64         // incremented for each share of one process
	Leaving  bool           // the sender is about to stop
	Loads    map[EngineID]ServerLoad
	Limits   []LimitReport
	Prompts  []CachedPrompt         // prefilled since the previous share
	Speeds   []SpeedReport          // observed since the previous share
	Relayed  []LoadShare            // by the sender: sums of other zones, and shares of daemons of its zone
	Origins  []StreamOrigin         // that the receiver may not know
	Evidence *CrashEvidence         // nil: nothing that the receiver has not confirmed
	Uses     map[Workspace]LimitUse // of the limits of workspaces; nil: none of late
	Demand   []ServiceDemand
}

// ServiceDemand is the demand for a service that a daemon, or the daemons of a zone,
// have seen.
type ServiceDemand struct {
	Service    ServiceName
	Queued     []int             // prompt tokens that wait for prefill at engines, by urgency
	Workspaces []WorkspaceDemand // since the previous share
	Errors     []PredictionError // since the previous share
}

// WorkspaceDemand counts the requests of a workspace on a route.
type WorkspaceDemand struct {
	Workspace Workspace
	Route     string
	Offered   int // first attempts of callers
	Served    int // whose answer has begun
	Lost      int // refused after they had come back, or given up
	Work      int // prompt tokens to prefill of those that were sent
}

// WaitClass is how the requests of an observation waited for an engine.
type WaitClass int

// Classes of waits.
const (
	WaitNone   WaitClass = iota // the engine was expected to be free
	WaitQueued                  // in the order of urgency
	WaitBehind                  // behind those that can be in time
)

// PredictionError is a sum of observations of how far off the predicted time to the
// first token of a route's requests was.
type PredictionError struct {
	Route   string
	Wait    WaitClass
	Count   float64
	Sum     float64 // of the logarithms of the time taken over the time predicted
	Squares float64 // of these logarithms
}

// SpeedReport is a sum of observations of how long requests took at a backend server, and
// the latest load that the server stated, if it states a pace.
type SpeedReport struct {
	Server       EngineID
	Started      time.Time // of the server's process
	Observations float64
	LogRatios    float64       // sum of the logarithms of the time taken over the time predicted
	Load         UpstreamLoad  // a pace of 0: none
	LoadAge      time.Duration // since it was stated, or else since the last observation
}

// StreamOrigin is the software that began the stream of a request.
type StreamOrigin struct {
	Stream   StreamID
	Software Software // zero: more than one may have begun it
	// Revision counts what was recorded about a stream: it may turn out later that
	// the engine was replaced.
	Revision int
	TimeLeft time.Duration // in which the caller may resume the stream
}

// StreamID is the hash of the ID of the request under which a stream began.
type StreamID uint64

// ShareReceipt is the answer to a load share.
type ShareReceipt struct {
	// Instance identifies the process of the receiver: a new one knows nothing of
	// what the one before it was sent.
	Instance uint64
}

// Peer is the address and zone of another daemon.
type Peer struct {
	Address netip.AddrPort
	Zone    Zone
}

// ServerLoad is the work in flight at one backend server.
type ServerLoad struct {
	Running       int // requests in flight
	PrefillTokens int // prompt tokens not yet prefilled
	// Work is the time that the requests still occupy a slot of a typical server, one
	// after the other; 0 where the service's servers state no pace.
	Work time.Duration
	// HeldTokens are the tokens of KV cache that the requests hold at their longest; 0
	// where engines' memory is not kept free.
	HeldTokens int
}

// LimitReport is what a backend server stated of its limit in an answer.
type LimitReport struct {
	Server    EngineID
	Started   time.Time     // of its process
	Lifted    bool          // it states none any more
	PerSecond float64       // requests that it takes from all daemons together
	SentAge   time.Duration // since the request was sent
	Age       time.Duration // since the answer arrived
}

// CachedPrompt is a prompt that an engine has prefilled or fetched, and has in its
// prefix cache from then on.
type CachedPrompt struct {
	Server EngineID
	Parts  []PromptPart
}
