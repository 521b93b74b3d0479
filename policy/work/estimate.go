// Package work estimates what requests cost backend servers and what the servers still
// have to do. It is made for requests that look alike and take very different times, and
// for servers that share their machines with others: some are faster or slower for good,
// and each is slow for some hundred milliseconds at a time.
package work

import (
	"math"
	"time"

	"quincewinch/models"
)

const (
	// observationWeight is the weight of the latest observation of a kind in its moving
	// averages; the first ones weigh more.
	observationWeight = 0.05
	// priorWeight is the weight, in observations, of what is known of all requests of a
	// route beside those of one workspace, and of a service beside those of one route.
	priorWeight = 8
	// maxRatio bounds a single observation, in multiples of the mean of its service.
	maxRatio = 8
	// maxKinds bounds the kinds of request that are told apart.
	maxKinds = 4096
	// initialVariation is the standard deviation over the mean that is assumed.
	initialVariation = 1
	// minLeftShare is the least share of its estimate that is assumed to be left of a
	// request that has not ended.
	minLeftShare = 0.1
)

// Kind tells requests apart. An empty field stands for all that there are.
type Kind struct {
	Service   models.ServiceName
	Route     string
	Workspace models.Workspace
}

// Estimate is the time that a request is expected to occupy a typical server, and its
// standard deviation.
type Estimate struct {
	Mean, Spread time.Duration
}

// variation returns the variance over the square of the mean, at most 1.
func (e Estimate) variation() float64 {
	if e.Mean <= 0 {
		return 1
	}
	relative := e.Spread.Seconds() / e.Mean.Seconds()
	return min(relative*relative, 1)
}

// moments are moving averages of times and of their squares, in seconds.
type moments struct {
	mean, square float64
	count        float64
}

func (m *moments) observe(seconds float64) {
	m.count++
	weight := max(1/m.count, observationWeight)
	m.mean += weight * (seconds - m.mean)
	m.square += weight * (seconds*seconds - m.square)
}

// within returns the moments with those of a wider kind as their prior.
func (m moments) within(wider moments) moments {
	own := m.count / (m.count + priorWeight)
	return moments{
		mean:   wider.mean + own*(m.mean-wider.mean),
		square: wider.square + own*(m.square-wider.square),
	}
}

func (m moments) estimate() Estimate {
	variance := max(m.square-m.mean*m.mean, 0)
	return Estimate{Mean: seconds(m.mean), Spread: seconds(math.Sqrt(variance))}
}

// Costs learns how long requests of each kind occupy a typical server. It is not safe for
// concurrent use.
type Costs struct {
	initial moments
	kinds   map[Kind]*moments
}

// NewCosts returns costs with an assumed mean.
func NewCosts(initial time.Duration) *Costs {
	mean := initial.Seconds()
	return &Costs{
		initial: moments{mean: mean, square: mean * mean * (1 + initialVariation*initialVariation)},
		kinds:   map[Kind]*moments{},
	}
}

// Observe records how long a request of a kind occupied a server, as a typical one would
// have taken.
func (c *Costs) Observe(k Kind, taken time.Duration) {
	if taken <= 0 {
		return
	}
	service := c.service(k)
	observed := min(taken.Seconds(), maxRatio*max(service.mean, c.initial.mean))
	for _, kind := range []Kind{{Service: k.Service}, {Service: k.Service, Route: k.Route}, k} {
		m, ok := c.kinds[kind]
		if !ok {
			m = c.add(kind)
		}
		m.observe(observed)
	}
}

// add returns the moments of a kind that was not known. Above maxKinds all are learned
// anew: names of routes and workspaces have gone.
func (c *Costs) add(kind Kind) *moments {
	if len(c.kinds) >= maxKinds {
		clear(c.kinds)
	}
	m := &moments{}
	c.kinds[kind] = m
	return m
}

func (c *Costs) service(k Kind) moments {
	if m, ok := c.kinds[Kind{Service: k.Service}]; ok {
		return m.within(c.initial)
	}
	return c.initial
}

// Expect returns the estimate for a kind: that of its workspace on its route as far as
// it is known, otherwise of its route, of its service, or the assumed one.
func (c *Costs) Expect(k Kind) Estimate {
	known := c.service(k)
	if m, ok := c.kinds[Kind{Service: k.Service, Route: k.Route}]; ok && k.Route != "" {
		known = m.within(known)
	}
	if m, ok := c.kinds[k]; ok && k.Workspace != "" {
		known = m.within(known)
	}
	return known.estimate()
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
