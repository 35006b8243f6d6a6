package bundle

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// MaxSize bounds a document, and its signed form, in bytes. The configuration
// service holds values up to 1 MB.
const MaxSize = 1 << 20

// Parse reads a document and checks it. Unknown, repeated or null fields are
// errors, and so is anything after the document.
func Parse(body []byte) (*Document, error) {
	var d Document
	if err := decode(body, &d); err != nil {
		return nil, err
	}
	if err := d.Check(); err != nil {
		return nil, err
	}
	return &d, nil
}

// decode fills v, a pointer to a struct, from body. It is stricter than
// encoding/json, which accepts unknown and repeated fields, null for any type
// and field names in another case.
func decode(body []byte, v any) error {
	if len(body) > MaxSize {
		return invalid(root, "larger than %d bytes", MaxSize)
	}
	if !utf8.Valid(body) {
		return invalid(root, "not valid UTF-8")
	}
	var raw json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		return invalid(root, "%s: %v", position(body, err), err)
	}
	r := reader{json.NewDecoder(bytes.NewReader(body))}
	r.decoder.UseNumber()
	if err := r.value("", reflect.TypeOf(v).Elem()); err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return invalid(root, "%v", err)
	}
	return nil
}

// position names the line of a syntax error.
func position(body []byte, err error) string {
	var s *json.SyntaxError
	if !errors.As(err, &s) {
		return "syntax error"
	}
	end := min(max(int(s.Offset), 0), len(body))
	return fmt.Sprintf("line %d", 1+bytes.Count(body[:end], []byte("\n")))
}

// reader compares a syntactically valid text with a Go type, token by token.
type reader struct {
	decoder *json.Decoder
}

// value reads one value of type t.
func (r reader) value(path string, t reflect.Type) error {
	token, err := r.decoder.Token()
	if err != nil {
		return invalid(named(path), "%v", err)
	}
	switch {
	case t.Kind() == reflect.Struct && token == json.Delim('{'):
		return r.object(path, t)
	case t == reflect.TypeFor[[]byte]():
		return encodedBytes(path, token)
	case t.Kind() == reflect.Slice && token == json.Delim('['):
		return r.list(path, t.Elem())
	default:
		return scalar(path, t, token)
	}
}

func (r reader) object(path string, t reflect.Type) error {
	seen := make([]bool, t.NumField())
	for r.decoder.More() {
		token, err := r.decoder.Token()
		if err != nil {
			return invalid(named(path), "%v", err)
		}
		name, _ := token.(string)
		inner := join(path, name)
		i := fieldIndex(t, name)
		if i < 0 {
			return invalid(inner, "unknown field")
		}
		if seen[i] {
			return invalid(inner, "repeated field")
		}
		seen[i] = true
		if err := r.value(inner, t.Field(i).Type); err != nil {
			return err
		}
	}
	return r.end(path)
}

func (r reader) list(path string, t reflect.Type) error {
	for i := 0; r.decoder.More(); i++ {
		if err := r.value(index(path, i), t); err != nil {
			return err
		}
	}
	return r.end(path)
}

// end reads the closing bracket of an object or list.
func (r reader) end(path string) error {
	if _, err := r.decoder.Token(); err != nil && !errors.Is(err, io.EOF) {
		return invalid(named(path), "%v", err)
	}
	return nil
}

func encodedBytes(path string, token json.Token) error {
	text, ok := token.(string)
	if !ok {
		return invalid(named(path), "want base64 text")
	}
	if _, err := base64.StdEncoding.DecodeString(text); err != nil {
		return invalid(named(path), "%v", err)
	}
	return nil
}

func scalar(path string, t reflect.Type, token json.Token) error {
	number, _ := token.(json.Number)
	var err error
	switch t.Kind() {
	case reflect.String:
		_, ok := token.(string)
		return want(ok, path, "text")
	case reflect.Bool:
		_, ok := token.(bool)
		return want(ok, path, "true or false")
	case reflect.Int, reflect.Int64:
		_, err = strconv.ParseInt(string(number), 10, t.Bits())
		return want(err == nil, path, "a whole number")
	case reflect.Uint64:
		_, err = strconv.ParseUint(string(number), 10, t.Bits())
		return want(err == nil, path, "a whole number of at least 0")
	case reflect.Float64:
		_, err = strconv.ParseFloat(string(number), 64)
		return want(err == nil, path, "a number")
	case reflect.Slice:
		return invalid(named(path), "want a list")
	default:
		return invalid(named(path), "want an object")
	}
}

func want(ok bool, path, what string) error {
	if ok {
		return nil
	}
	return invalid(named(path), "want %s", what)
}

// fieldIndex finds the field of t with the JSON name; names are case-sensitive.
func fieldIndex(t reflect.Type, name string) int {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return i
		}
	}
	return -1
}

func named(path string) string {
	if path == "" {
		return root
	}
	return path
}

func join(path, name string) string {
	// A long unknown name would only bloat the error text.
	if len(name) > maxName {
		name = name[:maxName]
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func index(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
