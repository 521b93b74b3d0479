// Package demo runs the whole system in one process on the loopback interface:
// stand-ins for the platform, engines and plain services of a deployment, and
// seven daemons in four availability zones.
package demo

import (
	"github.com/juju/errors"

	"quincewinch/models"
)

// Deployment describes the fleet, services and workspaces of one user.
type Deployment struct {
	Name       string
	Zones      []models.Zone
	Pools      []Pool
	Services   []ServicePlan
	Workspaces []WorkspacePlan
	FleetCells string
}

// Pool is a group of engines that serve the same model.
type Pool struct {
	Name    string
	Model   models.Model
	Engines int
	Cheap   int // number of engines on cheap backend servers
}

// ServicePlan is a plain service and its route.
type ServicePlan struct {
	Name       string
	Repeatable bool
	Open       bool
}

// WorkspacePlan is a workspace and the cells of its row.
type WorkspacePlan struct {
	Name  string
	Cells string
}

// DaemonCount is the number of daemons of a deployment, one per entry VM.
const DaemonCount = 7

var deployments = map[string]Deployment{
	"tamarind": {
		Name:  "tamarind",
		Zones: []models.Zone{"port-louis-a", "port-louis-b", "port-louis-c", "port-louis-d"},
		Pools: []Pool{
			{Name: "catalogue", Model: "catalogue", Engines: 10, Cheap: 5},
			{Name: "stock", Model: "stock", Engines: 4, Cheap: 1},
		},
		Services: []ServicePlan{
			{Name: "flitches", Repeatable: true},
			{Name: "reservations"},
			{Name: "opening-hours", Repeatable: true, Open: true},
		},
		Workspaces: []WorkspacePlan{
			{"sales", `{"weight": 4}`}, {"stock", `{"weight": 4}`},
			{"photos", `{}`}, {"suppliers", `{}`}, {"buyers", `{"weight": 2}`},
			{"grading", `{}`}, {"archive", `{"weight": 0.5}`}, {"trial", `{"weight": 0.5}`},
		},
		FleetCells: `{"spend-per-hour": 60, "max-per-zone": 6, "cost-weight": 3, "cheap-share": 0.6}`,
	},
	"zarqa": {
		Name:  "zarqa",
		Zones: []models.Zone{"amman-a", "amman-b", "amman-c", "amman-d"},
		Pools: []Pool{
			{Name: "drafting", Model: "drafting", Engines: 12, Cheap: 3},
			{Name: "order-desk", Model: "order-desk", Engines: 4},
		},
		Services: []ServicePlan{
			{Name: "coils", Repeatable: true},
			{Name: "cut-releases"},
			{Name: "opening-hours", Repeatable: true, Open: true},
		},
		Workspaces: []WorkspacePlan{
			{"zarqa-north", `{"weight": 3}`}, {"zarqa-south", `{"weight": 3}`},
			{"irbid", `{}`}, {"madaba", `{}`}, {"aqaba", `{}`},
			{"salt", `{}`}, {"karak", `{}`}, {"desk", `{"weight": 2}`},
		},
		FleetCells: `{"spend-per-hour": 80, "max-per-zone": 6, "worst-weight": 3, "cheap-share": 0.3}`,
	},
}

// Find returns the deployment with the given name.
func Find(name string) (Deployment, error) {
	deployment, ok := deployments[name]
	if !ok {
		return Deployment{}, errors.NotFoundf("deployment %q", name)
	}
	return deployment, nil
}
