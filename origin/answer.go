package origin

import "time"

// Question asks where a stream began that a caller takes up at a route to the service. Span
// is the longest lifetime of such a stream.
type Question struct {
	Key     Key
	Service string
	Span    time.Duration
}

// Answer is what one gateway knows about a Question.
type Answer struct {
	Key  Key
	Kind AnswerKind
	// Origin is the recorded one or, with OneVersion, the only one that is possible.
	Origin Origin
}

// AnswerKind is the kind of an Answer.
type AnswerKind int

// Kinds of answers. Unknown: the gateway has no record, and does not know which versions have
// served during the span. Recorded: it has a record. OneVersion: it has none, but all servers
// of the service had the same version during the span. SeveralVersions: they had several.
// Unconfirmed is not sent: the store, read again, does not confirm OneVersion.
const (
	Unknown AnswerKind = iota
	Recorded
	OneVersion
	SeveralVersions
	Unconfirmed
)

var answerNames = [...]string{Unknown: "unknown", Recorded: "recorded", OneVersion: "one_version", SeveralVersions: "several_versions", Unconfirmed: "unconfirmed"}

// String returns the kind as text for logs.
func (k AnswerKind) String() string { return answerNames[k] }

// Conclude returns where the stream began, and which kind of answers shows it. A record
// decides. Without one, all gateways that know which versions have served must agree that
// there was only one: a gateway whose view is old does not know that another version has
// joined. The kind is Unknown or SeveralVersions if the origin is not known.
func Conclude(answers []Answer) (Origin, AnswerKind) {
	var recorded, sole []Origin
	several := false
	for _, a := range answers {
		switch a.Kind {
		case Recorded:
			recorded = append(recorded, a.Origin)
		case OneVersion:
			sole = append(sole, a.Origin)
		case SeveralVersions:
			several = true
		case Unknown, Unconfirmed:
		}
	}
	switch {
	case len(recorded) > 0 && allEqual(recorded):
		return recorded[0], Recorded
	case several || len(recorded) > 0 || !allEqual(sole):
		return Origin{}, SeveralVersions
	case len(sole) > 0:
		return sole[0], OneVersion
	default:
		return Origin{}, Unknown
	}
}

func allEqual(origins []Origin) bool {
	for _, o := range origins {
		if o != origins[0] {
			return false
		}
	}
	return true
}
