package models

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PartID is the hash of the ID of a prompt part.
type PartID uint64

// String returns the ID as in log lines.
func (p PartID) String() string {
	const hexadecimal = 16
	return strconv.FormatUint(uint64(p), hexadecimal)
}

// SharedParts returns the parts that other prompts may have too: all but the last,
// which belongs to the request.
func (p Prompt) SharedParts() []PartID {
	if len(p.Parts) < 2 {
		return nil
	}
	last := p.Parts[len(p.Parts)-1].ID
	parts := make([]PartID, 0, len(p.Parts)-1)
	for _, part := range p.Parts[:len(p.Parts)-1] {
		if part.ID != last {
			parts = append(parts, PartID(xxhash.Sum64String(part.ID)))
		}
	}
	return parts
}
