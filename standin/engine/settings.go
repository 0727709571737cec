package engine

import "time"

// Settings shape an engine. Durations are those of a real engine; TimeScale
// shortens all of them.
type Settings struct {
	// Models that the engine has loaded; empty accepts any.
	Models []string
	// Slots is the number of requests in one batch.
	Slots int
	// MaxWaiting bounds the engine's own queue.
	MaxWaiting int
	// StepTime is the time between tokens of a batch of one.
	StepTime time.Duration
	// StepGrowth is the part of StepTime that each further request adds.
	StepGrowth float64
	// PrefillBase is the fixed part of the prefill time.
	PrefillBase time.Duration
	// PrefillPerToken is the prefill time of each prompt token that is not
	// in the prefix cache.
	PrefillPerToken time.Duration
	// MedianTokens is the median length of responses, and Sigma the standard
	// deviation of the logarithm of the length.
	MedianTokens int
	Sigma        float64
	// MaxTokens bounds an answer whose request does not.
	MaxTokens int
	// CacheTokens bounds the prefix cache.
	CacheTokens int
	// LoadLag is how old load reports are.
	LoadLag time.Duration
	// CheckFence refuses orders with a fence below the highest seen.
	CheckFence bool
	// LoadTime is how long loading a model takes.
	LoadTime time.Duration
	// TimeScale divides all durations but LoadLag.
	TimeScale float64
	// Seed draws the lengths.
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

// scaled returns the settings with all durations in the test's time.
func (s Settings) scaled() Settings {
	if s.TimeScale <= 0 {
		s.TimeScale = 1
	}
	for _, d := range []*time.Duration{&s.StepTime, &s.PrefillBase, &s.PrefillPerToken, &s.LoadTime} {
		*d = time.Duration(float64(*d) / s.TimeScale)
	}
	return s
}

// Faults says how the engine misbehaves.
type Faults struct {
	// SlowFactor multiplies the engine's times; 0 is 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// Hang accepts calls and produces nothing, for running requests as well.
	Hang bool `json:"hang,omitempty"`
	// Crash ends the process.
	Crash bool `json:"crash,omitempty"`
	// TruncateAfter drops the connection after this many tokens of a stream.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// OmitDone closes streams cleanly without their end marker.
	OmitDone bool `json:"omit_done,omitempty"`
	// DuplicateChunk sends the chunk of this token, counted from 1, twice.
	DuplicateChunk int `json:"duplicate_chunk,omitempty"`
	// ReportIdle makes load reports say that nothing runs or waits.
	ReportIdle bool `json:"report_idle,omitempty"`
	// LoadLagMillis replaces the lag of load reports when above 0.
	LoadLagMillis int64 `json:"load_lag_ms,omitempty"`
	// Status, when set, is answered instead of a run.
	Status int `json:"status,omitempty"`
}

func (f *Faults) slow() float64 {
	if f.SlowFactor <= 0 {
		return 1
	}
	return f.SlowFactor
}
