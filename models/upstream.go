package models

import (
	"net/http"
	"net/netip"
	"time"
)

// Upstream is a backend server as described by its registration.
type Upstream struct {
	ID       EngineID
	Service  ServiceName
	Version  string // of its software; opaque, compared within a service
	Address  netip.AddrPort
	Zone     Zone
	Slots    int
	Draining bool
	Cheap    bool
	Role     Role          // empty unless it is a model engine
	Warmup   time.Duration // how long it is slow after its start
	Started  time.Time     // start time of this process
}

// Software returns what the backend server runs.
func (u Upstream) Software() Software {
	return Software{Service: u.Service, Version: u.Version}
}

// SameIncarnation reports whether both describe the same process of the same
// backend server, without a restart in between.
func (u Upstream) SameIncarnation(other Upstream) bool {
	return u.ID == other.ID && u.Address == other.Address && u.Version == other.Version && u.Started.Equal(other.Started)
}

// Software identifies the software of backend servers. Streams that one began
// can only be continued by backend servers with the same.
type Software struct {
	Service ServiceName
	Version string
}

// UpstreamCall is a request to be forwarded. Method, target, host, header and
// body are the caller's, byte for byte.
type UpstreamCall struct {
	ID        RequestID
	Method    string
	Target    string // path and query exactly as on the request line
	Host      string
	Header    http.Header
	Body      []byte
	Workspace Workspace     // empty on open routes
	TimeLeft  time.Duration // until the deadline of the request
	Urgency   int           // at a model engine; 0 runs first
	// ID of the last event that the caller has received; empty: from the start.
	ResumeAfter string
	PrefillOnly bool // only compute the KV cache of the prompt
	// Where the prompt's KV cache is held; nil: nowhere.
	KVSource *KVSource
	// The engine whose cached parts of the prompt are copied before the rest is
	// computed; zero: none.
	CopyFrom netip.AddrPort
}

// KVSource identifies KV cache that an engine holds for one request.
type KVSource struct {
	Engine netip.AddrPort
	Handle string
}

// UpstreamLoad is the load that a backend server reports with a response.
type UpstreamLoad struct {
	Running int
	Waiting int
	Slots   int
	// How many times as long as usual work takes there at the moment; 0: not stated.
	Pace float64
}

// Prompt describes the prompt of a request without its text.
type Prompt struct {
	Model     Model
	Tokens    int
	MaxOutput int
	Parts     []PromptPart // in order; prompts may share a prefix of parts
}

// PromptPart is a sequence of tokens that several prompts may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// UpstreamChanges lists changes to the registrations of backend servers.
type UpstreamChanges struct {
	All     bool // Present lists all registrations
	Present []Upstream
	Removed []EngineID
	Through Revision
}
