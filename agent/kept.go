package agent

// keptAnswers bounds the memory of answers that are kept for repeats of their
// keys. Over the limit the oldest lose their bytes; the key itself stays, so a
// repeat of it never runs again and gets an unknown outcome.
type keptAnswers struct {
	limit int64
	bytes int64
	// oldest first
	runs []keptRun
}

type keptRun struct {
	run   *run
	bytes int64
}

// add keeps the answer of a run that ended and returns how many others lost
// their bytes for it.
func (k *keptAnswers) add(r *run) (discarded int) {
	size := r.answer.size()
	k.runs = append(k.runs, keptRun{run: r, bytes: size})
	k.bytes += size
	for k.bytes > k.limit && len(k.runs) > 1 {
		k.drop().answer.discard()
		discarded++
	}
	return discarded
}

// expire lets go of the oldest runs for which over holds.
func (k *keptAnswers) expire(over func(*run) bool) {
	for len(k.runs) > 0 && over(k.runs[0].run) {
		k.drop()
	}
}

func (k *keptAnswers) drop() *run {
	oldest := k.runs[0]
	k.runs[0] = keptRun{}
	k.runs = k.runs[1:]
	k.bytes -= oldest.bytes
	return oldest.run
}
