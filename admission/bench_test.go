package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkQueue measures two Offers, Expire, Next and Finished on a queue kept
// full by nine classes and 94 accounts, the making of the requests included.
func BenchmarkQueue(b *testing.B) {
	for _, capacity := range []int{256, 4096} {
		b.Run(fmt.Sprint(capacity, " queued"), func(b *testing.B) {
			cfg := Config{Capacity: capacity, Slots: 110}
			for i := range 9 {
				cfg.Classes = append(cfg.Classes, Class{Name: fmt.Sprint("class-", i), Tier: i%NumTiers + 1, Floor: 0.02})
			}
			q := New(cfg)
			rng := rand.New(rand.NewPCG(1, 1))
			accounts := make([]string, 94)
			for i := range accounts {
				accounts[i] = fmt.Sprint("account-", i)
			}
			b.ReportAllocs()
			now, n := epoch, 0
			step := func() {
				r := &Request{
					ID: fmt.Sprint(n), Class: cfg.Classes[rng.IntN(9)].Name, Account: accounts[rng.IntN(94)],
					Arrived: now, StartBy: now.Add(time.Hour), Cost: time.Millisecond,
				}
				n++
				now = now.Add(time.Millisecond)
				q.Offer(now, r)
			}
			for range 2 * capacity {
				step()
			}
			for b.Loop() {
				step()
				step()
				q.Expire(now)
				if started, _ := q.Next(now); started != nil {
					q.Finished(now, started.Class, time.Millisecond)
				}
			}
		})
	}
}
