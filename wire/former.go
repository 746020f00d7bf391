package wire

import (
	"reflect"
	"strings"
	"time"
	"unicode/utf8"
)

var timeType = reflect.TypeFor[time.Time]()

// formerMaxHeaders is the largest number of headers that builds without Hello.Bytes decode.
const formerMaxHeaders = 1024

// ForFormer returns a frame for a peer of a build that closes the link on texts that are not
// UTF-8 (those whose Hello lacks Bytes). Bytes that are not UTF-8 are replaced in a copy; the
// frame itself is not changed. Queries must have been checked with ReadableByFormer: they
// would become others.
func ForFormer(f *Frame) (*Frame, error) {
	readable := true
	visitTexts(reflect.ValueOf(f), func(text string) { readable = readable && utf8.ValidString(text) })
	if readable {
		return f, nil
	}
	data, err := EncodeBytes(f)
	if err != nil {
		return nil, err
	}
	replaced, err := Decode(data)
	if err != nil {
		return nil, err
	}
	for i := range f.Batches {
		replaced.Batches[i].Deadline = f.Batches[i].Deadline
	}
	replaceTexts(reflect.ValueOf(replaced))
	return replaced, nil
}

// ReadableByFormer reports whether a peer of a build without Hello.Bytes serves a query as
// this build does. Such a build decodes no text that is not UTF-8, and it takes the key of a
// caller from the header only, from which this build removes it.
func (q *Query) ReadableByFormer() bool {
	readable := len(q.Header) <= formerMaxHeaders && (q.Organisation != "" || len(q.Key) == 0)
	visitTexts(reflect.ValueOf(q), func(text string) { readable = readable && utf8.ValidString(text) })
	return readable
}

// visitTexts calls visit for each string in v, those in keys of maps included.
func visitTexts(v reflect.Value, visit func(string)) {
	switch v.Kind() {
	case reflect.String:
		visit(v.String())
	case reflect.Pointer:
		if !v.IsNil() {
			visitTexts(v.Elem(), visit)
		}
	case reflect.Struct:
		if v.Type() == timeType {
			return
		}
		for i := range v.NumField() {
			visitTexts(v.Field(i), visit)
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return
		}
		for i := range v.Len() {
			visitTexts(v.Index(i), visit)
		}
	case reflect.Map:
		for it := v.MapRange(); it.Next(); {
			visitTexts(it.Key(), visit)
			visitTexts(it.Value(), visit)
		}
	}
}

// replaceTexts replaces the bytes that are not UTF-8 in all strings in v. Values of maps are
// changed in place; keys, such as names of headers, are replaced.
func replaceTexts(v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		if !utf8.ValidString(v.String()) {
			v.SetString(strings.ToValidUTF8(v.String(), replacement))
		}
	case reflect.Pointer:
		if !v.IsNil() {
			replaceTexts(v.Elem())
		}
	case reflect.Struct:
		if v.Type() == timeType {
			return
		}
		for i := range v.NumField() {
			replaceTexts(v.Field(i))
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return
		}
		for i := range v.Len() {
			replaceTexts(v.Index(i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			newKey, value := reflect.New(key.Type()).Elem(), reflect.New(v.Type().Elem()).Elem()
			newKey.Set(key)
			value.Set(v.MapIndex(key))
			replaceTexts(newKey)
			replaceTexts(value)
			v.SetMapIndex(key, reflect.Value{})
			v.SetMapIndex(newKey, value)
		}
	}
}

// replacement stands for bytes that are not UTF-8 in what peers of former builds are sent.
const replacement = "?"
