// Package table describes the table that operators edit: its kinds of row,
// their columns with defaults and units, the checks of a row, and the codec
// between rows of the platform's table and the configuration.
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

// Type is the type of a column's cells.
type Type string

// Types of cell.
const (
	TypeText     Type = "text"
	TypeNumber   Type = "number"   // not negative
	TypeInteger  Type = "integer"  // not negative
	TypeDuration Type = "duration" // Go's notation, not negative
	TypeBool     Type = "bool"
)

// Column describes the cells of one column.
type Column struct {
	Name     string
	Type     Type
	Default  string // in JSON; empty: the cell must be given
	Unit     string
	Meaning  string
	ReadOnly bool // not for operators: set by the system
}

// Schema lists the columns of each kind of row.
var Schema = map[Kind][]Column{
	KindWorkspace: {
		{Name: "weight", Type: TypeNumber, Default: "1", Meaning: "share of the fleet against other workspaces"},
		{Name: "requests-per-second", Type: TypeNumber, Default: "0", Unit: "1/s", Meaning: "limit on requests; 0 sets none"},
		{Name: "tokens-per-second", Type: TypeNumber, Default: "0", Unit: "1/s", Meaning: "limit on prompt and output tokens; 0 sets none"},
		{Name: "concurrent", Type: TypeInteger, Default: "0", Meaning: "requests running at once; 0 sets no limit"},
		{Name: "key-freshness", Type: TypeDuration, Default: `"5s"`, Meaning: "how old the evidence may be that no key was withdrawn"},
		{Name: "claim-retention", Type: TypeDuration, Default: `"24h"`, Meaning: "how long the answer of a request that may not be repeated is kept"},
		{Name: "priority", Type: TypeInteger, Default: "0", Meaning: "higher runs first on an engine"},
	},
	KindKey: {
		{Name: "workspace", Type: TypeText, Meaning: "whose key it is"},
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
		{Name: "min-hot", Type: TypeInteger, Default: "1", Unit: "engines", Meaning: "engines that keep it loaded at the least"},
	},
	KindBackend: {
		{Name: "zone", Type: TypeText, Meaning: "availability zone"},
		{Name: "url", Type: TypeText, Meaning: "where the engine answers"},
		{Name: "cheap", Type: TypeBool, Default: "false", Meaning: "may vanish on a few seconds' notice"},
		{Name: "checks-fence", Type: TypeBool, Default: "false", Meaning: "refuses an order with an old fencing number"},
		{Name: "leaving", Type: TypeBool, Default: "false", Meaning: "gets no new work"},
	},
	KindService: {
		{Name: "service", Type: TypeText, Meaning: "the service's name in its route"},
		{Name: "zone", Type: TypeText, Meaning: "availability zone"},
		{Name: "url", Type: TypeText, Meaning: "where the service answers"},
	},
	KindFleet: {
		{Name: "spend-per-hour", Type: TypeNumber, Default: "0", Unit: "currency/h", Meaning: "limit on backend servers; 0 orders none"},
		{Name: "max-per-zone", Type: TypeInteger, Default: "0", Unit: "backend servers", Meaning: "limit in one availability zone"},
		{Name: "cost-weight", Type: TypeNumber, Default: "1", Meaning: "weight of cost against goodput"},
		{Name: "worst-weight", Type: TypeNumber, Default: "1", Meaning: "weight of the worst-served workspace"},
		{Name: "cheap-share", Type: TypeNumber, Default: "0.5", Meaning: "greatest share of work on cheap backend servers, 0 to 1"},
		{Name: "loads-per-minute", Type: TypeNumber, Default: "6", Unit: "1/min", Meaning: "loads that the weight store can serve"},
		{Name: "min-per-role-in-zone", Type: TypeInteger, Default: "1", Unit: "engines", Meaning: "engines kept in each role in a zone"},
		{Name: "price", Type: TypeNumber, Default: "1", Unit: "currency/h", Meaning: "of a reserved backend server"},
		{Name: "cheap-price", Type: TypeNumber, Default: "0.35", Unit: "currency/h", Meaning: "of a cheap backend server"},
	},
}
