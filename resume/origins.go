// Package resume knows which software began the streams that callers may resume,
// at whichever daemon. Origins are learned from the requests of this daemon and
// from the load shares of the others. What is needed to tell the origins of streams
// after the loss of all daemons is kept in the platform's store.
package resume

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quincewinch/models"
	"quincewinch/peer"
)

// maxOrigins bounds the origins that are kept in memory; the oldest are dropped, and are
// then unknown here.
const maxOrigins = 60_000

// Scope is a set of sources from which a daemon learns origins.
type Scope uint8

// Sources of origins.
const (
	ScopeOwn    Scope = 1 << iota // requests of this daemon
	ScopeZone                     // other daemons of its zone
	ScopeRemote                   // other zones
	ScopeAll          = ScopeOwn | ScopeZone | ScopeRemote

	scopeStored Scope = 1 << 3 // the platform's store, which all daemons reach
)

// VersionSource knows which software versions may have begun streams.
type VersionSource interface {
	// Candidates returns the versions of a service that may have begun streams which
	// callers may still resume, as far as this daemon knows. It reports whether it has
	// followed the registrations until now.
	Candidates(service models.ServiceName) (versions []string, current bool)
	// Began notes that a stream of a service has begun that its caller may resume for
	// some time.
	Began(service models.ServiceName, lifetime time.Duration)
}

// Origins holds the origins of streams. It implements relay.Origins and
// balance.OriginLog.
type Origins struct {
	versions VersionSource
	clock    peer.Clock
	instance uint64

	mu      sync.Mutex
	entries map[models.StreamID]entry
	log     []logged                // in order of position
	head    uint64                  // position of the last entry
	begun   map[models.Software]int // number of entries
	latest  map[source]uint64       // position of the last origin
	divided uint64                  // position of the last own origin of a divided route
}

// entry is the latest origin of a stream.
type entry struct {
	software models.Software
	revision int
	expires  time.Time
	position uint64
}

// logged is a step of the log. It is obsolete if the stream has a later one.
type logged struct {
	position uint64
	stream   models.StreamID
	scope    Scope
}

// NewOrigins returns a set without origins.
func NewOrigins(versions VersionSource, clock peer.Clock) *Origins {
	return &Origins{
		versions: versions,
		clock:    clock,
		instance: uint64(clock.Now().UnixNano()),
		entries:  map[models.StreamID]entry{},
		begun:    map[models.Software]int{},
		latest:   map[source]uint64{},
	}
}

// Instance identifies this set: the set of a later process has another one.
func (o *Origins) Instance() uint64 {
	return o.instance
}

// Record implements relay.Origins.
func (o *Origins) Record(id models.RequestID, software models.Software, revision int, divided bool, expires time.Time) {
	if id == "" {
		return
	}
	now := o.clock.Now()
	lifetime := min(expires.Sub(now), maxLifetime)
	if software.Service != "" {
		o.versions.Began(software.Service, lifetime)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	origin := models.StreamOrigin{Stream: streamID(id), Software: software, Revision: revision, TimeLeft: lifetime}
	if o.learn(origin, ScopeOwn, now) && divided {
		o.divided = o.head
	}
}

// Lookup returns the software that began the stream of a request. It reports false if
// that is not known.
func (o *Origins) Lookup(id models.RequestID) (models.Software, bool) {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.entries[streamID(id)]
	if !ok || !now.Before(e.expires) || e.software == (models.Software{}) {
		return models.Software{}, false
	}
	return e.software, true
}

// Versions returns the versions that began the streams of a service that are known.
func (o *Origins) Versions(service models.ServiceName) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var versions []string
	for software := range o.begun {
		if software.Service == service {
			versions = append(versions, software.Version)
		}
	}
	return versions
}

// Learn adds origins that another daemon sent.
func (o *Origins) Learn(origins []models.StreamOrigin, from Scope) {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, origin := range origins {
		o.learn(origin, from, now)
	}
}

// learn adds an origin and reports true, unless it is known. The caller must hold
// o.mu.
func (o *Origins) learn(origin models.StreamOrigin, from Scope, now time.Time) bool {
	known, ok := o.entries[origin.Stream]
	if origin.TimeLeft <= 0 || ok && origin.Revision <= known.revision {
		return false
	}
	for len(o.entries) >= maxOrigins {
		o.dropOldest()
	}
	o.forget(origin.Stream)
	o.head++
	o.begun[origin.Software]++
	o.entries[origin.Stream] = entry{
		software: origin.Software,
		revision: origin.Revision,
		expires:  now.Add(min(origin.TimeLeft, maxLifetime)),
		position: o.head,
	}
	o.latest[source{origin.Software.Service, from}] = o.head
	o.log = append(o.log, logged{position: o.head, stream: origin.Stream, scope: from})
	return true
}

// dropOldest removes the oldest step of the log, and its origin unless the stream
// has a later one. The caller must hold o.mu.
func (o *Origins) dropOldest() {
	oldest := o.log[0]
	o.log = o.log[1:]
	if o.entries[oldest.stream].position == oldest.position {
		o.forget(oldest.stream)
	}
}

// forget removes the origin of a stream, if it is known. The caller must hold
// o.mu.
func (o *Origins) forget(stream models.StreamID) {
	e, ok := o.entries[stream]
	if !ok {
		return
	}
	delete(o.entries, stream)
	o.begun[e.software]--
	if o.begun[e.software] == 0 {
		delete(o.begun, e.software)
	}
}

// Head implements balance.OriginLog.
func (o *Origins) Head() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.head
}

// Since implements balance.OriginLog.
func (o *Origins) Since(position uint64, scope Scope, limit int) (origins []models.StreamOrigin, next uint64) {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	first, _ := slices.BinarySearchFunc(o.log, position+1, func(l logged, position uint64) int {
		return int(int64(l.position - position))
	})
	for _, l := range o.log[first:] {
		e := o.entries[l.stream]
		if e.position != l.position || l.scope&scope == 0 || !now.Before(e.expires) {
			continue
		}
		if len(origins) == limit {
			return origins, next
		}
		next = l.position
		origins = append(origins, models.StreamOrigin{Stream: l.stream, Software: e.software, Revision: e.revision, TimeLeft: e.expires.Sub(now)})
	}
	return origins, o.head
}

// Step removes expired origins.
func (o *Origins) Step(context.Context) {
	now := o.clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for stream, e := range o.entries {
		if !now.Before(e.expires) {
			o.forget(stream)
		}
	}
	o.log = slices.DeleteFunc(o.log, func(l logged) bool {
		return o.entries[l.stream].position != l.position
	})
}

func streamID(id models.RequestID) models.StreamID {
	return models.StreamID(xxhash.Sum64String(string(id)))
}
