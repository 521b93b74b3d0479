// Package feed has one daemon of an availability zone follow the store for all
// daemons of the zone, so that the calls of the store do not grow with them.
package feed

import (
	"context"
	"sync"
	"time"

	"quincewinch/models"
	"quincewinch/peer"
)

// Reader follows the store, and lets other daemons follow what it reads.
type Reader struct {
	store peer.ChangeSource

	mu        sync.Mutex
	histories map[models.Partition]*history
}

// NewReader returns a reader that has read nothing yet.
func NewReader(store peer.ChangeSource) *Reader {
	return &Reader{store: store, histories: map[models.Partition]*history{}}
}

// Follow implements peer.ChangeSource by a call of the store. At most one call
// a partition is under way.
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

// Close notes that this daemon does not follow a partition in the store any
// more; those that follow it here are told at once.
func (r *Reader) Close(partition models.Partition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history(partition).close()
}

// Changes waits up to wait for rows of a partition that are written after a
// revision. It fails, with a *peer.Failure of OutcomeNotDone, as soon as this
// daemon does not follow the partition in the store, and where it does not know
// all changes since then.
func (r *Reader) Changes(ctx context.Context, partition models.Partition, after models.Revision, wait time.Duration) (models.Changes, error) {
	waiting, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		changes, moved, err := r.current(partition, after)
		if err != nil || len(changes.Rows) > 0 || waiting.Err() != nil {
			return changes, err
		}
		select {
		case <-moved:
		case <-waiting.Done():
		}
	}
}

// current returns what is known now, and a channel that is closed when there is
// more to know.
func (r *Reader) current(partition models.Partition, after models.Revision) (models.Changes, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history(partition)
	if !h.following {
		return models.Changes{}, nil, peer.NewFailure(peer.OutcomeNotDone, "the store is not followed here at the moment", nil)
	}
	changes, known := h.changesAfter(after)
	if !known {
		return models.Changes{}, nil, peer.NewFailure(peer.OutcomeNotDone, "changes since that revision are no longer known here", nil)
	}
	return changes, h.changed, nil
}

// history returns the one of a partition. The lock is held.
func (r *Reader) history(partition models.Partition) *history {
	h, ok := r.histories[partition]
	if !ok {
		h = newHistory()
		r.histories[partition] = h
	}
	return h
}
