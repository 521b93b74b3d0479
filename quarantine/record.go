package quarantine

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"quincewinch/models"
)

const (
	// maxRowParts bounds the parts of all requests in one row, maxRowSoundParts those of
	// them that are sound. They take up to 21 and 52 bytes each, and a row up to 64 KiB.
	maxRowParts      = 1600
	maxRowSoundParts = 500
	// minEarlier is by how much a block must end earlier than its row says to be written
	// again. Daemons find the same block at slightly different times.
	minEarlier = 2 * time.Second
)

// storedRow is a row of the store: a crash or a block, with times of the store's clock.
type storedRow struct {
	revision   models.Revision
	unreadable bool // written by another version
	unsettled  bool // too young to be written: the process may still turn out to be alive
	crash      *crashForm
	block      *blockForm
}

// rowForm is the JSON form of a storedRow.
type rowForm struct {
	Crash *crashForm `json:"crash,omitempty"`
	Block *blockForm `json:"block,omitempty"`
}

// crashForm is the JSON form of a crash. Times are Unix milliseconds.
type crashForm struct {
	Engine    string      `json:"engine"`
	StartedMS int64       `json:"started-ms"`
	AtMS      int64       `json:"at-ms"`
	Runs      []runForm   `json:"runs"`
	Sound     []soundForm `json:"sound,omitempty"`
	Full      bool        `json:"full,omitempty"` // there was no room for some parts
}

// runForm is the JSON form of a request that was broken off.
type runForm struct {
	Request models.RequestHash `json:"request"`
	SentMS  int64              `json:"sent-ms"`
	Parts   []models.PartID    `json:"parts"`
	Served  []int              `json:"served,omitempty"` // indices of parts
	Whole   bool               `json:"whole,omitempty"`  // the last part is the request
}

// soundForm is the JSON form of a part that was answered after the crash.
type soundForm struct {
	Part models.PartID `json:"part"`
	AtMS int64         `json:"at-ms"`
}

// blockForm is the JSON form of a block.
type blockForm struct {
	Part       models.PartID `json:"part"`
	Whole      bool          `json:"whole,omitempty"`
	SinceMS    int64         `json:"since-ms"`
	CrashMS    int64         `json:"crash-ms"`
	DurationMS int64         `json:"duration-ms"`
	Count      int           `json:"count"`
}

func blockKey(part models.PartID) models.RowKey {
	return models.RowKey{Partition: models.PartitionCrashes, Name: "block-" + part.String()}
}

// crashKey returns the key of a crash that is not stored yet. Daemons that know other
// requests of it may each store it; the rows are merged when they are read.
func crashKey(crash models.Crash) models.RowKey {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(crash.Engine))
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(crash.Started.UnixMilli())))
	_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(crash.Runs[0].Request)))
	return models.RowKey{Partition: models.PartitionCrashes, Name: "crash-" + strconv.FormatUint(hash.Sum64(), 36)}
}

// newBlockRow returns the row of a block at a time of the store's clock.
func newBlockRow(block models.PartBlock, at time.Time) storedRow {
	return storedRow{block: &blockForm{
		Part: block.ID, Whole: block.Whole, Count: block.Count,
		SinceMS: at.Add(-block.Age).UnixMilli(), CrashMS: at.Add(-block.CrashAge).UnixMilli(), DurationMS: block.Duration.Milliseconds(),
	}}
}

// newCrashRow returns the row of a crash at a time of the store's clock, with its parts
// that were answered since. Of requests for which there is no room only the whole is kept.
func newCrashRow(crash models.Crash, sound []models.SoundPart, at time.Time) storedRow {
	form := &crashForm{Engine: string(crash.Engine), StartedMS: crash.Started.UnixMilli(), AtMS: at.Add(-crash.Age).UnixMilli()}
	parts := map[models.PartID]bool{}
	size := 0
	for _, run := range crash.Runs {
		kept := run.Parts
		if size+len(kept) > maxRowParts {
			form.Full = true
			kept = slices.DeleteFunc(slices.Clone(kept), func(part models.SuspectPart) bool { return !part.Whole })
		}
		if len(kept) == 0 || size+len(kept) > maxRowParts {
			continue
		}
		size += len(kept)
		stored := runForm{Request: run.Request, SentMS: at.Add(-run.SentAge).UnixMilli()}
		for i, part := range kept {
			parts[part.ID] = true
			stored.Parts = append(stored.Parts, part.ID)
			stored.Whole = part.Whole
			if part.Served {
				stored.Served = append(stored.Served, i)
			}
		}
		form.Runs = append(form.Runs, stored)
	}
	for _, part := range sound {
		if part.Age <= crash.Age && parts[part.ID] && len(form.Sound) < maxRowSoundParts {
			form.Sound = append(form.Sound, soundForm{Part: part.ID, AtMS: at.Add(-part.Age).UnixMilli()})
		}
	}
	return storedRow{crash: form, unsettled: crash.Age < minRestartTime}
}

