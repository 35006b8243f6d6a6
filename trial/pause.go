package trial

import (
	"context"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

// pauseDuration is the pause of the entry in CasePaused, at most half of the run.
const pauseDuration = 5 * time.Second

// pauseEntry stops the last entry of the first region from making decisions for
// pauseDuration.
func (x *run) pauseEntry(context.Context) error {
	entries := x.deployment.EntriesIn(x.deployment.Regions()[0])
	paused := entries[len(entries)-1].Name
	return x.deployment.PauseEntry(paused, clock.FromDuration(min(pauseDuration, x.cfg.Duration/2)))
}
