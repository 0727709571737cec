package manifest

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// duration is a time.Duration that is encoded in JSON with its unit, as Parse
// expects it.
type duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes the duration from a string.
func (d *duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return eris.Wrap(err, "duration")
	}
	parsed, err := time.ParseDuration(text)
	*d = duration(parsed)
	return eris.Wrap(err, "duration")
}

// targetsJSON is the JSON form of Targets.
type targetsJSON struct {
	FirstToken    duration `json:"first_token,omitempty"`
	BetweenTokens duration `json:"between_tokens,omitempty"`
	EndToEnd      duration `json:"whole,omitempty"`
}

// MarshalJSON encodes the targets with their units.
func (t Targets) MarshalJSON() ([]byte, error) {
	return json.Marshal(targetsJSON{duration(t.FirstToken), duration(t.BetweenTokens), duration(t.EndToEnd)})
}

// UnmarshalJSON decodes targets with their units.
func (t *Targets) UnmarshalJSON(data []byte) error {
	var j targetsJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	*t = Targets{time.Duration(j.FirstToken), time.Duration(j.BetweenTokens), time.Duration(j.EndToEnd)}
	return nil
}

// plainLimits is Limits without its methods, so that encoding it does not call
// Limits.MarshalJSON again.
type plainLimits Limits

// limitsJSON is the JSON form of Limits. Its KeyValidity replaces the embedded
// one, which would be encoded without a unit.
type limitsJSON struct {
	plainLimits
	KeyValidity duration `json:"key_validity,omitempty"`
}

// MarshalJSON encodes the limits with their units.
func (l Limits) MarshalJSON() ([]byte, error) {
	return json.Marshal(limitsJSON{plainLimits(l), duration(l.KeyValidity)})
}

// UnmarshalJSON decodes limits with their units.
func (l *Limits) UnmarshalJSON(data []byte) error {
	var j limitsJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	*l = Limits(j.plainLimits)
	l.KeyValidity = time.Duration(j.KeyValidity)
	return nil
}
