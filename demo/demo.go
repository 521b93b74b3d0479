package demo

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"quincewinch/config"
	"quincewinch/daemon"
	"quincewinch/lib/certificates"
	"quincewinch/models"
	"quincewinch/peer"
	standinengine "quincewinch/standin/engine"
	standinplatform "quincewinch/standin/platform"
	standinservice "quincewinch/standin/service"
)

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = 10 * time.Second
)

// System is a running demo. Daemons is empty if they are started by hand.
type System struct {
	Store    *standinplatform.Store
	Engines  map[models.EngineID]*standinengine.Engine
	Services map[string]*standinservice.Service
	Daemons  []*daemon.Daemon
	Ready    Ready

	deployment Deployment
	clock      peer.Clock
	logger     *zap.Logger
	servers    []*http.Server

	options      Options
	certificates *certificates.Memory
	client       *http.Client
}

// Options configure the demo.
type Options struct {
	TLS bool // serve callers, operators, metrics and stand-ins over TLS
	// SettingsDirectory, if set, is where a settings file for each daemon is
	// written. The daemons are then started by hand as separate processes.
	SettingsDirectory string
}

// Ready holds the addresses and keys of a running demo, as written to the ready
// file.
type Ready struct {
	Callers     []string
	Operators   []string
	Metrics     []string
	OperatorKey string
	Workspaces  []WorkspaceKey
	Engines     []string
	Services    []ReadyService
	Authority   string // PEM; empty without TLS
}

// WorkspaceKey is the name of a workspace and a key for it.
type WorkspaceKey struct {
	Name string
	Key  string
}

// ReadyService is a plain service with the URL of its stand-in.
type ReadyService struct {
	Name       string
	URL        string
	Repeatable bool
	Open       bool
}

// Start starts the demo of a deployment.
func Start(ctx context.Context, deployment Deployment, clock peer.Clock, logger *zap.Logger, options Options) (*System, error) {
	source, err := certificates.NewMemory(clock)
	if err != nil {
		return nil, err
	}
	s := &System{
		Store:      standinplatform.NewStore(clock),
		Engines:    map[models.EngineID]*standinengine.Engine{},
		Services:   map[string]*standinservice.Service{},
		deployment: deployment,
		clock:      clock,
		logger:     logger,

		options:      options,
		certificates: source,
		client:       &http.Client{Transport: &http.Transport{TLSClientConfig: certificates.Client(source)}},
	}
	if options.TLS {
		s.Ready.Authority = string(source.AuthorityPEM())
	}
	s.Ready.OperatorKey = "op-" + randomHex()
	s.Store.SetLauncher(newLauncher(s))
	if err := s.startBackends(ctx); err != nil {
		return nil, err
	}
	if err := s.seed(ctx); err != nil {
		return nil, err
	}
	if err := s.startDaemons(ctx); err != nil {
		return nil, err
	}
	return s, nil
}

// Stop gracefully shuts down the daemons, then the stand-ins. If several fail,
// it returns the last error.
func (s *System) Stop(ctx context.Context) error {
	var failed error
	for _, d := range s.Daemons {
		if err := d.Stop(ctx); err != nil {
			failed = err
		}
	}
	s.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	for _, server := range s.servers {
		if err := server.Shutdown(ctx); err != nil {
			failed = errors.Annotate(err, "cannot shut down a stand-in")
		}
	}
	return failed
}

