package bundle

import (
	"bytes"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Active holds the bundle version in force. The version only increases, and the first
// document accepted under a version is never replaced. Active is safe for concurrent use;
// readers do not block.
type Active struct {
	keys    []PublicKey
	mutex   sync.Mutex // serialises replacing current
	current atomic.Pointer[acceptedBundle]
}

// acceptedBundle is a verified bundle. It is immutable.
type acceptedBundle struct {
	document *Document
	encoded  []byte
	identity gossip.Bundle
}

// Change is the version in force before and after an offer. Both are equal if the offered
// bundle was already in force; Old is 0 for the first bundle.
type Change struct {
	Old, New ident.Version
}

// NewActive returns an Active without a bundle. It accepts documents signed with any of keys.
func NewActive(keys []PublicKey) *Active {
	return &Active{keys: slices.Clone(keys)}
}

// Offer puts a signed bundle in force if its version is higher than the current one. It
// fails with KindSignature, KindInvalid, KindStale for a lower version, or KindConflict for
// a different document under the version in force, which should raise an alarm. Change is
// zero on errors.
func (a *Active) Offer(encoded []byte) (Change, error) {
	if current := a.current.Load(); current != nil && bytes.Equal(current.encoded, encoded) {
		return Change{current.identity.Version, current.identity.Version}, nil
	}
	signed, err := Verify(a.keys, encoded)
	if err != nil {
		return Change{}, err
	}
	document, err := Parse(signed.Body)
	if err != nil {
		return Change{}, fault.Wrap("offer", KindInvalid, err)
	}
	identity := gossip.Bundle{Version: document.Version, Digest: signed.Digest()}
	return a.replace(&acceptedBundle{document, bytes.Clone(encoded), identity})
}

func (a *Active) replace(offered *acceptedBundle) (Change, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var old gossip.Bundle
	if current := a.current.Load(); current != nil {
		old = current.identity
	}
	next := offered.identity
	switch {
	case next == old:
		return Change{old.Version, old.Version}, nil
	case next.Version < old.Version:
		return Change{}, fault.Newf("offer", KindStale, "version %d is lower than version %d in force", next.Version, old.Version)
	case next.Version == old.Version:
		return Change{}, fault.Newf("offer", KindConflict, "version %d is in force with digest %x, offered with digest %x", old.Version, old.Digest[:8], next.Digest[:8])
	}
	a.current.Store(offered)
	return Change{old.Version, next.Version}, nil
}

// Current returns the document in force, or nil before the first one. It must not be
// modified.
func (a *Active) Current() *Document {
	if current := a.current.Load(); current != nil {
		return current.document
	}
	return nil
}

// Encoded returns the signed form of the version in force, or nil before the first one. It
// must not be modified.
func (a *Active) Encoded() []byte {
	if current := a.current.Load(); current != nil {
		return current.encoded
	}
	return nil
}

// Identity returns the version and digest in force; both are zero before the first one.
func (a *Active) Identity() gossip.Bundle {
	if current := a.current.Load(); current != nil {
		return current.identity
	}
	return gossip.Bundle{}
}
