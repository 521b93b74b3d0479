package naive

import "quincewinch/models"

// queueLine is the ratio of the queues at which ChangeByQueues acts.
const queueLine = 1.2

// ChangeByQueues changes an engine towards the role with the longer queue
// whenever the ratio crosses a line, and forgets what it did before. It
// returns empty roles while the ratio is within the line.
func ChangeByQueues(prefill, decode float64) (from, to models.Role) {
	switch {
	case prefill > queueLine*decode:
		return models.RoleDecode, models.RolePrefill
	case decode > queueLine*prefill:
		return models.RolePrefill, models.RoleDecode
	}
	return "", ""
}
