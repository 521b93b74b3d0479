package models_test

import (
	"testing"

	"github.com/matryer/is"

	"quincewinch/models"
)

func TestSharedParts(t *testing.T) {
	prompt := func(ids ...string) (p models.Prompt) {
		for _, id := range ids {
			p.Parts = append(p.Parts, models.PromptPart{ID: id})
		}
		return p
	}
	tests := []struct {
		name   string
		prompt models.Prompt
		count  int
	}{
		{"no parts", prompt(), 0},
		{"a last part alone", prompt("own"), 0},
		{"all but the last", prompt("a", "b", "own"), 2},
		{"the last one, also before", prompt("a", "own", "own"), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(len(test.prompt.SharedParts()), test.count)
		})
	}
	t.Run("the same in other prompts", func(t *testing.T) {
		is.New(t).Equal(prompt("a", "own").SharedParts()[0], prompt("b", "a", "other").SharedParts()[1])
	})
}
