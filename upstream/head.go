package upstream

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/juju/errors"
)

// errTwoHeads means that the head of a response holds a second status line: an earlier
// response was broken off in it, and the bytes that follow belong to another one.
var errTwoHeads = errors.New("the head of the response holds two status lines")

// maxKeptHeadBytes bounds the memory that a connection keeps for the next head.
const maxKeptHeadBytes = 2 << 10

// readHead reads the status line and headers of a response. It skips interim responses.
func (c *conn) readHead(a *Attempt) (*http.Response, error) {
	c.source.startCopy(c.reader)
	defer c.source.endCopy()
	start := 0
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: a.Call.Method})
		if err != nil {
			return nil, err
		}
		end := len(c.source.head) - c.reader.Buffered()
		if holdsStatusLine(c.source.head[min(start+1, end):end]) {
			return nil, errTwoHeads
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
		start = end
	}
}

// startCopy copies to head what reader has buffered and, until endCopy, what is read. The
// parsed headers don't show all of the head: net/http removes some of them.
func (r *boundedReader) startCopy(reader *bufio.Reader) {
	buffered, _ := reader.Peek(reader.Buffered()) // never fails: these bytes are there
	r.head = append(r.head[:0], buffered...)
	r.copying = true
}

func (r *boundedReader) endCopy() {
	r.copying = false
	if cap(r.head) > maxKeptHeadBytes {
		r.head = nil
	}
}

// holdsStatusLine reports whether text contains the start of a status line, at any
// position: "HTTP/", the version, spaces and a status code. A header such as Via may name
// the protocol without a status code.
func holdsStatusLine(text []byte) bool {
	const name, version = "HTTP/", "1.1"
	for {
		i := bytes.Index(text, []byte(name))
		if i < 0 {
			return false
		}
		text = text[i+len(name):]
		if len(text) <= len(version) || !isDigit(text[0]) || text[1] != '.' || !isDigit(text[2]) {
			continue
		}
		if after := text[len(version):]; after[0] == ' ' && startsWithStatus(bytes.TrimLeft(after, " ")) {
			return true
		}
	}
}

// startsWithStatus reports whether text starts with a number of three digits.
func startsWithStatus(text []byte) bool {
	if len(text) < 3 || !isDigit(text[0]) || !isDigit(text[1]) || !isDigit(text[2]) {
		return false
	}
	return len(text) == 3 || text[3] == ' ' || text[3] == '\r' || text[3] == '\n'
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
