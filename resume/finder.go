package resume

import (
	"cmp"
	"context"
	"slices"

	"github.com/juju/errors"

	"quincewinch/models"
)

// Finder finds out which software began a stream. It implements relay.OriginFinder.
type Finder struct {
	origins  *Origins
	versions *Versions
	journal  *Journal
}

// NewFinder returns a finder of the streams that some origins are kept of.
func NewFinder(origins *Origins, versions *Versions, journal *Journal) *Finder {
	return &Finder{origins: origins, versions: versions, journal: journal}
}

// Find implements relay.OriginFinder.
func (f *Finder) Find(ctx context.Context, id models.RequestID, services []models.ServiceName) (models.Software, error) {
	if software, ok := f.origins.Lookup(id); ok {
		return software, nil
	}
	candidates, err := f.versions.MayHaveBegun(ctx, services)
	if err != nil {
		return models.Software{}, errors.Annotate(err, "cannot read which versions there were")
	}
	for _, service := range services {
		for _, version := range f.origins.Versions(service) {
			candidates = append(candidates, models.Software{Service: service, Version: version})
		}
	}
	slices.SortFunc(candidates, func(a, b models.Software) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	candidates = slices.Compact(candidates)
	if len(candidates) == 1 {
		return candidates[0], nil
	}
	if id == "" {
		return models.Software{}, errors.Errorf("it may be any of %d versions", len(candidates))
	}
	if err := f.journal.Scan(ctx); err != nil {
		return models.Software{}, errors.Annotate(err, "cannot read the origins of streams")
	}
	if software, ok := f.origins.Lookup(id); ok {
		return software, nil
	}
	return models.Software{}, errors.Errorf("its origin was not stored, and it may be any of %d versions", len(candidates))
}
