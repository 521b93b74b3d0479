package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"quincewinch/models"
)

const (
	minAnswerTokens  = 8  // tokens
	answerTokenRange = 56 // tokens
)

var words = []string{
	" oak", " ash", " elm", " walnut", " cherry", " maple", " flitch", " veneer",
	" coil", " slit", " gauge", " grade", " width", " sheet", " quote", " order",
}

// TokenAt returns the text of a token of the answer to a prompt, counted from
// 0. It depends on nothing else, so that tests know each answer in advance.
func TokenAt(model models.Model, prompt string, index int) string {
	h := xxhash.Sum64String(string(model) + "\x00" + prompt + "\x00" + strconv.Itoa(index))
	return words[h%uint64(len(words))]
}

// AnswerLength returns how many tokens the engine's answer to a prompt has
// where no limit cuts it.
func AnswerLength(model models.Model, prompt string) int {
	h := xxhash.Sum64String(string(model) + "\x00" + prompt)
	return minAnswerTokens + int(h%answerTokenRange)
}

// Answer returns the whole text of the answer to a prompt of at most maxTokens
// tokens; 0 sets no limit.
func Answer(model models.Model, prompt string, maxTokens int) string {
	length := AnswerLength(model, prompt)
	if maxTokens > 0 {
		length = min(length, maxTokens)
	}
	var text string
	for i := range length {
		text += TokenAt(model, prompt, i)
	}
	return text
}
