// Package feed lets one daemon of an availability zone follow the table store
// on behalf of all daemons of the zone, so that the number of calls to the store
// does not grow with the number of daemons.
package feed

import (
	"context"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// Reader follows the store and passes the changes that it reads on to other
// daemons.
type Reader struct {
	store peer.ChangeSource

	mu        sync.Mutex
	histories map[models.Partition]*history
}

// NewReader returns a reader that has read nothing yet.
func NewReader(store peer.ChangeSource) *Reader {
	return &Reader{store: store, histories: map[models.Partition]*history{}}
}

// Follow implements peer.ChangeSource by a call to the store. There is at most
// one call in flight per partition.
func (r *Reader) Follow(ctx context.Context, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, bool, error) {
	changes, all, err := r.store.Follow(ctx, partition, after, wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.history(partition).close()
		return changes, all, err
	}
	r.history(partition).record(after, changes, all)
	return changes, all, nil
}

// Record passes on changes after a revision that were read from another daemon rather
// than from the store.
func (r *Reader) Record(partition models.Partition, after models.Revision, changes models.Changes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history(partition).record(after, changes, false)
}

// Close marks that this daemon no longer follows a partition in the store. Calls
// of Changes for it fail at once.
func (r *Reader) Close(partition models.Partition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history(partition).close()
}

// Changes waits up to wait for rows of a partition that are written after a
// revision. It fails with a *peer.Failure of OutcomeNotDone as soon as this
// daemon does not follow the partition in the store, or if it no longer keeps
// all changes since that revision, and with one of OutcomeRestored if the store
// has returned from an older copy since.
func (r *Reader) Changes(ctx context.Context, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error) {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		changes, moved, err := r.current(partition, after)
		if err != nil || len(changes.Rows) > 0 || waitCtx.Err() != nil {
			return changes, err
		}
		select {
		case <-moved:
		case <-waitCtx.Done():
		}
	}
}

// current returns the changes known now, and a channel that is closed when the
// history changes.
func (r *Reader) current(partition models.Partition, after models.Revision) (models.Changes, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history(partition)
	if !h.following {
		return models.Changes{}, nil, peer.NewFailure(peer.OutcomeNotDone, "the store is not followed here at the moment", nil)
	}
	if h.from.Era() > after.Era() {
		return models.Changes{}, nil, peer.NewFailure(peer.OutcomeRestored, "the store has returned from an older copy since that revision", nil)
	}
	changes, known := h.changesAfter(after)
	if !known {
		return models.Changes{}, nil, peer.NewFailure(peer.OutcomeNotDone, "changes since that revision are no longer known here", nil)
	}
	return changes, h.changed, nil
}

// history returns the history of a partition. The caller holds the lock.
func (r *Reader) history(partition models.Partition) *history {
	h, ok := r.histories[partition]
	if !ok {
		h = newHistory()
		r.histories[partition] = h
	}
	return h
}
