package manifest

import "strings"

// effects describe what a change of a field means for requests. An element applies
// to a change if its section is a prefix of the change's path and its field occurs in
// the path. The first such element is used, so in each section the elements with a
// field precede the one without.
var effects = []struct{ section, field, text string }{
	{"version", "", "processes switch to the version within seconds and never go back"},
	{"deployment", "", "logs and metrics carry the new name"},
	{"classes", ".tier", "requests from now on are queued and shed by the new tier"},
	{"classes", ".repeatability", "requests from now on follow the new rule on retries and keys"},
	{"classes", ".targets", "requests from now on get deadlines from the new target"},
	{"classes", ".floor", "the class's least share of starts changes at once"},
	{"classes", "", "requests of the class are accepted only while it is defined"},
	{"models", ".max_tokens", "answers from now on are bounded by the new length"},
	{"models", "", "callers can name the model only while it is defined"},
	{"services", "", "callers can reach the service only while it is defined"},
	{"accounts", ".key_hashes", "keys that are gone are refused at once, new ones accepted"},
	{"accounts", ".weight", "the account's share within its classes changes at once"},
	{"accounts", ".requests_per_second", "the account's rate limit changes at once"},
	{"accounts", ".burst", "the account's burst limit changes at once"},
	{"accounts", ".classes", "the account may use other classes from now on"},
	{"accounts", "", "the account's keys are accepted only while it is defined"},
	{"routes", "", "requests from now on get their class by the new routes"},
	{"limits", ".key_validity", "idempotency keys are checked against the new validity from now on"},
	{"limits", "", "the new bound holds for requests from now on"},
}

// effect returns the text of the first element that applies to the change, or "".
func effect(change Change) string {
	for _, e := range effects {
		if strings.HasPrefix(change.Path, e.section) && strings.Contains(change.Path, e.field) {
			return e.text
		}
	}
	return ""
}
