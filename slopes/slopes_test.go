package slopes

import (
	"testing"

	"github.com/sesameswitch/sesameswitch/manifest"
)

func TestManifestIsValid(t *testing.T) {
	for _, accounts := range []int{1, 10, 100} {
		m, err := manifest.Parse(Manifest(7, accounts))
		if err != nil || m.Version != 7 || len(m.Accounts) != accounts || len(m.Models) != models {
			t.Fatalf("%d accounts: %v", accounts, err)
		}
	}
}

func TestLargestManifestFits(t *testing.T) {
	largest := LargestManifest()
	if got := len(Manifest(1, largest)); got > manifest.MaxDocumentBytes {
		t.Fatalf("%d accounts make %d bytes", largest, got)
	}
	if got := len(Manifest(1, largest+largest/10)); got <= manifest.MaxDocumentBytes {
		t.Fatalf("a tenth more accounts make only %d bytes", got)
	}
}

func TestPushReachesNearlyAll(t *testing.T) {
	for _, n := range []int{20, 300} {
		point := MeasureHops(n)
		if point.Watchers != 2*dataCentres || point.Hops > 6 || point.Unreached > n/50 {
			t.Fatalf("%+v", point)
		}
	}
}
