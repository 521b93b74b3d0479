package balance_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"quincewinch/balance"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/policy/retry"
	"quincewinch/relay"
	"quincewinch/resume"
	"quincewinch/routing"
)

const (
	shareTick     = 20 * time.Millisecond
	callerTimeout = 4 * time.Second
	// promptShare is the share of the requests that have a prompt.
	promptShare = 0.6
	// limitSubjects is the number of prompt parts that requests share.
	limitSubjects = 40
)

// limitVM is a VM of a schedule with limits. It implements balance.FleetView,
// balance.Members, balance.ShareClient, peer.Upstreams, relay.UsageMeter and
// relay.Guard.
type limitVM struct {
	world       *limitWorld
	index       int
	alive       bool
	startedAt   time.Time
	disturbedAt time.Time

	// Of its latest process.
	ctx      context.Context
	cancel   context.CancelFunc
	balancer *balance.Balancer
	handler  relay.Handler
}

func (vm *limitVM) start() {
	vm.world.mu.Lock()
	defer vm.world.mu.Unlock()
	vm.startLocked()
}

// startLocked starts a process. The caller must hold world.mu.
func (vm *limitVM) startLocked() {
	w := vm.world
	vm.alive = true
	vm.startedAt = w.clock.Now()
	vm.disturbedAt = w.clock.Now()
	vm.ctx, vm.cancel = context.WithCancel(w.t.Context())
	vm.balancer = balance.New(vm, w.clock, balance.Settings{Self: vm.id(), Zone: vm.zone(), Retries: retry.Settings{Ratio: 0.2, Reserve: 50, Window: 10 * time.Second}}, w.seed+uint64(vm.index))
	origins := resume.NewOrigins(unversioned{}, w.clock)
	vm.handler = relay.NewSender(vm, vm.balancer, vm, origins, vm, w.clock, zap.NewNop())
	self := models.LoadShare{From: vm.id(), Zone: vm.zone(), Address: vm.address()}
	sharer := balance.NewSharer(self, vm.balancer, vm, vm, origins, noEvidence{}, w.clock, zap.NewNop())
	ctx, balancer := vm.ctx, vm.balancer
	phase := between(w.draw("phase", vm.index), 0, shareTick)
	go func() {
		for wait := phase; w.clock.Sleep(ctx, wait) == nil; wait = shareTick {
			sharer.Step(ctx)
		}
	}()
	go func() {
		for w.clock.Sleep(ctx, 5*time.Second) == nil {
			balancer.Step(ctx)
		}
	}()
}

// restart kills the process and starts another one later. The caller must hold
// world.mu.
func (vm *limitVM) restart(down time.Duration) {
	if !vm.alive {
		return
	}
	vm.alive = false
	vm.cancel()
	vm.world.after(down, vm.startLocked)
}

func (vm *limitVM) stop() {
	vm.world.mu.Lock()
	defer vm.world.mu.Unlock()
	vm.alive = false
	vm.cancel()
}

func (vm *limitVM) id() models.DaemonID {
	return models.DaemonID(fmt.Sprintf("vm%03d", vm.index))
}

func (vm *limitVM) zone() models.Zone {
	return models.Zone("z" + strconv.Itoa(vm.index%vm.world.zones))
}

func (vm *limitVM) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(vm.index+1))
}

// ask makes the requests of the VM's callers until the schedule ends.
func (vm *limitVM) ask() {
	w := vm.world
	defer w.callers.Done()
	gaps := w.draw("gaps", vm.index)
	for n := 0; ; n++ {
		w.sleep(time.Duration(gaps.ExpFloat64() / w.rate * float64(len(w.vms)) * float64(time.Second)))
		w.mu.Lock()
		ended, alive, handler, ctx := w.ended, vm.alive, vm.handler, vm.ctx
		w.requests++
		w.mu.Unlock()
		if ended {
			return
		}
		if !alive {
			continue
		}
		prompt := gaps.Float64() < promptShare
		e := vm.exchange(models.RequestID(fmt.Sprintf("%s-%d", vm.id(), n)), prompt, gaps.IntN(limitSubjects), 500+gaps.IntN(3000))
		w.arrivals.ask(e.Service.Name, w.since())
		w.mu.Lock()
		w.sentAt[e.ID] = w.since()
		w.mu.Unlock()
		w.callers.Go(func() { vm.handle(ctx, handler, e) })
	}
}

