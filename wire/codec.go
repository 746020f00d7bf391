package wire

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// RawJSON is a JSON value that is passed on without being parsed.
type RawJSON []byte

// MarshalJSON returns the value unchanged.
func (r RawJSON) MarshalJSON() ([]byte, error) { return json.RawMessage(r).MarshalJSON() }

// UnmarshalJSON stores a copy of the value.
func (r *RawJSON) UnmarshalJSON(data []byte) error {
	*r = append((*r)[:0], data...)
	return nil
}

// Limits of a received frame.
const (
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 17 // a caller may send thousands of headers
	maxNestedLevels  = 8
)

var (
	encMode   = mustEncMode(cbor.StringToTextString)
	bytesMode = mustEncMode(cbor.StringToByteString)
	decMode   = mustDecMode()
)

func mustEncMode(texts cbor.StringMode) cbor.EncMode {
	mode, err := cbor.EncOptions{String: texts}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
		// Texts may be of callers or targets, who are free to use any bytes.
		UTF8:               cbor.UTF8DecodeInvalid,
		ByteStringToString: cbor.ByteStringToStringAllowed,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding of a frame, with texts as CBOR texts, which all builds
// decode if they are UTF-8. It returns an error if the encoding is larger than MaxFrameBytes.
func Encode(f *Frame) ([]byte, error) { return encode(encMode, f) }

// EncodeBytes is like Encode, but encodes texts as byte strings. Only peers whose Hello has
// Bytes set decode it.
func EncodeBytes(f *Frame) ([]byte, error) { return encode(bytesMode, f) }

func encode(mode cbor.EncMode, f *Frame) ([]byte, error) {
	data, err := mode.Marshal(f)
	if err != nil {
		return nil, errors.Annotate(err, "encode frame")
	}
	if len(data) > MaxFrameBytes {
		return nil, errors.Errorf("frame is too large: %d bytes, maximum %d", len(data), MaxFrameBytes)
	}
	return data, nil
}

// Decode parses one frame. The frame does not refer to data. Decode returns an
// error if data is larger than MaxFrameBytes.
func Decode(data []byte) (*Frame, error) {
	if len(data) > MaxFrameBytes {
		return nil, errors.Errorf("frame is too large: %d bytes, maximum %d", len(data), MaxFrameBytes)
	}
	var f Frame
	if err := decMode.Unmarshal(data, &f); err != nil {
		return nil, errors.Annotate(err, "decode frame")
	}
	return &f, nil
}