func (s *System) startBackends(ctx context.Context) error {
	number := 0
	for _, pool := range s.deployment.Pools {
		for i := range pool.Engines {
			zone := s.deployment.Zones[number%len(s.deployment.Zones)]
			number++
			if err := s.startEngine(ctx, pool, i, zone); err != nil {
				return err
			}
		}
	}
	for _, plan := range s.deployment.Services {
		if err := s.startService(ctx, plan); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startEngine(ctx context.Context, pool Pool, i int, zone models.Zone) error {
	id := models.EngineID(pool.Name + "-" + strconv.Itoa(i+1))
	server := models.BackendServer{
		Engine:      id,
		Zone:        zone,
		Cheap:       i < pool.Cheap,
		ChecksFence: i%2 == 0,
	}
	e := standinengine.New(s.clock, standinengine.Settings{
		ID:          id,
		Role:        models.RoleBoth,
		Models:      []models.Model{pool.Model},
		ChecksFence: server.ChecksFence,
		Cost:        standinengine.DefaultCost(),
	})
	address, err := s.serve(standinengine.NewHandler(e))
	if err != nil {
		return err
	}
	server.URL = address
	s.Engines[id] = e
	s.Store.AddServer(server)
	s.Ready.Engines = append(s.Ready.Engines, address)
	return s.put(ctx, "backend-server", string(id), backendCells(server))
}

func (s *System) startService(ctx context.Context, plan ServicePlan) error {
	service := standinservice.New()
	address, err := s.serve(service)
	if err != nil {
		return err
	}
	s.Services[plan.Name] = service
	s.Ready.Services = append(s.Ready.Services, ReadyService{
		Name:       plan.Name,
		URL:        address,
		Repeatable: plan.Repeatable,
		Open:       plan.Open,
	})
	if err := s.put(ctx, "route", plan.Name, routeCells(models.RouteService, plan.Open, plan.Repeatable)); err != nil {
		return err
	}
	return s.put(ctx, "service", plan.Name+"-1", serviceCells(plan.Name, s.deployment.Zones[0], address))
}

// startDaemons starts the platform's stand-in and the daemons that use it, or
// writes their settings if they are to be started by hand.
func (s *System) startDaemons(ctx context.Context) error {
	address, err := s.serve(standinplatform.NewHandler(s.Store))
	if err != nil {
		return err
	}
	if s.options.SettingsDirectory != "" {
		return s.writeSettings(address)
	}
	for i := range DaemonCount {
		settings, err := config.Parse([]byte(s.settings(i, address, loopbackPorts{}, inMemoryCertificates())))
		if err != nil {
			return err
		}
		d := daemon.New(settings, s.logger, s.clock, s.certificates)
		if err := d.Start(); err != nil {
			return err
		}
		s.Daemons = append(s.Daemons, d)
		addresses := d.Addresses()
		s.Ready.Callers = append(s.Ready.Callers, s.scheme()+addresses.Callers.String())
		s.Ready.Operators = append(s.Ready.Operators, s.scheme()+addresses.Operators.String())
		s.Ready.Metrics = append(s.Ready.Metrics, s.scheme()+addresses.Metrics.String())
	}
	s.Store.SetVMs(s.vms())
	return s.awaitReady(ctx)
}

// vms returns the daemons' VMs as the platform lists them.
func (s *System) vms() []models.VM {
	var vms []models.VM
	for i, d := range s.Daemons {
		vms = append(vms, models.VM{
			Daemon:  "entry-" + strconv.Itoa(i+1),
			Zone:    s.deployment.Zones[i%len(s.deployment.Zones)],
			Address: d.Addresses().Daemons,
		})
	}
	return vms
}

// awaitReady waits until each daemon reports ready and accepts edits.
func (s *System) awaitReady(ctx context.Context) error {
	for _, address := range s.Ready.Metrics {
		for !s.isReady(ctx, address) {
			if err := s.clock.Sleep(ctx, readyPollInterval); err != nil {
				return errors.Annotate(err, "a daemon did not become ready")
			}
		}
	}
	for _, d := range s.Daemons {
		for !d.AcceptsEdits() {
			if err := s.clock.Sleep(ctx, readyPollInterval); err != nil {
				return errors.Annotate(err, "a daemon did not start to accept edits")
			}
		}
	}
	return nil
}

const readyPollInterval = 50 * time.Millisecond

func (s *System) isReady(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := s.Client().Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// serve serves a handler on a free loopback port and returns its URL.
func (s *System) serve(handler http.Handler) (string, error) {
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(loopback))
	if err != nil {
		return "", errors.Annotate(err, "cannot listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, TLSConfig: certificates.Server(s.certificates, false)}
	s.servers = append(s.servers, server)
	go func() {
		if err := s.serveListener(server, listener); !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error("stand-in server failed", zap.Error(err))
		}
	}()
	return s.scheme() + listener.Addr().String(), nil
}

func (s *System) serveListener(server *http.Server, listener net.Listener) error {
	if s.options.TLS {
		return server.ServeTLS(listener, "", "")
	}
	return server.Serve(listener)
}

func (s *System) scheme() string {
	if s.options.TLS {
		return "https://"
	}
	return "http://"
}

// Client returns an HTTP client that trusts the demo's certificates.
func (s *System) Client() *http.Client {
	return s.client
}

// randomHex returns 128 random bits in hex. crypto/rand.Read never fails.
func randomHex() string {
	raw := make([]byte, 16)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
