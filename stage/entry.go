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
	// readyPoll is the pause between two looks at an entry's readiness.
	readyPoll = 20 * time.Millisecond
	// secretBytes is the length of generated secrets.
	secretBytes = 32
)

// Entry is one running entry of a stage.
type Entry struct {
	Name   ident.Entry
	Region ident.Region
	server server
	state  watch.State
}

// Address returns where callers in the entry's own region reach it.
func (e *Entry) Address() string { return e.server.Address() }

// Admin returns where operators reach the entry.
func (e *Entry) Admin() string { return e.server.Admin() }

func (s *Stage) instance(e *Entry) watch.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return watch.Instance{
		Name: string(e.Name), Role: watch.RoleEntry, Region: e.Region, Zone: zoneOf(e.Region),
		State: e.state, Address: e.server.Address(), Peer: e.server.Peer(),
	}
}

func (s *Stage) startEntries(ctx context.Context) error {
	if s.cfg.NoEntries {
		return nil
	}
	for i := range s.cfg.Entries {
		if _, err := s.launch(ctx, s.plan.regionOf(i)); err != nil {
			return err
		}
	}
	return nil
}

// AddEntry starts one more entry in a region and publishes the list.
func (s *Stage) AddEntry(ctx context.Context, r ident.Region) (ident.Entry, error) {
	e, err := s.launch(ctx, r)
	if err != nil {
		return "", err
	}
	return e.Name, s.List()
}

func (s *Stage) launch(ctx context.Context, r ident.Region) (*Entry, error) {
	settings, err := s.settings(r)
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

// settings returns the settings of the next entry.
func (s *Stage) settings(r ident.Region) (config.Entry, error) {
	platform, err := s.reach(r, s.plan.regions[0], s.Platform.Address())
	if err != nil {
		return config.Entry{}, err
	}
	s.mu.Lock()
	s.made++
	n := s.made
	s.mu.Unlock()
	c := config.Default()
	c.Name = ident.Entry(fmt.Sprintf("entry-%d", n))
	c.Region, c.Zone = r, zoneOf(r)
	c.Listen = config.Listen{Caller: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	c.Platform = config.Platform{Values: "http://" + platform, List: "http://" + platform, Value: ValueName}
	c.Keys = config.Keys{Bundle: s.public.String(), Fleet: s.secret("f1"), Tickets: s.secret("t1")}
	c.Policy = s.cfg.Policy
	c.Seed = s.cfg.Seed + uint64(n)
	return c, nil
}

// secret returns key text that depends on the seed only.
func (s *Stage) secret(id string) string {
	b := make([]byte, secretBytes)
	binary.LittleEndian.PutUint64(b, s.cfg.Seed)
	copy(b[8:], id)
	return id + "=" + base64.StdEncoding.EncodeToString(b)
}

// Entries returns the running entries.
func (s *Stage) Entries() []*Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.entries)
}

// EntriesIn returns the running entries of one region.
func (s *Stage) EntriesIn(r ident.Region) []*Entry {
	return slices.DeleteFunc(s.Entries(), func(e *Entry) bool { return e.Region != r })
}

// CallerAddress returns where callers in a region reach an entry of their
// region, or "" if none runs there.
func (s *Stage) CallerAddress(r ident.Region) string {
	for _, e := range s.EntriesIn(r) {
		return e.Address()
	}
	return ""
}

// CallerAddresses returns where callers in a region reach each running entry,
// those of their own region first.
func (s *Stage) CallerAddresses(r ident.Region) ([]string, error) {
	var near, far []string
	for _, e := range s.Entries() {
		address, err := s.reach(r, e.Region, e.Address())
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

// KillEntry ends an entry at once, as a crash does. The list is published
// without it.
func (s *Stage) KillEntry(name ident.Entry) error {
	e, err := s.find(name)
	if err != nil {
		return err
	}
	_ = e.server.Close() // says how many requests it cut off, which is the purpose here
	s.remove(e)
	return s.List()
}

// Drain shuts an entry down gracefully and returns when it has left.
func (s *Stage) Drain(ctx context.Context, name ident.Entry) error {
	e, err := s.find(name)
	if err != nil {
		return err
	}
	s.mu.Lock()
	e.state = watch.StateLeaving
	s.mu.Unlock()
	if err := s.List(); err != nil {
		return err
	}
	err = e.server.Drain(ctx)
	s.remove(e)
	if listErr := s.List(); err == nil {
		err = listErr
	}
	return err
}

func (s *Stage) find(name ident.Entry) (*Entry, error) {
	for _, e := range s.Entries() {
		if e.Name == name {
			return e, nil
		}
	}
	return nil, fault.Newf("find", KindUnknown, "no entry %q", name)
}

func (s *Stage) remove(e *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = slices.DeleteFunc(s.entries, func(o *Entry) bool { return o == e })
}

// Ready waits until all entries take work.
func (s *Stage) Ready(ctx context.Context) error {
	for _, e := range s.Entries() {
		for !ready(ctx, e) {
			select {
			case <-ctx.Done():
				return fault.Newf("ready", KindTimeout, "entry %s takes no work", e.Name)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func ready(ctx context.Context, e *Entry) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Admin()+status.PathReady, http.NoBody)
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
