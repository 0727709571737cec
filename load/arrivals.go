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
	At      time.Duration
	Class   int
	Account string
	Prompt  string
	Tokens  int
	// HangUpAfter is when the caller leaves, counted from the arrival; 0 is
	// never.
	HangUpAfter time.Duration
}

// uniquePromptTokens is the part of a prompt that differs between requests.
const uniquePromptTokens = 8

// Arrivals returns the planned requests in order of time. They follow from
// the scenario alone.
func (s *Scenario) Arrivals() []Arrival {
	var all []Arrival
	for i := range s.Classes {
		all = append(all, s.classArrivals(i)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// classArrivals draws a Poisson process for each constant piece of the rate.
func (s *Scenario) classArrivals(index int) []Arrival {
	class := &s.Classes[index]
	random := rand.New(rand.NewPCG(s.Seed, uint64(index)))
	picker := newAccountPicker(s.Accounts, class.Accounts)
	var arrivals []Arrival
	for i, point := range class.Rate {
		end := s.Duration
		if i+1 < len(class.Rate) {
			end = class.Rate[i+1].At
		}
		if point.PerSecond <= 0 {
			continue
		}
		at := point.At
		for {
			at += time.Duration(random.ExpFloat64() / point.PerSecond * float64(time.Second))
			if at >= end {
				break
			}
			arrivals = append(arrivals, s.draw(index, at, random, picker))
		}
	}
	return arrivals
}

func (s *Scenario) draw(index int, at time.Duration, random *rand.Rand, picker *accountPicker) Arrival {
	class := &s.Classes[index]
	account := picker.pick(random)
	length := float64(class.Tokens) * math.Exp(class.Sigma*random.NormFloat64())
	arrival := Arrival{
		At:      at,
		Class:   index,
		Account: account,
		Prompt:  prompt(class, account, random.Uint64()),
		Tokens:  max(1, int(length)),
	}
	leaves, when := random.Float64(), random.Float64()
	if leaves < class.HangUp {
		arrival.HangUpAfter = s.hangUpTime(arrival.Tokens, when)
	}
	return arrival
}

// hangUpTime is a part of the time that an idle engine needs for the answer.
func (s *Scenario) hangUpTime(tokens int, part float64) time.Duration {
	whole := s.Engines.FirstToken + time.Duration(tokens)*s.Engines.StepTime
	return max(time.Millisecond, time.Duration(part*float64(whole)))
}

// prompt returns a text whose beginning is the same for all requests of the
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

// accountPicker draws accounts by their parts of the load.
type accountPicker struct {
	names []string
	upTo  []float64
}

func newAccountPicker(accounts []Account, parts map[string]float64) *accountPicker {
	p := &accountPicker{}
	total := 0.0
	for _, account := range accounts {
		part := 1.0
		if len(parts) > 0 {
			part = parts[account.Name]
		}
		total += part
		p.names = append(p.names, account.Name)
		p.upTo = append(p.upTo, total)
	}
	return p
}

func (p *accountPicker) pick(random *rand.Rand) string {
	at := random.Float64() * p.upTo[len(p.upTo)-1]
	return p.names[sort.SearchFloat64s(p.upTo, at)]
}
