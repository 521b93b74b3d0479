package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"quincewinch/models"
)

const (
	minAnswerTokens  = 8
	answerTokenRange = 56
)

var words = []string{
	" oak", " ash", " elm", " walnut", " cherry", " maple", " flitch", " veneer",
	" coil", " slit", " gauge", " grade", " width", " sheet", " quote", " order",
}

// TokenAt returns the text of the token at an index, from 0, of the answer to a
// prompt. It depends only on its arguments, so that tests know each answer in
// advance.
func TokenAt(model models.Model, prompt string, index int) string {
	h := xxhash.Sum64String(string(model) + "\x00" + prompt + "\x00" + strconv.Itoa(index))
	return words[h%uint64(len(words))]
}

// AnswerLength returns how many tokens the answer to a prompt has when no limit
// applies.
func AnswerLength(model models.Model, prompt string) int {
	h := xxhash.Sum64String(string(model) + "\x00" + prompt)
	return minAnswerTokens + int(h%answerTokenRange)
}

// Answer returns the text of the answer to a prompt, of at most maxTokens
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
