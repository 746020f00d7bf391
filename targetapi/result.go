package targetapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// refusalCodes is the set of codes that a refusal may carry.
var refusalCodes = map[code.Code]bool{
	code.BadRequest: true, code.Shed: true, code.TargetOutOfService: true, code.TargetCold: true,
	code.VersionGone: true, code.VersionNotLoaded: true, code.Timeout: true,
	code.Canceled: true, code.Overloaded: true, code.Stopping: true,
}

// failedResult returns the result of a request without a response.
func failedResult(e *exchange, ctx context.Context, err error) Result {
	_, _, sent, _ := e.state()
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	result := Result{Sent: sent, Err: errors.Trace(err)}
	if !sent {
		result.Run = code.NotRun
	}
	switch {
	case errors.Is(err, errDeadline):
		result.Code = code.DeadlinePassed
	case errors.Is(err, context.DeadlineExceeded) && sent:
		result.Code = code.Timeout
	case errors.Is(err, context.Canceled), errors.Is(err, errWithdrawn):
		result.Code = code.Canceled
	case sent:
		result.Code = code.ConnectionBroken
		metrics.Add("broken", 1)
	default:
		result.Code = code.Unreachable
	}
	return result
}

// receive reads and validates a response. It closes the connection of a bad one.
func (c *TargetClient) receive(e *exchange, ctx context.Context, req *TargetRequest, resp *http.Response) Result {
	conn, _, _, sentAt := e.state()
	serviceTime := time.Since(sentAt)
	body, err := readBody(resp)
	var result Result
	switch {
	case err != nil:
		result = failedResult(e, ctx, err)
	case len(body) > MaxResponseBytes:
		result = badResponse(code.RunUnknown, "more than %d bytes", MaxResponseBytes)
	case resp.StatusCode == http.StatusOK:
		result = checkResponse(req, body)
	default:
		result = checkRefusal(req, resp.StatusCode, body)
	}
	result.Sent = true
	result.ServiceTime = serviceTime
	result.BootID = resp.Header.Get(HeaderBootID)
	result.Draining = resp.Header.Get(HeaderDraining) == "true"
	if result.Code == code.BadResponse {
		metrics.Add("bad_answers", 1)
		conn.discard()
	}
	return result
}

// readBody reads the body of a response. It returns at most one byte more than
// MaxResponseBytes, which shows that the body is too large.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength < 0 || resp.ContentLength > MaxResponseBytes {
		return io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	}
	body := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

// approxRecordBytes is the approximate size of a record in JSON, for the initial
// capacity of a list of records.
const approxRecordBytes = 80

// checkResponse validates the body of a 200 response and returns its result.
func checkResponse(req *TargetRequest, body []byte) Result {
	response := TargetAnswer{Records: make([]wire.Record, 0, len(body)/approxRecordBytes)}
	if err := json.Unmarshal(body, &response); err != nil {
		return badResponse(code.RunUnknown, "%v", err)
	}
	echo := TargetRequest{ID: response.ID, Search: response.Search, Version: response.Version, Shard: response.Shard}
	switch {
	case echo.ID != req.ID:
		return badResponse(code.RunUnknown, "it is for request %q", echo.ID)
	case echo.Search != req.Search, echo.Version != req.Version, echo.Shard != req.Shard:
		return badResponse(code.RunUnknown, "it is for %s/%s/%s", echo.Search, echo.Version, echo.Shard)
	case response.Count != len(response.Records), int(response.Matched) < response.Count:
		return badResponse(code.Ran, "%d of %d records, %d matched", len(response.Records), response.Count, response.Matched)
	}
	return Result{Code: code.OK, Run: code.Ran, Response: &response}
}

// checkRefusal validates the body of a response other than 200 and returns its
// result.
func checkRefusal(req *TargetRequest, status int, body []byte) Result {
	var refusal TargetRefusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return badResponse(code.RunUnknown, "status %d: %v", status, err)
	}
	c := code.Code(refusal.Code)
	switch {
	case refusal.ID != req.ID:
		return badResponse(code.RunUnknown, "status %d is for request %q", status, refusal.ID)
	case !refusalCodes[c]:
		return badResponse(code.RunUnknown, "status %d with code %q", status, refusal.Code)
	}
	result := Result{Code: c, Refusal: &refusal, Err: &RefusedError{Status: status, Code: c}}
	if refusal.NotRun {
		result.Run = code.NotRun
	}
	return result
}

func badResponse(run code.RunStatus, format string, args ...any) Result {
	return Result{Code: code.BadResponse, Run: run, Err: &BadResponseError{Detail: fmt.Sprintf(format, args...)}}
}
