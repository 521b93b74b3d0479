package room

import (
	"time"

	"quincewinch/models"
)

// Outcome is how a request that was sent ended.
type Outcome struct {
	Route     string
	Decision  Decision
	Taken     time.Duration // to the first token, or until it was given up
	InTime    bool
	Answered  bool
	GivenUp   bool // by its caller, or its deadline passed
	Workspace models.Workspace
}

// Ended counts the outcome of a request, and returns what all daemons are to learn of
// it, this one included.
func (c *Controller) Ended(o Outcome) models.ServiceDemand {
	var news models.ServiceDemand
	w := models.WorkspaceDemand{Workspace: o.Workspace, Route: o.Route}
	switch {
	case o.Answered:
		w.Served = 1
		s := c.statsOf(o.Route)
		s.Answered++
		s.Forecast += o.Decision.Chance
		if o.InTime {
			s.InTime++
		}
	case o.GivenUp:
		w.Lost = 1
	}
	if w.Served+w.Lost > 0 {
		news.Workspaces = append(news.Workspaces, w)
	}
	// A request that is given up says only that it took longer.
	if o.Answered || o.GivenUp && o.Taken > o.Decision.Predicted {
		if e, ok := errorOf(o.Route, o.Decision.Wait, o.Taken, o.Decision.Predicted); ok {
			news.Errors = append(news.Errors, e)
		}
	}
	return news
}

// Learn adds what a daemon was asked for, has served and has observed.
func (c *Controller) Learn(news models.ServiceDemand, now time.Time) {
	for _, w := range news.Workspaces {
		c.demand.add(w, now)
		c.shares.charge(w.Workspace, float64(w.Work), now)
	}
	for _, e := range news.Errors {
		c.forecast.add(e, now)
	}
}
