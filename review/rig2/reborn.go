package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// rebornRunners is the number of runners of the service.
	rebornRunners = 6
	// rebornPause is the pause between two events of a stream, and rebornInterval that between two new streams.
	rebornPause    = 250 * time.Millisecond
	rebornInterval = 33 * time.Millisecond
	// storeDown is how long the store is down. One runner crashes at firstCrash after that and is back at firstBack, under
	// its id and with newer software; another one crashes at secondCrash, and one with a new id starts at secondBack.
	storeDown   = 8 * time.Second
	firstCrash  = 500 * time.Millisecond
	firstBack   = 2500 * time.Millisecond
	secondCrash = 5 * time.Second
	secondBack  = 7 * time.Second
	// maxMixed is the number of streams of two versions that the rule allows.
	maxMixed = 2
)

// reborn lets a runner start again under its id with another version of its software while the store is down, and
// then lets another runner crash.
func reborn(w *world, trouble bool) (verdict, error) {
	var runners []*runner
	for i := range rebornRunners {
		r := &runner{names: w.names, store: w.store, id: fmt.Sprintf("i-%d", i), service: "kit", zone: "gp-a", slots: 48, version: "v1"}
		r.handle = serveStream(w, r, rebornPause)
		if err := startRunner(r); err != nil {
			return verdict{}, err
		}
		runners = append(runners, r)
	}
	config := originConfig()
	if _, err := w.store.put(w.names.Config, config); err != nil {
		return verdict{}, err
	}
	near := place{"gp-a", "gauteng"}
	if err := w.startMachines([]place{near, near, {"wc-a", "western-cape"}, {"kzn-a", "kzn"}}); err != nil {
		return verdict{}, err
	}
	time.Sleep(startWait)
	ended := w.streamLoad(w.machines[:2], rebornInterval, storeDown+2*time.Second)
	time.Sleep(2 * time.Second)
	if trouble {
		w.note("store     goes down")
		w.store.setDown(true)
		time.AfterFunc(storeDown, func() {
			w.note("store     is back")
			w.store.setDown(false)
		})
		time.AfterFunc(firstCrash, func() {
			w.note("crash     %s", runners[0].id)
			runners[0].crash()
		})
		time.AfterFunc(firstBack, func() { w.startNewer(runners[0], runners[0].id, runners[0].listener.Addr().String()) })
		time.AfterFunc(secondBack, func() { w.startNewer(runners[1], runners[1].id+"-new", "") })
		time.AfterFunc(secondCrash, func() {
			w.note("crash     %s", runners[1].id)
			runners[1].crash()
		})
	}
	return w.judgeVersions(ended()), nil
}

// startNewer starts a runner in place of one that has crashed, with newer software.
func (w *world) startNewer(before *runner, id, address string) {
	again := &runner{
		names: w.names, store: w.store, id: id, service: before.service, zone: before.zone, slots: before.slots, version: "v2", address: address,
	}
	again.handle = serveStream(w, again, rebornPause)
	if err := startRunner(again); err != nil {
		w.note("not back  %s: %v", again.id, err)
		return
	}
	w.note("back      %s, with software %s", again.id, again.version)
}

// judgeVersions counts the streams that hold events of runners of two versions.
func (w *world) judgeVersions(streams []*clientStream) verdict {
	mixed := 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			mixed++
			w.note("mixed     %s holds events of %s", s.first, strings.Join(s.versions, " and "))
		}
	}
	return verdict{mixed > maxMixed, fmt.Sprintf("%d of %d streams hold events of runners of two versions", mixed, len(streams))}
}
