// Package table defines the table that operators edit: the kinds of row, their
// columns with defaults and units, the validation of rows, and the conversion
// of the platform's rows to the configuration.
package table

// Kind names a kind of row.
type Kind string

// Kinds of row.
const (
	KindWorkspace Kind = "workspace"
	KindKey       Kind = "key"
	KindRoute     Kind = "route"
	KindModel     Kind = "model"
	KindBackend   Kind = "backend-server"
	KindService   Kind = "service"
	KindFleet     Kind = "fleet"
)

// Type is the type of a column's values.
type Type string

// Column types.
const (
	TypeText     Type = "text"
	TypeNumber   Type = "number"   // not negative
	TypeInteger  Type = "integer"  // not negative
	TypeDuration Type = "duration" // in Go's notation, not negative
	TypeBool     Type = "bool"
)

// Column describes one column of a kind of row.
type Column struct {
	Name     string
	Type     Type
	Default  string // in JSON; empty: the cell is required
	Unit     string
	Meaning  string
	ReadOnly bool // set by the system, not by operators
}

// Schema lists the columns of each kind of row.
var Schema = map[Kind][]Column{
	KindWorkspace: {
		{Name: "weight", Type: TypeNumber, Default: "1", Meaning: "share of the fleet relative to other workspaces"},
		{Name: "requests-per-second", Type: TypeNumber, Default: "0", Unit: "1/s", Meaning: "limit on requests; 0 sets none"},
		{Name: "tokens-per-second", Type: TypeNumber, Default: "0", Unit: "1/s", Meaning: "limit on prompt and output tokens; 0 sets none"},
		{Name: "concurrent", Type: TypeInteger, Default: "0", Meaning: "limit on concurrent requests; 0 sets none"},
		{Name: "key-freshness", Type: TypeDuration, Default: `"5s"`, Meaning: "maximum age of the evidence that no key was withdrawn"},
		{Name: "claim-retention", Type: TypeDuration, Default: `"24h"`, Meaning: "how long the answer to a request that must not be repeated is kept"},
		{Name: "priority", Type: TypeInteger, Default: "0", Meaning: "scheduling priority on an engine; higher values run first"},
	},
	KindKey: {
		{Name: "workspace", Type: TypeText, Meaning: "workspace that the key belongs to"},
		{Name: "hash", Type: TypeText, Meaning: "SHA-256 of the key, in hexadecimal", ReadOnly: true},
		{Name: "withdrawn", Type: TypeBool, Default: "false", Meaning: "whether the key has stopped working", ReadOnly: true},
	},
	KindRoute: {
		{Name: "kind", Type: TypeText, Meaning: "model or service"},
		{Name: "open", Type: TypeBool, Default: "false", Meaning: "needs no key"},
		{Name: "repeatable", Type: TypeBool, Default: "true", Meaning: "may run more than once"},
	},
	KindModel: {
		{Name: "version", Type: TypeText, Default: `"1"`, Meaning: "version to serve"},
		{Name: "pieces", Type: TypeInteger, Default: "0", Unit: "pieces of memory", Meaning: "memory that the weights take"},
		{Name: "min-hot", Type: TypeInteger, Default: "1", Unit: "engines", Meaning: "minimum number of engines that keep the model loaded"},
	},
	KindBackend: {
		{Name: "zone", Type: TypeText, Meaning: "availability zone"},
		{Name: "url", Type: TypeText, Meaning: "URL of the engine"},
		{Name: "cheap", Type: TypeBool, Default: "false", Meaning: "may be taken away at a few seconds' notice"},
		{Name: "checks-fence", Type: TypeBool, Default: "false", Meaning: "refuses an order with an old fencing number"},
		{Name: "leaving", Type: TypeBool, Default: "false", Meaning: "gets no new work"},
	},
	KindService: {
		{Name: "service", Type: TypeText, Meaning: "the service's name in its route"},
		{Name: "zone", Type: TypeText, Meaning: "availability zone"},
		{Name: "url", Type: TypeText, Meaning: "URL of the service"},
	},
	KindFleet: {
		{Name: "spend-per-hour", Type: TypeNumber, Default: "0", Unit: "currency/h", Meaning: "limit on spending for backend servers; 0 orders none"},
		{Name: "max-per-zone", Type: TypeInteger, Default: "0", Unit: "backend servers", Meaning: "limit on backend servers in one availability zone"},
		{Name: "cost-weight", Type: TypeNumber, Default: "1", Meaning: "weight of cost against goodput"},
		{Name: "worst-weight", Type: TypeNumber, Default: "1", Meaning: "weight of the worst-served workspace"},
		{Name: "cheap-share", Type: TypeNumber, Default: "0.5", Meaning: "maximum share of work on cheap backend servers, 0 to 1"},
		{Name: "loads-per-minute", Type: TypeNumber, Default: "6", Unit: "1/min", Meaning: "loads that the weight store can serve"},
		{Name: "min-per-role-in-zone", Type: TypeInteger, Default: "1", Unit: "engines", Meaning: "minimum number of engines in each role in a zone"},
		{Name: "price", Type: TypeNumber, Default: "1", Unit: "currency/h", Meaning: "price of a reserved backend server"},
		{Name: "cheap-price", Type: TypeNumber, Default: "0.35", Unit: "currency/h", Meaning: "price of a cheap backend server"},
	},
}
