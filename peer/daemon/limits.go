package daemon

import (
	"math"
	"time"

	"quincewinch/models"
	"quincewinch/peer/daemon/proto"
)

// maxSharedLimits bounds the limits in one load share.
const maxSharedLimits = 4096

func encodeLimits(reports []models.LimitReport) []*proto.LimitReport {
	var forms []*proto.LimitReport
	for _, report := range reports {
		forms = append(forms, &proto.LimitReport{
			Server:    string(report.Server),
			Started:   encodeTime(report.Started),
			Lifted:    report.Lifted,
			PerSecond: report.PerSecond,
			SentAge:   int64(report.SentAge),
			Age:       int64(report.Age),
		})
	}
	return forms
}

// decodeLimits drops what is malformed: nothing can have happened in the future, and
// an answer arrives after its request was sent.
func decodeLimits(forms []*proto.LimitReport) []models.LimitReport {
	var reports []models.LimitReport
	for _, form := range forms {
		rate := form.GetPerSecond()
		malformed := math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 || form.GetAge() < 0 || form.GetSentAge() < form.GetAge()
		if malformed || len(reports) == maxSharedLimits {
			continue
		}
		reports = append(reports, models.LimitReport{
			Server:    models.EngineID(form.GetServer()),
			Started:   decodeTime(form.GetStarted()),
			Lifted:    form.GetLifted(),
			PerSecond: rate,
			SentAge:   time.Duration(form.GetSentAge()),
			Age:       time.Duration(form.GetAge()),
		})
	}
	return reports
}
