package config

import (
	"encoding/json"
	"math"
	"net/netip"
	"reflect"
	"slices"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
)

// Entry holds the settings of an entry daemon, which the entry command runs. It
// forwards requests unchanged and keeps durable state in the platform's store.
type Entry struct {
	Name             string
	Zone             models.Zone
	Zones            []models.Zone // all zones of the deployment
	FirstStart       bool          // no process of the deployment has run before
	Callers          EntryCallers
	ReadinessAddress netip.AddrPort // for the load balancer's readiness checks
	DaemonsAddress   netip.AddrPort
	MetricsAddress   netip.AddrPort
	Store            EntryStore
	Duties           EntryDuties
	LeaseDuration    time.Duration
	Retries          RetryLimits
	Log              Log
	Limits           EntryLimits
	Terms            []string // that the deployment is served under, in the platform's words
	VM               EntryVM
	Engines          EntryEngines
}

// EntryLimits is the section of the limits of workspaces.
type EntryLimits struct {
	Over float64 // share by which the daemons together may exceed a limit
}

// EntryEngines is the section of model engines.
type EntryEngines struct {
	KeepMemory bool // refuse requests for which no engine has the memory at their longest
}

// EntryCallers is the section of the listener for callers.
type EntryCallers struct {
	Address       netip.AddrPort
	Grace         time.Duration // from the stop signal to the kill
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// EntryStore is the section of the platform's store.
type EntryStore struct {
	Address          netip.AddrPort
	Timeout          time.Duration // of one call, on top of the wait that it asks for
	DetectionTimeout time.Duration // within which a store that stopped answering must be detected
	RemovalTimeout   time.Duration // after which a backend server that has left gets no more requests
}

// EntryDuties is the section of the platform calls that one daemon makes on
// behalf of all. A zero address turns them off.
type EntryDuties struct {
	Address          netip.AddrPort
	ReportUsage      bool // report billing windows
	OrderServers     bool // order backend servers
	UsageWindow      time.Duration
	UsageReportDelay time.Duration // maximum, from a window's end to its report
	CallsPerSecond   float64       // that the platform accepts from all daemons together
}

// EntryVM is the section of what the daemon's VM has, and of how long others may keep
// it.
type EntryVM struct {
	MemoryBytes  int           // 0: as the process finds it
	Descriptors  int           // 0: as the process finds it
	StallTimeout time.Duration // in which a body or an answer has to go on; 0: none
}

// RetryLimits limits the retries of requests to backend servers, over all
// daemons.
type RetryLimits struct {
	Ratio   float64       // maximum retries per request to a service
	Window  time.Duration // over which requests and retries are counted
	Reserve float64       // retries allowed per window on top of the ratio
}

// EntryFields lists the fields of an entry daemon's settings file in order.
var EntryFields = []Field[Entry]{
	{"name", ``, true, "", "name of this VM, in logs, leases and reports", decodeString(func(s *Entry) *string { return &s.Name })},
	{"zone", ``, true, "", "availability zone of this VM", decodeZone(func(s *Entry) *models.Zone { return &s.Zone })},
	{"zones", `[]`, false, "", "all availability zones of the deployment", decodeZones(func(s *Entry) *[]models.Zone { return &s.Zones })},
	{"first-start", `false`, false, "", "the whole deployment starts for the first time: no process has run before", decodeBool(func(s *Entry) *bool { return &s.FirstStart })},
	{"callers.address", ``, true, "IP:port", "listen address for callers", decodeAddress(func(s *Entry) *netip.AddrPort { return &s.Callers.Address })},
	{"callers.grace", `"8s"`, false, "duration", "time from the stop signal to the kill", decodeNonNegativeDuration(func(s *Entry) *time.Duration { return &s.Callers.Grace })},
	{"callers.header-bytes", `65536`, false, "bytes", "maximum size of a request's header", decodePositiveInt(func(s *Entry) *int { return &s.Callers.HeaderBytes })},
	{"callers.body-bytes", `4194304`, false, "bytes", "maximum size of a request body until the routes' configuration sets another", decodePositiveInt(func(s *Entry) *int { return &s.Callers.BodyBytes })},
	{"callers.header-timeout", `"10s"`, false, "duration", "timeout for receiving a request's header", decodeDuration(func(s *Entry) *time.Duration { return &s.Callers.HeaderTimeout })},
	{"callers.idle-timeout", `"60s"`, false, "duration", "how long a caller's connection may stay idle", decodeDuration(func(s *Entry) *time.Duration { return &s.Callers.IdleTimeout })},
	{"readiness.address", ``, true, "IP:port", "listen address for the load balancer's readiness checks", decodeAddress(func(s *Entry) *netip.AddrPort { return &s.ReadinessAddress })},
	{"daemons.address", ``, true, "IP:port", "listen address for the other daemons", decodeAddress(func(s *Entry) *netip.AddrPort { return &s.DaemonsAddress })},
	{"metrics.address", ``, true, "IP:port", "listen address for metrics", decodeAddress(func(s *Entry) *netip.AddrPort { return &s.MetricsAddress })},
	{"store.address", ``, true, "IP:port", "the platform's store", decodeAddress(func(s *Entry) *netip.AddrPort { return &s.Store.Address })},
	{"store.timeout", `"700ms"`, false, "duration", "timeout of one call to the store, on top of the wait that the call asks for", decodeDuration(func(s *Entry) *time.Duration { return &s.Store.Timeout })},
	{"store.notice", `"3s"`, false, "duration", "time within which a store that stopped answering must be detected; limits how long a call waits for changes", decodeNonNegativeDuration(func(s *Entry) *time.Duration { return &s.Store.DetectionTimeout })},
	{"store.leave", `"2s"`, false, "duration", "maximum time until a backend server that has left gets no more requests; one whose registration may have expired during a store outage is kept for less", decodeNonNegativeDuration(func(s *Entry) *time.Duration { return &s.Store.RemovalTimeout })},
	{"duties.address", `""`, false, "IP:port", "address to which one daemon for all reports usage and sends orders for backend servers; empty: no such calls", decodeOptionalAddress(func(s *Entry) *netip.AddrPort { return &s.Duties.Address })},
	{"duties.usage", `false`, false, "", "report billing windows", decodeBool(func(s *Entry) *bool { return &s.Duties.ReportUsage })},
	{"duties.supply", `false`, false, "", "order backend servers", decodeBool(func(s *Entry) *bool { return &s.Duties.OrderServers })},
	{"duties.usage-window", `"5s"`, false, "duration", "length of a billing window", decodeDuration(func(s *Entry) *time.Duration { return &s.Duties.UsageWindow })},
	{"duties.usage-latest", `"10s"`, false, "duration", "maximum time from a billing window's end to its report", decodeDuration(func(s *Entry) *time.Duration { return &s.Duties.UsageReportDelay })},
	{"duties.calls-a-second", `10`, false, "calls/s", "call rate that the platform accepts from all daemons together", decodeNonNegativeFloat(func(s *Entry) *float64 { return &s.Duties.CallsPerSecond })},
	{"lease.duration", `"3s"`, false, "duration", "time until a lease that is not renewed expires", decodeDuration(func(s *Entry) *time.Duration { return &s.LeaseDuration })},
	{"retries.ratio", `0.2`, false, "", "retries allowed, as a share of a service's requests, over all daemons", decodeNonNegativeFloat(func(s *Entry) *float64 { return &s.Retries.Ratio })},
	{"retries.window", `"10s"`, false, "duration", "window over which requests and retries are counted", decodeDuration(func(s *Entry) *time.Duration { return &s.Retries.Window })},
	{"retries.reserve", `10`, false, "", "retries allowed per window on top of the share, over all daemons", decodeNonNegativeFloat(func(s *Entry) *float64 { return &s.Retries.Reserve })},
	{"log.level", `"info"`, false, "", "debug, info, warn or error", decodeLogLevel(func(s *Entry) *string { return &s.Log.Level })},
	{"limits.over", `0`, false, "", "share by which the daemons together may exceed the limit of a workspace; those in touch use half of it while others are out of touch", decodeNonNegativeFloat(func(s *Entry) *float64 { return &s.Limits.Over })},
	{"terms", `[]`, false, "", "terms that the deployment is served under; parts of the product that not every deployment wants follow from them", decodeTexts(func(s *Entry) *[]string { return &s.Terms })},
	{"vm.memory-mb", `0`, false, "MB", "memory of this VM, which bounds what callers can make the daemon hold; 0: GOMEMLIMIT, or the machine's", decodeAmount(megabyte, func(s *Entry) *int { return &s.VM.MemoryBytes })},
	{"vm.descriptors", `0`, false, "", "descriptors that the process may open, which bound connections and requests; 0: its RLIMIT_NOFILE", decodeAmount(1, func(s *Entry) *int { return &s.VM.Descriptors })},
	{"vm.stall-timeout", `"20s"`, false, "duration", "a connection is closed if in that time less than 16 KiB pass of a body that is read or an answer that is written; 0s: never", decodeNonNegativeDuration(func(s *Entry) *time.Duration { return &s.VM.StallTimeout })},
	{"engines.keep-memory", `false`, false, "", "send requests only to engines that have the memory for prompt and longest answer, and refuse those that fit nowhere; for engines that crash when their memory is exceeded", decodeBool(func(s *Entry) *bool { return &s.Engines.KeepMemory })},
}

const (
	// detectionMargin is the part of store.notice that is reserved for a pause
	// and another call, in addition to the timeout of the first call.
	detectionMargin = 800 * time.Millisecond
	// minWatchWait is the minimum time that a call waits for changes.
	minWatchWait = 50 * time.Millisecond
)

// MaxWatchWait returns the maximum time that a call waits for changes: what
// DetectionTimeout leaves after the call's timeout and detectionMargin, but at
// least minWatchWait.
func (s EntryStore) MaxWatchWait() time.Duration {
	return max(s.DetectionTimeout-s.Timeout-detectionMargin, minWatchWait)
}

// LoadEntry reads and checks the settings file of an entry daemon.
func LoadEntry(path string) (*Entry, error) {
	raw, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseEntry(raw)
}

// ParseEntry decodes and checks an entry daemon's settings in JSON. Its error
// is a ValidationErrors that lists every invalid field with its path in the
// file.
func ParseEntry(raw []byte) (*Entry, error) {
	s, errs := decodeFields(EntryFields, raw)
	if s == nil {
		return nil, errs
	}
	if (s.Duties.ReportUsage || s.Duties.OrderServers) && !s.Duties.Address.IsValid() {
		errs = append(errs, "duties.address: missing field, unless duties.usage and duties.supply are false")
	}
	if len(errs) > 0 {
		slices.Sort(errs)
		return nil, errs
	}
	return s, nil
}

func decodeZones[S any](field func(*S) *[]models.Zone) func(*S, json.RawMessage) error {
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

func decodeTexts[S any](field func(*S) *[]string) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil {
			return errors.New("must be a list of texts")
		}
		return nil
	}
}

