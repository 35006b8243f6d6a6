package stream

import (
	"encoding/json"
	"unicode/utf8"
)

// maxDepth bounds the nesting of an event's JSON.
const maxDepth = 32

// chunk is what the gateway needs of an event's JSON.
type chunk struct {
	// All are valid as long as the event's JSON.
	id, content, finish []byte
}

// parse reads an event's JSON in one pass. It reports false for what is not
// valid JSON, not UTF-8 or not a completion chunk. It is written by hand because
// it runs once for each token: encoding/json allocates several times per event.
func parse(b []byte) (chunk, bool) {
	var c chunk
	if !utf8.Valid(b) {
		return c, false
	}
	s := scanner{b: b}
	s.top(&c)
	s.space()
	return c, !s.bad && s.p == len(b)
}

// scanner walks over JSON text. After the first error bad is set and every
// method returns at once.
type scanner struct {
	b   []byte
	p   int
	bad bool
}

func (s *scanner) top(c *chunk) {
	seen := false
	for first := true; ; first = false {
		key, more := s.member(first)
		if !more {
			break
		}
		switch string(key) {
		case "id":
			// A second id could hide a foreign one.
			s.bad = s.bad || seen
			seen = true
			c.id = s.bytes()
		case "choices":
			s.choices(c)
		default:
			s.skip(1)
		}
	}
	s.bad = s.bad || !seen
}

// choices reads the first choice and skips the others.
func (s *scanner) choices(c *chunk) {
	for first := true; s.element(first); first = false {
		if first {
			s.choice(c)
			continue
		}
		s.skip(2)
	}
}

func (s *scanner) choice(c *chunk) {
	for first := true; ; first = false {
		key, more := s.member(first)
		if !more {
			return
		}
		switch string(key) {
		case "delta":
			s.delta(c)
		case "finish_reason":
			c.finish = s.optional()
		default:
			s.skip(3)
		}
	}
}

func (s *scanner) delta(c *chunk) {
	for first := true; ; first = false {
		key, more := s.member(first)
		if !more {
			return
		}
		if string(key) == "content" {
			c.content = s.optional()
			continue
		}
		s.skip(4)
	}
}

// member moves to the value of the next member of an object; first says that
// the object hasn't been entered yet.
func (s *scanner) member(first bool) ([]byte, bool) {
	if !s.next(first, '{', '}') {
		return nil, false
	}
	key := s.bytes()
	s.expect(':')
	return key, !s.bad
}

// element moves to the next element of an array.
func (s *scanner) element(first bool) bool { return s.next(first, '[', ']') }

func (s *scanner) next(first bool, begin, end byte) bool {
	if first {
		s.expect(begin)
		if s.peek() == end {
			s.p++
			return false
		}
		return !s.bad
	}
	switch s.peek() {
	case ',':
		s.p++
	case end:
		s.p++
		return false
	default:
		s.bad = true
	}
	return !s.bad
}

// skip passes over any value.
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
		s.word("true")
	case c == 'f':
		s.word("false")
	case c == 'n':
		s.word("null")
	default:
		s.number()
	}
}

// optional reads a string or null.
func (s *scanner) optional() []byte {
	if s.peek() == 'n' {
		s.word("null")
		return nil
	}
	return s.bytes()
}

// bytes reads a string and resolves its escapes. Without escapes the result is
// a part of the input.
func (s *scanner) bytes() []byte {
	quoted, escaped := s.raw()
	if s.bad {
		return nil
	}
	if !escaped {
		return quoted[1 : len(quoted)-1]
	}
	var t string
	s.bad = json.Unmarshal(quoted, &t) != nil
	return []byte(t)
}

// raw passes over a string and returns it with its quotes.
func (s *scanner) raw() (quoted []byte, escaped bool) {
	s.space()
	start := s.p
	s.expect('"')
	for !s.bad && s.p < len(s.b) {
		c := s.b[s.p]
		s.p++
		switch {
		case c == '"':
			return s.b[start:s.p], escaped
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
	if s.p >= len(s.b) {
		s.bad = true
		return
	}
	c := s.b[s.p]
	s.p++
	switch c {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
	case 'u':
		for range 4 {
			s.bad = s.bad || s.p >= len(s.b) || !hex(s.b[s.p])
			s.p++
		}
	default:
		s.bad = true
	}
}

func hex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// number passes over a number as JSON defines it.
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

// digits passes over at least one digit.
func (s *scanner) digits() {
	start := s.p
	for s.p < len(s.b) && s.b[s.p] >= '0' && s.b[s.p] <= '9' {
		s.p++
	}
	s.bad = s.bad || s.p == start
}

func (s *scanner) word(w string) {
	if len(s.b)-s.p < len(w) || string(s.b[s.p:s.p+len(w)]) != w {
		s.bad = true
		return
	}
	s.p += len(w)
}

// accept passes over c if it is next.
func (s *scanner) accept(c byte) bool {
	if s.p < len(s.b) && s.b[s.p] == c {
		s.p++
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
	if s.p >= len(s.b) {
		return 0
	}
	return s.b[s.p]
}

func (s *scanner) space() {
	for s.p < len(s.b) {
		switch s.b[s.p] {
		case ' ', '\t', '\n', '\r':
			s.p++
		default:
			return
		}
	}
}
