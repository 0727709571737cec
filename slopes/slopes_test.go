package slopes

import (
	"testing"

	"github.com/sesameswitch/sesameswitch/manifest"
)

func TestGeneratedManifestIsValid(t *testing.T) {
	for _, accounts := range []int{1, 10, 100} {
		m, err := manifest.Parse(GenerateManifest(7, accounts))
		if err != nil || m.Version != 7 || len(m.Accounts) != accounts || len(m.Models) != modelCount {
			t.Fatalf("manifest with %d accounts: got error %v, or another version or other counts than generated", accounts, err)
		}
	}
}

func TestMaxManifestAccountsFitsMaximumSize(t *testing.T) {
	largest := MaxManifestAccounts()
	if got := len(GenerateManifest(1, largest)); got > manifest.MaxDocumentBytes {
		t.Fatalf("manifest with %d accounts has %d bytes, more than the maximum", largest, got)
	}
	if got := len(GenerateManifest(1, largest+largest/10)); got <= manifest.MaxDocumentBytes {
		t.Fatalf("manifest with a tenth more accounts has only %d bytes, want more than the maximum", got)
	}
}

func TestPushReachesAllProcesses(t *testing.T) {
	for _, n := range []int{20, 300} {
		coverage := ComputePushCoverage(n)
		if coverage.Watchers != 2*dataCentres || coverage.MaxHops > 6 || coverage.Unreached > 0 {
			t.Fatalf("got push coverage %+v, want two watchers in each data centre, at most 6 hops and no unreached process", coverage)
		}
	}
}
