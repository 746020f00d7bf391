package wire

import (
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// The types below are the layout of messages at commit ba52cb5, as far as entry processes
// exchange them. They must not follow changes of the layout.

type formerQuery struct {
	ID            uint64              `cbor:"1,keyasint"`
	Version       uint64              `cbor:"2,keyasint"`
	RequestID     string              `cbor:"3,keyasint"`
	Method        string              `cbor:"4,keyasint"`
	URI           string              `cbor:"5,keyasint"`
	Host          string              `cbor:"6,keyasint"`
	Header        map[string][]string `cbor:"7,keyasint,omitempty"`
	Body          []byte              `cbor:"8,keyasint,omitempty"`
	HasBody       bool                `cbor:"9,keyasint,omitempty"`
	LeftMicros    uint64              `cbor:"10,keyasint"`
	ElapsedMicros uint64              `cbor:"11,keyasint,omitempty"`
	NewConnection bool                `cbor:"12,keyasint,omitempty"`
	Caller        string              `cbor:"13,keyasint,omitempty"`
	Keys          formerKeys          `cbor:"14,keyasint"`
	CutOff        bool                `cbor:"15,keyasint,omitempty"`
	Counted       bool                `cbor:"16,keyasint,omitempty"`
	Repeat        bool                `cbor:"17,keyasint,omitempty"`
	MaxTargets    uint32              `cbor:"18,keyasint,omitempty"`
}

type formerKeys struct {
	Exact [16]byte `cbor:"1,keyasint"`
	Path  [16]byte `cbor:"2,keyasint"`
}

type formerQueryResponse struct {
	ID               uint64              `cbor:"1,keyasint"`
	Refused          string              `cbor:"2,keyasint,omitempty"`
	Status           int                 `cbor:"3,keyasint,omitempty"`
	Signatures       []string            `cbor:"4,keyasint,omitempty"`
	Missing          int                 `cbor:"5,keyasint,omitempty"`
	Body             []byte              `cbor:"6,keyasint,omitempty"`
	RetryAfterMicros uint64              `cbor:"7,keyasint,omitempty"`
	Reason           string              `cbor:"8,keyasint,omitempty"`
	Single           bool                `cbor:"9,keyasint,omitempty"`
	Header           map[string][]string `cbor:"10,keyasint,omitempty"`
	Signature        string              `cbor:"11,keyasint,omitempty"`
	Version          uint64              `cbor:"12,keyasint,omitempty"`
}

type formerProcess struct {
	VM          string `cbor:"1,keyasint"`
	Role        string `cbor:"2,keyasint"`
	DataCentre  string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
}

type formerHello struct {
	MinVersion uint16        `cbor:"1,keyasint"`
	MaxVersion uint16        `cbor:"2,keyasint"`
	Process    formerProcess `cbor:"3,keyasint"`
	Peer       string        `cbor:"4,keyasint,omitempty"`
	Credit     uint32        `cbor:"5,keyasint"`
}

type formerFeedRequest struct {
	ID         uint64 `cbor:"1,keyasint"`
	List       bool   `cbor:"2,keyasint,omitempty"`
	After      uint64 `cbor:"3,keyasint,omitempty"`
	WaitMillis uint32 `cbor:"4,keyasint,omitempty"`
	Era        uint64 `cbor:"5,keyasint,omitempty"`
}

type formerFeedResponse struct {
	ID        uint64 `cbor:"1,keyasint"`
	Revision  uint64 `cbor:"2,keyasint"`
	Items     []byte `cbor:"3,keyasint,omitempty"`
	Compacted bool   `cbor:"4,keyasint,omitempty"`
	AgeMillis uint32 `cbor:"5,keyasint,omitempty"`
	Era       uint64 `cbor:"6,keyasint,omitempty"`
}

type formerEndReport struct {
	Target      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint,omitempty"`
	EndedMillis uint32 `cbor:"3,keyasint"`
	RanMillis   uint32 `cbor:"4,keyasint,omitempty"`
	Caller      []byte `cbor:"5,keyasint,omitempty"`
}

type formerReport struct {
	Key             [16]byte          `cbor:"1,keyasint"`
	Ends            []formerEndReport `cbor:"2,keyasint,omitempty"`
	SoundMillis     uint32            `cbor:"3,keyasint,omitempty"`
	Quarantined     bool              `cbor:"4,keyasint,omitempty"`
	ConvictedMillis uint32            `cbor:"5,keyasint,omitempty"`
	TermMillis      uint32            `cbor:"6,keyasint,omitempty"`
	TrialMillis     uint32            `cbor:"7,keyasint,omitempty"`
	FailedTrials    uint8             `cbor:"8,keyasint,omitempty"`
	Caller          string            `cbor:"9,keyasint,omitempty"`
	Path            string            `cbor:"10,keyasint,omitempty"`
}

type formerFrame struct {
	Hello             *formerHello          `cbor:"1,keyasint,omitempty"`
	FeedRequests      []formerFeedRequest   `cbor:"21,keyasint,omitempty"`
	FeedResponses     []formerFeedResponse  `cbor:"22,keyasint,omitempty"`
	Queries           []formerQuery         `cbor:"23,keyasint,omitempty"`
	QueryResponses    []formerQueryResponse `cbor:"24,keyasint,omitempty"`
	QueryCancels      []QueryCancel         `cbor:"25,keyasint,omitempty"`
	QuarantineReports []formerReport        `cbor:"26,keyasint,omitempty"`
}

// recordedFrame returns a frame as the build of commit ba52cb5 encoded it.
func recordedFrame(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("testdata/build-ba52cb5/frame.hex")
	if err != nil {
		t.Fatal(err)
	}
	data, err := hex.DecodeString(strings.ReplaceAll(string(text), "\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a message of the former build that this one decodes otherwise: builds of
// both kinds run side by side during an upgrade.
func TestFrameOfFormerBuildIsDecoded(t *testing.T) {
	data := recordedFrame(t)
	f, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	var former formerFrame
	if err := cbor.Unmarshal(data, &former); err != nil {
		t.Fatal(err)
	}
	if len(f.Queries) != 1 || len(former.Queries) != 1 || f.Hello == nil || len(f.QuarantineReports) != 1 {
		t.Fatalf("decoded %+v", f)
	}
	q := f.Queries[0]
	if q.Organisation != "" || q.Key != nil {
		t.Errorf("query of the former build names organisation %q and key %x, want none", q.Organisation, q.Key)
	}
	// The fields that both layouts have must hold the same values, and this build must
	// encode them to the same bytes.
	again, err := Encode(f)
	if err != nil {
		t.Fatal(err)
	}
	var reencoded formerFrame
	if err := cbor.Unmarshal(again, &reencoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(reencoded, former) {
		t.Errorf("fields changed on the way through this build:\n%+v\nwant\n%+v", reencoded, former)
	}
	if len(former.Queries[0].Header) != 3 || former.Queries[0].RequestID != "id1" || former.QueryResponses[0].Signature != "s" || former.Hello.Process.VM != "front-1" {
		t.Errorf("recorded frame is not the expected one: %+v", former)
	}
}

// Guards against a new field that makes a frame unreadable for the former build, or that
// changes the fields that the former build knows.
func TestFrameOfThisBuildIsDecodedByFormerOne(t *testing.T) {
	f, err := Decode(recordedFrame(t))
	if err != nil {
		t.Fatal(err)
	}
	var want formerFrame
	if err := cbor.Unmarshal(recordedFrame(t), &want); err != nil {
		t.Fatal(err)
	}
	fillUnknown(t, reflect.ValueOf(&f.Queries[0]).Elem(), reflect.TypeFor[formerQuery]())
	fillUnknown(t, reflect.ValueOf(&f.QueryResponses[0]).Elem(), reflect.TypeFor[formerQueryResponse]())
	fillUnknown(t, reflect.ValueOf(f.Hello).Elem(), reflect.TypeFor[formerHello]())
	fillUnknown(t, reflect.ValueOf(&f.FeedRequests[0]).Elem(), reflect.TypeFor[formerFeedRequest]())
	fillUnknown(t, reflect.ValueOf(&f.FeedResponses[0]).Elem(), reflect.TypeFor[formerFeedResponse]())
	fillUnknown(t, reflect.ValueOf(&f.QuarantineReports[0]).Elem(), reflect.TypeFor[formerReport]())
	if f.Queries[0].Organisation == "" || len(f.Queries[0].Key) == 0 {
		t.Fatal("the query names no organisation")
	}
	data, err := Encode(f)
	if err != nil {
		t.Fatal(err)
	}
	var got formerFrame
	if err := cbor.Unmarshal(data, &got); err != nil {
		t.Fatalf("the former layout does not decode the frame: %v", err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("former build decodes\n%+v\nwant\n%+v", got, want)
	}
}

// fillUnknown gives a value to each field that the former layout lacks, so that it is encoded.
// Later milestones add fields without changing this test.
func fillUnknown(t *testing.T, v reflect.Value, former reflect.Type) {
	t.Helper()
	for i := range v.NumField() {
		name := v.Type().Field(i).Name
		if _, known := former.FieldByName(name); known {
			continue
		}
		switch f := v.Field(i); f.Kind() {
		case reflect.String:
			f.SetString("x")
		case reflect.Bool:
			f.SetBool(true)
		case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
			f.SetInt(7)
		case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
			f.SetUint(7)
		case reflect.Float32, reflect.Float64:
			f.SetFloat(7.5)
		case reflect.Slice:
			f.Set(reflect.MakeSlice(f.Type(), 1, 1))
		case reflect.Pointer:
			f.Set(reflect.New(f.Type().Elem()))
		default:
			t.Errorf("field %s of %v has a kind that this test does not fill", name, v.Type())
		}
	}
}
