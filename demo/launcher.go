package demo

import (
	"strconv"

	"quincewinch/models"
	standinengine "quincewinch/standin/engine"
)

// launcher starts and stops engines for orders of backend servers. Its
// methods must be called for one order at a time.
type launcher struct {
	system  *System
	running map[models.EngineID]*standinengine.Engine
}

func newLauncher(s *System) launcher {
	return launcher{system: s, running: map[models.EngineID]*standinengine.Engine{}}
}

// Launch implements platform.Launcher. The engine starts without a model.
func (l launcher) Launch(zone models.Zone, cheap bool) (models.BackendServer, error) {
	s := l.system
	server := models.BackendServer{
		Engine:      models.EngineID("launched-" + strconv.Itoa(len(l.running)+1)),
		Zone:        zone,
		Cheap:       cheap,
		ChecksFence: true,
	}
	e := standinengine.New(s.clock, standinengine.Settings{
		ID:          server.Engine,
		Role:        models.RoleBoth,
		ChecksFence: server.ChecksFence,
		Cost:        standinengine.DefaultCost(),
	})
	address, err := s.serve(standinengine.NewHandler(e))
	if err != nil {
		return models.BackendServer{}, err
	}
	server.URL = address
	l.running[server.Engine] = e
	return server, nil
}

// Stop implements platform.Launcher.
func (l launcher) Stop(id models.EngineID) error {
	if e, ok := l.running[id]; ok {
		e.Crash()
	} else if e, ok := l.system.Engines[id]; ok {
		e.Crash()
	}
	return nil
}
