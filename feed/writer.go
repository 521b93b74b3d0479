package feed

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"quincewinch/models"
	"quincewinch/peer"
)

const (
	// batchDelay is how long rows wait for those of other daemons of the zone. All
	// write at the same time, after the end of a billing window.
	batchDelay = 300 * time.Millisecond
	// maxBatchRows is the most rows of one transaction; the store takes 100 entries.
	maxBatchRows = 90
	// relayTimeout bounds the writing through another daemon: batchDelay and a call
	// to the store.
	relayTimeout = 1200 * time.Millisecond
)

// Table is the store as seen by a Writer.
type Table interface {
	peer.Table
	// Era returns the latest era of the store that is known here, 0 if none is.
	Era() uint64
}

// RowDaemons writes rows through other daemons.
type RowDaemons interface {
	WriteRows(ctx context.Context, to netip.AddrPort, writes []models.Write) (models.Revision, error)
}

// Writer writes rows that depend on no others through the zone's reader, which writes
// those of all daemons of its zone in few transactions. A row may be written twice,
// with the same value: also directly if the zone's reader fails.
type Writer struct {
	Table
	daemons RowDaemons
	zone    Zone
	clock   peer.Clock

	mu          sync.Mutex
	batch       *batch    // that takes further rows, nil if there is none
	directUntil time.Time // after a failure of the zone's reader
	era         uint64    // latest of the rows written through others
}

// batch is the rows of a transaction that has not begun.
type batch struct {
	writes map[models.RowKey]models.Write
	done   chan struct{} // closed when the fields below are set

	revision models.Revision
	err      error
}

// NewWriter returns a writer to a table.
func NewWriter(table Table, daemons RowDaemons, zone Zone, clock peer.Clock) *Writer {
	return &Writer{Table: table, daemons: daemons, zone: zone, clock: clock}
}

// Era implements Table.
func (w *Writer) Era() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.Table.Era(), w.era)
}

// Transact implements peer.Table.
func (w *Writer) Transact(ctx context.Context, transaction models.Transaction) (models.Revision, error) {
	if !independent(transaction) {
		return w.Table.Transact(ctx, transaction)
	}
	if reader, other := w.reader(); other {
		relayed, cancel := context.WithTimeout(ctx, relayTimeout)
		defer cancel()
		revision, err := w.daemons.WriteRows(relayed, reader, transaction.Writes)
		if err == nil {
			w.observeEra(revision.Era())
			return revision, nil
		}
		w.suspendRelay()
		return w.Table.Transact(ctx, transaction)
	}
	if w.zone.HasFollowers() {
		return w.WriteRows(ctx, transaction.Writes)
	}
	return w.Table.Transact(ctx, transaction)
}

// independent reports whether a transaction only writes rows, whatever others are.
func independent(transaction models.Transaction) bool {
	for _, write := range transaction.Writes {
		if write.Delete {
			return false
		}
	}
	return transaction.Basis == 0 && len(transaction.Conditions) == 0 && len(transaction.Writes) <= maxBatchRows
}

// reader returns the daemon to write through; other is false if there is none.
func (w *Writer) reader() (address netip.AddrPort, other bool) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Before(w.directUntil) {
		return netip.AddrPort{}, false
	}
	return w.zone.Reader()
}

func (w *Writer) suspendRelay() {
	until := w.clock.Now().Add(directFallback)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.directUntil = until
}

func (w *Writer) observeEra(era uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.era = max(w.era, era)
}

// WriteRows writes rows together with those of other daemons. It implements
// peerdaemon.RowWriter.
func (w *Writer) WriteRows(ctx context.Context, writes []models.Write) (models.Revision, error) {
	b := w.join(ctx, writes)
	select {
	case <-b.done:
		return b.revision, b.err
	case <-ctx.Done():
		return 0, peer.NewFailure(peer.OutcomeUnknown, "the rows were not written in time", errors.Trace(ctx.Err()))
	}
}

// join adds rows to the current batch, and begins one if there is none with room.
func (w *Writer) join(ctx context.Context, writes []models.Write) *batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.batch
	if b == nil || len(b.writes)+len(writes) > maxBatchRows {
		b = &batch{writes: map[models.RowKey]models.Write{}, done: make(chan struct{})}
		w.batch = b
		go w.commit(context.WithoutCancel(ctx), b)
	}
	for _, write := range writes {
		b.writes[write.Key] = write
	}
	return b
}

// commit writes a batch after batchDelay.
func (w *Writer) commit(ctx context.Context, b *batch) {
	defer close(b.done)
	if b.err = w.clock.Sleep(ctx, batchDelay); b.err != nil {
		return
	}
	w.mu.Lock()
	if w.batch == b {
		w.batch = nil
	}
	var transaction models.Transaction
	for _, write := range b.writes {
		transaction.Writes = append(transaction.Writes, write)
	}
	w.mu.Unlock()
	b.revision, b.err = w.Table.Transact(ctx, transaction)
}