func decodeOptionalAddress[S any](field func(*S) *netip.AddrPort) func(*S, json.RawMessage) error {
	decode := decodeAddress(field)
	return func(s *S, raw json.RawMessage) error {
		if string(raw) == `""` {
			return nil
		}
		return decode(s, raw)
	}
}

func decodeNonNegativeFloat[S any](field func(*S) *float64) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		if err := json.Unmarshal(raw, field(s)); err != nil || *field(s) < 0 {
			return errors.New("must be a number, 0 or more")
		}
		return nil
	}
}

// decodeAmount decodes a number of units, 0 or more, into a whole amount.
func decodeAmount[S any](unit float64, field func(*S) *int) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		var number float64
		if err := json.Unmarshal(raw, &number); err != nil || number < 0 || number*unit > math.MaxInt64/2 {
			return errors.New("must be a number, 0 or more")
		}
		*field(s) = int(number * unit)
		return nil
	}
}

// megabyte is the unit of settings in MB, in bytes.
const megabyte = 1_000_000

// decodeNonNegativeDuration is decodeDuration for bounds that a deployment may set
// to zero.
func decodeNonNegativeDuration[S any](field func(*S) *time.Duration) func(*S, json.RawMessage) error {
	return func(s *S, raw json.RawMessage) error {
		var value string
		if err := json.Unmarshal(raw, &value); err != nil {
			return errors.New("bad duration: must be a text such as \"5s\"")
		}
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 {
			return errors.New("bad duration: must be 0 or more, such as \"5s\"")
		}
		*field(s) = d
		return nil
	}
}

// Equal reports whether both settings have the same values.
func (s *Entry) Equal(other *Entry) bool {
	return reflect.DeepEqual(s, other)
}

// SameIdentityAndAddresses reports whether both settings have the same name,
// zone, addresses and VM. These cannot be changed without a restart.
func (s *Entry) SameIdentityAndAddresses(other *Entry) bool {
	return s.Name == other.Name && s.Zone == other.Zone &&
		s.Callers.Address == other.Callers.Address && s.ReadinessAddress == other.ReadinessAddress &&
		s.DaemonsAddress == other.DaemonsAddress && s.MetricsAddress == other.MetricsAddress &&
		s.Store.Address == other.Store.Address && s.Duties.Address == other.Duties.Address && s.VM == other.VM
}
