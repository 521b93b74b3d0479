package daemon

import (
	"time"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

// Bounds of the evidence in one load share. What exceeds them is dropped, so that
// a faulty daemon does not use up the memory of the others.
const (
	maxSharedCrashes = 512
	// maxSharedParts bounds the parts of all runs, and likewise the sound parts and
	// the blocks. A run has a part or more.
	maxSharedParts = models.MaxEvidenceParts
	maxSharedRuns  = maxSharedParts
)

func encodeEvidence(evidence *models.CrashEvidence) *proto.CrashEvidence {
	if evidence == nil {
		return nil
	}
	form := &proto.CrashEvidence{}
	for _, crash := range evidence.Crashes {
		form.Crashes = append(form.Crashes, encodeCrash(crash))
	}
	for _, part := range evidence.Sound {
		form.Sound = append(form.Sound, &proto.SoundPart{Id: uint64(part.ID), Age: int64(part.Age)})
	}
	for _, block := range evidence.Blocks {
		form.Blocks = append(form.Blocks, &proto.PartBlock{
			Id:       uint64(block.ID),
			Age:      int64(block.Age),
			CrashAge: int64(block.CrashAge),
			Duration: int64(block.Duration),
			Count:    int64(block.Count),
			Whole:    block.Whole,
		})
	}
	return form
}

func encodeCrash(crash models.Crash) *proto.Crash {
	form := &proto.Crash{
		Engine:  string(crash.Engine),
		Started: encodeTime(crash.Started),
		Age:     int64(crash.Age),
		Refuted: crash.Refuted,
	}
	for _, run := range crash.Runs {
		formRun := &proto.CrashedRun{Request: uint64(run.Request), SentAge: int64(run.SentAge)}
		for _, part := range run.Parts {
			formRun.Parts = append(formRun.Parts, &proto.SuspectPart{Id: uint64(part.ID), Served: part.Served, Whole: part.Whole})
		}
		form.Runs = append(form.Runs, formRun)
	}
	return form
}

// decodeEvidence returns nil if there is none. It drops what is malformed: nothing
// can have happened in the future.
func decodeEvidence(form *proto.CrashEvidence) *models.CrashEvidence {
	if form == nil {
		return nil
	}
	evidence := &models.CrashEvidence{Crashes: decodeCrashes(form.GetCrashes())}
	for _, part := range form.GetSound() {
		if part.GetAge() < 0 || len(evidence.Sound) == maxSharedParts {
			continue
		}
		evidence.Sound = append(evidence.Sound, models.SoundPart{ID: models.PartID(part.GetId()), Age: time.Duration(part.GetAge())})
	}
	for _, block := range form.GetBlocks() {
		malformed := block.GetAge() < 0 || block.GetCrashAge() < 0 || block.GetDuration() < 0 || block.GetCount() < 0
		if malformed || len(evidence.Blocks) == maxSharedParts {
			continue
		}
		evidence.Blocks = append(evidence.Blocks, models.PartBlock{
			ID:       models.PartID(block.GetId()),
			Age:      time.Duration(block.GetAge()),
			CrashAge: time.Duration(block.GetCrashAge()),
			Duration: time.Duration(block.GetDuration()),
			Count:    int(block.GetCount()),
			Whole:    block.GetWhole(),
		})
	}
	return evidence
}

// decodeCrashes takes a crash with all of its runs or not at all: without some of
// them it would put the parts of the others under more suspicion.
func decodeCrashes(forms []*proto.Crash) []models.Crash {
	var crashes []models.Crash
	runs, parts := 0, 0
	for _, form := range forms {
		crashRuns, crashParts := len(form.GetRuns()), 0
		for _, run := range form.GetRuns() {
			crashParts += len(run.GetParts())
		}
		exceeds := len(crashes) == maxSharedCrashes || runs+crashRuns > maxSharedRuns || parts+crashParts > maxSharedParts
		if exceeds || malformedCrash(form) {
			continue
		}
		runs += crashRuns
		parts += crashParts
		crashes = append(crashes, decodeCrash(form))
	}
	return crashes
}

func malformedCrash(form *proto.Crash) bool {
	if form.GetEngine() == "" || form.GetAge() < 0 {
		return true
	}
	for _, run := range form.GetRuns() {
		if run.GetSentAge() < 0 {
			return true
		}
	}
	return false
}

func decodeCrash(form *proto.Crash) models.Crash {
	crash := models.Crash{
		Engine:  models.EngineID(form.GetEngine()),
		Started: decodeTime(form.GetStarted()),
		Age:     time.Duration(form.GetAge()),
		Refuted: form.GetRefuted(),
	}
	for _, formRun := range form.GetRuns() {
		run := models.CrashedRun{Request: models.RequestHash(formRun.GetRequest()), SentAge: time.Duration(formRun.GetSentAge())}
		for _, part := range formRun.GetParts() {
			run.Parts = append(run.Parts, models.SuspectPart{ID: models.PartID(part.GetId()), Served: part.GetServed(), Whole: part.GetWhole()})
		}
		crash.Runs = append(crash.Runs, run)
	}
	return crash
}
