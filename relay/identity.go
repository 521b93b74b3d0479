package relay

import (
	"crypto/sha256"
	"encoding/binary"

	"quincewinch/models"
)

// maxCheapBody is the size in bytes up to which a body is hashed in microseconds.
const maxCheapBody = 16 << 10

// Identity tells requests that come again unchanged: with the same method, path, caller
// and body. It is computed when it is first asked for, and not safe for concurrent use.
type Identity struct {
	call *models.UpstreamCall
	id   models.PartID
}

// NewIdentity returns the identity of a request. The call must not change any more.
func NewIdentity(call *models.UpstreamCall) *Identity {
	return &Identity{call: call}
}

// Cheap reports whether the ID is known or can be computed in microseconds.
func (i *Identity) Cheap() bool {
	return i.call == nil || len(i.call.Body) <= maxCheapBody
}

// ID returns an ID that all daemons agree on. Callers cannot find another request with
// the ID of a given one: that could be used to have it blocked.
func (i *Identity) ID() models.PartID {
	if i.call == nil {
		return i.id
	}
	hash := sha256.New()
	for _, field := range []string{i.call.Method, i.call.Host, i.call.Target, string(i.call.Workspace)} {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		hash.Write([]byte(field))
	}
	hash.Write(i.call.Body)
	i.id = models.PartID(binary.BigEndian.Uint64(hash.Sum(nil)))
	i.call = nil
	return i.id
}
