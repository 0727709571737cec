package agent

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sesameswitch/sesameswitch/agentapi"
)

// NewIncarnation returns the identifier of one start of a process. Even if the
// clock is set back, two starts share an identifier with a probability of at most
// 2^-64.
func NewIncarnation(now time.Time) agentapi.Incarnation {
	started := strconv.FormatInt(now.UnixMilli(), 36)
	random := strconv.FormatUint(rand.Uint64(), 36)
	return agentapi.Incarnation(started + "-" + random)
}
