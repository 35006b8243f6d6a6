package trial

import (
	"context"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

// pauseFor is how long case Paused holds an entry, at most half of the run.
const pauseFor = 5 * time.Second

// hold keeps one of the entries of the first region from deciding for a while.
func (x *run) hold(context.Context) error {
	entries := x.stage.EntriesIn(x.stage.Regions()[0])
	held := entries[len(entries)-1].Name
	return x.stage.Hold(held, clock.Of(min(pauseFor, x.cfg.For/2)))
}
