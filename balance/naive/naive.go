// Package naive places requests on backend servers by round robin, without
// regard to load, prompts or failures, and without retries. It is the baseline
// that package balance is measured against; the program does not use it.
package naive

import (
	"sync"
	"time"

	"quincewinch/balance"
	"quincewinch/models"
	"quincewinch/relay"
)

// defaultUrgency is the urgency that engines assume if none is given.
const defaultUrgency = 5

// retryAfter is the Retry-After of a refusal when no backend server is left to
// try.
const retryAfter = time.Second

// Placer implements relay.Placer.
type Placer struct {
	fleet balance.FleetView

	mu   sync.Mutex
	next map[models.ServiceName]int
}

// NewPlacer returns a placer for the backend servers of a fleet.
func NewPlacer(fleet balance.FleetView) *Placer {
	return &Placer{fleet: fleet, next: map[models.ServiceName]int{}}
}

// Place implements relay.Placer.
func (p *Placer) Place(e *relay.Exchange, tried map[models.EngineID]bool) (relay.Placement, error) {
	var usable []models.Upstream
	if snapshot := p.fleet.Snapshot(); snapshot != nil {
		for _, upstream := range snapshot.ByService[e.Service.Name] {
			if upstream.Role != models.RolePrefill && !tried[upstream.ID] && e.MayUse(upstream) {
				usable = append(usable, upstream)
			}
		}
	}
	if len(usable) == 0 {
		return nil, &models.Refusal{
			Code:       models.RefusalNoBackend,
			Message:    "no backend server of the service is left to try",
			NotRun:     true,
			RetryAfter: retryAfter,
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next[e.Service.Name]++
	return placement(usable[p.next[e.Service.Name]%len(usable)]), nil
}

// TakeRetry implements relay.Placer.
func (p *Placer) TakeRetry(models.ServiceName) bool {
	return false
}

// BeginPrefill implements relay.Placer.
func (p *Placer) BeginPrefill(models.ServiceName) bool { return false }

// EndPrefill implements relay.Placer.
func (p *Placer) EndPrefill(models.ServiceName, relay.Result) {}

// Answered implements relay.Placer.
func (p *Placer) Answered(models.Upstream, models.ServerStatement, time.Time) {}

// AcceptsCalls implements relay.Placer.
func (p *Placer) AcceptsCalls(models.Upstream) bool { return true }

// placement implements relay.Placement.
type placement models.Upstream

// Target implements relay.Placement.
func (p placement) Target() models.Upstream { return models.Upstream(p) }

// Prefiller implements relay.Placement.
func (p placement) Prefiller() (models.Upstream, bool) { return models.Upstream{}, false }

// CopyFrom implements relay.Placement.
func (p placement) CopyFrom() (models.Upstream, bool) { return models.Upstream{}, false }

// AcceptsWork implements relay.Placement.
func (p placement) AcceptsWork() bool { return true }

// TakesRequest implements relay.Placement.
func (p placement) TakesRequest() bool { return true }

// Software implements relay.Placement.
func (p placement) Software() (models.Software, bool) { return models.Upstream(p).Software(), true }

// Predicted implements relay.Placement.
func (p placement) Predicted() time.Duration { return 0 }

// PrefillTokens implements relay.Placement.
func (p placement) PrefillTokens() int { return 0 }

// Urgency implements relay.Placement.
func (p placement) Urgency() int { return defaultUrgency }

// PrefillEnded implements relay.Placement.
func (p placement) PrefillEnded(relay.Result) {}

// ResponseStarted implements relay.Placement.
func (p placement) ResponseStarted(*models.UpstreamLoad) {}

// End implements relay.Placement.
func (p placement) End(relay.Result) {}
