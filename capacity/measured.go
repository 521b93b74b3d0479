package capacity

import (
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"golang.org/x/perf/benchfmt"
)

// Measured maps slope names, of the form benchmark/unit, to slopes.
type Measured map[string]Slope

// Read reads benchmark output and fits a line for each benchmark and unit. The
// size is the first part of the benchmark name, between slashes, that is a
// number or ends in an equals sign and a number. Results without one are
// skipped.
func Read(r io.Reader) (Measured, error) {
	points := map[string][]Point{}
	reader := benchfmt.NewReader(r, "measured")
	for reader.Scan() {
		result, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		name, size, ok := splitName(string(result.Name))
		if !ok {
			continue
		}
		for _, value := range result.Values {
			key := name + "/" + originalUnit(value)
			points[key] = append(points[key], Point{Size: size, Value: originalValue(value)})
		}
	}
	if err := reader.Err(); err != nil {
		return nil, errors.Annotate(err, "cannot read the measurements")
	}
	measured := Measured{}
	for name, list := range points {
		measured[name] = Fit(name, list)
	}
	return measured, nil
}

// Names returns the slope names in alphabetical order.
func (m Measured) Names() []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// originalUnit returns the unit as it was printed. The library may have
// converted it to a base unit.
func originalUnit(value benchfmt.Value) string {
	if value.OrigUnit != "" {
		return value.OrigUnit
	}
	return value.Unit
}

func originalValue(value benchfmt.Value) float64 {
	if value.OrigUnit != "" {
		return value.OrigValue
	}
	return value.Value
}

// splitName returns the name of a benchmark without its size and number of
// processors, and the size.
func splitName(full string) (string, float64, bool) {
	name := full
	if i := strings.LastIndex(name, "-"); i > 0 {
		name = name[:i]
	}
	for part := range strings.SplitSeq(name, "/") {
		_, text, found := strings.Cut(part, "=")
		if !found {
			text = part
		}
		if size, err := strconv.ParseFloat(text, 64); err == nil {
			return strings.Replace(name, "/"+part, "", 1), size, true
		}
	}
	return "", 0, false
}
