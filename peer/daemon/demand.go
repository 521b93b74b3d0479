package daemon

import (
	"math"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

const (
	// maxSharedServices, maxSharedUrgencies, maxSharedWorkspaces and maxSharedErrors
	// bound the demand in one load share.
	maxSharedServices   = 64
	maxSharedUrgencies  = 16
	maxSharedWorkspaces = 512
	maxSharedErrors     = 256
	// maxLogRatio bounds the mean of the logarithms in a sum of observations.
	maxLogRatio = 10
)

func encodeDemand(list []models.ServiceDemand) []*proto.ServiceDemand {
	var forms []*proto.ServiceDemand
	for _, demand := range list {
		form := &proto.ServiceDemand{Service: string(demand.Service)}
		for _, tokens := range demand.Queued {
			form.Queued = append(form.Queued, int64(tokens))
		}
		for _, w := range demand.Workspaces {
			form.Workspaces = append(form.Workspaces, &proto.WorkspaceDemand{
				Workspace: string(w.Workspace),
				Route:     w.Route,
				Offered:   uint32(w.Offered),
				Served:    uint32(w.Served),
				Lost:      uint32(w.Lost),
				Work:      uint64(w.Work),
			})
		}
		for _, e := range demand.Errors {
			form.Errors = append(form.Errors, &proto.PredictionError{
				Route:   e.Route,
				Wait:    uint32(e.Wait),
				Count:   float32(e.Count),
				Sum:     float32(e.Sum),
				Squares: float32(e.Squares),
			})
		}
		forms = append(forms, form)
	}
	return forms
}

// decodeDemand drops what is malformed or goes beyond the bounds.
func decodeDemand(forms []*proto.ServiceDemand) []models.ServiceDemand {
	var list []models.ServiceDemand
	for _, form := range forms[:min(len(forms), maxSharedServices)] {
		demand := models.ServiceDemand{Service: models.ServiceName(form.GetService())}
		for _, tokens := range form.GetQueued()[:min(len(form.GetQueued()), maxSharedUrgencies)] {
			demand.Queued = append(demand.Queued, int(max(tokens, 0)))
		}
		for _, w := range form.GetWorkspaces()[:min(len(form.GetWorkspaces()), maxSharedWorkspaces)] {
			demand.Workspaces = append(demand.Workspaces, models.WorkspaceDemand{
				Workspace: models.Workspace(w.GetWorkspace()),
				Route:     w.GetRoute(),
				Offered:   int(w.GetOffered()),
				Served:    int(w.GetServed()),
				Lost:      int(w.GetLost()),
				Work:      int(w.GetWork()),
			})
		}
		for _, e := range form.GetErrors()[:min(len(form.GetErrors()), maxSharedErrors)] {
			observed := models.PredictionError{
				Route:   e.GetRoute(),
				Wait:    models.WaitClass(e.GetWait()),
				Count:   float64(e.GetCount()),
				Sum:     float64(e.GetSum()),
				Squares: float64(e.GetSquares()),
			}
			if validError(observed) {
				demand.Errors = append(demand.Errors, observed)
			}
		}
		list = append(list, demand)
	}
	return list
}

// validError reports whether a sum of observations can be one.
func validError(e models.PredictionError) bool {
	finite := !math.IsNaN(e.Sum+e.Squares+e.Count) && !math.IsInf(e.Sum+e.Squares+e.Count, 0)
	return finite && e.Wait >= models.WaitNone && e.Wait <= models.WaitBehind && e.Count > 0 && e.Squares >= 0 && math.Abs(e.Sum) <= maxLogRatio*e.Count
}
