package bundle

import "github.com/tanagerbridge/tanagerbridge/fault"

// Kind classifies the errors of this package.
type Kind string

// Kinds of error.
const (
	// KindInvalid says that a document or its signed form is malformed or fails a check.
	KindInvalid Kind = "invalid"
	// KindSignature says that the signature does not match or that its key is unknown.
	KindSignature Kind = "signature"
	// KindStale says that the version is lower than the one in force.
	KindStale Kind = "stale"
	// KindConflict says that the version in force has another document.
	KindConflict Kind = "conflict"
	// KindHome says that the document does not declare the home.
	KindHome Kind = "home"
	// KindRegion says that no region is left for a request.
	KindRegion Kind = "region"
	// KindKey says that the text of a key is malformed.
	KindKey Kind = "key"
)

// Error is the error of this package. In an error about the content of a
// document, Op is the path of the field, such as "services[1].calls[0].hedge",
// or "document" for the whole.
type Error = fault.Error[Kind]

// root is the path of the whole document.
const root = "document"

func invalid(path, format string, args ...any) error {
	return fault.Newf(path, KindInvalid, format, args...)
}
