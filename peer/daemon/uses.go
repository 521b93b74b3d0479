package daemon

import (
	"math"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

// maxSharedUses bounds the workspaces whose use of their limits is in one load share.
const maxSharedUses = 4096

func encodeUses(uses map[models.Workspace]models.LimitUse) []*proto.LimitUse {
	var forms []*proto.LimitUse
	for workspace, use := range uses {
		forms = append(forms, &proto.LimitUse{
			Workspace: string(workspace),
			Epoch:     use.Epoch,
			Amount:    use.Amount,
			Admitted:  float32(use.Admitted),
			Offered:   float32(use.Offered),
			Reserved:  float32(use.Reserved),
		})
	}
	return forms
}

// decodeUses drops what is malformed.
func decodeUses(forms []*proto.LimitUse) map[models.Workspace]models.LimitUse {
	if len(forms) == 0 {
		return nil
	}
	uses := map[models.Workspace]models.LimitUse{}
	for _, form := range forms[:min(len(forms), maxSharedUses)] {
		use := models.LimitUse{
			Epoch:    form.GetEpoch(),
			Amount:   form.GetAmount(),
			Admitted: float64(form.GetAdmitted()),
			Offered:  float64(form.GetOffered()),
			Reserved: float64(form.GetReserved()),
		}
		if finite(use.Amount) && rate(use.Admitted) && rate(use.Offered) && rate(use.Reserved) {
			uses[models.Workspace(form.GetWorkspace())] = use
		}
	}
	return uses
}

func finite(f float64) bool {
	return !math.IsNaN(f) && !math.IsInf(f, 0)
}

func rate(f float64) bool {
	return finite(f) && f >= 0
}
