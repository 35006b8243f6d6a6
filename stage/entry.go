package stage

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/tanagerbridge/tanagerbridge/config"
	"github.com/tanagerbridge/tanagerbridge/entry"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/status"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// readyPollInterval is the interval between two readiness checks of an entry.
	readyPollInterval = 20 * time.Millisecond
	// secretBytes is the length of the generated secrets in bytes.
	secretBytes = 32
)

// Entry is a running entry of a Deployment.
type Entry struct {
	Name   ident.Entry
	Region ident.Region
	server entryServer
	state  watch.State
}

// Address returns the host:port for callers in the entry's own region.
func (e *Entry) Address() string { return e.server.Address() }

// AdminAddress returns the host:port of the entry's admin server.
func (e *Entry) AdminAddress() string { return e.server.AdminAddress() }

// entryInstance returns the entry's item of the instance list.
func (s *Deployment) entryInstance(e *Entry) watch.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return watch.Instance{
		Name: string(e.Name), Role: watch.RoleEntry, Region: e.Region, Zone: zoneOf(e.Region),
		State: e.state, Address: e.server.Address(), Peer: e.server.PeerAddress(),
	}
}

func (s *Deployment) startEntries(ctx context.Context) error {
	if s.cfg.NoEntries {
		return nil
	}
	for i := range s.cfg.Entries {
		if _, err := s.startEntry(ctx, s.spec.regionOf(i)); err != nil {
			return err
		}
	}
	return nil
}

// AddEntry starts another entry in a region and publishes the instance list. It returns a
// KindStart error if the entry can't be started.
func (s *Deployment) AddEntry(ctx context.Context, r ident.Region) (ident.Entry, error) {
	e, err := s.startEntry(ctx, r)
	if err != nil {
		return "", err
	}
	return e.Name, s.PublishInstances()
}

func (s *Deployment) startEntry(ctx context.Context, r ident.Region) (*Entry, error) {
	settings, err := s.nextSettings(r)
	if err != nil {
		return nil, err
	}
	server, err := entry.Start(ctx, settings, s.cfg.Log)
	if err != nil {
		return nil, fault.Wrap("start", KindStart, err)
	}
	e := &Entry{Name: settings.Name, Region: r, server: server, state: watch.StateLive}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, e)
	return e, nil
}

// nextSettings returns the settings of the next entry, which gets a new name and seed.
func (s *Deployment) nextSettings(r ident.Region) (config.Entry, error) {
	platform, err := s.addressFrom(r, s.spec.regions[0], s.Platform.Address())
	if err != nil {
		return config.Entry{}, err
	}
	s.mu.Lock()
	s.entriesStarted++
	n := s.entriesStarted
	s.mu.Unlock()
	settings := config.Default()
	settings.Name = ident.Entry(fmt.Sprintf("entry-%d", n))
	settings.Region, settings.Zone = r, zoneOf(r)
	settings.Listen = config.Listen{Caller: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	settings.Platform = config.Platform{ConfigURL: "http://" + platform, InstancesURL: "http://" + platform, BundleName: BundleName}
	settings.Keys = config.Keys{Bundle: s.public.String(), Fleet: s.keyText("f1"), Tickets: s.keyText("t1")}
	settings.Policy = s.cfg.Policy
	settings.Seed = s.cfg.Seed + uint64(n)
	return settings, nil
}

// keyText returns a secret key in the form ID=BASE64. It is derived from the seed and the
// id only, so all entries have the same keys.
func (s *Deployment) keyText(id string) string {
	key := make([]byte, secretBytes)
	binary.LittleEndian.PutUint64(key, s.cfg.Seed)
	copy(key[8:], id)
	return id + "=" + base64.StdEncoding.EncodeToString(key)
}

// Entries returns the running entries.
func (s *Deployment) Entries() []*Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.entries)
}

// EntriesIn returns the running entries of one region.
func (s *Deployment) EntriesIn(r ident.Region) []*Entry {
	return slices.DeleteFunc(s.Entries(), func(e *Entry) bool { return e.Region != r })
}

// CallerAddress returns the host:port of an entry in the callers' region, or "" if none
// runs there.
func (s *Deployment) CallerAddress(r ident.Region) string {
	for _, e := range s.EntriesIn(r) {
		return e.Address()
	}
	return ""
}

// CallerAddresses returns the host:port at which callers in a region reach each running
// entry, those of their own region first. Entries in other regions are reached over links;
// it returns a KindStart error if a link can't be started.
func (s *Deployment) CallerAddresses(r ident.Region) ([]string, error) {
	var near, far []string
	for _, e := range s.Entries() {
		address, err := s.addressFrom(r, e.Region, e.Address())
		if err != nil {
			return nil, err
		}
		if e.Region == r {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return append(near, far...), nil
}

// KillEntry stops an entry at once, as a crash does, and publishes the instance list
// without it. It returns a KindUnknown error if there is no such entry.
func (s *Deployment) KillEntry(name ident.Entry) error {
	e, err := s.findEntry(name)
	if err != nil {
		return err
	}
	_ = e.server.Close() // the error only reports the interrupted requests, which are intended here
	s.removeEntry(e)
	return s.PublishInstances()
}

// DrainEntry shuts an entry down gracefully: it publishes the entry as leaving, waits until it
// has drained, and publishes the instance list without it. It returns a KindUnknown error
// if there is no such entry.
func (s *Deployment) DrainEntry(ctx context.Context, name ident.Entry) error {
	e, err := s.findEntry(name)
	if err != nil {
		return err
	}
	s.mu.Lock()
	e.state = watch.StateLeaving
	s.mu.Unlock()
	if err := s.PublishInstances(); err != nil {
		return err
	}
	err = e.server.Drain(ctx)
	s.removeEntry(e)
	if listErr := s.PublishInstances(); err == nil {
		err = listErr
	}
	return err
}

func (s *Deployment) findEntry(name ident.Entry) (*Entry, error) {
	for _, e := range s.Entries() {
		if e.Name == name {
			return e, nil
		}
	}
	return nil, fault.Newf("find", KindUnknown, "entry %q not found", name)
}

func (s *Deployment) removeEntry(e *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = slices.DeleteFunc(s.entries, func(o *Entry) bool { return o == e })
}

// WaitReady waits until all entries are ready. It returns a KindTimeout error if ctx ends first.
func (s *Deployment) WaitReady(ctx context.Context) error {
	for _, e := range s.Entries() {
		for !isReady(ctx, e) {
			select {
			case <-ctx.Done():
				return fault.Newf("ready", KindTimeout, "entry %s is not ready", e.Name)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, e *Entry) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.AdminAddress()+status.PathReady, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
