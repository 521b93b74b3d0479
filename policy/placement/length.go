package placement

import "quincewinch/models"

const (
	// firstGuess is the output expected of a workspace that nothing is known
	// of, in tokens.
	firstGuess = 128
	// newness is the weight of the latest answer in the mean.
	newness = 0.05
)

// Lengths learns how long the answers to a workspace's requests are.
type Lengths struct {
	means map[lengthKey]float64
}

type lengthKey struct {
	workspace models.Workspace
	model     models.Model
}

// NewLengths returns lengths that know nothing.
func NewLengths() *Lengths {
	return &Lengths{means: map[lengthKey]float64{}}
}

// Learn takes in the length of an answer, in tokens.
func (l *Lengths) Learn(workspace models.Workspace, model models.Model, output int) {
	key := lengthKey{workspace: workspace, model: model}
	mean, ok := l.means[key]
	if !ok {
		l.means[key] = float64(output)
		return
	}
	l.means[key] = mean + newness*(float64(output)-mean)
}

// Expect returns the output expected, in tokens. A limit of 0 is none.
func (l *Lengths) Expect(workspace models.Workspace, model models.Model, limit int) int {
	expected := firstGuess
	if mean, ok := l.means[lengthKey{workspace: workspace, model: model}]; ok {
		expected = max(int(mean), 1)
	}
	if limit > 0 {
		expected = min(expected, limit)
	}
	return expected
}
