package stream

import (
	"encoding/json"
	"unicode/utf8"
)

// maxDepth bounds the nesting of an event's JSON.
const maxDepth = 32

// chunk holds the fields of an event's JSON that are needed here.
type chunk struct {
	// id, content and finishReason are valid as long as the event's JSON.
	id, content, finishReason []byte
}

// parse reads an event's JSON in one pass. It returns false for anything that is not valid UTF-8
// and JSON or not a completion chunk. It is hand-written because it runs once per token and
// encoding/json allocates several times per event.
func parse(data []byte) (chunk, bool) {
	var parsed chunk
	if !utf8.Valid(data) {
		return parsed, false
	}
	scan := scanner{input: data}
	scan.top(&parsed)
	scan.space()
	return parsed, !scan.bad && scan.position == len(data)
}

// scanner reads JSON text. The first error sets bad; the loops of all methods then end.
type scanner struct {
	input    []byte
	position int
	bad      bool
}

func (s *scanner) top(parsed *chunk) {
	seen := false
	for first := true; ; first = false {
		key, more := s.member(first)
		if !more {
			break
		}
		switch string(key) {
		case "id":
			// A second id could hide the id of another request.
			s.bad = s.bad || seen
			seen = true
			parsed.id = s.bytes()
		case "choices":
			s.choices(parsed)
		default:
			s.skip(1)
		}
	}
	s.bad = s.bad || !seen
}

// choices reads the first choice and skips the others.
func (s *scanner) choices(parsed *chunk) {
	for first := true; s.element(first); first = false {
		if first {
			s.choice(parsed)
			continue
		}
		s.skip(2)
	}
}

func (s *scanner) choice(parsed *chunk) {
	for first := true; ; first = false {
		key, more := s.member(first)
		if !more {
			return
		}
		switch string(key) {
		case "delta":
			s.delta(parsed)
		case "finish_reason":
			parsed.finishReason = s.optional()
		default:
			s.skip(3)
		}
	}
}

func (s *scanner) delta(parsed *chunk) {
	for first := true; ; first = false {
		key, more := s.member(first)
		if !more {
			return
		}
		if string(key) == "content" {
			parsed.content = s.optional()
			continue
		}
		s.skip(4)
	}
}

// member advances to the value of the next member of an object and returns its key. first reports
// whether the object has not been entered yet.
func (s *scanner) member(first bool) ([]byte, bool) {
	if !s.next(first, '{', '}') {
		return nil, false
	}
	key := s.bytes()
	s.expect(':')
	return key, !s.bad
}

// element advances to the next element of an array.
func (s *scanner) element(first bool) bool { return s.next(first, '[', ']') }

func (s *scanner) next(first bool, begin, end byte) bool {
	if first {
		s.expect(begin)
		if s.peek() == end {
			s.position++
			return false
		}
		return !s.bad
	}
	switch s.peek() {
	case ',':
		s.position++
	case end:
		s.position++
		return false
	default:
		s.bad = true
	}
	return !s.bad
}

// skip skips any value.
func (s *scanner) skip(depth int) {
	if depth > maxDepth {
		s.bad = true
	}
	switch c := s.peek(); {
	case s.bad:
	case c == '{':
		for first := true; ; first = false {
			if _, more := s.member(first); !more {
				return
			}
			s.skip(depth + 1)
		}
	case c == '[':
		for first := true; s.element(first); first = false {
			s.skip(depth + 1)
		}
	case c == '"':
		s.raw()
	case c == 't':
		s.keyword("true")
	case c == 'f':
		s.keyword("false")
	case c == 'n':
		s.keyword("null")
	default:
		s.number()
	}
}

// optional reads a string or null.
func (s *scanner) optional() []byte {
	if s.peek() == 'n' {
		s.keyword("null")
		return nil
	}
	return s.bytes()
}

// bytes reads a string and decodes its escapes. Without escapes, the result is a slice of the
// input.
func (s *scanner) bytes() []byte {
	quoted, escaped := s.raw()
	if s.bad {
		return nil
	}
	if !escaped {
		return quoted[1 : len(quoted)-1]
	}
	var decoded string
	s.bad = json.Unmarshal(quoted, &decoded) != nil
	return []byte(decoded)
}

// raw skips a string and returns it with its quotes. escaped reports whether it contains escapes.
func (s *scanner) raw() (quoted []byte, escaped bool) {
	s.space()
	start := s.position
	s.expect('"')
	for !s.bad && s.position < len(s.input) {
		c := s.input[s.position]
		s.position++
		switch {
		case c == '"':
			return s.input[start:s.position], escaped
		case c == '\\':
			escaped = true
			s.escape()
		case c < ' ':
			s.bad = true
		}
	}
	s.bad = true
	return nil, false
}

func (s *scanner) escape() {
	if s.position >= len(s.input) {
		s.bad = true
		return
	}
	c := s.input[s.position]
	s.position++
	switch c {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
	case 'u':
		for range 4 {
			s.bad = s.bad || s.position >= len(s.input) || !isHex(s.input[s.position])
			s.position++
		}
	default:
		s.bad = true
	}
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// number skips a JSON number.
func (s *scanner) number() {
	s.space()
	s.accept('-')
	if !s.accept('0') {
		s.digits()
	}
	if s.accept('.') {
		s.digits()
	}
	if s.accept('e') || s.accept('E') {
		if !s.accept('+') {
			s.accept('-')
		}
		s.digits()
	}
}

// digits skips at least one digit.
func (s *scanner) digits() {
	start := s.position
	for s.position < len(s.input) && s.input[s.position] >= '0' && s.input[s.position] <= '9' {
		s.position++
	}
	s.bad = s.bad || s.position == start
}

func (s *scanner) keyword(literal string) {
	if len(s.input)-s.position < len(literal) || string(s.input[s.position:s.position+len(literal)]) != literal {
		s.bad = true
		return
	}
	s.position += len(literal)
}

// accept skips the next byte if it is c, and reports whether it was.
func (s *scanner) accept(c byte) bool {
	if s.position < len(s.input) && s.input[s.position] == c {
		s.position++
		return true
	}
	return false
}

func (s *scanner) expect(c byte) {
	s.space()
	if !s.accept(c) {
		s.bad = true
	}
}

// peek returns the next byte after white space, or 0 at the end.
func (s *scanner) peek() byte {
	s.space()
	if s.position >= len(s.input) {
		return 0
	}
	return s.input[s.position]
}

func (s *scanner) space() {
	for s.position < len(s.input) {
		switch s.input[s.position] {
		case ' ', '\t', '\n', '\r':
			s.position++
		default:
			return
		}
	}
}
