package relay

import (
	"context"
	"net/netip"
	"strconv"

	"github.com/juju/errors"

	"quincewinch/models"
	"quincewinch/peer"
)

// prefilledCache is KV cache of the prompt, held by the prefiller.
type prefilledCache struct {
	source    models.KVSource
	prefiller models.Upstream
}

// prefill requests the prefill of the prompt from the placement's prefiller, if
// it has one and the retry budget allows that. A prefill is requested once per request:
// another would be a retry, and what failed for one target may fail for the next. An
// error means that the prefiller was not reached and that another placement may
// succeed.
func (d *delivery) prefill(ctx context.Context, placement Placement, call models.UpstreamCall) error {
	prefiller, ok := placement.Prefiller()
	if !ok {
		return nil
	}
	call.TimeLeft = d.serverTime()
	service := d.exchange.Service.Name
	if d.prefillRequested || call.TimeLeft < minTimeLeft || !d.sender.placer.BeginPrefill(service) {
		placement.PrefillEnded(ResultLeaving)
		return nil
	}
	call.CopyFrom = copyAddress(placement)
	d.exchange.Trace.Prefiller = prefiller.ID
	started := d.sender.clock.Now()
	source, answer, err := d.sender.upstreams.Prefill(ctx, prefiller, call)
	d.exchange.Trace.PrefillDuration = d.sender.clock.Now().Sub(started)
	result := prefillResult(ctx, source, answer, err)
	d.exchange.Trace.PrefillResult = result
	if answer.Status != 0 && !answer.WrongInstance {
		d.exchange.Trace.PrefillerStatement = answer.Statement
		d.sender.placer.Answered(prefiller, answer.Statement, started)
	}
	d.sender.placer.EndPrefill(service, result)
	placement.PrefillEnded(result)
	if result == ResultServed {
		d.prefillRequested = true
		d.prefilled = &prefilledCache{source: source, prefiller: prefiller}
		return nil
	}
	d.exchange.Trace.LastFailure = "prefill at " + string(prefiller.ID) + ": " + prefillFailure(answer, err)
	if result == ResultUnreachable {
		d.tried[prefiller.ID] = true
		d.unreachablePrefillers++
		if ctx.Err() == nil && d.unreachablePrefillers < maxUnreachablePrefillers {
			return errors.Annotatef(err, "prefill at %s", prefiller.ID)
		}
		return nil
	}
	d.prefillRequested = true
	return nil
}

// copyAddress returns the address of the engine that a placement copies cached
// parts of the prompt from, zero if there is none.
func copyAddress(placement Placement) netip.AddrPort {
	source, ok := placement.CopyFrom()
	if !ok {
		return netip.AddrPort{}
	}
	return source.Address
}

// prefillResult returns the result of a call to a prefiller.
func prefillResult(ctx context.Context, source models.KVSource, answer peer.UpstreamResponse, err error) Result {
	switch {
	case err != nil && peer.OutcomeOf(err) == peer.OutcomeNotDone:
		return ResultUnreachable
	case err != nil && ctx.Err() != nil:
		return ResultCancelled
	case err != nil:
		return ResultFailed
	case source.Handle != "":
		return ResultServed
	case answer.WrongInstance:
		return ResultMoved
	}
	return ResultRejected
}

// prefillFailure describes a failed prefill for the log.
func prefillFailure(answer peer.UpstreamResponse, err error) string {
	if err != nil {
		return err.Error()
	}
	return "status " + statusText(answer.Status) + ", not run " + strconv.FormatBool(answer.NotRun) +
		", reused connection " + strconv.FormatBool(answer.Reused)
}

// releasePrefilled releases KV cache that no target has taken over. It runs even
// if the request was cancelled: the engine would hold the memory until the
// cache expires.
func (d *delivery) releasePrefilled(ctx context.Context) {
	if d.prefilled == nil {
		return
	}
	cache := *d.prefilled
	d.prefilled = nil
	if !d.sender.placer.AcceptsCalls(cache.prefiller) {
		return // the cache expires there
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := d.sender.upstreams.Free(ctx, cache.prefiller, cache.source); err != nil {
		d.exchange.Trace.LastFailure = "free KV cache at " + string(cache.prefiller.ID) + ": " + err.Error()
	}
}
