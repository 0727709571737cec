package manifest

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// duration is a time.Duration that JSON shows with its unit, as Parse wants
// it.
type duration time.Duration

// MarshalJSON writes the duration as text.
func (d duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads the duration from text.
func (d *duration) UnmarshalJSON(data []byte) error {
	var written string
	if err := json.Unmarshal(data, &written); err != nil {
		return eris.Wrap(err, "duration")
	}
	parsed, err := time.ParseDuration(written)
	*d = duration(parsed)
	return eris.Wrap(err, "duration")
}

// targetsJSON is Targets as it stands in JSON.
type targetsJSON struct {
	FirstToken    duration `json:"first_token,omitempty"`
	BetweenTokens duration `json:"between_tokens,omitempty"`
	EndToEnd      duration `json:"whole,omitempty"`
}

// MarshalJSON writes the targets with their units.
func (t Targets) MarshalJSON() ([]byte, error) {
	return json.Marshal(targetsJSON{duration(t.FirstToken), duration(t.BetweenTokens), duration(t.EndToEnd)})
}

// UnmarshalJSON reads targets with their units.
func (t *Targets) UnmarshalJSON(data []byte) error {
	var j targetsJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	*t = Targets{time.Duration(j.FirstToken), time.Duration(j.BetweenTokens), time.Duration(j.EndToEnd)}
	return nil
}

// plainLimits is Limits without its methods.
type plainLimits Limits

// limitsJSON is Limits as it stands in JSON.
type limitsJSON struct {
	plainLimits
	KeyValidity duration `json:"key_validity,omitempty"`
}

// MarshalJSON writes the limits with their units.
func (l Limits) MarshalJSON() ([]byte, error) {
	return json.Marshal(limitsJSON{plainLimits(l), duration(l.KeyValidity)})
}

// UnmarshalJSON reads limits with their units.
func (l *Limits) UnmarshalJSON(data []byte) error {
	var j limitsJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	*l = Limits(j.plainLimits)
	l.KeyValidity = time.Duration(j.KeyValidity)
	return nil
}
