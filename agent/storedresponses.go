package agent

// storedResponses bounds the memory of the responses that are stored for
// retries of their idempotency keys. Above the limit the bytes of the oldest
// responses are discarded. Their keys stay in the table of keys, so a retry of
// such a key does not run again and gets the outcome unknown.
type storedResponses struct {
	limitBytes int64
	bytes      int64
	// runs is ordered by the end of the runs, oldest first.
	runs []storedRun
}

type storedRun struct {
	run   *run
	bytes int64
}

// add stores the response of a finished run and returns how many older responses
// were discarded to stay within the limit. The new response is kept even if it
// alone exceeds the limit.
func (s *storedResponses) add(r *run) (discarded int) {
	size := r.response.size()
	s.runs = append(s.runs, storedRun{run: r, bytes: size})
	s.bytes += size
	for s.bytes > s.limitBytes && len(s.runs) > 1 {
		s.removeOldest().response.discard()
		discarded++
	}
	return discarded
}

// removeExpired removes runs from the oldest on, up to the first that has not
// expired.
func (s *storedResponses) removeExpired(expired func(*run) bool) {
	for len(s.runs) > 0 && expired(s.runs[0].run) {
		s.removeOldest()
	}
}

func (s *storedResponses) removeOldest() *run {
	oldest := s.runs[0]
	s.runs[0] = storedRun{}
	s.runs = s.runs[1:]
	s.bytes -= oldest.bytes
	return oldest.run
}
