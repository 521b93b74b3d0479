package resume

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
)

// versionRecord is the row of a service: the versions that may have begun streams which
// callers may still resume.
type versionRecord struct {
	revision models.Revision
	// versions has the time of the store's clock from which no stream of the version
	// may be resumed; zero while servers with it are registered.
	versions map[string]time.Time
	lifetime time.Duration // the longest for which callers may resume a stream
}

// updated returns the record that follows from the versions that are registered, for
// streams of some lifetime, and whether it differs. At is the time of the store's clock
// at which the other versions are known to have no registration; zero if that is not
// known.
func (r versionRecord) updated(registered map[string]bool, lifetime time.Duration, at time.Time) (next versionRecord, changed bool) {
	next = versionRecord{versions: maps.Clone(r.versions), lifetime: max(r.lifetime, lifetime, minLifetime)}
	if next.versions == nil {
		next.versions = map[string]time.Time{}
	}
	changed = next.lifetime != r.lifetime
	for version, until := range r.versions {
		switch {
		case !until.IsZero():
			next.versions[version] = until.Add(next.lifetime - r.lifetime)
		case !registered[version] && !at.IsZero():
			next.versions[version] = at.Add(next.lifetime + staleView)
			changed = true
		}
	}
	for version := range registered {
		if until, ok := r.versions[version]; !ok || !until.IsZero() {
			next.versions[version] = time.Time{}
			changed = true
		}
	}
	if changed && !at.IsZero() {
		maps.DeleteFunc(next.versions, func(_ string, until time.Time) bool { return !until.IsZero() && !at.Before(until) })
	}
	return next, changed
}

// names returns the versions, for logs.
func (r versionRecord) names() []string {
	return slices.Sorted(maps.Keys(r.versions))
}

// versionsJSON is the JSON form of a versionRecord.
type versionsJSON struct {
	Versions   map[string]int64 `json:"versions"` // Unix milliseconds; 0: registered
	LifetimeMS int64            `json:"lifetime-ms"`
}

func (r versionRecord) encode() []byte {
	form := versionsJSON{Versions: map[string]int64{}, LifetimeMS: r.lifetime.Milliseconds()}
	for version, until := range r.versions {
		form.Versions[version] = 0
		if !until.IsZero() {
			form.Versions[version] = until.UnixMilli()
		}
	}
	return encodeJSON(form)
}

func decodeVersions(row models.Row) (versionRecord, error) {
	record := versionRecord{revision: row.Revision, versions: map[string]time.Time{}}
	var form versionsJSON
	if err := json.Unmarshal(row.Value, &form); err != nil {
		return record, errors.Trace(err)
	}
	record.lifetime = time.Duration(form.LifetimeMS) * time.Millisecond
	for version, until := range form.Versions {
		record.versions[version] = time.Time{}
		if until > 0 {
			record.versions[version] = time.UnixMilli(until)
		}
	}
	return record, nil
}

// originsJSON is the JSON form of a row of origins.
type originsJSON struct {
	UntilMS int64        `json:"until-ms"` // Unix milliseconds: none may be resumed later
	Groups  []originJSON `json:"groups"`
}

// originJSON has the origins of one software and revision.
type originJSON struct {
	Service  string            `json:"service,omitempty"`
	Version  string            `json:"version,omitempty"`
	Revision int               `json:"revision"`
	Streams  []models.StreamID `json:"streams"`
}

// encodeOrigins encodes origins; the last one expires at a time of the store's clock.
func encodeOrigins(origins []models.StreamOrigin, until time.Time) []byte {
	type group struct {
		software models.Software
		revision int
	}
	form := originsJSON{UntilMS: until.UnixMilli()}
	index := map[group]int{}
	for _, origin := range origins {
		key := group{origin.Software, origin.Revision}
		i, ok := index[key]
		if !ok {
			i = len(form.Groups)
			index[key] = i
			form.Groups = append(form.Groups, originJSON{
				Service: string(origin.Software.Service), Version: origin.Software.Version, Revision: origin.Revision,
			})
		}
		form.Groups[i].Streams = append(form.Groups[i].Streams, origin.Stream)
	}
	return encodeJSON(form)
}

// decodeOrigins decodes a row of origins, which are kept until a time of the store's
// clock. Now is that clock's time.
func decodeOrigins(row models.Row, now time.Time) (origins []models.StreamOrigin, until time.Time, err error) {
	var form originsJSON
	if err := json.Unmarshal(row.Value, &form); err != nil {
		return nil, time.Time{}, errors.Trace(err)
	}
	until = time.UnixMilli(form.UntilMS)
	for _, group := range form.Groups {
		software := models.Software{Service: models.ServiceName(group.Service), Version: group.Version}
		for _, stream := range group.Streams {
			origins = append(origins, models.StreamOrigin{Stream: stream, Software: software, Revision: group.Revision, TimeLeft: until.Sub(now)})
		}
	}
	return origins, until, nil
}

// encodeJSON encodes a form of strings and numbers, which cannot fail.
func encodeJSON(form any) []byte {
	raw, err := json.Marshal(form)
	if err != nil {
		panic(err)
	}
	return raw
}
