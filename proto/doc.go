// Package proto holds what the clients of HTTP in this module share.
package proto

import (
	"sync"
	"time"
)

const (
	// MaxStatus is the highest valid status.
	MaxStatus = 599
	// UploadWait is how long the end of a response without a length waits for the end of the upload: an endpoint may end
	// its sending side before it has read the whole request.
	UploadWait = 200 * time.Millisecond
)

// Upload is a request that is written beside the reading of its response. A nil Upload has been written. It is safe for
// concurrent use.
type Upload struct {
	ended chan struct{}
	mu    sync.Mutex
	done  bool
	err   error
}

// NewUpload returns an Upload whose write has not ended.
func NewUpload() *Upload { return &Upload{ended: make(chan struct{})} }

// End records the result of the write. The last result applies: a request may be written on more than one connection.
func (u *Upload) End(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.err = err
	if !u.done {
		u.done = true
		close(u.ended)
	}
}

// IsWhole reports whether the request has been written whole, and waits for the end of the write up to a time.
func (u *Upload) IsWhole(wait time.Duration) bool {
	if u == nil {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-u.ended:
	case <-timer.C:
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.done && u.err == nil
}
