//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// reply is the answer to one client attempt.
type reply struct {
	id, machine string
	status      int // zero if the connection ended, or the client gave up, without a complete answer
	header      http.Header
	body        []byte
	err         error
	kept        bool // the connection had carried a request before
	gaveUp      bool // no answer until the client's deadline
	at          time.Time
	took        time.Duration
}

// client keeps its connections to the machines open. It never sends a request again by itself.
type client struct {
	f    *fleet
	mu   sync.Mutex
	idle map[string][]*kept
}

// kept is a connection to a machine.
type kept struct {
	conn   net.Conn
	reader *bufio.Reader
	used   int
	freeAt time.Time
}

// reuseFor is how long a connection may have been idle to be used again: four fifths of
// idle_timeout_ms.
const reuseFor = 12 * time.Second

func (f *fleet) client() *client { return &client{f: f, idle: map[string][]*kept{}} }

// connect returns a free connection to a machine, or a new one.
func (c *client) connect(m *machine) (*kept, error) {
	c.mu.Lock()
	for free := c.idle[m.ip]; len(free) > 0; free = c.idle[m.ip] {
		k := free[len(free)-1]
		c.idle[m.ip] = free[:len(free)-1]
		if time.Since(k.freeAt) < reuseFor {
			c.mu.Unlock()
			return k, nil
		}
		_ = k.conn.Close()
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, frontPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) keep(m *machine, k *kept) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.freeAt = time.Now()
	c.idle[m.ip] = append(c.idle[m.ip], k)
}

// send sends one client attempt to a machine and waits for the answer. headers are names and
// values.
func (c *client) send(m *machine, id, method, host, uri string, body []byte, wait time.Duration, headers ...string) reply {
	r := reply{id: id, machine: m.name, at: time.Now()}
	defer func() {
		r.took = time.Since(r.at)
		if r.err != nil {
			c.f.rec.add("answered %s: none after %v: %v", id, r.took.Round(time.Millisecond), r.err)
		} else {
			c.f.rec.add("answered %s: %d after %v", id, r.status, r.took.Round(time.Millisecond))
		}
	}()
	c.f.rec.add("sent %s to %s: %s %s", id, m.name, method, uri)
	k, err := c.connect(m)
	if err != nil {
		r.err = err
		return r
	}
	r.kept = k.used > 0
	k.used++
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Goldcrestmux-Request-Id: %s\r\nX-Goldcrestmux-Deadline-Ms: %d\r\n", method, uri, host, id, wait.Milliseconds())
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&out, "%s: %s\r\n", headers[i], headers[i+1])
	}
	if body != nil {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	out.Write(body)
	_ = k.conn.SetDeadline(r.at.Add(wait + 300*time.Millisecond))
	if _, err := k.conn.Write(out.Bytes()); err != nil {
		_ = k.conn.Close()
		r.err = err
		return r
	}
	resp, err := http.ReadResponse(k.reader, &http.Request{Method: method})
	if err == nil {
		r.body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		_ = k.conn.Close()
		netErr, ok := err.(net.Error)
		r.gaveUp = ok && netErr.Timeout()
		r.err = err
		return r
	}
	r.status, r.header = resp.StatusCode, resp.Header
	if resp.Close {
		_ = k.conn.Close()
	} else {
		c.keep(m, k)
	}
	return r
}
