package note

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"bergamotworks/fault"
)

// MaxNoteBytes is the maximum size of an encoded release note.
const MaxNoteBytes = 8 << 20

// Decode decodes a release note. If the text is not JSON, or a field is unknown,
// missing, null, repeated or of the wrong type, the error is of kind fault.Invalid
// and names the JSON path of the field. If the text is longer than MaxNoteBytes,
// the error is of kind fault.TooLarge. The verdict is always NotRun.
//
// Fields without omitempty are required, except for fields of type [State],
// [Sections] or [Withdrawn] and the fields of [Limits], for which the zero value
// is valid.
func Decode(text []byte) (Note, error) {
	var n Note
	return n, decode(text, &n)
}

// DecodeConfig decodes a configuration by the rules of [Decode].
func DecodeConfig(text []byte) (Config, error) {
	var c Config
	return c, decode(text, &c)
}

func decode(text []byte, into any) error {
	if len(text) > MaxNoteBytes {
		return fault.New(fault.TooLarge, fault.NotRun, "more than %d bytes", MaxNoteBytes)
	}
	if err := checkValue("", text, reflect.TypeOf(into).Elem()); err != nil {
		return err
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fault.New(fault.Invalid, fault.NotRun, "%s", err)
	}
	return nil
}

// checkValue returns an error if a JSON value does not have the form of the
// type that it is decoded into.
func checkValue(path string, raw json.RawMessage, t reflect.Type) error {
	if string(bytes.TrimSpace(raw)) == "null" {
		return fault.InvalidField(path, "null is not allowed")
	}
	switch t.Kind() {
	case reflect.Pointer:
		return checkValue(path, raw, t.Elem())
	case reflect.Struct:
		return checkStruct(path, raw, t)
	case reflect.Map:
		_, err := eachField(path, raw, func(string) (reflect.Type, bool) { return t.Elem(), true })
		return err
	case reflect.Slice:
		return checkSlice(path, raw, t)
	}
	if err := json.Unmarshal(raw, reflect.New(t).Interface()); err != nil {
		return fault.InvalidField(path, "want %s, not %.40s", typeName(t), raw)
	}
	return nil
}

func checkStruct(path string, raw json.RawMessage, t reflect.Type) error {
	types := map[string]reflect.Type{}
	var required []string
	for _, f := range reflect.VisibleFields(t) {
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		types[name] = f.Type
		if options != "omitempty" && !isOptional(t, f.Type) {
			required = append(required, name)
		}
	}
	seen, err := eachField(path, raw, func(name string) (reflect.Type, bool) {
		t, ok := types[name]
		return t, ok
	})
	if err != nil {
		return err
	}
	for _, name := range required {
		if !seen[name] {
			return fault.InvalidField(join(path, name), "missing")
		}
	}
	return nil
}

// isOptional reports whether a field of fieldType without omitempty may be absent
// from a struct of structType.
func isOptional(structType, fieldType reflect.Type) bool {
	switch fieldType {
	case reflect.TypeFor[State](), reflect.TypeFor[Sections](), reflect.TypeFor[Withdrawn]():
		return true
	}
	return structType == reflect.TypeFor[Limits]()
}

// eachField checks the fields of a JSON object against the types that typeOf
// returns for their names, and returns the set of names.
func eachField(path string, raw json.RawMessage, typeOf func(string) (reflect.Type, bool)) (map[string]bool, error) {
	decoder, err := openValue(path, raw, '{')
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, syntaxError(path, err)
		}
		name := token.(string)
		field := join(path, name)
		t, ok := typeOf(name)
		if !ok {
			return nil, fault.InvalidField(field, "unknown")
		}
		if seen[name] {
			return nil, fault.InvalidField(field, "given twice")
		}
		seen[name] = true
		if err := checkNext(field, decoder, t); err != nil {
			return nil, err
		}
	}
	return seen, closeValue(path, decoder)
}

func checkSlice(path string, raw json.RawMessage, t reflect.Type) error {
	decoder, err := openValue(path, raw, '[')
	if err != nil {
		return err
	}
	for i := 0; decoder.More(); i++ {
		if err := checkNext(fmt.Sprintf("%s[%d]", path, i), decoder, t.Elem()); err != nil {
			return err
		}
	}
	return closeValue(path, decoder)
}

func checkNext(path string, decoder *json.Decoder, t reflect.Type) error {
	var raw json.RawMessage
	if err := decoder.Decode(&raw); err != nil {
		return syntaxError(path, err)
	}
	return checkValue(path, raw, t)
}

func openValue(path string, raw json.RawMessage, first json.Delim) (*json.Decoder, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	token, err := decoder.Token()
	if err != nil {
		return nil, syntaxError(path, err)
	}
	if token != first {
		return nil, fault.InvalidField(path, "does not start with %s", first)
	}
	return decoder, nil
}

// closeValue reads the end of an object or array and returns an error if
// anything follows it.
func closeValue(path string, decoder *json.Decoder) error {
	if _, err := decoder.Token(); err != nil {
		return syntaxError(path, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fault.InvalidField(path, "more than one value")
	}
	return nil
}

func syntaxError(path string, err error) error {
	if errors.Is(err, io.EOF) {
		return fault.InvalidField(path, "JSON text ends early")
	}
	return fault.InvalidField(path, "not JSON: %s", err)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Float64:
		return "number"
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "true or false"
	}
	if _, ok := reflect.New(t).Interface().(interface{ UnmarshalText([]byte) error }); ok {
		return "name of a " + strings.ToLower(t.Name())
	}
	return "whole number"
}
