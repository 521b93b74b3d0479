package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/table"
	"quincewinch/timeline"
)

// eventsTimeout bounds the wait for other daemons' events.
const eventsTimeout = 2 * time.Second

// overview implements peer.Overview.
type overview struct {
	daemon *Daemon
}

// Events returns the events of all daemons in causal order. For each daemon
// that did not answer in time it appends an event that says so.
func (o overview) Events(ctx context.Context, filter models.EventFilter) ([]models.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	d := o.daemon
	events, unresponsive := gatherEvents(ctx, d.exchange.client, d.exchange.membership.Others(), filter)
	merged := timeline.Merge(filter.Limit, d.ring.Events(filter), events)
	for _, id := range unresponsive {
		merged = append(merged, d.missingEvents(id))
	}
	return merged, nil
}

// gatherEvents requests the events of all members in parallel. It also returns
// the members that did not answer.
func gatherEvents(ctx context.Context, daemons peer.Daemons, members []table.Member, filter models.EventFilter) (events []models.Event, unresponsive []models.DaemonID) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, member := range members {
		group.Go(func() {
			vm := models.VM{Daemon: string(member.ID), Zone: member.Zone, Address: member.Address}
			answer, err := daemons.Events(ctx, vm, filter)
			mu.Lock()
			defer mu.Unlock()
			events = append(events, answer...)
			if err != nil {
				unresponsive = append(unresponsive, member.ID)
			}
		})
	}
	group.Wait()
	slices.Sort(unresponsive)
	return events, unresponsive
}

// missingEvents returns an event saying that another daemon's events are
// missing. It is shown to the operator but not recorded.
func (d *Daemon) missingEvents(id models.DaemonID) models.Event {
	return models.Event{
		Stamp:  d.ring.Stamp(),
		At:     d.clock.Now(),
		Daemon: d.id,
		Zone:   d.settings.Zone,
		Kind:   models.EventMembership,
		What:   "events of daemon " + string(id) + " are missing here",
		Why:    "it did not answer within " + eventsTimeout.String(),
	}
}

// States returns the engines' latest states.
func (o overview) States() map[models.EngineID]models.EngineState {
	return o.daemon.engines.States()
}

// Explain returns sentences that say what an engine does and why.
func (o overview) Explain(ctx context.Context, engine models.EngineID) []string {
	return o.daemon.ExplainEngine(ctx, engine)
}

// Usage returns the billing windows of a workspace, or of all workspaces for
// an empty name.
func (o overview) Usage(ctx context.Context, workspace models.Workspace) ([]models.WorkspaceWindow, error) {
	windows, err := o.daemon.Usage(ctx, workspace)
	if err != nil {
		return nil, err
	}
	shown := make([]models.WorkspaceWindow, 0, len(windows))
	for _, w := range windows {
		shown = append(shown, models.WorkspaceWindow{
			Workspace:   w.Workspace,
			Window:      w.Window,
			State:       string(w.State),
			Usage:       w.Usage,
			Adjustments: w.Adjustments,
		})
	}
	return shown, nil
}