// addsTo reports whether a row tells anything that the stored one does not.
func (r storedRow) addsTo(stored storedRow) bool {
	switch {
	case stored.unreadable:
		return false
	case r.block != nil:
		return stored.block == nil || r.block.addsTo(stored.block)
	}
	return stored.crash == nil || r.crash.addsTo(stored.crash)
}

func (f *blockForm) addsTo(stored *blockForm) bool {
	earlier := stored.SinceMS + stored.DurationMS - f.SinceMS - f.DurationMS
	return f.Count > stored.Count || f.Count == stored.Count && earlier > minEarlier.Milliseconds()
}

func (f *crashForm) addsTo(stored *crashForm) bool {
	if !stored.Full && slices.ContainsFunc(f.Runs, func(run runForm) bool { return !stored.has(run) }) {
		return true
	}
	return len(stored.Sound) < maxRowSoundParts && slices.ContainsFunc(f.Sound, func(part soundForm) bool { return !stored.clears(part.Part) })
}

func (f *crashForm) has(run runForm) bool {
	return slices.ContainsFunc(f.Runs, func(other runForm) bool { return other.Request == run.Request })
}

func (f *crashForm) clears(part models.PartID) bool {
	return slices.ContainsFunc(f.Sound, func(sound soundForm) bool { return sound.Part == part })
}

// isSame reports whether two forms are of the same crash: no request is sent to an engine
// twice.
func (f *crashForm) isSame(other *crashForm) bool {
	return f != nil && f.Engine == other.Engine && f.StartedMS == other.StartedMS && slices.ContainsFunc(f.Runs, other.has)
}

// addTo adds what a row tells at a time of the store's clock.
func (r storedRow) addTo(evidence *models.CrashEvidence, now time.Time) {
	age := func(ms int64) time.Duration { return max(0, now.Sub(time.UnixMilli(ms))) }
	if b := r.block; b != nil {
		evidence.Blocks = append(evidence.Blocks, models.PartBlock{
			ID: b.Part, Whole: b.Whole, Count: b.Count,
			Age: age(b.SinceMS), CrashAge: age(b.CrashMS), Duration: time.Duration(b.DurationMS) * time.Millisecond,
		})
	}
	if r.crash == nil {
		return
	}
	crash := models.Crash{Engine: models.EngineID(r.crash.Engine), Started: time.UnixMilli(r.crash.StartedMS), Age: age(r.crash.AtMS)}
	for _, stored := range r.crash.Runs {
		run := models.CrashedRun{Request: stored.Request, SentAge: age(stored.SentMS)}
		for i, part := range stored.Parts {
			run.Parts = append(run.Parts, models.SuspectPart{ID: part, Whole: stored.Whole && i == len(stored.Parts)-1, Served: slices.Contains(stored.Served, i)})
		}
		crash.Runs = append(crash.Runs, run)
	}
	evidence.Crashes = append(evidence.Crashes, crash)
	for _, part := range r.crash.Sound {
		evidence.Sound = append(evidence.Sound, models.SoundPart{ID: part.Part, Age: age(part.AtMS)})
	}
}

func (r storedRow) encode() []byte {
	raw, err := json.Marshal(rowForm{Crash: r.crash, Block: r.block})
	if err != nil {
		panic(err) // it has strings and numbers only
	}
	return raw
}

func decodeRow(row models.Row) (storedRow, error) {
	var form rowForm
	if err := json.Unmarshal(row.Value, &form); err != nil {
		return storedRow{}, errors.Trace(err)
	}
	if form.Crash == nil && form.Block == nil {
		return storedRow{}, errors.New("it is neither a crash nor a block")
	}
	return storedRow{crash: form.Crash, block: form.Block}, nil
}
