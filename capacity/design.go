package capacity

// The design size.
const (
	Daemons          = 410
	EngineCount      = 600
	RequestsPerSec   = 4700
	TokensPerSec     = 2_300_000
	Workspaces       = 11_000
	Models           = 22
	Zones            = 6
	ChangesPerDay    = 1500
	RestartsPerDay   = 120
	FailuresPerDay   = 15
	KVBytesPerSec    = 900e9
	secondsPerDay    = 86_400
	microsPerSecond  = 1e6
	nanosPerSecond   = 1e9
	bytesPerKilobyte = 1000
	bytesPerMegabyte = 1e6
)

// Budgets for the control work of one daemon, and for the load of all daemons
// on the table of the platform.
const (
	CoreShare       = 0.012 // of a core
	MemoryMegabytes = 32.0
	KilobytesPerSec = 14.0
	ChangeSeconds   = 4.0
	TableReads      = 2000.0
	TableWrites     = 300.0
)

// activeWorkspaces bounds the number of distinct workspaces with work at one
// daemon within the 10 s that a report covers: each daemon serves 1/410 of the
// requests, 11.5 per second.
const activeWorkspaces = RequestsPerSec / Daemons * 10
