package relay

import (
	"context"
	stderrors "errors"
	"net"

	"quincewinch/peer"
)

// connectionLost reports whether a call failed because the backend server closed or
// reset the connection, rather than because nothing arrived in time.
func connectionLost(ctx context.Context, err error) bool {
	var timeout net.Error
	if stderrors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	return ctx.Err() == nil
}

// admit returns a refusal if the request crashes backend servers.
func (d *delivery) admit() error {
	if refusal := d.sender.guard.Admit(d.exchange.ID, d.exchange.Prompt, d.identity); refusal != nil {
		return refusal
	}
	return nil
}

// beginSend counts an attempt that is about to be sent.
func (d *delivery) beginSend(placement Placement) {
	e := d.exchange
	if e.Runs > 0 && e.BeforeRepeat != nil {
		e.BeforeRepeat()
	}
	e.Sends++
	d.beginRun(placement)
}

// countExecution counts an attempt in which the backend server may have run the request.
func (d *delivery) countExecution() {
	d.executions++
	d.exchange.Runs++
}

// beginRun records that the request is sent to a backend server.
func (d *delivery) beginRun(placement Placement) {
	d.placed = placement
	d.current = Run{
		Server: placement.Target(), Request: d.exchange.ID, Prompt: d.exchange.Prompt, Identity: d.identity,
		SentAt: d.sender.clock.Now(),
	}
}

// answerBegun records that the first part of the answer has arrived.
func (d *delivery) answerBegun() {
	if d.current.BegunAt.IsZero() {
		d.current.BegunAt = d.sender.clock.Now()
	}
}

// runCompleted reports that an answer other than a stream has arrived whole. One that
// ends with its connection may have been cut short.
func (d *delivery) runCompleted(answer peer.UpstreamResponse) {
	if !answer.Unframed {
		d.sender.guard.Completed(d.current)
	}
}

// runBroken reports that the answer has ended early, unless the backend server is
// leaving: then it breaks off what takes too long.
func (d *delivery) runBroken(ctx context.Context, err error) {
	if connectionLost(ctx, err) && d.placed.AcceptsWork() {
		d.sender.guard.BrokenOff(d.current)
	}
}
