package main

import (
	"fmt"
	"syscall"
	"time"
)

// regionRates are the requests a second of the callers of each region: a tenth of those of the small site while
// gauteng is in its trough and the two others are at their peaks.
var regionRates = map[string]float64{"gauteng": 5, "western-cape": 33, "kzn": 28}

// recoverTime is recover_s, and correctTime how long the seeds are stale; seed_lag_s is three times as long.
const (
	recoverTime = 12 * time.Second
	correctTime = time.Second
)

// playSeeds kills all instances at once and starts them again. With the disruption their seeds are stale at first, and
// the settings file is then corrected without a signal.
func playSeeds(w *world, trouble bool) (string, error) {
	r := stockRoute("r-stock", "/puxa403/", "gauteng")
	if err := w.startSmall(r, 3, answerShortly); err != nil {
		return "", err
	}
	before := w.measure(6*time.Second, r.prefix+"2f")
	w.note("before the fault: %v", before)
	if before.served*4 < before.asked {
		return "", fmt.Errorf("before the fault: %v", before)
	}
	back, err := w.restartAll(trouble)
	if err != nil {
		return "", err
	}
	time.Sleep(time.Until(back.Add(recoverTime + 500*time.Millisecond)))
	after := w.measure(10*time.Second, r.prefix+"2f")
	w.note("later than recover_s after the start: %v", after)
	if after.served*4 < after.asked {
		return fmt.Sprintf("RECOVER: before the fault %v; later than 12 s after the machines are back %v", before, after), nil
	}
	return "", nil
}

// restartAll kills all processes at once and starts them a second later. It returns when the settings are right.
func (w *world) restartAll(stale bool) (back time.Time, err error) {
	for _, g := range w.gates {
		if err := g.signal(syscall.SIGKILL); err != nil {
			return back, err
		}
	}
	for _, g := range w.gates {
		g.kill()
	}
	time.Sleep(time.Second)
	seeds := w.usualSeeds()
	if stale {
		if seeds, err = freeAddresses(3); err != nil { // of machines that are no longer there
			return back, err
		}
	}
	started := make(chan error, 1)
	go func() { started <- w.startAll(seeds, false) }()
	time.Sleep(correctTime)
	if stale {
		err = w.correctSeeds()
	}
	back = time.Now()
	if startErr := <-started; startErr != nil {
		return back, startErr
	}
	return back, err
}

// correctSeeds writes the usual seeds to all settings files and sends no signal.
func (w *world) correctSeeds() error {
	for _, g := range w.gates {
		g.seeds = w.usualSeeds()
		if err := g.writeSettings(); err != nil {
			return err
		}
	}
	w.note("the settings files name the seeds %v", w.usualSeeds())
	return nil
}

func freeAddresses(count int) (addresses []string, err error) {
	for range count {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// measure lets the callers of all regions ask for a path for some time.
func (w *world) measure(length time.Duration, path string) *tally {
	stop := make(chan struct{})
	time.AfterFunc(length, func() { close(stop) })
	return w.askAll(path, stop)
}
