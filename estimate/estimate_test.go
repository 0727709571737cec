package estimate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func TestQuantilesOfUniformDistribution(t *testing.T) {
	e := New(Config{})
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 5000 {
		n := rng.IntN(1000)
		e.Observe(epoch.Add(time.Duration(i)*time.Millisecond), "draft", "small",
			time.Duration(n)*time.Millisecond, time.Duration(2*n)*time.Millisecond, n)
	}
	for _, q := range []float64{0.1, 0.5, 0.9, 0.99} {
		got, ok := e.Quantile("draft", "small", q)
		if !ok || got.Tokens < int(1000*q)-30 || got.Tokens > int(1000*q)+30 {
			t.Errorf("quantile %g: got %d tokens, want 1000 times the quantile, plus or minus 30", q, got.Tokens)
		}
		if ratio := got.Completion.Seconds() / got.FirstToken.Seconds(); ratio < 1.9 || ratio > 2.1 {
			t.Errorf("quantile %g: got %v to completion and %v to the first token, want a ratio of about 2", q, got.Completion, got.FirstToken)
		}
	}
}

func TestQuantileFallsBackToWiderSeries(t *testing.T) {
	e := New(Config{})
	if _, ok := e.Quantile("draft", "small", 0.5); ok {
		t.Error("got an estimate without observations, want none")
	}
	for range 20 {
		e.Observe(epoch, "draft", "small", time.Second, time.Second, 100)
	}
	for _, test := range []struct{ class, model string }{{"draft", "small"}, {"draft", "large"}, {"lookup", "small"}} {
		got, ok := e.Quantile(test.class, test.model, 0.5)
		if !ok || got.Tokens != 100 {
			t.Errorf("class %s, model %s: got %+v, %v, want 100 tokens", test.class, test.model, got, ok)
		}
	}
	e.Observe(epoch, "lookup", "small", time.Second, time.Second, 5)
	if got, _ := e.Quantile("lookup", "small", 0.5); got.Count < minCount {
		t.Errorf("got an estimate from a series with too few observations: %+v, want the wider series", got)
	}
}

func TestObservationsExpireAfterWindow(t *testing.T) {
	e := New(Config{Window: time.Minute})
	for range 100 {
		e.Observe(epoch, "draft", "small", time.Second, 10*time.Second, 100)
	}
	for i := range 100 {
		e.Observe(epoch.Add(time.Minute+time.Duration(i)*time.Second), "draft", "small", time.Second, time.Second, 10)
	}
	if got, _ := e.Quantile("draft", "small", 0.99); got.Tokens != 10 {
		t.Errorf("99th percentile: got %d tokens, want 10, as the observations of 100 tokens have expired", got.Tokens)
	}
}

func TestNumberOfSeriesIsBounded(t *testing.T) {
	e := New(Config{Window: time.Minute, MaxSeries: 8})
	for i := range 100 {
		e.Observe(epoch, fmt.Sprint("class-", i), "small", time.Second, time.Second, i)
	}
	if len(e.series) > 8 {
		t.Errorf("got %d series, want at most 8", len(e.series))
	}
	e.Observe(epoch.Add(2*time.Minute), "late", "small", time.Second, time.Second, 7)
	if e.series[seriesKey{"late", "small"}] == nil {
		t.Error("no series for a new class and model, want one in place of an expired series")
	}
}

func BenchmarkEstimator(b *testing.B) {
	e := New(Config{})
	rng := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	now := epoch
	for b.Loop() {
		now = now.Add(time.Millisecond)
		e.Observe(now, "draft", "small", time.Second, time.Duration(rng.ExpFloat64()*float64(time.Second)), rng.IntN(1000))
		e.Quantile("draft", "small", 0.9)
	}
}
