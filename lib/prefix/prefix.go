// Package prefix splits prompts into blocks and identifies each prefix by a
// hash, in the same way as engines identify prefixes in their cache events.
package prefix

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the mean length of a token in bytes.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one block of a prefix.
	BlockTokens = 16
	blockBytes  = BlockTokens * BytesPerToken
)

// Tokens estimates the number of tokens of a text.
func Tokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Hashes returns one hash for each full block of a prompt. The hash at index i
// identifies the prefix of i+1 blocks.
func Hashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	var d xxhash.Digest
	d.Reset()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = d.WriteString(prompt[end-blockBytes : end])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
