package placement

import "quincewinch/models"

const (
	// defaultOutputTokens is the output length expected for a workspace and
	// model without answers so far.
	defaultOutputTokens = 128
	// lengthWeight is the weight of the latest answer in the moving average.
	lengthWeight = 0.05
)

// OutputLengths keeps moving averages of the answer lengths by workspace and
// model.
type OutputLengths struct {
	means map[lengthKey]float64
}

type lengthKey struct {
	workspace models.Workspace
	model     models.Model
}

// NewOutputLengths returns lengths without observations.
func NewOutputLengths() *OutputLengths {
	return &OutputLengths{means: map[lengthKey]float64{}}
}

// Observe records the length of an answer, in tokens.
func (l *OutputLengths) Observe(workspace models.Workspace, model models.Model, output int) {
	key := lengthKey{workspace: workspace, model: model}
	mean, ok := l.means[key]
	if !ok {
		l.means[key] = float64(output)
		return
	}
	l.means[key] = mean + lengthWeight*(float64(output)-mean)
}

// Expect returns the expected output in tokens, at most limit; 0: no limit.
func (l *OutputLengths) Expect(workspace models.Workspace, model models.Model, limit int) int {
	expected := defaultOutputTokens
	if mean, ok := l.means[lengthKey{workspace: workspace, model: model}]; ok {
		expected = max(int(mean), 1)
	}
	if limit > 0 {
		expected = min(expected, limit)
	}
	return expected
}
