package bundle

import (
	"bytes"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
)

// Force holds the version in force. The version only increases, and the first
// document that was accepted under a version stays. Force is safe for
// concurrent use; readers never wait.
type Force struct {
	keys    []PublicKey
	mutex   sync.Mutex // held to replace current
	current atomic.Pointer[accepted]
}

// accepted is a verified bundle; it is never modified.
type accepted struct {
	document *Document
	encoded  []byte
	mark     news.Bundle
}

// Change tells the version in force before and after an offer. Both are equal
// if the offer was already in force; Old is 0 for the first bundle.
type Change struct {
	Old, New ident.Version
}

// NewForce returns a Force without a bundle that accepts documents signed with
// any of keys.
func NewForce(keys []PublicKey) *Force {
	return &Force{keys: slices.Clone(keys)}
}

// Offer puts a signed bundle in force if its version is higher than the one in
// force. Kinds of error: KindSignature, KindInvalid, KindStale for a lower
// version, and KindConflict for the version in force with another document,
// which needs an alarm. Change is zero on errors.
func (f *Force) Offer(encoded []byte) (Change, error) {
	if a := f.current.Load(); a != nil && bytes.Equal(a.encoded, encoded) {
		return Change{a.mark.Version, a.mark.Version}, nil
	}
	s, err := Open(f.keys, encoded)
	if err != nil {
		return Change{}, err
	}
	d, err := Parse(s.Body)
	if err != nil {
		return Change{}, fault.Wrap("offer", KindInvalid, err)
	}
	mark := news.Bundle{Version: d.Version, Digest: s.Digest()}
	return f.replace(&accepted{d, bytes.Clone(encoded), mark})
}

func (f *Force) replace(a *accepted) (Change, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var old news.Bundle
	if o := f.current.Load(); o != nil {
		old = o.mark
	}
	next := a.mark
	switch {
	case next == old:
		return Change{old.Version, old.Version}, nil
	case next.Version < old.Version:
		return Change{}, fault.Newf("offer", KindStale, "version %d is below %d", next.Version, old.Version)
	case next.Version == old.Version:
		return Change{}, fault.Newf("offer", KindConflict, "version %d has digest %x, offered %x", old.Version, old.Digest[:8], next.Digest[:8])
	}
	f.current.Store(a)
	return Change{old.Version, next.Version}, nil
}

// Current returns the document in force, or nil before the first. It must not
// be modified.
func (f *Force) Current() *Document {
	if a := f.current.Load(); a != nil {
		return a.document
	}
	return nil
}

// Encoded returns the signed form of the version in force, or nil before the
// first. It must not be modified.
func (f *Force) Encoded() []byte {
	if a := f.current.Load(); a != nil {
		return a.encoded
	}
	return nil
}

// Mark returns the version and digest in force; both are zero before the first.
func (f *Force) Mark() news.Bundle {
	if a := f.current.Load(); a != nil {
		return a.mark
	}
	return news.Bundle{}
}