// exchange returns a request to one of the two services.
func (vm *limitVM) exchange(id models.RequestID, prompt bool, subject, tokens int) *relay.Exchange {
	now := vm.world.clock.Now()
	e := &relay.Exchange{
		ID: id, Received: now, CallerTimeout: callerTimeout, Deadline: now.Add(callerTimeout), Reply: discard{}, Service: deskService,
		Call:    models.UpstreamCall{ID: id, Method: http.MethodPost, Header: http.Header{}},
		Routing: &models.Routing{},
		Route:   models.PathRoute{Attempts: 2, Repeatable: true, Timeout: callerTimeout, LatencyTarget: time.Second},
	}
	if prompt {
		e.Service = llmService
		e.Route.Stream, e.Route.Resumable = true, true
		e.Prompt = models.Prompt{Model: "m", MaxOutput: 5, Parts: []models.PromptPart{{ID: fmt.Sprintf("subject %d", subject), Tokens: 2000}, {ID: string(id), Tokens: tokens}}}
	}
	return e
}

// handle handles a request and checks how it ends.
func (vm *limitVM) handle(ctx context.Context, handler relay.Handler, e *relay.Exchange) {
	w := vm.world
	err := handler.Handle(ctx, e)
	took := w.clock.Now().Sub(e.Received)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.served++
		return
	}
	refusal := relay.RefusalOf(err)
	if refusal.Code != models.RefusalOverload || e.Sends > 0 || e.Trace.Prefiller != "" {
		return
	}
	w.refused++
	if took > maxRefusalTime || !refusal.NotRun || refusal.RetryAfter <= 0 {
		w.fault("%s was refused after %v: %+v", e.ID, took, *refusal)
	}
}

// Snapshot implements balance.FleetView.
func (vm *limitVM) Snapshot() *routing.Snapshot {
	vm.world.mu.Lock()
	defer vm.world.mu.Unlock()
	return vm.world.snapshot
}

// Others implements balance.Members.
func (vm *limitVM) Others() map[models.DaemonID]models.Peer {
	others := map[models.DaemonID]models.Peer{}
	if vm.ignorant() {
		return others
	}
	for _, other := range vm.world.vms {
		if other != vm {
			others[other.id()] = models.Peer{Address: other.address(), Zone: other.zone()}
		}
	}
	return others
}

// Listed implements balance.Members.
func (vm *limitVM) Listed() bool { return !vm.ignorant() }

// Share implements balance.ShareClient.
func (vm *limitVM) Share(ctx context.Context, to netip.AddrPort, share models.LoadShare) (models.ShareReceipt, error) {
	w := vm.world
	unanswered := peer.NewFailure(peer.OutcomeUnknown, "no answer", nil)
	target := w.vms[int(to.Port())-1]
	r := w.draw("share "+string(vm.id())+string(target.id()), int(share.Sequence))
	if w.clock.Sleep(ctx, between(r, time.Millisecond, 4*time.Millisecond)) != nil {
		return models.ShareReceipt{}, unanswered
	}
	w.mu.Lock()
	arrives := target.alive && !w.cut[[2]int{min(vm.index, target.index), max(vm.index, target.index)}]
	receiver := target.balancer
	w.mu.Unlock()
	if !arrives {
		return models.ShareReceipt{}, unanswered
	}
	receiver.ReceiveShare(share)
	return models.ShareReceipt{Instance: 1}, nil
}

// Drop implements balance.ShareClient.
func (vm *limitVM) Drop(netip.AddrPort) {}

// Count implements relay.UsageMeter.
func (vm *limitVM) Count(models.Workspace) {}

// Admit implements relay.Guard.
func (vm *limitVM) Admit(models.RequestID, models.Prompt, *relay.Identity) *models.Refusal {
	return nil
}

// Responded implements relay.Guard.
func (vm *limitVM) Responded(models.Upstream, time.Time) {}

// Completed implements relay.Guard.
func (vm *limitVM) Completed(relay.Run) {}

// BrokenOff implements relay.Guard.
func (vm *limitVM) BrokenOff(relay.Run) {}

// discard is a caller that takes everything. It implements relay.Reply.
type discard struct{}

// Begin implements relay.Reply.
func (discard) Begin(int, http.Header, int64) {}

// Write implements relay.Reply.
func (discard) Write(context.Context, []byte, bool) error { return nil }

// unversioned implements resume.VersionSource.
type unversioned struct{}

// Candidates implements resume.VersionSource.
func (unversioned) Candidates(models.ServiceName) ([]string, bool) { return nil, true }

// Began implements resume.VersionSource.
func (unversioned) Began(models.ServiceName, time.Duration) {}

// noEvidence implements balance.EvidenceLog.
type noEvidence struct{}

// Revision implements balance.EvidenceLog.
func (noEvidence) Revision() (latest, own uint64) { return 0, 0 }

// Evidence implements balance.EvidenceLog.
func (noEvidence) Evidence(uint64) *models.CrashEvidence { return nil }
