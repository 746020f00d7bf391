package link

import (
	"cmp"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

// countSubs returns the number of sub-requests in a frame.
func countSubs(f *wire.Frame) int {
	n := 0
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

// size estimates the encoded size of a frame in bytes.
func size(f *wire.Frame) int {
	lists := 1 + countSubs(f) + len(f.Cancels) + len(f.Grants) + len(f.Members)
	n := lists * messageSize
	for i := range f.Batches {
		n += messageSize + len(f.Batches[i].Payload)
	}
	for i := range f.SubResponses {
		n += messageSize + recordsSize(f.SubResponses[i].Records)
	}
	for i := range f.FeedResponses {
		n += messageSize + len(f.FeedResponses[i].Items)
	}
	if f.FolderResponse != nil {
		for i := range f.FolderResponse.Files {
			n += messageSize + len(f.FolderResponse.Files[i].Data)
		}
	}
	return n
}

func recordsSize(records []wire.Record) int {
	n := 0
	for i := range records {
		n += recordSize + len(records[i].Key) + len(records[i].Fields)
	}
	return n
}

// merge joins frames into one, in order. A single-valued message that appears
// twice keeps its last value.
func merge(frames []*wire.Frame) *wire.Frame {
	if len(frames) == 1 {
		return frames[0]
	}
	out := &wire.Frame{}
	for _, f := range frames {
		appendLists(out, f)
		overwriteSingles(out, f)
	}
	return out
}

func appendLists(out, f *wire.Frame) {
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
}

func overwriteSingles(out, f *wire.Frame) {
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
