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

// MaxSize is the maximum size in bytes of a document, and of its signed form. The
// configuration service holds values of up to 1 MB.
const MaxSize = 1 << 20

// Parse decodes and checks a document. Unknown, repeated and null fields are errors of
// KindInvalid, and so is data after the document.
func Parse(body []byte) (*Document, error) {
	var document Document
	if err := decodeStrict(body, &document); err != nil {
		return nil, err
	}
	if err := document.Check(); err != nil {
		return nil, err
	}
	return &document, nil
}

// decodeStrict decodes body into target, a pointer to a struct. It is stricter than
// encoding/json, which accepts unknown and repeated fields, null for any type, and field
// names that differ in case.
func decodeStrict(body []byte, target any) error {
	if len(body) > MaxSize {
		return invalid(documentPath, "exceeds the limit of %d bytes", MaxSize)
	}
	if !utf8.Valid(body) {
		return invalid(documentPath, "not valid UTF-8")
	}
	var raw json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		return invalid(documentPath, "%s: %v", errorPosition(body, err), err)
	}
	checker := typeChecker{json.NewDecoder(bytes.NewReader(body))}
	checker.decoder.UseNumber()
	if err := checker.value("", reflect.TypeOf(target).Elem()); err != nil {
		return err
	}
	if err := json.Unmarshal(body, target); err != nil {
		return invalid(documentPath, "%v", err)
	}
	return nil
}

// errorPosition returns the line of a syntax error.
func errorPosition(body []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return "syntax error"
	}
	end := min(max(int(syntax.Offset), 0), len(body))
	return fmt.Sprintf("line %d", 1+bytes.Count(body[:end], []byte("\n")))
}

// typeChecker compares syntactically valid JSON with a Go type, token by token.
type typeChecker struct {
	decoder *json.Decoder
}

// value reads one value of type goType.
func (c typeChecker) value(path string, goType reflect.Type) error {
	token, err := c.decoder.Token()
	if err != nil {
		return invalid(pathOrDocument(path), "%v", err)
	}
	switch {
	case goType.Kind() == reflect.Struct && token == json.Delim('{'):
		return c.object(path, goType)
	case goType == reflect.TypeFor[[]byte]():
		return base64Value(path, token)
	case goType.Kind() == reflect.Slice && token == json.Delim('['):
		return c.list(path, goType.Elem())
	default:
		return scalarValue(path, goType, token)
	}
}

func (c typeChecker) object(path string, goType reflect.Type) error {
	seen := make([]bool, goType.NumField())
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return invalid(pathOrDocument(path), "%v", err)
		}
		name, _ := token.(string)
		inner := fieldPath(path, name)
		field := fieldIndex(goType, name)
		if field < 0 {
			return invalid(inner, "unknown field")
		}
		if seen[field] {
			return invalid(inner, "repeated field")
		}
		seen[field] = true
		if err := c.value(inner, goType.Field(field).Type); err != nil {
			return err
		}
	}
	return c.end(path)
}

func (c typeChecker) list(path string, goType reflect.Type) error {
	for i := 0; c.decoder.More(); i++ {
		if err := c.value(elementPath(path, i), goType); err != nil {
			return err
		}
	}
	return c.end(path)
}

// end reads the closing bracket of an object or array.
func (c typeChecker) end(path string) error {
	if _, err := c.decoder.Token(); err != nil && !errors.Is(err, io.EOF) {
		return invalid(pathOrDocument(path), "%v", err)
	}
	return nil
}

func base64Value(path string, token json.Token) error {
	text, ok := token.(string)
	if !ok {
		return invalid(pathOrDocument(path), "must be a base64 string")
	}
	if _, err := base64.StdEncoding.DecodeString(text); err != nil {
		return invalid(pathOrDocument(path), "%v", err)
	}
	return nil
}

func scalarValue(path string, goType reflect.Type, token json.Token) error {
	number, _ := token.(json.Number)
	var err error
	switch goType.Kind() {
	case reflect.String:
		_, ok := token.(string)
		return requireType(ok, path, "text")
	case reflect.Bool:
		_, ok := token.(bool)
		return requireType(ok, path, "a boolean")
	case reflect.Int, reflect.Int64:
		_, err = strconv.ParseInt(string(number), 10, goType.Bits())
		return requireType(err == nil, path, "an integer")
	case reflect.Uint64:
		_, err = strconv.ParseUint(string(number), 10, goType.Bits())
		return requireType(err == nil, path, "a non-negative integer")
	case reflect.Float64:
		_, err = strconv.ParseFloat(string(number), 64)
		return requireType(err == nil, path, "a number")
	case reflect.Slice:
		return invalid(pathOrDocument(path), "must be an array")
	default:
		return invalid(pathOrDocument(path), "must be an object")
	}
}

func requireType(ok bool, path, what string) error {
	if ok {
		return nil
	}
	return invalid(pathOrDocument(path), "must be %s", what)
}

// fieldIndex returns the index of the field of goType with the JSON name, or -1. Names are
// case-sensitive.
func fieldIndex(goType reflect.Type, name string) int {
	for i := range goType.NumField() {
		if goType.Field(i).Tag.Get("json") == name {
			return i
		}
	}
	return -1
}

func pathOrDocument(path string) string {
	if path == "" {
		return documentPath
	}
	return path
}

func fieldPath(path, name string) string {
	// Bounds the length of the error message for a long unknown name.
	if len(name) > maxName {
		name = name[:maxName]
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func elementPath(path string, position int) string {
	return path + "[" + strconv.Itoa(position) + "]"
}
