package models

import (
	"net/http"
	"net/netip"
	"time"
)

// Upstream is a backend server as its registration shows it.
type Upstream struct {
	ID       EngineID
	Service  ServiceName
	Address  netip.AddrPort
	Zone     Zone
	Slots    int
	Draining bool
	Cheap    bool
	Role     Role          // zero where it is no model engine
	Warmup   time.Duration // how long it stays slow after its start
	Started  time.Time     // of this incarnation
}

// SameIncarnation reports whether both are one run of one backend server.
func (u Upstream) SameIncarnation(other Upstream) bool {
	return u.ID == other.ID && u.Address == other.Address && u.Started.Equal(other.Started)
}

// UpstreamCall is a request to be passed on. Method, target, host, header and
// body are the caller's, byte for byte.
type UpstreamCall struct {
	ID          RequestID
	Method      string
	Target      string // path and query as they stood on the request line
	Host        string
	Header      http.Header
	Body        []byte
	Workspace   Workspace     // empty on an open route
	TimeLeft    time.Duration // until the backend server may stop
	Urgency     int           // at a model engine, 0 first
	ResumeAfter string        // identity of the last event that the caller has; empty: from the start
	PrefillOnly bool          // only fill KV cache for it
	KVSource    *KVSource     // where its KV cache has been filled
}

// KVSource names KV cache that an engine holds for one request.
type KVSource struct {
	Engine netip.AddrPort
	Handle string
}

// UpstreamLoad is what a backend server says of its load in an answer.
type UpstreamLoad struct {
	Running int
	Waiting int
	Slots   int
}

// Prompt describes the prompt of a generation without its text.
type Prompt struct {
	Model     Model
	Tokens    int
	MaxOutput int
	Parts     []PromptPart // in order; other prompts may begin with the same ones
}

// PromptPart is a run of tokens that several prompts may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// UpstreamChanges are changes of the registrations.
type UpstreamChanges struct {
	All     bool // Present lists all that there are
	Present []Upstream
	Removed []EngineID
	Through Revision
}
