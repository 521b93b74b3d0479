package daemon

import (
	"math"
	"time"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

// maxSharedSpeeds bounds the servers whose speed is in one load share.
const maxSharedSpeeds = 4096

// maxLoadAge bounds the age of a stated load: it says nothing by then.
const maxLoadAge = time.Minute

func encodeSpeeds(reports []models.SpeedReport) []*proto.SpeedReport {
	var forms []*proto.SpeedReport
	for _, report := range reports {
		forms = append(forms, &proto.SpeedReport{
			Server:       string(report.Server),
			Started:      encodeTime(report.Started),
			Observations: report.Observations,
			LogRatios:    report.LogRatios,
			Running:      int64(report.Load.Running),
			Waiting:      int64(report.Load.Waiting),
			Slots:        int64(report.Load.Slots),
			Pace:         report.Load.Pace,
			LoadAge:      int64(report.LoadAge),
		})
	}
	return forms
}

func decodeSpeeds(forms []*proto.SpeedReport) []models.SpeedReport {
	var reports []models.SpeedReport
	for _, form := range forms[:min(len(forms), maxSharedSpeeds)] {
		report := models.SpeedReport{
			Server:       models.EngineID(form.GetServer()),
			Started:      decodeTime(form.GetStarted()),
			Observations: form.GetObservations(),
			LogRatios:    form.GetLogRatios(),
		}
		report.Load, report.LoadAge = decodeStatedLoad(form)
		reports = append(reports, report)
	}
	return reports
}

// decodeStatedLoad drops what is malformed: nothing can be stated in the future.
func decodeStatedLoad(form *proto.SpeedReport) (load models.UpstreamLoad, age time.Duration) {
	pace := form.GetPace()
	age = min(max(time.Duration(form.GetLoadAge()), 0), maxLoadAge)
	malformed := form.GetRunning() < 0 || form.GetWaiting() < 0 || form.GetSlots() < 0 || form.GetLoadAge() < 0
	if malformed || !(pace > 0) || math.IsInf(pace, 0) {
		return models.UpstreamLoad{}, age
	}
	load = models.UpstreamLoad{Running: int(form.GetRunning()), Waiting: int(form.GetWaiting()), Slots: int(form.GetSlots()), Pace: pace}
	return load, age
}
