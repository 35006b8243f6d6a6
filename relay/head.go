package relay

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/proto"
)

// maxNameBytes is more than the longest field name that framing looks for.
const maxNameBytes = 24

// framing finds out how a head delimits the body, from its bytes: http.ReadResponse removes a length beside chunks, and
// the transfer coding of HTTP/1.0.
type framing struct {
	// line is the start of the current line.
	line []byte
	// lines counts the lines that have ended.
	lines int
	// ended is set after the empty line at the end of the head.
	ended bool
	// old is set for HTTP/1.0, length and coded for the fields Content-Length and Transfer-Encoding.
	old, length, coded bool
}

func (f *framing) reset() { *f = framing{line: f.line[:0]} }

// add takes the next bytes from the connection. Those after the head are ignored.
func (f *framing) add(b []byte) {
	for len(b) > 0 && !f.ended {
		part, rest, isEnd := bytes.Cut(b, []byte{'\n'})
		f.line = append(f.line, part[:min(len(part), max(0, maxNameBytes-len(f.line)))]...)
		if isEnd {
			f.endLine(strings.ToLower(strings.TrimRight(string(f.line), "\r")))
			f.line = f.line[:0]
		}
		b = rest
	}
}

func (f *framing) endLine(line string) {
	f.lines++
	name, _, _ := strings.Cut(line, ":")
	switch {
	case f.lines == 1:
		f.old = strings.HasPrefix(line, "http/1.0 ")
	case line == "":
		f.ended = true
	case name == "content-length":
		f.length = true
	case name == "transfer-encoding":
		f.coded = true
	}
}

// check returns an error of kind KindMalformed if a response has a status that no endpoint may answer with, or a body
// without one certain end.
func (f *framing) check(response *http.Response) error {
	switch status := response.Status; {
	case len(status) < 3 || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]),
		response.StatusCode < http.StatusContinue, response.StatusCode > proto.MaxStatus:
		return fault.Newf("receive", KindMalformed, "status %.16q", status)
	case response.StatusCode == http.StatusSwitchingProtocols:
		return fault.Newf("receive", KindMalformed, "the protocol is switched without a request for it")
	case f.coded && (f.length || f.old):
		return fault.Newf("receive", KindMalformed, "transfer coding beside a length or in HTTP/1.0")
	}
	return nil
}
