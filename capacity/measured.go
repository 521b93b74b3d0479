package capacity

import (
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"golang.org/x/perf/benchfmt"
)

// Measured holds slopes by name: benchmark, a slash, unit.
type Measured map[string]Slope

// Read reads the output of benchmarks whose names end in their size, after the
// last slash or equals sign, and fits a line for each of their units.
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

// Names returns the slopes' names in order.
func (m Measured) Names() []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// originalUnit returns the unit as it was printed, which the library may have changed
// to a base unit.
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

// splitName returns a benchmark's name without its size and number of processors,
// and its size.
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
