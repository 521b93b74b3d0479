package control

import (
	"context"
	"fmt"
	"time"

	"quincewinch/models"
)

// Explain describes in sentences what an engine does and why, with the figures
// behind the decision. It reads the desired state from the table, since
// another daemon may hold the lease. If the table cannot be read, it uses the
// state last read.
func (f *Fleet) Explain(ctx context.Context, engine models.EngineID) []string {
	server, ok := f.peers.Configuration.Config().Backends[engine]
	if !ok {
		return []string{"No engine " + string(engine) + " is in the table."}
	}
	now := f.peers.Clock.Now()
	sentences := []string{f.explainState(now, server)}
	if err := f.rows.refresh(ctx); err != nil {
		sentences = append(sentences, "The table cannot be read now ("+err.Error()+"), so what follows is what was known last.")
	}
	desired, known := f.rows.get(engine)
	if !known {
		return append(sentences, "It has no desired state yet.")
	}
	sentences = append(sentences, fmt.Sprintf("It ought to be in role %s with %v loaded; the step is %s, for %s: %s.",
		desired.Role, desired.Models, desired.Step, now.Sub(desired.Since).Round(time.Second), desired.Why))
	if desired.PendingOrder.ID != "" {
		sentences = append(sentences, fmt.Sprintf("Its last order is %s; %d orders were given in this step.", desired.PendingOrder.ID, desired.Attempts))
	}
	return append(sentences, f.explainPlan(engine)...)
}

func (f *Fleet) explainState(now time.Time, server models.BackendServer) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.watched[server.Engine]
	if !ok || !w.present {
		missing := "ever since this daemon started"
		if ok {
			missing = "for " + now.Sub(w.lastAnswered).Round(time.Second).String()
		}
		return fmt.Sprintf("Engine %s in zone %s has not answered %s.", server.Engine, server.Zone, missing)
	}
	return fmt.Sprintf("Engine %s in zone %s reports role %s, %d requests running and %d waiting, %d of %d pieces of memory free (draining: %t, changing: %t).",
		server.Engine, server.Zone, w.state.Role, w.state.Running, w.state.Queued, w.state.FreePieces, w.state.TotalPieces, w.state.Draining, w.state.Changing)
}

func (f *Fleet) explainPlan(engine models.EngineID) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	group, ok := f.latestPlan.groups[engine]
	if !ok {
		return nil
	}
	forecast, split := f.latestPlan.forecasts[group], f.latestPlan.splits[group]
	sentences := []string{fmt.Sprintf("The engines for %s, %d for prefill, %d for decode and %d for both, are expected to be kept busy %.2f by prefill and %.2f by decode (deviations %.2f and %.2f), %.0f in 100 of what is offered being served; the mix is counted on for %s.",
		group, split.Prefill, split.Decode, split.Both, forecast.Mean.Prefill, forecast.Mean.Decode,
		forecast.Deviation.Prefill, forecast.Deviation.Decode, 100*split.ServedShare(forecast.Mean), forecast.Lifetime.Round(time.Second))}
	if change, ok := f.latestPlan.changes[engine]; ok {
		return append(sentences, "A change is due: "+change.Why()+".")
	}
	return append(sentences, "No change of its role would repay what it costs.")
}
