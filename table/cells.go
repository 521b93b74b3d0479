package table

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
)

// Cells are the values of one row by column name. Depending on the column's
// type a value is a string, float64, int64, bool or time.Duration.
type Cells map[string]any

// CellError is the error for a row that is rejected because of one cell.
type CellError struct {
	Kind   Kind
	Column string
	Reason string
}

// Error implements error.
func (e *CellError) Error() string {
	return "row of kind " + string(e.Kind) + ", cell " + e.Column + ": " + e.Reason
}

// Key returns the key of a row of a kind.
func Key(kind Kind, name string) models.RowKey {
	return models.RowKey{Partition: models.PartitionConfig, Name: string(kind) + "/" + name}
}

// SplitName returns the kind and the name of a row's key.
func SplitName(key models.RowKey) (Kind, string) {
	kind, name, _ := strings.Cut(key.Name, "/")
	return Kind(kind), name
}

// Parse reads the cells of a row from a JSON object, validates each against its
// column and fills in defaults. Columns that the kind does not have are
// rejected.
func Parse(kind Kind, raw []byte) (Cells, error) {
	columns, ok := Schema[kind]
	if !ok {
		return nil, errors.NotValidf("kind of row %q", kind)
	}
	var given map[string]json.RawMessage
	if err := json.Unmarshal(raw, &given); err != nil {
		return nil, errors.NewNotValid(err, "row is no JSON object")
	}
	cells := Cells{}
	for _, column := range columns {
		value, ok := given[column.Name]
		if !ok {
			value = json.RawMessage(column.Default)
		}
		delete(given, column.Name)
		if len(value) == 0 {
			return nil, &CellError{kind, column.Name, "must be given"}
		}
		cell, err := parseCell(column.Type, value)
		if err != nil {
			return nil, &CellError{kind, column.Name, err.Error()}
		}
		cells[column.Name] = cell
	}
	return cells, checkNoUnknown(kind, given)
}

// Encode returns cells as a JSON object, with durations in Go's notation.
func Encode(cells Cells) ([]byte, error) {
	values := make(map[string]any, len(cells))
	for name, cell := range cells {
		if d, ok := cell.(time.Duration); ok {
			values[name] = d.String()
			continue
		}
		values[name] = cell
	}
	raw, err := json.Marshal(values)
	return raw, errors.Trace(err)
}

func checkNoUnknown(kind Kind, given map[string]json.RawMessage) error {
	if len(given) == 0 {
		return nil
	}
	names := make([]string, 0, len(given))
	for name := range given {
		names = append(names, name)
	}
	sort.Strings(names)
	return &CellError{kind, names[0], "no such column"}
}

func parseCell(t Type, raw json.RawMessage) (any, error) {
	switch t {
	case TypeNumber:
		return parseNumber(raw)
	case TypeInteger:
		var n int64
		if err := json.Unmarshal(raw, &n); err != nil {
			return nil, errors.New("must be a whole number")
		}
		if n < 0 {
			return nil, errors.New("must not be negative")
		}
		return n, nil
	case TypeBool:
		var b bool
		if err := json.Unmarshal(raw, &b); err != nil {
			return nil, errors.New("must be true or false")
		}
		return b, nil
	case TypeDuration:
		return parseDuration(raw)
	default:
		var s string
		if err := json.Unmarshal(raw, &s); err != nil || s == "" {
			return nil, errors.New("must be a text")
		}
		return s, nil
	}
}

func parseNumber(raw json.RawMessage) (any, error) {
	var n float64
	if err := json.Unmarshal(raw, &n); err != nil {
		return nil, errors.New("must be a number")
	}
	if n < 0 {
		return nil, errors.New("must not be negative")
	}
	return n, nil
}

func parseDuration(raw json.RawMessage) (any, error) {
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, errors.New("must be a duration such as \"5s\"")
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return nil, errors.New("must be a duration such as \"5s\"")
	}
	if d < 0 {
		return nil, errors.New("must not be negative")
	}
	return d, nil
}
