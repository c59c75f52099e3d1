// Package strictjson decodes JSON from outside the system without guessing.
//
// encoding/json replaces bytes that are not UTF-8 and halves of surrogate pairs, takes the
// last one of fields that occur twice and merges arrays that do. What it returns is then
// another value than the one that was sent. Decode refuses such text, names the field and
// says what to do.
//
// # Usage
//
//	err := strictjson.Decode(body, &v) // an *Error
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf16"
	"unicode/utf8"
)

// Error reports text that is refused.
type Error struct {
	// Field is the path of the field, such as "routes[2].host", or empty for the whole text.
	Field string
	// Problem says what is wrong, Remedy what to do about it.
	Problem, Remedy string
	// Err is the error of encoding/json, nil if that would have accepted the text.
	Err error
}

// Error returns the problem with its field and the remedy.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.Problem + "; " + e.Remedy
	}
	return e.Field + ": " + e.Problem + "; " + e.Remedy
}

// Unwrap returns the error of encoding/json.
func (e *Error) Unwrap() error { return e.Err }

// Decode decodes the one value that a text holds into v, like json.Unmarshal. Fields that v
// does not have are ignored. The error is an *Error; v must not be used then.
func Decode(text []byte, v any) error { return decode(text, v, false) }

// DecodeKnown is Decode for messages in which a field that v does not have is an error.
func DecodeKnown(text []byte, v any) error { return decode(text, v, true) }

func decode(text []byte, v any, known bool) error {
	var whole json.RawMessage
	if err := json.Unmarshal(text, &whole); err != nil {
		return &Error{Problem: err.Error(), Remedy: "send one whole JSON value", Err: err}
	}
	d := json.NewDecoder(bytes.NewReader(text))
	if known {
		d.DisallowUnknownFields()
	}
	if err := d.Decode(v); err != nil {
		return fieldError(err)
	}
	// The types come first: the path of a field that has another type than v may hold a secret
	// in place of a name.
	return inspect(text)
}

// fieldError returns the error of a value that does not fit its field.
func fieldError(err error) error {
	e := &Error{Problem: err.Error(), Remedy: "correct it", Err: err}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		e.Field = wrongType.Field
	}
	return e
}

// level is an array or object that the inspection is in.
type level struct {
	array bool
	// index is the number of the present element of an array.
	index int
	// names are the names that an object has had, folded. name is that of the present field, or empty before it.
	names map[string]bool
	name  string
}

// inspector walks through the tokens of a valid JSON text.
type inspector struct {
	levels []level
}

// inspect returns an *Error if encoding/json would change a valid text.
func inspect(text []byte) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	in := inspector{}
	for {
		start := d.InputOffset()
		token, err := d.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &Error{Problem: err.Error(), Remedy: "send one whole JSON value", Err: err}
		}
		if err := in.visit(token, text[start:d.InputOffset()]); err != nil {
			return err
		}
	}
}

// visit handles a token, which raw ends with.
func (in *inspector) visit(token json.Token, raw []byte) error {
	delimiter, structural := token.(json.Delim)
	if structural && (delimiter == ']' || delimiter == '}') {
		in.levels = in.levels[:len(in.levels)-1]
		in.endValue()
		return nil
	}
	if n := len(in.levels); n > 0 && !in.levels[n-1].array && in.levels[n-1].name == "" {
		return in.visitName(token, raw)
	}
	if structural {
		in.levels = append(in.levels, level{array: delimiter == '[', names: make(map[string]bool)})
		return nil
	}
	if problem := textProblem(raw); problem != "" {
		return &Error{Field: in.path(), Problem: problem, Remedy: "send it in UTF-8"}
	}
	in.endValue()
	return nil
}

// visitName handles the name of a field.
func (in *inspector) visitName(token json.Token, raw []byte) error {
	l := &in.levels[len(in.levels)-1]
	name, _ := token.(string)
	folded := strings.Map(fold, name)
	switch {
	case textProblem(raw) != "":
		return &Error{Field: in.path(), Problem: "the name of a field " + textProblem(raw), Remedy: "send it in UTF-8"}
	case l.names[folded]:
		l.name = name
		return &Error{Field: in.path(), Problem: "the field is there twice", Remedy: "remove one"}
	}
	l.names[folded] = true
	// The present name must not be empty, also that of a field whose name is.
	l.name = "." + name
	return nil
}

// fold returns the same character for all that encoding/json takes for equal in names, which it
// compares without case.
func fold(r rune) rune {
	for {
		next := unicode.SimpleFold(r)
		if next <= r {
			return next
		}
		r = next
	}
}

// endValue goes on to the next field or element.
func (in *inspector) endValue() {
	if n := len(in.levels); n > 0 {
		in.levels[n-1].index++
		in.levels[n-1].name = ""
	}
}

// path returns the path of the present value.
func (in *inspector) path() string {
	var b strings.Builder
	for _, l := range in.levels {
		if l.array {
			fmt.Fprintf(&b, "[%d]", l.index)
		} else {
			b.WriteString("." + strings.TrimPrefix(l.name, "."))
		}
	}
	return strings.Trim(b.String(), ".")
}

// textProblem says why encoding/json would change a string as it is written, "" if it would
// not.
func textProblem(raw []byte) string {
	if !utf8.Valid(raw) {
		return "is not UTF-8"
	}
	for i := 0; i+1 < len(raw); i++ {
		if raw[i] != '\\' {
			continue
		}
		i++
		if raw[i] != 'u' {
			continue
		}
		if half := escape(raw[i-1:]); utf16.IsSurrogate(half) {
			if utf16.DecodeRune(half, escape(raw[min(len(raw), i+5):])) == utf8.RuneError {
				return "has half of a surrogate pair"
			}
			i += 6
		}
		i += 4
	}
	return ""
}

// escape returns the character of an escape such as \u00e9 that text begins with, or 0.
func escape(text []byte) rune {
	const length = len(`\u0000`)
	if len(text) < length || text[0] != '\\' || text[1] != 'u' {
		return 0
	}
	n, err := strconv.ParseUint(string(text[2:length]), 16, 16)
	if err != nil {
		return 0
	}
	return rune(n)
}
