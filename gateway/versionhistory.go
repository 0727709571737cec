package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/storeera"
)

const (
	// historyTimeout limits the time for reading the store's history: callers wait for it.
	historyTimeout = 250 * time.Millisecond
	// historyInterval is the least time between two reads.
	historyInterval = time.Second
	// historyWait is the time for which a call waits for changes; those of the past are
	// returned at once.
	historyWait = time.Millisecond
	// historyMargin is the share of further revisions that are read, since other keys change.
	historyMargin = 0.1
	// maxHistoryRevisions limits the history that is read, a few hundred bytes for each revision.
	maxHistoryRevisions = 8192
	// maxHistoryCalls limits the calls for one read; a response may hold a part only.
	maxHistoryCalls = 8
)

// LearnVersions reads in the store's history which software versions of a service have served
// during the span, if the view does not know it: a gateway that has just started does not know
// which servers have left. It returns whether the view may know more now.
func (v *View) LearnVersions(ctx context.Context, service string, span time.Duration) bool {
	if _, versions := v.SoleVersion(service, span); versions != directory.VersionsUnknown || v.Heartbeat == nil || v.Heartbeat() <= 0 || !v.Listed() {
		return false
	}
	done := v.histories.DoChan("history", func() (any, error) {
		if last := v.historyReadAt.Load(); last > 0 && v.elapsed()-time.Duration(last) < historyInterval {
			return nil, nil
		}
		v.historyReadAt.Store(int64(v.elapsed()))
		ctx, cancel := context.WithTimeout(context.Background(), historyTimeout)
		defer cancel()
		covered, err := v.readHistory(ctx, span)
		v.log.WithError(err).WithFields(logrus.Fields{"event": "store_history_read", "span_ms": span.Milliseconds(), "covered_ms": covered.Milliseconds()}).Info("history of the store read for the software versions that have served")
		return nil, nil
	})
	select {
	case <-ctx.Done():
		return false
	case <-done:
		return true
	}
}

// readHistory reads the part of the store's history that covers the span, and returns how far
// it reaches.
func (v *View) readHistory(ctx context.Context, span time.Duration) (time.Duration, error) {
	heartbeat, newest := v.Heartbeat(), v.directory.Revision()
	depth := v.directory.HistoryDepth(span, heartbeat)
	depth += uint64(historyMargin * float64(depth))
	if depth >= newest || depth > maxHistoryRevisions {
		return 0, eris.Errorf("gateway: a history of %d revisions before %d is not read", depth, newest)
	}
	var changes []directory.Change
	after := newest - depth
	for range maxHistoryCalls {
		delta, err := v.store.Watch(ctx, after, historyWait)
		if err != nil {
			return 0, err
		}
		if v.observeEra(delta.Era) != storeera.Current {
			return 0, errOtherEra
		}
		changes = append(changes, delta.ServerChanges...)
		if delta.Revision >= newest {
			return v.directory.ApplyHistory(time.Unix(0, int64(v.elapsed())), changes, heartbeat), nil
		}
		if delta.Revision <= after {
			break
		}
		after = delta.Revision
	}
	return 0, eris.Errorf("gateway: the history up to revision %d cannot be read completely", newest)
}
