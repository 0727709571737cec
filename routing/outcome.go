package routing

import "time"

// recordOutcome adds the outcome of an attempt to the server's failure rate:
// failure is 0 for a success, 1 minus the usual failure rate of the route for a
// failure, and refusalWeight for a refusal.
func (st *serverState) recordOutcome(now time.Time, failure float64) {
	st.failureRate = st.failureRateNow(now)
	st.failureRate += failureGain * (failure - st.failureRate)
	st.failureRateAt = now
}

// recordOutcome adds an outcome to the usual failure rate of the route; failure is
// 0 for a success and 1 for a failure.
func (svc *serviceState) recordOutcome(route string, failure float64) {
	svc.failureRates[route] += routeFailureGain * (failure - svc.failureRates[route])
}
