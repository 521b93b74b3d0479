package control

import (
	"time"

	"quincewinch/models"
	"quincewinch/policy/fleet"
)

// minRateInterval is the shortest time between two reports from which rates
// are computed.
const minRateInterval = 500 * time.Millisecond

// tokenRates are the tokens offered per second.
type tokenRates struct {
	prompt float64
	output float64
}

// demand computes the work offered for each model and zone from the totals
// that daemons report, and holds an estimator for each group of engines and
// zone.
type demand struct {
	maxReportAge time.Duration
	daemons      map[models.DaemonID]*offeredTotals
	offered      map[models.Zone]map[models.Model]tokenRates

	estimators map[estimatorKey]*fleet.Estimator
}

// offeredTotals are one daemon's latest totals and the rates computed from
// them.
type offeredTotals struct {
	zone     models.Zone
	at       time.Time
	sequence uint64
	totals   map[models.Model]models.OfferedWork
	rates    map[models.Model]tokenRates
}

func newDemand(settings FleetSettings) *demand {
	return &demand{
		maxReportAge: settings.MaxReportAge,
		daemons:      map[models.DaemonID]*offeredTotals{},
		estimators:   map[estimatorKey]*fleet.Estimator{},
	}
}

// estimator returns the estimator of a group in a zone, creating it if needed.
func (d *demand) estimator(key estimatorKey) *fleet.Estimator {
	e, ok := d.estimators[key]
	if !ok {
		e = fleet.NewEstimator()
		d.estimators[key] = e
	}
	return e
}

// observe applies the latest reports. The last rates of a daemon that stops
// reporting count until its last report is older than maxReportAge.
func (d *demand) observe(now time.Time, reports []models.PeerReport) {
	for _, report := range reports {
		d.updateRates(report)
	}
	d.offered = map[models.Zone]map[models.Model]tokenRates{}
	for daemon, counts := range d.daemons {
		if now.Sub(counts.at) > d.maxReportAge {
			delete(d.daemons, daemon)
			continue
		}
		zone, ok := d.offered[counts.zone]
		if !ok {
			zone = map[models.Model]tokenRates{}
			d.offered[counts.zone] = zone
		}
		for model, rates := range counts.rates {
			sum := zone[model]
			zone[model] = tokenRates{prompt: sum.prompt + rates.prompt, output: sum.output + rates.output}
		}
	}
}

// updateRates computes a daemon's rates from the growth of its totals. The
// first report only sets the baseline.
func (d *demand) updateRates(report models.PeerReport) {
	last, ok := d.daemons[report.Report.Daemon]
	if !ok {
		d.daemons[report.Report.Daemon] = &offeredTotals{
			zone:     report.Report.Zone,
			at:       report.ReceivedAt,
			sequence: report.Report.Sequence,
			totals:   report.Report.Offered,
		}
		return
	}
	elapsed := report.ReceivedAt.Sub(last.at)
	if elapsed < minRateInterval || report.Report.Sequence < last.sequence {
		return
	}
	last.rates = map[models.Model]tokenRates{}
	for model, total := range report.Report.Offered {
		previous := last.totals[model]
		last.rates[model] = tokenRates{
			prompt: float64(total.PromptTokens-previous.PromptTokens) / elapsed.Seconds(),
			output: float64(total.OutputTokens-previous.OutputTokens) / elapsed.Seconds(),
		}
	}
	last.at = report.ReceivedAt
	last.sequence = report.Report.Sequence
	last.totals = report.Report.Offered
}

// offeredWork returns the work offered for the models of a group in a zone, in
// engines of the given rates kept busy.
func (d *demand) offeredWork(zone models.Zone, group []models.Model, rates engineRates) fleet.Work {
	var work fleet.Work
	for _, model := range group {
		offered := d.offered[zone][model]
		work.Prefill += offered.prompt / rates.prefill
		work.Decode += offered.output / rates.decode
	}
	return work
}
