package platform

import (
	"context"

	"quincewinch/models"
	"quincewinch/peer"
)

// Servers implements peer.Servers: it launches and stops backend servers.
type Servers struct {
	store *Store
	seen  map[string]bool
}

// NewServers returns a Servers that keeps its state in store.
func NewServers(store *Store) *Servers {
	return &Servers{store: store, seen: map[string]bool{}}
}

// Order implements peer.Servers. An order that was already received is
// ignored.
func (s *Servers) Order(ctx context.Context, order models.ServerOrder) error {
	if err := s.store.beginCall(ctx, true); err != nil {
		return err
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if s.seen[order.ID] {
		return nil
	}
	s.seen[order.ID] = true
	s.store.orders = append(s.store.orders, order)
	if s.store.launcher == nil {
		return nil
	}
	for range order.Count {
		server, err := s.store.launcher.Launch(order.Zone, order.Cheap)
		if err != nil {
			return peer.NewFailure(peer.OutcomeRefused, "no backend server to be had", err)
		}
		s.store.servers[server.Engine] = server
	}
	for _, name := range order.GiveBack {
		if err := s.store.launcher.Stop(models.EngineID(name)); err != nil {
			return peer.NewFailure(peer.OutcomeRefused, "the backend server does not stop", err)
		}
		delete(s.store.servers, models.EngineID(name))
	}
	return nil
}

// List implements peer.Servers.
func (s *Servers) List(ctx context.Context) ([]models.BackendServer, error) {
	if err := s.store.beginCall(ctx, false); err != nil {
		return nil, err
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	var servers []models.BackendServer
	for _, server := range s.store.servers {
		servers = append(servers, server)
	}
	return servers, nil
}
