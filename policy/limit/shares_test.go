package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quincewinch/models"
	"quincewinch/policy/limit"
)

const noPartition = -1

// trio is three simulated daemons that share limits.
type trio struct {
	now     time.Time
	shares  [3]*limit.Shares
	work    [3]map[models.Workspace]models.WorkDone
	reports [3]map[int]models.PeerReport
}

func newTrio() *trio {
	p := &trio{now: time.Unix(1000, 0)}
	for i := range p.shares {
		p.shares[i] = limit.NewShares(id(i))
		p.work[i] = map[models.Workspace]models.WorkDone{}
		p.reports[i] = map[int]models.PeerReport{}
	}
	return p
}

// run advances the time by one second, in which each daemon receives the given
// number of requests and one of them is partitioned from the others.
func (p *trio) run(partitioned int, requests [3]int64) {
	p.now = p.now.Add(time.Second)
	for i := range p.shares {
		total := p.work[i][workspace.Name].Requests + requests[i]
		p.work[i] = map[models.Workspace]models.WorkDone{workspace.Name: {Requests: total}}
	}
	for from := range p.shares {
		for to := range p.shares {
			if from != to && from != partitioned && to != partitioned {
				report := models.DaemonReport{Daemon: id(from), Work: p.work[from]}
				p.reports[to][from] = models.PeerReport{Report: report, ReceivedAt: p.now}
			}
		}
	}
	for i, shares := range p.shares {
		var reports []models.PeerReport
		for from := range p.shares {
			if report, ok := p.reports[i][from]; ok {
				reports = append(reports, report)
			}
		}
		shares.Update(p.work[i], reports, p.now)
	}
}

func (p *trio) share(i int) float64 {
	return p.shares[i].Share(workspace.Name, p.now)
}

// runWithin runs for some seconds and asserts that the sum of the shares never
// exceeds the limit.
func (p *trio) runWithin(t *testing.T, seconds, partitioned int, requests [3]int64) {
	t.Helper()
	is := is.New(t)
	for range seconds {
		p.run(partitioned, requests)
		is.True(p.share(0)+p.share(1)+p.share(2) < 1.01) // the shares add up to no more than the limit
	}
}

func TestShares(t *testing.T) {
	first, second := [3]int64{80, 10, 10}, [3]int64{10, 80, 10}
	t.Run("follow the demand", func(t *testing.T) {
		is := is.New(t)
		p := newTrio()
		p.runWithin(t, 60, noPartition, first)
		is.True(p.share(0) > 0.6)
		p.runWithin(t, 60, noPartition, second)
		is.True(p.share(0) < 0.2)
		is.True(p.share(1) > 0.6)
	})
	t.Run("of a partitioned daemon are kept and not given to others", func(t *testing.T) {
		is := is.New(t)
		p := newTrio()
		p.runWithin(t, 60, noPartition, first)
		p.runWithin(t, 4, 0, second) // until the reports are stale
		before := p.share(0)
		p.runWithin(t, 60, 0, second)
		is.Equal(p.share(0), before)
		is.True(p.share(0) > 0.5)
		p.runWithin(t, 60, noPartition, second)
		is.True(p.share(1) > 0.6) // the share is redistributed after the partition
	})
	t.Run("of a removed daemon are redistributed", func(t *testing.T) {
		is := is.New(t)
		p := newTrio()
		p.runWithin(t, 60, noPartition, first)
		delete(p.reports[1], 0)
		delete(p.reports[2], 0)
		for range 20 {
			p.run(0, [3]int64{0, 80, 10})
		}
		is.True(p.share(1)+p.share(2) > 0.95)
	})
}
