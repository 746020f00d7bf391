package peers

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/goldcrestmux/goldcrestmux/quarantine"
	"github.com/juju/errors"
)

// decMode decodes texts that are not UTF-8: builds up to link protocol 1 may cut the path of
// a report in the middle of a character. It also takes byte strings for texts.
var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid, ByteStringToString: cbor.ByteStringToStringAllowed}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// decodeMessage parses a message. Members and reports that cannot be decoded are skipped and
// counted. If the sender cannot be decoded, the first member is empty and no reply is wanted.
// It returns an error if the message has no parts that could be told apart.
func decodeMessage(data []byte) (m Message, skipped int, err error) {
	if decMode.Unmarshal(data, &m) == nil {
		return m, 0, nil
	}
	var parts struct {
		Members   []cbor.RawMessage `cbor:"1,keyasint"`
		WantReply cbor.RawMessage   `cbor:"2,keyasint"`
		Reports   []cbor.RawMessage `cbor:"3,keyasint"`
		Quota     cbor.RawMessage   `cbor:"4,keyasint"`
	}
	if err := decMode.Unmarshal(data, &parts); err != nil {
		return Message{}, 0, errors.Annotate(err, "decode gossip message")
	}
	m = Message{}
	for i, part := range parts.Members {
		member, ok := decodePart[Member](part, &skipped)
		if ok || i == 0 {
			m.Members = append(m.Members, member)
		}
	}
	for _, part := range parts.Reports {
		if report, ok := decodePart[quarantine.Report](part, &skipped); ok {
			m.Reports = append(m.Reports, report)
		}
	}
	if len(parts.WantReply) > 0 {
		m.WantReply, _ = decodePart[bool](parts.WantReply, &skipped)
	}
	if len(parts.Quota) > 0 {
		m.Quota, _ = decodePart[[]byte](parts.Quota, &skipped)
	}
	m.WantReply = m.WantReply && len(m.Members) > 0 && m.Members[0].Address != ""
	return m, skipped, nil
}

// decodePart decodes one part of a message. If that fails, it counts the part as skipped.
func decodePart[T any](data []byte, skipped *int) (value T, ok bool) {
	if err := decMode.Unmarshal(data, &value); err != nil {
		*skipped++
		var none T
		return none, false
	}
	return value, true
}
