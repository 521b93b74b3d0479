package placement

import (
	"time"

	"quincewinch/models"
)

// Book keeps what this daemon has under way at each engine.
type Book struct {
	engines map[models.EngineID]*page
}

type page struct {
	open    models.InflightWork
	changes []change
}

type change struct {
	at   time.Time
	work models.InflightWork
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{engines: map[models.EngineID]*page{}}
}

// Add notes work that was sent or, negative, has ended.
func (b *Book) Add(engine models.EngineID, work models.InflightWork, now time.Time) {
	p, ok := b.engines[engine]
	if !ok {
		p = &page{}
		b.engines[engine] = p
	}
	p.open = Sum(p.open, work)
	p.changes = append(p.changes, change{at: now, work: work})
}

// Open returns what is under way at an engine.
func (b *Book) Open(engine models.EngineID) models.InflightWork {
	if p, ok := b.engines[engine]; ok {
		return p.open
	}
	return models.InflightWork{}
}

// Since returns the sum of the changes after an instant, and forgets those
// before it.
func (b *Book) Since(engine models.EngineID, at time.Time) models.InflightWork {
	p, ok := b.engines[engine]
	if !ok {
		return models.InflightWork{}
	}
	kept := p.changes[:0]
	var sum models.InflightWork
	for _, c := range p.changes {
		if c.at.After(at) {
			kept = append(kept, c)
			sum = Sum(sum, c.work)
		}
	}
	p.changes = kept
	return sum
}

// All returns what is under way at each engine.
func (b *Book) All() map[models.EngineID]models.InflightWork {
	all := map[models.EngineID]models.InflightWork{}
	for engine, p := range b.engines {
		if p.open.Requests > 0 {
			all[engine] = p.open
		}
	}
	return all
}

// Keep drops engines that are not among those kept and have nothing under way.
func (b *Book) Keep(keep func(models.EngineID) bool) {
	for engine, p := range b.engines {
		if !keep(engine) && p.open.Requests == 0 {
			delete(b.engines, engine)
		}
	}
}
