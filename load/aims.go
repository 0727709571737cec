package load

import (
	"fmt"
	"math"
	"strings"
)

// Aims of the policy against the better baseline of the same run.
const (
	aimTopTier      = 0.99
	aimGoodputRatio = 1.3
	aimWasteRatio   = 1.0 / 3
	// overloadDemand is the demand from which a scenario counts as overload;
	// it is a mean, and bursts go beyond it.
	overloadDemand = 0.8
	// policyUnderTest is compared with all others.
	policyUnderTest = "sesame"
)

// comparison sets the policy's figures against the better baseline's.
type comparison struct {
	scenario string
	overload bool
	// topTier is the attainment of the most urgent class, and topFits says
	// that its demand alone fits the capacity.
	topTier      float64
	topFits      bool
	goodputRatio float64
	tokenRatio   float64
	// wasteRatio is infinite when only the policy wasted tokens, and 0 when
	// nobody did.
	wasteRatio float64
	lowestGap  float64
}

// compare returns the comparison for a scenario, or false when a policy is
// missing.
func compare(s *Scenario, summaries []Summary) (comparison, bool) {
	var policy *Summary
	var baselines []*Summary
	for i := range summaries {
		switch run := &summaries[i]; {
		case run.Scenario != s.Name:
		case run.Policy == policyUnderTest:
			policy = run
		default:
			baselines = append(baselines, run)
		}
	}
	if policy == nil || len(baselines) == 0 {
		return comparison{}, false
	}
	goodput, tokens, wasted := 0.0, 0.0, math.Inf(1)
	for _, b := range baselines {
		goodput = max(goodput, b.Goodput)
		tokens = max(tokens, b.GoodputTokens)
		wasted = min(wasted, float64(b.Wasted))
	}
	lowest := policy.Classes[len(policy.Classes)-1]
	return comparison{
		scenario:     s.Name,
		overload:     s.Demand() > overloadDemand,
		topTier:      policy.Classes[0].Attainment,
		topFits:      s.classDemand(0) < 1,
		goodputRatio: policy.Goodput / goodput,
		tokenRatio:   policy.GoodputTokens / tokens,
		wasteRatio:   wasteRatio(float64(policy.Wasted), wasted),
		lowestGap:    float64(lowest.LongestGapMillis) / 1000,
	}, true
}

func wasteRatio(policy, baseline float64) float64 {
	if policy == 0 {
		return 0
	}
	return policy / baseline
}

// aimsTable returns a row for each scenario with what was aimed at. Classes
// of a scenario are listed by tier, the most urgent first.
func aimsTable(scenarios []*Scenario, summaries []Summary) string {
	var page strings.Builder
	page.WriteString("| scenario | top tier attained (aim ≥ 99%) | goodput ÷ better baseline (aim ≥ 1.3) | in tokens | wasted ÷ better baseline (aim ≤ 0.33) | longest gap of the lowest class |\n")
	page.WriteString("|---|---|---|---:|---|---:|\n")
	for _, s := range scenarios {
		if c, ok := compare(s, summaries); ok {
			page.WriteString(c.row())
		}
	}
	return page.String()
}

func (c *comparison) row() string {
	aimGoodput := aimGoodputRatio
	if !c.overload {
		aimGoodput = 1
	}
	topTier := "no aim, as its demand alone is over the capacity"
	if c.topFits {
		topTier = met(c.topTier >= aimTopTier)
	}
	return fmt.Sprintf("| %s | %.1f%%, %s | %.2f, %s | %.2f | %.2f, %s | %.1f s |\n", c.scenario,
		100*c.topTier, topTier,
		c.goodputRatio, met(c.goodputRatio >= aimGoodput),
		c.tokenRatio,
		c.wasteRatio, met(c.wasteRatio <= aimWasteRatio),
		c.lowestGap)
}
