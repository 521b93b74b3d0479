package config

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"slices"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
)

// Entry is the settings file of a daemon that passes requests on unchanged and
// keeps what must last in the platform's store.
type Entry struct {
	Name      string
	Zone      models.Zone
	Zones     []models.Zone // all zones of the deployment
	Callers   EntryCallers
	Readiness netip.AddrPort // where the balancer asks whether to send requests
	Daemons   netip.AddrPort
	Metrics   netip.AddrPort
	Store     EntryStore
	Duties    EntryDuties
	Lease     time.Duration
	Retries   RetryLimits
	Log       Log
}

// EntryCallers is the section of the callers.
type EntryCallers struct {
	Address       netip.AddrPort
	Grace         time.Duration // from the signal to stop to the kill
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// EntryStore is the section of the platform's store.
type EntryStore struct {
	Address netip.AddrPort
	Timeout time.Duration // of one call
	Notice  time.Duration // within which a store that went silent has to be noticed
	Leave   time.Duration // within which a backend server that left gets no more requests
}

// EntryDuties is the section of the calls that one daemon makes for all. The
// zero address means that there are none.
type EntryDuties struct {
	Address      netip.AddrPort
	Usage        bool // report billing windows
	Supply       bool // order backend servers
	UsageWindow  time.Duration
	UsageLatest  time.Duration // from a window's end to its report
	CallsASecond float64       // that the platform takes from all daemons
}

// RetryLimits bound how often backend servers are sent a request again, over
// all daemons.
type RetryLimits struct {
	Ratio   float64       // of the requests for a service
	Window  time.Duration // over which they are counted
	Reserve int           // further ones in each window
}

// EntryFields are all fields of the settings file of an entry daemon.
var EntryFields = []Field[Entry]{
	{"name", ``, true, "", "name of this VM, in logs, leases and reports", text(func(s *Entry) *string { return &s.Name })},
	{"zone", ``, true, "", "availability zone of this VM", zone(func(s *Entry) *models.Zone { return &s.Zone })},
	{"zones", `[]`, false, "", "all availability zones of the deployment", zones(func(s *Entry) *[]models.Zone { return &s.Zones })},
	{"callers.address", ``, true, "IP:port", "where callers are served", address(func(s *Entry) *netip.AddrPort { return &s.Callers.Address })},
	{"callers.grace", `"8s"`, false, "duration", "from the signal to stop to the kill", duration(func(s *Entry) *time.Duration { return &s.Callers.Grace })},
	{"callers.header-bytes", `65536`, false, "bytes", "greatest header of a request", count(func(s *Entry) *int { return &s.Callers.HeaderBytes })},
	{"callers.body-bytes", `4194304`, false, "bytes", "greatest body of a request until the routes' configuration says otherwise", count(func(s *Entry) *int { return &s.Callers.BodyBytes })},
	{"callers.header-timeout", `"10s"`, false, "duration", "time for a request's header to arrive", duration(func(s *Entry) *time.Duration { return &s.Callers.HeaderTimeout })},
	{"callers.idle-timeout", `"60s"`, false, "duration", "how long a caller's connection may stay idle", duration(func(s *Entry) *time.Duration { return &s.Callers.IdleTimeout })},
	{"readiness.address", ``, true, "IP:port", "where the balancer asks whether to send requests", address(func(s *Entry) *netip.AddrPort { return &s.Readiness })},
	{"daemons.address", ``, true, "IP:port", "where the other daemons reach this one", address(func(s *Entry) *netip.AddrPort { return &s.Daemons })},
	{"metrics.address", ``, true, "IP:port", "where metrics are served", address(func(s *Entry) *netip.AddrPort { return &s.Metrics })},
	{"store.address", ``, true, "IP:port", "the platform's store", address(func(s *Entry) *netip.AddrPort { return &s.Store.Address })},
	{"store.timeout", `"700ms"`, false, "duration", "for one call of the store beyond the wait that it asks for", duration(func(s *Entry) *time.Duration { return &s.Store.Timeout })},
	{"store.notice", `"3s"`, false, "duration", "within which a store that went silent has to be noticed; calls that follow changes wait as long as that allows", duration(func(s *Entry) *time.Duration { return &s.Store.Notice })},
	{"store.leave", `"2s"`, false, "duration", "within which a backend server that left gets no more requests; one that may only have lapsed while the store was away is kept for less", duration(func(s *Entry) *time.Duration { return &s.Store.Leave })},
	{"duties.address", `""`, false, "IP:port", "where one daemon reports use and orders backend servers; empty: there are no such calls", optionalAddress(func(s *Entry) *netip.AddrPort { return &s.Duties.Address })},
	{"duties.usage", `false`, false, "", "report billing windows", flag(func(s *Entry) *bool { return &s.Duties.Usage })},
	{"duties.supply", `false`, false, "", "order backend servers", flag(func(s *Entry) *bool { return &s.Duties.Supply })},
	{"duties.usage-window", `"5s"`, false, "duration", "length of a billing window", duration(func(s *Entry) *time.Duration { return &s.Duties.UsageWindow })},
	{"duties.usage-latest", `"10s"`, false, "duration", "from a billing window's end to its report", duration(func(s *Entry) *time.Duration { return &s.Duties.UsageLatest })},
	{"duties.calls-a-second", `10`, false, "calls/s", "what the platform takes from all daemons", amount(func(s *Entry) *float64 { return &s.Duties.CallsASecond })},
	{"lease.duration", `"3s"`, false, "duration", "how long a lease holds without a renewal", duration(func(s *Entry) *time.Duration { return &s.Lease })},
	{"retries.ratio", `0.2`, false, "", "requests sent again, as a share of a service's requests, over all daemons", amount(func(s *Entry) *float64 { return &s.Retries.Ratio })},
	{"retries.window", `"10s"`, false, "duration", "over which requests and those sent again are counted", duration(func(s *Entry) *time.Duration { return &s.Retries.Window })},
	{"retries.reserve", `10`, false, "", "requests that may be sent again in a window beyond the share, over all daemons", count(func(s *Entry) *int { return &s.Retries.Reserve })},
	{"log.level", `"info"`, false, "", "debug, info, warn or error", level(func(s *Entry) *string { return &s.Log.Level })},
}

const (
	// noticeMargin is what is left of store.notice, beside the time for one call,
	// for a pause and another call.
	noticeMargin = 800 * time.Millisecond
	// leastWatch is the least time that a call waits for changes.
	leastWatch = 50 * time.Millisecond
)

// Watch returns the longest wait of a call that follows changes.
func (s EntryStore) Watch() time.Duration {
	return max(s.Notice-s.Timeout-noticeMargin, leastWatch)
}

// LoadEntry reads and checks the settings file of an entry daemon.
func LoadEntry(path string) (*Entry, error) {
	raw, err := read(path)
	if err != nil {
		return nil, err
	}
	return ParseEntry(raw)
}

// ParseEntry checks the settings of an entry daemon in JSON. Its error is of
// type Faults and names every fault with its path in the file.
func ParseEntry(raw []byte) (*Entry, error) {
	s, faults := parse(EntryFields, raw)
	if s == nil {
		return nil, faults
	}
	if (s.Duties.Usage || s.Duties.Supply) && !s.Duties.Address.IsValid() {
		faults = append(faults, "duties.address: missing field, unless duties.usage and duties.supply are false")
	}
	if len(faults) > 0 {
		slices.Sort(faults)
		return nil, faults
	}
	return s, nil
}

func zones[S any](field func(*S) *[]models.Zone) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		var names []string
		if err := json.Unmarshal(raw, &names); err != nil {
			return errors.New("must be a list of texts")
		}
		for _, name := range names {
			*field(s) = append(*field(s), models.Zone(name))
		}
		return nil
	}
}

func optionalAddress[S any](field func(*S) *netip.AddrPort) func(*S, json.RawMessage) error {
	required := address(field)
	return func(s *S, raw json.RawMessage) error {
		if string(raw) == `""` {
			return nil
		}
		return required(s, raw)
	}
}

func amount[S any](field func(*S) *float64) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil || *field(s) < 0 {
			return errors.New("must be a number, 0 or more")
		}
		return nil
	}
}

// Equal reports whether both settings say the same.
func (s *Entry) Equal(other *Entry) bool {
	return reflect.DeepEqual(s, other)
}

// SameListeners reports whether both settings have the same identity and the
// same addresses, which a running process cannot change.
func (s *Entry) SameListeners(other *Entry) bool {
	return s.Name == other.Name && s.Zone == other.Zone &&
		s.Callers.Address == other.Callers.Address && s.Readiness == other.Readiness &&
		s.Daemons == other.Daemons && s.Metrics == other.Metrics &&
		s.Store.Address == other.Store.Address && s.Duties.Address == other.Duties.Address
}
