package wire

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/juju/errors"
)

// DecodeParts parses a frame that Decode refuses. A message that cannot be decoded is skipped
// and counted. If their IDs can be decoded, batches, queries, their responses and those to
// requests of feeds are kept instead, with their IDs and Undecodable set, and responses to
// sub-requests with code.BadResponse, so that they can be ended. It returns an error if the messages of the frame cannot be told apart.
func DecodeParts(data []byte) (f *Frame, skipped int, err error) {
	var fields map[uint64]cbor.RawMessage
	if err := decMode.Unmarshal(data, &fields); err != nil {
		return nil, 0, errors.Annotate(err, "decode the messages of a frame")
	}
	f = &Frame{}
	v := reflect.ValueOf(f).Elem()
	for i := range v.NumField() {
		number, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("cbor"), ",")
		key, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			return nil, 0, errors.Annotate(err, "number of a field")
		}
		if raw, ok := fields[key]; ok {
			skipped += decodeField(raw, v.Field(i))
		}
	}
	return f, skipped, nil
}

// decodeField decodes one message, or each of several, and returns the number of those that
// cannot be decoded.
func decodeField(raw []byte, field reflect.Value) (skipped int) {
	if field.Kind() != reflect.Slice {
		value := reflect.New(field.Type())
		if decMode.Unmarshal(raw, value.Interface()) != nil {
			return 1
		}
		field.Set(value.Elem())
		return 0
	}
	var parts []cbor.RawMessage
	if decMode.Unmarshal(raw, &parts) != nil {
		return 1
	}
	for _, part := range parts {
		message := reflect.New(field.Type().Elem())
		if decMode.Unmarshal(part, message.Interface()) != nil {
			skipped++
			message = undecodable(part, message.Interface())
		}
		if message.IsValid() {
			field.Set(reflect.Append(field, message.Elem()))
		}
	}
	return skipped
}

// undecodable returns what is kept of a message, as a pointer of the type of the given one,
// or the zero Value if nothing is.
func undecodable(data []byte, message any) reflect.Value {
	var fields map[uint64]cbor.RawMessage
	var id, queryID uint64
	if decMode.Unmarshal(data, &fields) != nil || decMode.Unmarshal(fields[1], &id) != nil {
		return reflect.Value{}
	}
	switch message.(type) {
	case *Query:
		return reflect.ValueOf(&Query{ID: id, Undecodable: true})
	case *QueryResponse:
		return reflect.ValueOf(&QueryResponse{ID: id, Undecodable: true})
	case *FeedResponse:
		return reflect.ValueOf(&FeedResponse{ID: id, Undecodable: true})
	case *SubResponse:
		_ = decMode.Unmarshal(fields[2], &queryID) // zero if it is what cannot be decoded
		return reflect.ValueOf(&SubResponse{ID: id, QueryID: queryID, Code: code.BadResponse, Run: code.RunUnknown, Detail: "the response cannot be decoded"})
	case *Batch:
		b := Batch{QueryID: id, Undecodable: true}
		if decMode.Unmarshal(fields[7], &b.SubRequests) == nil {
			return reflect.ValueOf(&b)
		}
	}
	return reflect.Value{}
}
