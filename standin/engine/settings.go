package engine

import "time"

// Settings are the settings of an engine. Durations are those of a real engine;
// TimeScale shortens them for tests.
type Settings struct {
	// Models are the models that are loaded at the start; if empty, the engine
	// accepts requests for any model.
	Models []string
	// Slots is the maximum number of runs in the batch.
	Slots int
	// MaxWaiting is the maximum number of runs in the engine's queue.
	MaxWaiting int
	// StepTime is the time between two tokens of a run that is alone in the batch.
	StepTime time.Duration
	// StepGrowth is the fraction of StepTime that each further run in the batch
	// adds.
	StepGrowth float64
	// PrefillBase is the part of the prefill time that does not depend on the
	// prompt.
	PrefillBase time.Duration
	// PrefillPerToken is the prefill time of each prompt token that is not
	// in the prefix cache.
	PrefillPerToken time.Duration
	// MedianTokens is the median length of responses, and Sigma the standard
	// deviation of the logarithm of the length.
	MedianTokens int
	Sigma        float64
	// MaxTokens is the maximum length of a response, in tokens. A request can set
	// a lower maximum, or an exact length, which may exceed MaxTokens.
	MaxTokens int
	// CacheTokens is the capacity of the prefix cache, in tokens.
	CacheTokens int
	// LoadLag is the age of load reports: a report states the load as it was
	// this long ago.
	LoadLag time.Duration
	// CheckFence makes the engine refuse commands with a fence below the highest
	// received.
	CheckFence bool
	// LoadTime is the duration of each command, such as loading a model.
	LoadTime time.Duration
	// TimeScale divides all durations except LoadLag.
	TimeScale float64
	// Seed is the seed of the lengths of responses.
	Seed uint64
}

// DefaultSettings returns the settings of a small engine.
func DefaultSettings() Settings {
	return Settings{
		Slots:           8,
		MaxWaiting:      1024,
		StepTime:        20 * time.Millisecond,
		StepGrowth:      0.02,
		PrefillBase:     80 * time.Millisecond,
		PrefillPerToken: 100 * time.Microsecond,
		MedianTokens:    120,
		Sigma:           0.6,
		MaxTokens:       4096,
		CacheTokens:     200_000,
		TimeScale:       1,
	}
}

// scaled returns the settings with their durations divided by TimeScale.
func (s Settings) scaled() Settings {
	if s.TimeScale <= 0 {
		s.TimeScale = 1
	}
	for _, d := range []*time.Duration{&s.StepTime, &s.PrefillBase, &s.PrefillPerToken, &s.LoadTime} {
		*d = time.Duration(float64(*d) / s.TimeScale)
	}
	return s
}

// Faults are the failures that the engine simulates. The zero value simulates
// none.
type Faults struct {
	// SlowFactor multiplies the prefill and step times; 0 is the same as 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Hang makes the engine accept requests and produce no tokens, not even for
	// runs that have already started.
	Hang bool `json:"hang,omitempty"`
	// Crash ends the process as soon as the faults are set.
	Crash bool `json:"crash,omitempty"`
	// TruncateAfter, if above 0, drops the connection of a streamed response after
	// this many tokens. Tokens before Request.ResumeAfter count too.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// OmitDone ends streams without the end marker, but closes them normally.
	OmitDone bool `json:"omit_done,omitempty"`
	// DuplicateChunk, if above 0, sends one chunk of streamed responses twice: that
	// of this token, counted from 1.
	DuplicateChunk int `json:"duplicate_chunk,omitempty"`
	// ReportIdle makes load reports state 0 running and 0 waiting runs, and an age
	// of 0.
	ReportIdle bool `json:"report_idle,omitempty"`
	// LoadLagMillis, if above 0, replaces Settings.LoadLag, in milliseconds.
	LoadLagMillis int64 `json:"load_lag_ms,omitempty"`
	// Status, if not 0, is the status of the response to each request; the
	// request does not run.
	Status int `json:"status,omitempty"`
}

// slowdown returns the factor by which prefill and steps take longer.
func (f *Faults) slowdown() float64 {
	if f.SlowFactor <= 0 {
		return 1
	}
	return f.SlowFactor
}
