package load

import (
	"fmt"
	"math"
	"strings"
)

// Performance objectives of the policy under test. The reports call them aims.
const (
	minTopTierAttainment = 0.99
	// minGoodputRatio applies to scenarios with overload. In others the goodput
	// must be at least that of the better baseline.
	minGoodputRatio = 1.3
	maxWasteRatio   = 1.0 / 3
	// overloadThreshold is the mean offered load above which a scenario counts as
	// overload. It is below 1 because bursts exceed the mean.
	overloadThreshold = 0.8
	// policyUnderTest is compared with all other policies, the baselines.
	policyUnderTest = "sesame"
)

// comparison relates the results of the policy under test to those of the better
// baseline, which can be a different one for each ratio.
type comparison struct {
	scenario string
	overload bool
	// topTierAttainment is the attainment of the most urgent class. topTierFits
	// reports whether the offered load of that class alone is below the
	// capacity.
	topTierAttainment float64
	topTierFits       bool
	// goodputRatio is the ratio of the goodput in responses, tokenRatio that of
	// the goodput in tokens.
	goodputRatio float64
	tokenRatio   float64
	// wasteRatio is the ratio of the wasted tokens. It is infinite if only the
	// policy under test wasted tokens, and 0 if it wasted none.
	wasteRatio float64
	// lowestTierGapSeconds is the longest gap between completions of the least
	// urgent class, in seconds.
	lowestTierGapSeconds float64
}

// compare returns the comparison for a scenario, or false if the policy under
// test or all baselines are missing. The classes of the scenario must be listed by
// tier, the most urgent first.
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
	bestGoodput, bestTokens, leastWasted := 0.0, 0.0, math.Inf(1)
	for _, baseline := range baselines {
		bestGoodput = max(bestGoodput, baseline.Goodput)
		bestTokens = max(bestTokens, baseline.GoodputTokens)
		leastWasted = min(leastWasted, float64(baseline.Wasted))
	}
	lowestTier := policy.Classes[len(policy.Classes)-1]
	return comparison{
		scenario:             s.Name,
		overload:             s.OfferedLoad() > overloadThreshold,
		topTierAttainment:    policy.Classes[0].Attainment,
		topTierFits:          s.classOfferedLoad(0) < 1,
		goodputRatio:         policy.Goodput / bestGoodput,
		tokenRatio:           policy.GoodputTokens / bestTokens,
		wasteRatio:           wasteRatio(float64(policy.Wasted), leastWasted),
		lowestTierGapSeconds: float64(lowestTier.LongestGapMillis) / 1000,
	}, true
}

// wasteRatio divides the wasted tokens of the policy under test by those of
// the baseline.
func wasteRatio(policy, baseline float64) float64 {
	if policy == 0 {
		return 0
	}
	return policy / baseline
}

// comparisonTable returns a Markdown table with a row for each scenario: the
// results of the policy under test and whether they meet the objectives.
func comparisonTable(scenarios []*Scenario, summaries []Summary) string {
	var table strings.Builder
	table.WriteString("| scenario | top tier attained (aim ≥ 99%) | goodput ÷ better baseline (aim ≥ 1.3) | in tokens | wasted ÷ better baseline (aim ≤ 0.33) | longest gap of the lowest class |\n")
	table.WriteString("|---|---|---|---:|---|---:|\n")
	for _, s := range scenarios {
		if c, ok := compare(s, summaries); ok {
			table.WriteString(c.markdownRow())
		}
	}
	return table.String()
}

func (c *comparison) markdownRow() string {
	requiredRatio := minGoodputRatio
	if !c.overload {
		requiredRatio = 1
	}
	topTierLabel := "no aim, as its demand alone is over the capacity"
	if c.topTierFits {
		topTierLabel = metLabel(c.topTierAttainment >= minTopTierAttainment)
	}
	return fmt.Sprintf("| %s | %.1f%%, %s | %.2f, %s | %.2f | %.2f, %s | %.1f s |\n", c.scenario,
		100*c.topTierAttainment, topTierLabel,
		c.goodputRatio, metLabel(c.goodputRatio >= requiredRatio),
		c.tokenRatio,
		c.wasteRatio, metLabel(c.wasteRatio <= maxWasteRatio),
		c.lowestTierGapSeconds)
}
