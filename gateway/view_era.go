package gateway

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/storeera"
)

// errOtherEra reports that an answer of the store does not describe its present era.
var errOtherEra = errors.New("gateway: the answer of the store is not of its present era")

// observeEra returns whether an answer of the given era can be used, or begins a newer
// era. After a restore of the store what was known is not confirmed until everything
// was read again; the active configuration and the directory stay in use.
func (v *View) observeEra(era storeera.Era) storeera.Verdict {
	v.eraMu.Lock()
	previous, age := v.eras.Era(), v.Age()
	verdict := v.eras.Observe(era)
	if verdict == storeera.Newer && previous.Stated {
		v.confirmedAt.Store(0)
		if v.relisted == nil {
			v.relisted = make(chan struct{})
		}
	}
	v.eraMu.Unlock()
	if verdict == storeera.Current {
		return verdict
	}
	if v.OnEra != nil {
		v.OnEra(era, verdict)
	}
	fields := logrus.Fields{"era": era.Number, "previous": previous.Number, "verdict": string(verdict), "age_ms": age.Milliseconds()}
	if verdict != storeera.Newer {
		v.logIgnored(fields)
		return verdict
	}
	v.log.WithFields(fields).WithField("event", "store_era").Info("new era of the store; reading everything again")
	select {
	case v.eraChanged <- struct{}{}:
	default:
	}
	return verdict
}

// logIgnored logs an answer that was ignored, at a bounded rate.
func (v *View) logIgnored(fields logrus.Fields) {
	if v.ignoredAnswers.due(v.elapsed()) {
		v.log.WithFields(fields).WithField("event", "store_answer_ignored").Warn("answer of the store ignored because of its era")
	}
}

// observeError observes the era in the error of a call that the store answered.
func (v *View) observeError(err error) {
	var answer *AnswerError
	if errors.As(err, &answer) {
		v.observeEra(answer.Era)
	}
}

// isPresent reports whether an era is the newest one. The caller holds eraMu.
func (v *View) isPresent(era storeera.Era) bool {
	newest := v.eras.Era()
	return era.Stated == newest.Stated && era.Number == newest.Number
}

// endRelisting ends the calls of AwaitListing if the listed era is the newest.
func (v *View) endRelisting(era storeera.Era) {
	v.eraMu.Lock()
	defer v.eraMu.Unlock()
	if v.relisted != nil && v.isPresent(era) {
		close(v.relisted)
		v.relisted = nil
	}
}

// AwaitListing waits up to refreshTimeout for the listing of a newer era, if one is
// missing.
func (v *View) AwaitListing(ctx context.Context) {
	v.eraMu.Lock()
	relisted := v.relisted
	v.eraMu.Unlock()
	if relisted == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-relisted:
	}
}
