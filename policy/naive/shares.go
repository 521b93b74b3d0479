package naive

import (
	"math"

	"quincewinch/models"
)

// Claim is what a workspace asks of a divisible amount.
type Claim struct {
	Weight float64
	Demand float64
}

// Shares divides an amount exactly by weighted max-min fairness: nobody gets
// more than its demand, and what is left goes to the others by weight.
func Shares(amount float64, claims map[models.Workspace]Claim) map[models.Workspace]float64 {
	shares := map[models.Workspace]float64{}
	open := map[models.Workspace]Claim{}
	for workspace, claim := range claims {
		open[workspace] = claim
	}
	for len(open) > 0 {
		var weights float64
		level := math.Inf(1) // at which the next one is satisfied
		for _, claim := range open {
			weights += claim.Weight
			level = min(level, claim.Demand/claim.Weight)
		}
		if level*weights >= amount {
			for workspace, claim := range open {
				shares[workspace] = amount * claim.Weight / weights
			}
			return shares
		}
		for workspace, claim := range open {
			if claim.Demand/claim.Weight <= level {
				shares[workspace] = claim.Demand
				amount -= claim.Demand
				delete(open, workspace)
			}
		}
	}
	return shares
}
