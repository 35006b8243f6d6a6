package fault_test

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

type kind string

const truncated kind = "truncated"

func ExampleKindOf() {
	err := errors.Wrap(fault.Wrap("read", truncated, io.ErrUnexpectedEOF), "load bundle")
	fmt.Println(err)
	fmt.Println(fault.KindOf[kind](err), errors.Is(err, io.ErrUnexpectedEOF))
	// Output:
	// load bundle: read: truncated: unexpected EOF
	// truncated true
}
