package agent

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
)

// NewIncarnation names one life of an agent process. Two lives never share a
// name, whatever the clock does, but for a chance of one in 2^64.
func NewIncarnation(now time.Time) agentapi.Incarnation {
	started := strconv.FormatInt(now.UnixMilli(), 36)
	random := strconv.FormatUint(rand.Uint64(), 36)
	return agentapi.Incarnation(started + "-" + random)
}
