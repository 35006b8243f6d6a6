package bundle

import "github.com/tanagerbridge/tanagerbridge/fault"

// Kind classifies the errors of this package.
type Kind string

// Error kinds.
const (
	// KindInvalid: a document or its signed form is malformed or fails a check.
	KindInvalid Kind = "invalid"
	// KindSignature: the signature does not match or its key is unknown.
	KindSignature Kind = "signature"
	// KindStale: the version is lower than the one in force.
	KindStale Kind = "stale"
	// KindConflict: the version in force has a different document.
	KindConflict Kind = "conflict"
	// KindUnknownHome: the document does not declare the home.
	KindUnknownHome Kind = "home"
	// KindNoRegion: no region may serve the request.
	KindNoRegion Kind = "region"
	// KindKey: a key is malformed.
	KindKey Kind = "key"
)

// Error is the error type of this package. For errors about the content of a document, Op
// is the path of the field, such as "services[1].calls[0].hedge", or "document" for the
// document as a whole.
type Error = fault.Error[Kind]

// documentPath is the path of the whole document.
const documentPath = "document"

func invalid(path, format string, args ...any) error {
	return fault.Newf(path, KindInvalid, format, args...)
}
