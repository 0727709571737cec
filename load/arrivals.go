package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Arrival is one planned request.
type Arrival struct {
	// At is the time from the start of the run to the arrival.
	At time.Duration
	// Class is the index of the class in the scenario.
	Class   int
	Account string
	Prompt  string
	// Tokens is the requested length of the response.
	Tokens int
	// DisconnectAfter is the time from the arrival until the caller disconnects; 0
	// means never.
	DisconnectAfter time.Duration
}

// uniquePromptTokens is the number of tokens at the end of a prompt that differ
// between requests. A token of a prompt is a word.
const uniquePromptTokens = 8

// Arrivals returns the planned requests in order of arrival. They depend on the
// scenario only.
func (s *Scenario) Arrivals() []Arrival {
	var all []Arrival
	for i := range s.Classes {
		all = append(all, s.classArrivals(i)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// classArrivals samples the arrivals of one class: a Poisson process for each
// interval of constant rate. Each class has its own random sequence.
func (s *Scenario) classArrivals(index int) []Arrival {
	class := &s.Classes[index]
	rng := rand.New(rand.NewPCG(s.Seed, uint64(index)))
	picker := newAccountPicker(s.Accounts, class.AccountShares)
	var arrivals []Arrival
	for i, ratePoint := range class.Rate {
		end := s.Duration
		if i+1 < len(class.Rate) {
			end = class.Rate[i+1].At
		}
		if ratePoint.PerSecond <= 0 {
			continue
		}
		at := ratePoint.At
		for {
			at += time.Duration(rng.ExpFloat64() / ratePoint.PerSecond * float64(time.Second))
			if at >= end {
				break
			}
			arrivals = append(arrivals, s.sampleArrival(index, at, rng, picker))
		}
	}
	return arrivals
}

// sampleArrival samples one arrival of a class. The length of the response has a
// log-normal distribution.
func (s *Scenario) sampleArrival(index int, at time.Duration, rng *rand.Rand, picker *accountPicker) Arrival {
	class := &s.Classes[index]
	account := picker.pick(rng)
	tokens := float64(class.MedianTokens) * math.Exp(class.Sigma*rng.NormFloat64())
	arrival := Arrival{
		At:      at,
		Class:   index,
		Account: account,
		Prompt:  prompt(class, account, rng.Uint64()),
		Tokens:  max(1, int(tokens)),
	}
	// Both numbers are drawn for each arrival, so that DisconnectRatio does not
	// affect later arrivals.
	disconnectDraw, fraction := rng.Float64(), rng.Float64()
	if disconnectDraw < class.DisconnectRatio {
		arrival.DisconnectAfter = s.disconnectDelay(arrival.Tokens, fraction)
	}
	return arrival
}

// disconnectDelay returns a fraction of the time that an idle engine needs for a
// response of the given length to a cached prompt, and at least 1 ms, because 0
// means that the caller does not disconnect.
func (s *Scenario) disconnectDelay(tokens int, fraction float64) time.Duration {
	responseTime := s.Engines.FirstToken + time.Duration(tokens)*s.Engines.StepTime
	return max(time.Millisecond, time.Duration(fraction*float64(responseTime)))
}

// prompt returns a prompt whose prefix is the same for all requests of the
// class and account.
func prompt(class *Class, account string, unique uint64) string {
	words := make([]string, 0, class.PromptTokens)
	for i := range max(0, class.PromptTokens-uniquePromptTokens) {
		words = append(words, account+"-"+class.Name+strconv.Itoa(i))
	}
	for i := range uniquePromptTokens {
		words = append(words, strconv.FormatUint(unique+uint64(i), 36))
	}
	return strings.Join(words, " ")
}

// accountPicker draws accounts at random, weighted by their shares of the load.
type accountPicker struct {
	names []string
	// cumulativeShares holds the running sum of the shares up to each account.
	cumulativeShares []float64
}

func newAccountPicker(accounts []Account, shares map[string]float64) *accountPicker {
	p := &accountPicker{}
	total := 0.0
	for _, account := range accounts {
		share := 1.0
		if len(shares) > 0 {
			share = shares[account.Name]
		}
		total += share
		p.names = append(p.names, account.Name)
		p.cumulativeShares = append(p.cumulativeShares, total)
	}
	return p
}

func (p *accountPicker) pick(rng *rand.Rand) string {
	point := rng.Float64() * p.cumulativeShares[len(p.cumulativeShares)-1]
	return p.names[sort.SearchFloat64s(p.cumulativeShares, point)]
}
