package origin

import "testing"

// TestConclude checks that a record decides, and that without one a single gateway that knows
// of another version is enough to leave the origin unknown.
func TestConclude(t *testing.T) {
	unknown, several := Answer{}, Answer{Kind: SeveralVersions}
	recorded := func(o Origin) Answer { return Answer{Kind: Recorded, Origin: o} }
	one := func(o Origin) Answer { return Answer{Kind: OneVersion, Origin: o} }
	for _, test := range []struct {
		name    string
		answers []Answer
		origin  Origin
		kind    AnswerKind
	}{
		{"no answer", nil, Origin{}, Unknown},
		{"nobody knows", []Answer{unknown, unknown}, Origin{}, Unknown},
		{"a record", []Answer{several, unknown, recorded(newer), one(old)}, newer, Recorded},
		{"two records", []Answer{recorded(newer), recorded(old)}, Origin{}, SeveralVersions},
		{"one version", []Answer{unknown, one(old), one(old)}, old, OneVersion},
		{"one version, and several", []Answer{one(old), one(old), several}, Origin{}, SeveralVersions},
		{"different versions", []Answer{one(old), one(newer)}, Origin{}, SeveralVersions},
	} {
		if got, kind := Conclude(test.answers); got != test.origin || kind != test.kind {
			t.Errorf("%s: got %v %v, want %v %v", test.name, got, kind, test.origin, test.kind)
		}
	}
}
