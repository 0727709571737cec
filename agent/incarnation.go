package agent

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
)

// NewIncarnation returns the identifier of one start of a process. Two starts
// never share an identifier, whatever the clock does, except with a probability
// of 2^-64.
func NewIncarnation(now time.Time) agentapi.Incarnation {
	started := strconv.FormatInt(now.UnixMilli(), 36)
	random := strconv.FormatUint(rand.Uint64(), 36)
	return agentapi.Incarnation(started + "-" + random)
}
