package membership

import (
	"fmt"
	"testing"
	"time"
)

// fleetSizes are the numbers of VMs of two existing fleets and of the fleet that
// the design targets.
var fleetSizes = []int{17, 114, 1140}

func BenchmarkNeighbours(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			vms := fleet(n, 10)
			for i := range b.N {
				Neighbours(vms[0], vms, uint64(i), 3, 1)
			}
		})
	}
}

func BenchmarkIsElected(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			vms := fleet(n, 10)
			for i := range b.N {
				IsElected(vms[0], vms, "p", uint64(i), 2)
			}
		})
	}
}

func BenchmarkApplyEqualList(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			vms := fleet(n, 10)
			table, c := newTable(vms)
			for range b.N {
				c.Advance(time.Second)
				table.Apply(vms)
			}
		})
	}
}
