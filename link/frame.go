package link

import (
	"cmp"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// countSubRequests returns the number of sub-requests and queries in a frame.
func countSubRequests(f *wire.Frame) int {
	n := len(f.Queries)
	for i := range f.Batches {
		n += len(f.Batches[i].SubRequests)
	}
	return n
}

// Estimated encoded sizes of messages, in bytes.
const (
	messageSize = 64
	recordSize  = 32
)

// estimateSize returns the estimated encoded size of a frame in bytes.
func estimateSize(f *wire.Frame) int {
	messages := 1 + countSubRequests(f) + len(f.Cancels) + len(f.Grants) + len(f.Members)
	n := messages * messageSize
	for i := range f.Batches {
		n += messageSize + len(f.Batches[i].Payload)
	}
	for i := range f.SubResponses {
		n += messageSize + estimateRecordsSize(f.SubResponses[i].Records)
	}
	for i := range f.FeedResponses {
		n += messageSize + len(f.FeedResponses[i].Items)
	}
	for i := range f.Queries {
		n += messageSize + len(f.Queries[i].Body) + len(f.Queries[i].URI) + len(f.Queries[i].Header)*messageSize
	}
	for i := range f.QueryResponses {
		n += messageSize + len(f.QueryResponses[i].Body) + len(f.QueryResponses[i].Signatures)*recordSize
	}
	if f.FolderResponse != nil {
		for i := range f.FolderResponse.Files {
			n += messageSize + len(f.FolderResponse.Files[i].Data)
		}
	}
	return n
}

func estimateRecordsSize(records []wire.Record) int {
	n := 0
	for i := range records {
		n += recordSize + len(records[i].Key) + len(records[i].Fields)
	}
	return n
}

// merge returns one frame with the messages of all frames, in order. Of a
// single-valued message that occurs more than once it keeps the last.
func merge(frames []*wire.Frame) *wire.Frame {
	if len(frames) == 1 {
		return frames[0]
	}
	out := &wire.Frame{}
	for _, f := range frames {
		appendRepeated(out, f)
		overwriteSingle(out, f)
	}
	return out
}

func appendRepeated(out, f *wire.Frame) {
	out.Batches = append(out.Batches, f.Batches...)
	out.SubResponses = append(out.SubResponses, f.SubResponses...)
	out.Cancels = append(out.Cancels, f.Cancels...)
	out.Grants = append(out.Grants, f.Grants...)
	out.ReleaseRequests = append(out.ReleaseRequests, f.ReleaseRequests...)
	out.ReleaseResponses = append(out.ReleaseResponses, f.ReleaseResponses...)
	out.TargetNotifications = append(out.TargetNotifications, f.TargetNotifications...)
	out.Members = append(out.Members, f.Members...)
	out.FeedRequests = append(out.FeedRequests, f.FeedRequests...)
	out.FeedResponses = append(out.FeedResponses, f.FeedResponses...)
	out.Queries = append(out.Queries, f.Queries...)
	out.QueryResponses = append(out.QueryResponses, f.QueryResponses...)
	out.QueryCancels = append(out.QueryCancels, f.QueryCancels...)
}

func overwriteSingle(out, f *wire.Frame) {
	out.Hello = cmp.Or(f.Hello, out.Hello)
	out.Ping = cmp.Or(f.Ping, out.Ping)
	out.Pong = cmp.Or(f.Pong, out.Pong)
	out.FolderOffer = cmp.Or(f.FolderOffer, out.FolderOffer)
	out.FolderRequest = cmp.Or(f.FolderRequest, out.FolderRequest)
	out.FolderResponse = cmp.Or(f.FolderResponse, out.FolderResponse)
	out.Refusal = cmp.Or(f.Refusal, out.Refusal)
	out.VMListOffer = cmp.Or(f.VMListOffer, out.VMListOffer)
	out.VMListRequest = cmp.Or(f.VMListRequest, out.VMListRequest)
	out.VMListResponse = cmp.Or(f.VMListResponse, out.VMListResponse)
}
