package naive

import "quincewinch/models"

// queueRatioThreshold is the ratio of the queues above which ChangeByQueues
// changes a role.
const queueRatioThreshold = 1.2

// ChangeByQueues changes an engine to the role with the longer queue whenever
// the ratio of the queues exceeds queueRatioThreshold, regardless of earlier
// changes. It returns empty roles otherwise.
func ChangeByQueues(prefill, decode float64) (from, to models.Role) {
	switch {
	case prefill > queueRatioThreshold*decode:
		return models.RoleDecode, models.RolePrefill
	case decode > queueRatioThreshold*prefill:
		return models.RolePrefill, models.RoleDecode
	}
	return "", ""
}
