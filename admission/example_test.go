package admission_test

import (
	"fmt"
	"time"

	"github.com/sesameswitch/sesameswitch/admission"
)

func ExampleQueue() {
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	queue := admission.New(admission.Config{
		Capacity: 3,
		Slots:    1,
		Classes: []admission.Class{
			{Name: "reservation", Tier: 1},
			{Name: "lookup", Tier: 4, Floor: 0.05},
		},
	})
	for _, class := range []string{"lookup", "lookup", "lookup", "reservation"} {
		request := &admission.Request{ID: fmt.Sprint(class, queue.Len()), Class: class, Account: "school", Arrived: now}
		evicted, refusal := queue.Offer(now, request)
		fmt.Println(request.ID, "evicted:", len(evicted), "refused:", refusal != nil)
	}
	first, rule := queue.Next(now)
	fmt.Println(first.ID, "starts by", rule)
	// Output:
	// lookup0 evicted: 0 refused: false
	// lookup1 evicted: 0 refused: false
	// lookup2 evicted: 0 refused: true
	// reservation2 evicted: 0 refused: false
	// reservation2 starts by tier
}
