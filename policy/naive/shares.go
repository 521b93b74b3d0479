package naive

import (
	"math"

	"quincewinch/models"
)

// Claim is a workspace's claim to a divisible amount.
type Claim struct {
	Weight float64
	Demand float64
}

// Shares divides an amount exactly by weighted max-min fairness: no workspace
// gets more than its demand, and the rest goes to the others by weight.
func Shares(amount float64, claims map[models.Workspace]Claim) map[models.Workspace]float64 {
	shares := map[models.Workspace]float64{}
	unsatisfied := map[models.Workspace]Claim{}
	for workspace, claim := range claims {
		unsatisfied[workspace] = claim
	}
	for len(unsatisfied) > 0 {
		var weights float64
		level := math.Inf(1) // at which the next claim is satisfied
		for _, claim := range unsatisfied {
			weights += claim.Weight
			level = min(level, claim.Demand/claim.Weight)
		}
		if level*weights >= amount {
			for workspace, claim := range unsatisfied {
				shares[workspace] = amount * claim.Weight / weights
			}
			return shares
		}
		for workspace, claim := range unsatisfied {
			if claim.Demand/claim.Weight <= level {
				shares[workspace] = claim.Demand
				amount -= claim.Demand
				delete(unsatisfied, workspace)
			}
		}
	}
	return shares
}
