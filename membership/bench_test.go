package membership

import (
	"fmt"
	"testing"
	"time"
)

// sizes are today's sizes of fleets and the one that the design is made for.
var sizes = []int{17, 114, 1140}

func BenchmarkNeighbours(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			vms := fleet(n, 10)
			for i := range b.N {
				Neighbours(vms[0], vms, uint64(i), 3, 1)
			}
		})
	}
}

func BenchmarkOnDuty(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			vms := fleet(n, 10)
			for i := range b.N {
				IsElected(vms[0], vms, "p", uint64(i), 2)
			}
		})
	}
}

func BenchmarkApplyEqualList(b *testing.B) {
	for _, n := range sizes {
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
